//! Blocking HTTP client with a deadline, which also tells a whole body from one that broke off.

use std::{
    io::{self, ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use serde_json::Value;
use snafu::ResultExt;

use crate::Result;

/// Longest answer that is read.
const ANSWER_MAX_BYTES: usize = 16 << 20;

/// Answer, or the part of it that came before the connection ended.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no head came.
    pub status: u16,
    pub body: Vec<u8>,
    /// The body ended as its head announced.
    pub whole: bool,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Numbered code of an error, or an empty text.
    pub fn code(&self) -> Box<str> {
        self.json()["error"]["code"].as_str().unwrap_or_default().into()
    }

    pub fn kind(&self) -> Box<str> {
        self.json()["error"]["kind"].as_str().unwrap_or_default().into()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    pub address: SocketAddr,
    pub method: &'static str,
    pub path: Box<str>,
    pub headers: Vec<(&'static str, Box<str>)>,
    pub body: Vec<u8>,
    pub timeout: Duration,
}

impl Request {
    pub fn get(address: SocketAddr, path: &str) -> Self {
        Self {
            address,
            method: "GET",
            path: path.into(),
            headers: Vec::new(),
            body: Vec::new(),
            timeout: Duration::from_secs(30),
        }
    }

    pub fn post(address: SocketAddr, path: &str, body: &Value) -> Self {
        Self { method: "POST", body: body.to_string().into_bytes(), ..Self::get(address, path) }
    }

    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends the request and reads what comes until the connection ends or the time is over.
    pub fn send(&self) -> Result<Answer> {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n",
            self.method, self.path
        );
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!(
            "content-type: application/json\r\ncontent-length: {}\r\n\r\n",
            self.body.len()
        ));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        raw(self.address, &bytes, self.timeout)
    }
}

/// Sends bytes as they are and reads an answer.
pub fn raw(address: SocketAddr, bytes: &[u8], timeout: Duration) -> Result<Answer> {
    let until = Instant::now() + timeout;
    let mut socket = TcpStream::connect_timeout(&address, timeout)
        .with_whatever_context(|error| format!("could not connect to {address}: {error}"))?;
    let _ = socket.set_nodelay(true);
    let _ = socket.set_write_timeout(Some(timeout));
    // A server may answer and close before it has read everything.
    let _ = socket.write_all(bytes);
    let mut read = Vec::new();
    let ended = drain(&mut socket, &mut read, until);
    if let Err(error) = ended
        && error.kind() == ErrorKind::TimedOut
    {
        snafu::whatever!("no end of the answer of {address} within {timeout:?}");
    }
    Ok(parse(&read))
}

/// Reads until the answer is whole, the peer closes or the time is over.
pub fn drain(socket: &mut TcpStream, into: &mut Vec<u8>, until: Instant) -> io::Result<()> {
    let mut piece = [0; 16 * 1024];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        socket.set_read_timeout(Some(left))?;
        match socket.read(&mut piece) {
            Ok(0) => return Ok(()),
            Ok(length) => into.extend_from_slice(&piece[..length]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                return Err(ErrorKind::TimedOut.into());
            }
            Err(error) => return Err(error),
        }
        if into.len() > ANSWER_MAX_BYTES {
            return Err(io::Error::other("answer too long"));
        }
    }
}

/// Takes an answer apart.
pub fn parse(bytes: &[u8]) -> Answer {
    let Some(end) = bytes.windows(4).position(|it| it == b"\r\n\r\n") else {
        return Answer::default();
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let rest = &bytes[end + 4..];
    let status = head.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    let field = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(':'));
        lines.find_map(|(key, value)| (key == name).then(|| value.trim().to_owned()))
    };
    if field("transfer-encoding").is_some_and(|it| it.contains("chunked")) {
        let (body, whole) = unchunk(rest);
        return Answer { status, body, whole };
    }
    let length: Option<usize> = field("content-length").and_then(|it| it.parse().ok());
    Answer { status, whole: length.is_some_and(|it| it == rest.len()), body: rest.to_vec() }
}

/// Joins the chunks; the flag says whether the last one came.
fn unchunk(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(line) = bytes.windows(2).position(|it| it == b"\r\n") else {
            return (body, false);
        };
        let size = std::str::from_utf8(&bytes[..line]).ok();
        let Some(size) = size.and_then(|it| usize::from_str_radix(it.trim(), 16).ok()) else {
            return (body, false);
        };
        bytes = &bytes[line + 2..];
        if size == 0 {
            return (body, true);
        }
        if bytes.len() < size + 2 {
            body.extend_from_slice(&bytes[..size.min(bytes.len())]);
            return (body, false);
        }
        body.extend_from_slice(&bytes[..size]);
        bytes = &bytes[size + 2..];
    }
}
