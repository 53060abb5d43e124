//! TCP relay to one target, whose connections can be cut to simulate a network fault.

use std::{
    collections::BTreeMap,
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

/// Limit on open connections; further ones are closed at once.
const CONNECTIONS_MAX: usize = 128;

#[derive(Debug, Default)]
struct State {
    cut: AtomicBool,
    stopped: AtomicBool,
    /// Sockets to the client and to the target of each open connection, for `cut`.
    connections: Mutex<BTreeMap<u64, [TcpStream; 2]>>,
}

impl State {
    fn connections(&self) -> MutexGuard<'_, BTreeMap<u64, [TcpStream; 2]>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn close_all(&self) {
        for socket in std::mem::take(&mut *self.connections()).into_values().flatten() {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }
}

/// Forwards connections to one address.
#[derive(Debug)]
pub struct Relay {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Relay {
    pub fn start(to: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))
            .whatever_context("could not open the relay's port")?;
        let address =
            listener.local_addr().whatever_context("could not get the relay's address")?;
        let state = Arc::new(State::default());
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for (id, socket) in (0..).zip(listener.incoming().flatten()) {
                if shared.stopped.load(Ordering::SeqCst) {
                    return;
                }
                let full = shared.connections().len() >= CONNECTIONS_MAX;
                if full || shared.cut.load(Ordering::SeqCst) {
                    continue;
                }
                // If the target cannot be reached, the client sees its connection closed.
                let _ = connect(&shared, id, socket, to);
            }
        });
        Ok(Self { address, state })
    }

    /// Closes all connections, and new ones as soon as they are accepted.
    pub fn cut(&self) {
        self.state.cut.store(true, Ordering::SeqCst);
        self.state.close_all();
    }

    /// Forwards new connections again.
    pub fn restore(&self) {
        self.state.cut.store(false, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.state.stopped.store(true, Ordering::SeqCst);
        self.state.close_all();
        // Wakes up the accepting thread, which then ends.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_secs(1));
    }
}

fn connect(state: &Arc<State>, id: u64, client: TcpStream, to: SocketAddr) -> io::Result<()> {
    let target = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    let _ = client.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let sockets = [client.try_clone()?, target.try_clone()?];
    let directions = [(client.try_clone()?, target.try_clone()?), (target, client)];
    state.connections().insert(id, sockets);
    for (from, into) in directions {
        let state = Arc::clone(state);
        thread::spawn(move || {
            copy(from, into);
            // `copy` closes both directions, so the connection is finished.
            state.connections().remove(&id);
        });
    }
    Ok(())
}

fn copy(mut from: TcpStream, mut into: TcpStream) {
    let _ = io::copy(&mut from, &mut into);
    let _ = into.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
