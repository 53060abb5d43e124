//! Server for store calls that other hosts relay through this one.

use std::{io, rc::Rc};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use log::debug;
use prost::Message;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;

use crate::{
    relay::{
        failover::Transport,
        frame::{Call, Response, codec},
    },
    store,
    traffic::{accept, set_ack_timeout},
};

/// Why a connection ends.
#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("could not use the connection: {source}"), context(false))]
    Io { source: io::Error },
    #[snafu(display("could not decode a call: {source}"))]
    Decode { source: prost::DecodeError },
    /// The connection is closed without a response, as the call may have taken effect.
    #[snafu(display("could not relay a call: {source}"))]
    NoResponse { source: store::Error },
}

/// Accepts connections of other hosts and forwards their calls to the store.
pub async fn serve(listener: TcpListener, direct: Rc<dyn Transport>) {
    loop {
        let stream = accept(&listener).await;
        let direct = Rc::clone(&direct);
        tokio::task::spawn_local(async move {
            if let Err(error) = connection(stream, direct).await {
                debug!(reason:% = error; "connection of another host failed");
            }
        });
    }
}

async fn connection(stream: TcpStream, direct: Rc<dyn Transport>) -> Result<(), Error> {
    set_ack_timeout(&stream)?;
    let mut frames = Framed::new(stream, codec());
    while let Some(frame) = frames.next().await {
        let call = Call::decode(frame?).context(DecodeSnafu)?;
        let response = match direct.call(&call).await {
            Ok(response) => response,
            Err(store::Error::Refused { status }) => {
                Response { status: status.into(), body: Bytes::new(), refused: true }
            }
            Err(error) => return Err(error).context(NoResponseSnafu),
        };
        frames.send(Bytes::from(response.encode_to_vec())).await?;
    }
    Ok(())
}
