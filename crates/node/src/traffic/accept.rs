//! Accepting connections.

use log::warn;
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::prelude::*;

/// Pause after a failed accept, so that descriptors can become free.
const PAUSE: Duration = Duration::from_millis(50);

/// The next connection of a listener.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                warn!(reason:% = error; "could not accept a connection");
                sleep(PAUSE).await;
            }
        }
    }
}
