//! Links on loopback that can be cut without a word: open channels carry nothing, and new ones are not answered.

use std::{
    collections::HashMap,
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const POLL: Duration = Duration::from_millis(2);
/// Time in a cut after which both ends of an open channel find it dead, as keep-alive probes do.
const DEAD_AFTER: Duration = Duration::from_secs(3);
const FILLERS: usize = 3;
const FILLER_TIMEOUT: Duration = Duration::from_millis(20);
const BACKLOG: i32 = 128;

unsafe extern "C" {
    /// Of the C library, with which every program is linked. Sets the length of the queue of a listener anew.
    fn listen(socket: i32, backlog: i32) -> i32;
}

fn set_backlog(listener: &TcpListener, backlog: i32) {
    // The descriptor is open as long as the listener lives.
    unsafe {
        listen(listener.as_raw_fd(), backlog);
    }
}

/// Whether a set of links is cut.
#[derive(Clone, Default)]
pub struct Switch(Arc<AtomicBool>);

impl Switch {
    pub fn set(&self, cut: bool) {
        self.0.store(cut, Ordering::SeqCst);
    }

    fn is_cut(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// Starts a link to an address that is cut while any of its switches is. Returns the address at which it listens.
pub fn start(target: SocketAddr, switches: Vec<Switch>) -> SocketAddr {
    let (listener, address) = crate::http::listen();
    listener.set_nonblocking(true).expect("a listener");
    thread::spawn(move || serve(&listener, address, target, &switches));
    address
}

/// Starts a link to a server that is away while a switch is cut, as after a crash: its channels are closed and new ones are
/// refused. Returns the address at which it listens.
pub fn start_crashing(target: SocketAddr, away: Switch) -> SocketAddr {
    let (listener, address) = crate::http::listen();
    thread::spawn(move || {
        let mut open = Some(listener);
        loop {
            if away.is_cut() {
                open = None;
                thread::sleep(POLL);
                continue;
            }
            let Some(listener) = open.take().or_else(|| TcpListener::bind(address).ok()) else {
                thread::sleep(POLL);
                continue;
            };
            let _ = listener.set_nonblocking(true);
            match listener.accept() {
                Ok((client, _)) if !away.is_cut() => {
                    if let Ok(server) = TcpStream::connect(target) {
                        let _ = client.set_nonblocking(false);
                        carry_until_crash(&client, &server, &away);
                        carry_until_crash(&server, &client, &away);
                    }
                }
                Ok(_) => {}
                Err(_) => thread::sleep(POLL),
            }
            open = Some(listener);
        }
    });
    address
}

/// Carries bytes in one direction until either side closes or the server crashes.
fn carry_until_crash(from: &TcpStream, to: &TcpStream, away: &Switch) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let away = away.clone();
    let _ = from.set_read_timeout(Some(POLL));
    let _ = to.set_nodelay(true);
    thread::spawn(move || {
        let mut buffer = [0; 16 << 10];
        while !away.is_cut() {
            match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(count) => {
                    if away.is_cut() || to.write_all(&buffer[..count]).is_err() {
                        break;
                    }
                }
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => break,
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    });
}

fn is_cut(switches: &[Switch]) -> bool {
    switches.iter().any(Switch::is_cut)
}

fn serve(listener: &TcpListener, address: SocketAddr, target: SocketAddr, switches: &[Switch]) {
    loop {
        if is_cut(switches) {
            // With a full queue the kernel drops the first packet of a new channel, as a cut does.
            set_backlog(listener, 0);
            let fill = |_| TcpStream::connect_timeout(&address, FILLER_TIMEOUT).ok();
            let fillers: Vec<TcpStream> = (0..FILLERS).filter_map(fill).collect();
            while is_cut(switches) {
                thread::sleep(POLL);
            }
            for _ in &fillers {
                let _ = listener.accept();
            }
            set_backlog(listener, BACKLOG);
        }
        match listener.accept() {
            Ok((client, _)) => {
                if let Ok(server) = TcpStream::connect(target) {
                    let _ = client.set_nonblocking(false);
                    carry(&client, &server, switches);
                    carry(&server, &client, switches);
                }
            }
            Err(_) => thread::sleep(POLL),
        }
    }
}

/// Carries bytes in one direction until either side closes.
fn carry(from: &TcpStream, to: &TcpStream, switches: &[Switch]) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let switches = switches.to_vec();
    let _ = from.set_read_timeout(Some(Duration::from_millis(10)));
    let _ = to.set_nodelay(true);
    thread::spawn(move || {
        let mut buffer = [0; 16 << 10];
        let mut cut_at: Option<Instant> = None;
        loop {
            if is_cut(&switches) {
                if cut_at.get_or_insert_with(Instant::now).elapsed() >= DEAD_AFTER {
                    break;
                }
                thread::sleep(POLL);
                continue;
            }
            cut_at = None;
            match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(count) => {
                    while is_cut(&switches) {
                        thread::sleep(POLL);
                    }
                    if to.write_all(&buffer[..count]).is_err() {
                        break;
                    }
                }
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => break,
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    });
}

/// Addresses that a host sees in place of others.
#[derive(Clone, Default)]
pub struct Translation(Arc<Mutex<HashMap<String, String>>>);

impl Translation {
    pub fn add(&self, real: SocketAddr, seen: SocketAddr) {
        self.0.lock().unwrap().insert(real.to_string(), seen.to_string());
    }

    pub fn of(&self, real: &str) -> Option<String> {
        self.0.lock().unwrap().get(real).cloned()
    }
}
