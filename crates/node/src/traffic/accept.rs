//! Accepting connections, with a delay after errors.

use log::warn;
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::prelude::*;

/// Delay after a failed accept, so that file descriptors can become free.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Waits for the next connection of a listener.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                warn!(reason:% = error; "could not accept a connection");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
