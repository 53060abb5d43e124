//! TCP listener that can be closed and reopened on the same port, to simulate refused connections.

use std::{io, net::SocketAddr, time::Duration};

use snafu::ResultExt;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};
use volo::net::{
    conn::Conn,
    incoming::{Incoming, MakeIncoming},
};

use crate::{Result, error};

/// Delay after a failed accept or bind, so that a lasting failure does not occupy a core.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections while `enabled` is true. While it is false, the socket is closed and the operating system
/// refuses connections.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    listener: Option<TcpListener>,
    enabled: watch::Receiver<bool>,
}

impl Listener {
    /// Binds an address; port 0 selects a free port.
    pub async fn bind(address: SocketAddr, enabled: watch::Receiver<bool>) -> Result<Self> {
        let listener = TcpListener::bind(address).await.context(error::ListenSnafu { address })?;
        let address = listener.local_addr().context(error::ListenSnafu { address })?;
        Ok(Self { address, listener: Some(listener), enabled })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until `enabled` is sent again; never returns once its sender is dropped.
    async fn wait_for_change(enabled: &mut watch::Receiver<bool>) {
        if enabled.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    async fn accept_stream(listener: &TcpListener) -> TcpStream {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => return stream,
                Err(error) => log::warn!("could not accept a connection: {error}"),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

impl Incoming for Listener {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        loop {
            if !*self.enabled.borrow_and_update() {
                self.listener = None;
                Self::wait_for_change(&mut self.enabled).await;
                continue;
            }
            let Some(listener) = &self.listener else {
                match TcpListener::bind(self.address).await {
                    Ok(listener) => self.listener = Some(listener),
                    Err(_) => tokio::time::sleep(RETRY_DELAY).await,
                }
                continue;
            };
            tokio::select! {
                stream = Self::accept_stream(listener) => {
                    stream.set_nodelay(true)?;
                    return Ok(Some(Conn::from(stream)));
                }
                () = Self::wait_for_change(&mut self.enabled) => {}
            }
        }
    }
}

impl MakeIncoming for Listener {
    type Incoming = Self;

    async fn make_incoming(self) -> io::Result<Self> {
        Ok(self)
    }
}
