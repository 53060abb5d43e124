//! Listener that can be closed and opened again on the same port.

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

/// Pause after a failed accept or bind, so that a lasting failure does not take a whole core.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections while its switch is on; while it is off, connections are refused by the system.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    listener: Option<TcpListener>,
    open: watch::Receiver<bool>,
}

impl Listener {
    /// Listens on an address; port 0 takes a free port.
    pub async fn open(address: SocketAddr, open: watch::Receiver<bool>) -> Result<Self> {
        let listener = TcpListener::bind(address).await.context(error::ListenSnafu { address })?;
        let address = listener.local_addr().context(error::ListenSnafu { address })?;
        Ok(Self { address, listener: Some(listener), open })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for a turn of the switch; forever when nobody holds it any more.
    async fn turned(open: &mut watch::Receiver<bool>) {
        if open.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    async fn accepted(listener: &TcpListener) -> TcpStream {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => return stream,
                Err(error) => log::warn!("could not accept a connection: {error}"),
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

impl Incoming for Listener {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        loop {
            if !*self.open.borrow_and_update() {
                self.listener = None;
                Self::turned(&mut self.open).await;
                continue;
            }
            let Some(listener) = &self.listener else {
                match TcpListener::bind(self.address).await {
                    Ok(listener) => self.listener = Some(listener),
                    Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
                }
                continue;
            };
            tokio::select! {
                stream = Self::accepted(listener) => {
                    stream.set_nodelay(true)?;
                    return Ok(Some(Conn::from(stream)));
                }
                () = Self::turned(&mut self.open) => {}
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
