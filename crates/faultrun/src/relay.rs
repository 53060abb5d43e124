//! TCP relay whose connections can be cut.

use std::{
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use snafu::ResultExt;

use crate::Result;

/// Most connections kept; further ones are closed at once.
const CONNECTIONS_MAX: usize = 256;

#[derive(Debug, Default)]
struct State {
    cut: AtomicBool,
    ended: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl State {
    fn open(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn close(&self) {
        for socket in self.open().drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }
}

/// Passes connections on to one address.
#[derive(Debug)]
pub struct Relay {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Relay {
    pub fn start(to: SocketAddr) -> Result<Self> {
        let listener =
            TcpListener::bind(("127.0.0.1", 0)).whatever_context("could not open the relay")?;
        let address = listener.local_addr().whatever_context("relay has no address")?;
        let state = Arc::new(State::default());
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                if shared.ended.load(Ordering::SeqCst) {
                    return;
                }
                if shared.cut.load(Ordering::SeqCst) || shared.open().len() >= CONNECTIONS_MAX {
                    continue;
                }
                // A target that is away shows as a closed connection.
                let _ = join(&shared, socket, to);
            }
        });
        Ok(Self { address, state })
    }

    /// Closes all connections and every new one.
    pub fn cut(&self) {
        self.state.cut.store(true, Ordering::SeqCst);
        self.state.close();
    }

    /// Passes new connections on again.
    pub fn mend(&self) {
        self.state.cut.store(false, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.state.ended.store(true, Ordering::SeqCst);
        self.state.close();
        // Wakes the listener, which then ends.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_secs(1));
    }
}

fn join(state: &Arc<State>, near: TcpStream, to: SocketAddr) -> io::Result<()> {
    let far = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    state.open().extend([near.try_clone()?, far.try_clone()?]);
    for (from, into) in [(near.try_clone()?, far.try_clone()?), (far, near)] {
        thread::spawn(move || copy(from, into));
    }
    Ok(())
}

fn copy(mut from: TcpStream, mut into: TcpStream) {
    let _ = io::copy(&mut from, &mut into);
    let _ = into.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
