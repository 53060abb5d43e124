//! HTTP/1.1 as the stand-ins need it.

use std::{
    io::{self, BufRead, BufReader, ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request that was read, or a head of a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The body ended as its framing says.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// Path with query.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Value of a query parameter, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| decoded(value))
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn decoded(text: &str) -> String {
    let (mut bytes, raw) = (Vec::new(), text.as_bytes());
    let mut at = 0;
    while at < raw.len() {
        let hex = (raw[at] == b'%').then(|| raw.get(at + 1..at + 3)).flatten();
        let hex = hex.and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                at += 3;
            }
            None => {
                bytes.push(raw[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

/// Reads a head.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message { line: line(reader)?, ..Message::default() };
    loop {
        let text = line(reader)?;
        if text.is_empty() {
            return Ok(message);
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk; an empty one is the last.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let size = line(reader)?;
    let size = size.split(';').next().unwrap_or_default().trim();
    let size = usize::from_str_radix(size, 16).map_err(|_| ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    line(reader)?;
    Ok(chunk)
}

/// Reads a request with its body.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            message.body.extend(chunk);
        }
    } else if let Some(length) = message.header("content-length").and_then(|it| it.parse().ok()) {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    message.complete = true;
    Ok(message)
}

/// Encodes a response with a body of a known length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    [head.as_bytes(), body].concat()
}

/// Encodes a request with a body of a known length.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    [head.as_bytes(), body].concat()
}

/// Makes a request on a new connection and reads the response, also one that breaks off. `None` without a head in time.
pub fn call(
    address: SocketAddr,
    (method, target): (&str, &str),
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<Message> {
    let deadline = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(&request(method, target, headers, body)).ok()?;
    let mut reader = BufReader::new(Limited { stream, deadline });
    let mut message = loop {
        let head = read_head(&mut reader).ok()?;
        if head.status() >= 200 {
            break head;
        }
    };
    message.complete = read_body(&mut reader, &mut message).is_ok();
    Some(message)
}

fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(());
            }
            message.body.extend(chunk);
        }
    }
    match message.header("content-length").and_then(|it| it.parse().ok()) {
        Some(length) => {
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            message.body = body;
            Ok(())
        }
        None => reader.read_to_end(&mut message.body).map(|_| ()),
    }
}

/// Stream that is read until a deadline.
pub struct Limited {
    pub stream: TcpStream,
    pub deadline: Instant,
}

impl Read for Limited {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buffer)
    }
}
