//! Proxy that carries the connections to one address, and can fall silent.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

const POLL: Duration = Duration::from_millis(2);

/// Handle of the proxy.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    silent: Arc<AtomicBool>,
}

impl Link {
    pub fn start(to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let link = Self { address: listener.local_addr()?, silent: Arc::default() };
        let silent = Arc::clone(&link.silent);
        thread::spawn(move || {
            for from in listener.incoming().flatten() {
                let silent = Arc::clone(&silent);
                thread::spawn(move || carry(&from, to, &silent));
            }
        });
        Ok(link)
    }

    /// While the link is silent, it carries no bytes in either direction; what has come meanwhile follows later.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }
}

fn carry(from: &TcpStream, to: SocketAddr, silent: &Arc<AtomicBool>) {
    while silent.load(Ordering::SeqCst) {
        thread::sleep(POLL);
    }
    let Ok(there) = TcpStream::connect(to) else {
        let _ = from.shutdown(Shutdown::Both);
        return;
    };
    let (Ok(a), Ok(b)) = (from.try_clone(), there.try_clone()) else { return };
    let _ = (from.set_nodelay(true), there.set_nodelay(true));
    let back = Arc::clone(silent);
    thread::spawn(move || copy(&b, &a, &back));
    copy(from, &there, silent);
}

fn copy(mut from: &TcpStream, mut to: &TcpStream, silent: &AtomicBool) {
    let mut buffer = [0; 16 << 10];
    let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
    loop {
        let read = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(read) => read,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                continue;
            }
            Err(_) => break,
        };
        while silent.load(Ordering::SeqCst) {
            thread::sleep(POLL);
        }
        if to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    while silent.load(Ordering::SeqCst) {
        thread::sleep(POLL);
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
