//! Small servers on loopback and other helpers for tests of HTTP, links and external systems.

#![allow(dead_code, reason = "each test binary uses some of the helpers")]

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use lagoonyard::{
    core::request::{Attempt, Call, Work},
    external,
    ids::Version,
    link::Identity,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
};

/// Longest wait for an expected event.
pub const WAIT_MAX: Duration = Duration::from_secs(5);

/// An address on which nothing listens.
pub async fn closed_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Server that answers each connection with the next text and then closes it. Returns its address and the requests.
pub async fn server(answers: Vec<String>) -> (SocketAddr, mpsc::UnboundedReceiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (requests, received) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        for answer in answers {
            let (mut stream, _) = listener.accept().await.unwrap();
            let request = request(&mut stream).await;
            stream.write_all(answer.as_bytes()).await.unwrap();
            let _ = requests.send(request);
            // Closing with unread input would reset the connection and discard the answer.
            let _ = stream.shutdown().await;
            let _ = stream.read_to_end(&mut Vec::new()).await;
        }
    });
    (address, received)
}

/// Reads one request with a body of known length.
pub async fn request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length")
                    .then(|| value.trim().parse().ok())
                    .flatten()
            });
            if body.len() >= length.unwrap_or(0usize) {
                return text;
            }
        }
        if stream.read_buf(&mut bytes).await.unwrap() == 0 {
            return text;
        }
    }
}

/// HTTP answer whose body ends with the connection.
pub fn http(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nconnection: close\r\n{headers}\r\n{body}")
}

/// Sends raw bytes and reads until the other side closes.
pub async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    let _ = tokio::time::timeout(WAIT_MAX, stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// `POST` request with a body of known length.
pub fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Attempt on a target at this address.
pub fn attempt(address: &str, work: Work) -> Attempt {
    Attempt {
        id: 7,
        request: 1,
        target: "t".into(),
        address: address.into(),
        work,
        so_far: None,
        ticket: None,
        priority: 3,
        timeout: Duration::from_millis(500),
    }
}

/// Call to a plain service.
pub fn call(method: &str, path: &str, body: &'static [u8]) -> Work {
    Work::Call(Call {
        service: "s".into(),
        method: method.into(),
        path: path.into(),
        content_type: "text/plain".into(),
        body: Bytes::from_static(body),
        content: 0,
    })
}

/// Identity that a host sends to its peers.
pub fn identity(host: &str, deployment: &str, token: &str) -> Identity {
    Identity {
        deployment: deployment.into(),
        token: token.into(),
        host: host.into(),
        incarnation: 1,
        zone: "z".into(),
    }
}

/// Sink that records all its calls.
#[derive(Default)]
pub struct RecordingSink {
    pub sent: u32,
    pub leaving: u32,
    pub chunks: Vec<(String, u32, Option<Version>)>,
}

#[async_trait]
impl external::Sink for RecordingSink {
    fn before_send(&mut self) {
        self.sent += 1;
    }

    fn target_leaving(&mut self) {
        self.leaving += 1;
    }

    async fn push_chunk(&mut self, text: &str, tokens: u32, version: Option<Version>) {
        self.chunks.push((text.into(), tokens, version));
    }
}
