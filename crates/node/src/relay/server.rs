//! Takes calls to the store from other hosts.

use std::{io, rc::Rc};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use log::{debug, warn};
use prost::Message;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};
use tokio_util::codec::Framed;

use crate::{
    prelude::*,
    relay::{
        frame::{Answer, Call, codec},
        ways::Direct,
    },
    store,
    traffic::guard,
};

/// Pause after a failed accept, so that descriptors can become free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Why a connection ends.
#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("could not use the connection: {source}"), context(false))]
    Io { source: io::Error },
    #[snafu(display("could not decode a call: {source}"))]
    Decode { source: prost::DecodeError },
    /// The caller is told nothing, as the call may have taken effect.
    #[snafu(display("could not get an answer: {source}"))]
    NoAnswer { source: store::Error },
}

/// Passes on calls of other hosts.
pub async fn serve(listener: TcpListener, direct: Rc<dyn Direct>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(reason:% = error; "could not accept a connection of a host");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let direct = Rc::clone(&direct);
        tokio::task::spawn_local(async move {
            if let Err(error) = connection(stream, direct).await {
                debug!(reason:% = error; "connection of a host ended");
            }
        });
    }
}

async fn connection(stream: TcpStream, direct: Rc<dyn Direct>) -> Result<(), Error> {
    guard(&stream)?;
    let mut frames = Framed::new(stream, codec());
    while let Some(frame) = frames.next().await {
        let call = Call::decode(frame?).context(DecodeSnafu)?;
        let answer = match direct.call(&call).await {
            Ok(answer) => answer,
            Err(store::Error::Refused { status }) => {
                Answer { status: status.into(), body: Bytes::new(), refused: true }
            }
            Err(error) => return Err(error).context(NoAnswerSnafu),
        };
        frames.send(Bytes::from(answer.encode_to_vec())).await?;
    }
    Ok(())
}
