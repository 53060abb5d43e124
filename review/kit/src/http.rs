//! HTTP/1.1 over blocking sockets: enough for stand-ins of servers, clients and the platform's store.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

/// A request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// A complete response.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value)
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }

    pub fn parameter(&self, name: &str) -> String {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value);
        decode_percent(value)
    }
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, headers: Vec::new(), body: body.into() }
    }

    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.into(), value.to_string()));
        self
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {} Status\r\n", self.status);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()).filter(|_| bytes[at] == b'%') {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn chunked(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let size = usize::from_str_radix(&line(reader)?, 16).map_err(io::Error::other)?;
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..])?;
        line(reader)?;
        if size == 0 {
            return Ok(body);
        }
    }
}

fn body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    if header(headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        return chunked(reader);
    }
    let mut body = vec![0; header(headers, "content-length").parse().unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads a request; an error if the peer has closed the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Request> {
    let first = line(reader)?;
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let headers = headers(reader)?;
    let body = body(reader, &headers)?;
    Ok(Request { method, path, query, headers, body })
}

/// Reads a response with a length or in chunks.
pub fn read_response(reader: &mut impl BufRead) -> io::Result<Response> {
    loop {
        let status = line(reader)?.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
        let headers = headers(reader)?;
        if (100..200).contains(&status) {
            continue;
        }
        let body = body(reader, &headers)?;
        return Ok(Response { status, headers, body });
    }
}

/// Serves each connection of a listener on a thread of its own.
pub fn serve(
    listener: TcpListener,
    connection: impl Fn(TcpStream) -> io::Result<()> + Clone + Send + 'static,
) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let connection = connection.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                // Ends with an error once either side closes.
                let _ = connection(stream);
            });
        }
    });
}

/// Listens on a free loopback port.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Sends a request on a new connection; an error if no complete response arrives in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut head = format!("{method} {target} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    read_response(&mut BufReader::new(stream))
}
