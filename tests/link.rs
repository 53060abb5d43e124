//! Guards against peers of another deployment, and against connections that use memory or time without bound.

mod util;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use assert_matches::assert_matches;
use lagoonyard::{
    core::{Event, peer},
    link::{Link, Settings},
    wire::{Body, ConfigRequest, Hello, Message},
};
use prost::Message as _;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Handle,
    sync::mpsc,
    time::{Instant, timeout},
};
use util::{WAIT_MAX, exchange};

struct Host {
    link: Arc<Link>,
    address: SocketAddr,
    events: mpsc::Receiver<Event>,
}

async fn host(name: &str, deployment: &str, token: &str) -> Host {
    let settings = Settings {
        hello_timeout: Duration::from_millis(1500),
        write_timeout: Duration::from_millis(300),
        idle_timeout: Duration::from_secs(2),
        queue_messages: 8,
        outgoing_max: 2,
        incoming_max: 4,
        ..Settings::default()
    };
    let (sender, events) = mpsc::channel(64);
    let (identity, metrics) = (util::identity(name, deployment, token), Arc::default());
    let link = Arc::new(Link::new(identity, settings, sender, metrics, Handle::current()));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(Arc::clone(&link).listen(listener));
    Host { link, address, events }
}

fn message(revision: u64) -> Message {
    Message { body: Some(Body::ConfigRequest(ConfigRequest { revision })) }
}

fn frame(message: &Message) -> Vec<u8> {
    let bytes = message.encode_to_vec();
    [&u32::try_from(bytes.len()).unwrap().to_be_bytes()[..], &bytes].concat()
}

fn hello(deployment: &str, token: &str) -> Vec<u8> {
    let hello = Hello {
        deployment: deployment.into(),
        token: token.into(),
        host: "raw".into(),
        incarnation: 1,
        zone: "z".into(),
    };
    frame(&Message { body: Some(Body::Hello(hello)) })
}

impl Host {
    async fn event(&mut self) -> peer::Event {
        match timeout(WAIT_MAX, self.events.recv()).await.unwrap().unwrap() {
            Event::Peer(event) => event,
            event => panic!("{event:?}"),
        }
    }

    /// Asserts that the host still receives messages, and that it received none before.
    async fn assert_serves(&mut self) {
        let other = host("fresh", "d", "token").await;
        other.link.send(&"b".into(), &self.address.to_string(), message(99));
        assert_matches!(self.event().await, peer::Event::Message { from, message } => {
            assert_eq!(&*from, "fresh");
            assert_eq!(*message, self::message(99));
        });
    }
}

#[tokio::test]
async fn messages_arrive_in_order_with_the_name_of_their_sender() {
    let (a, mut b) = (host("a", "d", "token").await, host("b", "d", "token").await);
    for revision in 1..=5 {
        a.link.send(&"b".into(), &b.address.to_string(), message(revision));
    }
    for revision in 1..=5 {
        assert_matches!(b.event().await, peer::Event::Message { from, message } => {
            assert_eq!(&*from, "a");
            assert_eq!(*message, self::message(revision));
        });
    }
}

#[tokio::test]
async fn another_deployment_or_token_is_refused() {
    let mut b = host("b", "d", "token").await;
    for (deployment, token) in [("other", "token"), ("d", "guess"), ("d", "")] {
        let mut a = host("a", deployment, token).await;
        a.link.send(&"b".into(), &b.address.to_string(), message(1));
        assert_matches!(a.event().await, peer::Event::LinkLost { to } => assert_eq!(&*to, "b"));
        let answer = exchange(b.address, &hello(deployment, token)).await;
        assert!(answer.contains("another deployment"), "{answer:?}");
        assert!(!answer.contains("token"), "{answer:?}");
    }
    b.assert_serves().await;
}

#[tokio::test]
async fn a_peer_that_answers_with_another_name_is_reported_as_lost() {
    let (mut a, mut b) = (host("a", "d", "token").await, host("b", "d", "token").await);
    a.link.send(&"c".into(), &b.address.to_string(), message(1));
    assert_matches!(a.event().await, peer::Event::LinkLost { to } => assert_eq!(&*to, "c"));
    b.assert_serves().await;
}

#[tokio::test]
async fn oversized_truncated_and_malformed_frames_close_the_link() {
    let mut b = host("b", "d", "token").await;
    let good = hello("d", "token");
    let huge = (1u32 << 30).to_be_bytes();
    let inputs = [
        huge.to_vec(),
        // Before authentication even a frame of 8 KiB is too large; it is refused without waiting for its content.
        8192u32.to_be_bytes().to_vec(),
        [&good[..], &huge].concat(),
        [&good[..], &(2u32 << 20).to_be_bytes()].concat(),
        [&good[..], &4u32.to_be_bytes(), &[0xff; 4]].concat(),
        frame(&message(1)),
    ];
    for input in inputs {
        let started = Instant::now();
        exchange(b.address, &input).await;
        assert!(started.elapsed() < Duration::from_secs(1));
    }
    let mut truncated = TcpStream::connect(b.address).await.unwrap();
    let part = [&good[..], &frame(&message(1))[..5]].concat();
    truncated.write_all(&part).await.unwrap();
    drop(truncated);
    b.assert_serves().await;
}

#[tokio::test]
async fn a_silent_or_slow_connection_is_closed_and_no_longer_counted() {
    let mut b = host("b", "d", "token").await;
    let mut silent = Vec::new();
    // Four connections reach the limit; a fifth is closed at once.
    for _ in 0..4 {
        silent.push(TcpStream::connect(b.address).await.unwrap());
    }
    silent[0].write_all(&hello("d", "token")[..3]).await.unwrap();
    assert_eq!(exchange(b.address, &[]).await, "");
    for mut stream in silent {
        assert_eq!(timeout(WAIT_MAX, stream.read(&mut [0])).await.unwrap().unwrap_or(0), 0);
    }
    b.assert_serves().await;
}

#[tokio::test]
async fn a_peer_that_does_not_read_is_reported_as_lost_and_its_queue_stays_bounded() {
    let mut a = host("a", "d", "token").await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let hello = Hello {
            host: "b".into(),
            deployment: "d".into(),
            token: "token".into(),
            ..Hello::default()
        };
        let body = Some(Body::Hello(hello));
        stream.write_all(&frame(&Message { body })).await.unwrap();
        std::future::pending::<()>().await;
    });
    let large = Message {
        body: Some(Body::Hello(Hello { token: "x".repeat(900_000), ..Hello::default() })),
    };
    // 64 messages exceed the queue of 8 messages and the socket buffers.
    for _ in 0..64 {
        a.link.send(&"b".into(), &address, large.clone());
    }
    assert_matches!(a.event().await, peer::Event::LinkLost { to } => assert_eq!(&*to, "b"));
}

#[tokio::test]
async fn connections_above_the_limit_replace_the_least_recently_used() {
    let a = host("a", "d", "token").await;
    let mut others = Vec::new();
    for name in ["b", "c", "e"] {
        let mut other = host(name, "d", "token").await;
        a.link.send(&name.into(), &other.address.to_string(), message(1));
        assert_matches!(other.event().await, peer::Event::Message { .. });
        others.push(other);
    }
    assert_eq!(a.link.outgoing(), 2);
}
