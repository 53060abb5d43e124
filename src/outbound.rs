//! HTTP client for calls to targets and to the platform.
//!
//! Each call opens its own connection. When a pooled connection turns out to be closed, the client cannot tell whether
//! the server has read the request, which a call that must run at most once has to know. A connection per call costs
//! one more round trip, which is acceptable at the planned rates.

use bytes::{Bytes, BytesMut};
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::{Instant, timeout_at},
};

/// Reason why a call got no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection was opened, so nothing was sent.
    Connect,
    /// The connection broke when the request may have been sent, or the response was too large or malformed.
    Broken,
    /// The deadline passed before the response was complete.
    Timeout,
}

/// Open connection on which nothing has been sent.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Driver,
}

/// Task that drives the I/O of a connection. Dropping it closes the connection.
#[derive(Debug)]
pub struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Opens a connection to `ip:port`.
pub async fn connect(address: &str, deadline: Instant) -> Result<Connection, Failure> {
    let opening = async {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let driver = Driver(tokio::spawn(async move {
            let _ = connection.await;
        }));
        Some(Connection { sender, driver })
    };
    timeout_at(deadline, opening).await.ok().flatten().ok_or(Failure::Connect)
}

impl Connection {
    /// Sends a request and waits for the head of the response. The driver must be kept until the body has been read.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<(Response<Incoming>, Driver), Failure> {
        match timeout_at(deadline, self.sender.send_request(request)).await {
            Ok(Ok(response)) => Ok((response, self.driver)),
            Ok(Err(_)) => Err(Failure::Broken),
            Err(_) => Err(Failure::Timeout),
        }
    }
}

/// Request with the headers common to all calls. `None` if a part is not valid in HTTP.
pub fn build_request(
    method: &str,
    address: &str,
    path: &str,
    content_type: &str,
    body: Bytes,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address)
        .header(header::CONNECTION, "close");
    if !content_type.is_empty() {
        request = request.header(header::CONTENT_TYPE, content_type);
    }
    request.body(Full::new(body)).ok()
}

/// Reads a body of at most `limit` bytes.
pub async fn read_body(body: Incoming, limit: usize, deadline: Instant) -> Result<Bytes, Failure> {
    match timeout_at(deadline, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(_)) => Err(Failure::Broken),
        Err(_) => Err(Failure::Timeout),
    }
}

/// Makes a call with a JSON body, or a `GET` if the body is empty, and reads the response.
pub async fn call_json(
    address: &str,
    path: &str,
    body: Bytes,
    limit: usize,
    connect_deadline: Instant,
    deadline: Instant,
) -> Result<(StatusCode, Bytes), Failure> {
    let method = if body.is_empty() { "GET" } else { "POST" };
    let content_type = if body.is_empty() { "" } else { "application/json" };
    let request =
        build_request(method, address, path, content_type, body).ok_or(Failure::Connect)?;
    let connection = connect(address, connect_deadline.min(deadline)).await?;
    let (response, _driver) = connection.send(request, deadline).await?;
    let status = response.status();
    let body = read_body(response.into_body(), limit, deadline).await?;
    Ok((status, body))
}

/// Splits a body into lines of at most `limit` bytes each.
pub struct Lines {
    body: Incoming,
    buffer: BytesMut,
    limit: usize,
}

impl Lines {
    pub fn new(body: Incoming, limit: usize) -> Self {
        Self { body, buffer: BytesMut::new(), limit }
    }

    /// Next line without its line feed, `None` at the end of the body.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            let end = self.buffer.iter().position(|&byte| byte == b'\n');
            if end.unwrap_or(self.buffer.len()) > self.limit {
                return Err(Failure::Broken);
            }
            if let Some(end) = end {
                let mut line = self.buffer.split_to(end + 1);
                line.truncate(end);
                return Ok(Some(line.freeze()));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(_)) => return Err(Failure::Broken),
                None if self.buffer.is_empty() => return Ok(None),
                None => return Ok(Some(self.buffer.split().freeze())),
            }
        }
    }
}

/// Whether a response marks its target as leaving.
pub fn is_leaving(headers: &http::HeaderMap) -> bool {
    headers.get("x-leaving").is_some_and(|value| value.as_bytes() == b"1")
}
