//! HTTP/1.1 for the stand-ins: a server with a thread for each connection, and calls on a new connection.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request as received.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    /// Query without the question mark.
    pub query: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Value of a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// Value of a query parameter, or an empty text.
    pub fn parameter(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.into_iter().find(|(known, _)| *known == name).map(|(_, value)| value);
        percent_decoded(value.unwrap_or_default())
    }
}

fn percent_decoded(text: &str) -> String {
    let (bytes, mut decoded, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// A response.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    /// Names in lower case if received.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, headers: &[(&str, &str)], body: impl Into<Vec<u8>>) -> Self {
        let headers = headers.iter().map(|(name, value)| ((*name).into(), (*value).into()));
        Self { status, headers: headers.collect(), body: body.into() }
    }

    pub fn json(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self::new(status, &[("Content-Type", "application/json")], body)
    }
}

/// What a handler does with a request.
pub enum Reply {
    Answer(Response),
    /// Writes the answer itself. The connection goes on if it says so.
    Stream(Box<dyn FnOnce(&mut TcpStream) -> io::Result<()> + Send>),
    /// The connection is closed without an answer.
    Close,
}

pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// Serves on a free loopback port until the process ends.
pub fn serve(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                // Ends with an error when the peer closes the connection.
                let _ = connection(stream, &handler);
            });
        }
    });
    address
}

fn connection(mut stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        match handler(request) {
            Reply::Answer(response) => write_response(&mut stream, &response)?,
            Reply::Stream(write) => write(&mut stream)?,
            Reply::Close => return Ok(()),
        }
    }
    Ok(())
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = String::from_utf8_lossy(&line);
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().into(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_lowercase(), value.trim().into()));
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let header =
        |name: &str| headers.iter().find(|(known, _)| known == name).map(|(_, value)| value);
    if header("transfer-encoding").is_some_and(|value| value.to_lowercase().contains("chunked")) {
        let mut body = Vec::new();
        loop {
            let mut size = String::new();
            reader.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            let mut part = vec![0; size + 2];
            reader.read_exact(&mut part)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&part[..size]);
        }
    }
    let length = header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().into();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    Ok(Some(Request { method, path: path.into(), query: query.into(), headers, body }))
}

fn write_response(stream: &mut TcpStream, response: &Response) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {} x\r\n", response.status);
    for (name, value) in &response.headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", response.body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&response.body);
    stream.write_all(&bytes)
}

/// Makes a call on a new connection; `None` without a whole answer in time.
pub fn call(
    address: SocketAddr,
    (method, path): (&str, &str),
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers).ok()?;
    Some(Response { status, headers, body })
}
