//! Server for requests of other hosts.

use std::{io, rc::Rc};

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use log::debug;
use prost::Message;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_util::codec::Framed;

use crate::{
    peer::{
        frame::{Frames, Kind, Request, Response, codec},
        run::Lead,
        tunnel::Tunnel,
    },
    prelude::*,
    traffic::{accept, set_keepalive},
};

/// Time for a response to be written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a connection ends.
#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("could not use the connection: {source}"), context(false))]
    Io { source: io::Error },
    #[snafu(display("could not decode a request: {source}"))]
    Decode { source: prost::DecodeError },
}

/// Serves the requests of other hosts.
pub trait Handler {
    fn handle(&self, request: Request) -> impl Future<Output = Response>;
    /// Runs items for a leader until the connection ends.
    fn serve_leader(&self, lead: Lead, frames: Frames) -> impl Future<Output = ()>;
    /// Connects another host to a target until either closes.
    fn serve_tunnel(&self, tunnel: Tunnel, frames: Frames) -> impl Future<Output = ()>;
}

/// Accepts connections of other hosts and serves their requests.
pub async fn serve<H: Handler + 'static>(listener: TcpListener, handler: Rc<H>) {
    loop {
        let stream = accept(&listener).await;
        let handler = Rc::clone(&handler);
        tokio::task::spawn_local(async move {
            if let Err(error) = connection(stream, handler.as_ref()).await {
                debug!(reason:% = error; "connection of another host failed");
            }
        });
    }
}

async fn connection<H: Handler>(stream: TcpStream, handler: &H) -> Result<(), Error> {
    set_keepalive(&stream)?;
    let mut frames = Framed::new(stream, codec());
    while let Some(frame) = frames.next().await {
        let request = Request::decode(frame?).context(DecodeSnafu)?;
        match request.kind {
            Some(Kind::Lead(lead)) => {
                handler.serve_leader(lead, frames).await;
                return Ok(());
            }
            Some(Kind::Tunnel(tunnel)) => {
                handler.serve_tunnel(tunnel, frames).await;
                return Ok(());
            }
            _ => {}
        }
        let response = handler.handle(request).await;
        let sending = frames.send(Bytes::from(response.encode_to_vec()));
        timeout(WRITE_TIMEOUT, sending).await.map_err(io::Error::from)??;
    }
    Ok(())
}
