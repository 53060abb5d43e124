//! The relay between hosts and targets forwards until it is cut.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use lagoonyard_faultrun::relay::Relay;

/// More connections than the relay keeps at the same time.
const CONNECTIONS: usize = 300;
const TIMEOUT: Duration = Duration::from_secs(10);

/// Target that returns the first byte of each connection and keeps the connection until its client closes it.
fn target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut byte = [0];
                while stream.read_exact(&mut byte).is_ok() && stream.write_all(&byte).is_ok() {}
            });
        }
    });
    address
}

/// Opens a connection and sends a byte; returns the connection if the byte came back.
fn exchange(relay: &Relay) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(relay.address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(b"x").ok()?;
    let mut byte = [0];
    stream.read_exact(&mut byte).ok().map(|()| stream)
}

/// Guards against a relay that refuses connections because it counts finished ones.
#[test]
fn finished_connections_do_not_count() {
    let relay = Relay::start(target()).unwrap();
    for number in 0..CONNECTIONS {
        assert!(exchange(&relay).is_some(), "connection {number}");
    }
}

/// Guards against open connections that outlive a cut, and against a relay that stays cut.
#[test]
fn a_cut_closes_open_connections_until_it_is_restored() {
    let relay = Relay::start(target()).unwrap();
    let mut open: Vec<TcpStream> = (0..3).map(|_| exchange(&relay).unwrap()).collect();
    relay.cut();
    for stream in &mut open {
        assert!(!matches!(stream.read(&mut [0]), Ok(1..)));
    }
    assert!(exchange(&relay).is_none());
    relay.restore();
    assert!(exchange(&relay).is_some());
}
