//! Blocking HTTP/1.1 client with a deadline per request. It reports whether a response body was complete.

use std::{
    io::{self, ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use serde_json::Value;
use snafu::ResultExt;

use crate::Result;

const RESPONSE_MAX_BYTES: usize = 16 << 20;

/// Response, or the part of it that was received before the connection closed.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// 0 if no complete head was received.
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the body ended as announced by its length or its last chunk.
    pub complete: bool,
}

impl Response {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Code of an error, such as `LY-210`, or an empty text.
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

    /// Sends the request and reads the response until the server closes the connection or the timeout expires.
    pub fn send(&self) -> Result<Response> {
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
        send_raw(self.address, &bytes, self.timeout)
    }
}

/// Sends bytes unchanged and reads the response until the server closes the connection.
pub fn send_raw(address: SocketAddr, bytes: &[u8], timeout: Duration) -> Result<Response> {
    let deadline = Instant::now() + timeout;
    let mut socket = TcpStream::connect_timeout(&address, timeout)
        .with_whatever_context(|error| format!("could not connect to {address}: {error}"))?;
    let _ = socket.set_nodelay(true);
    let _ = socket.set_write_timeout(Some(timeout));
    // A server may respond and close the connection before it has read the whole request.
    let _ = socket.write_all(bytes);
    let mut received = Vec::new();
    let result = read_until_close(&mut socket, &mut received, deadline);
    if let Err(error) = result
        && error.kind() == ErrorKind::TimedOut
    {
        snafu::whatever!("{address} did not complete its response within {timeout:?}");
    }
    Ok(parse_response(&received))
}

/// Reads until the peer closes the connection. Fails with `TimedOut` at the deadline.
pub fn read_until_close(
    socket: &mut TcpStream,
    received: &mut Vec<u8>,
    deadline: Instant,
) -> io::Result<()> {
    let mut buffer = [0; 16 * 1024];
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        socket.set_read_timeout(Some(left))?;
        match socket.read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(length) => received.extend_from_slice(&buffer[..length]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                return Err(ErrorKind::TimedOut.into());
            }
            Err(error) => return Err(error),
        }
        if received.len() > RESPONSE_MAX_BYTES {
            return Err(io::Error::other(format!("response exceeds {RESPONSE_MAX_BYTES} bytes")));
        }
    }
}

pub fn parse_response(bytes: &[u8]) -> Response {
    let Some(end) = bytes.windows(4).position(|it| it == b"\r\n\r\n") else {
        return Response::default();
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let rest = &bytes[end + 4..];
    let status = head.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    let field = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(':'));
        lines.find_map(|(key, value)| (key == name).then(|| value.trim().to_owned()))
    };
    if field("transfer-encoding").is_some_and(|it| it.contains("chunked")) {
        let (body, complete) = decode_chunks(rest);
        return Response { status, body, complete };
    }
    let length: Option<usize> = field("content-length").and_then(|it| it.parse().ok());
    Response { status, complete: length.is_some_and(|it| it == rest.len()), body: rest.to_vec() }
}

/// Joins the chunks of a body and returns whether the last one was received.
fn decode_chunks(mut bytes: &[u8]) -> (Vec<u8>, bool) {
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
