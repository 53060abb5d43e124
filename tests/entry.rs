//! Guards against unbounded input, incomplete streams that end like complete ones, and callers whose disconnection goes
//! unnoticed.

mod util;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use assert_matches::assert_matches;
use lagoonyard::{
    code::Code,
    control::{Chunk, Control, Reply},
    core::{Event, request},
    entry, file,
    ids::Ticket,
    metrics::Metrics,
    serve,
    settings::Limits,
};
use request::{Answer, Output, Segment, Text};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::Handle,
    sync::{mpsc, watch},
    time::timeout,
};
use util::{WAIT_MAX, exchange, post};

struct Port {
    address: SocketAddr,
    control: Arc<Control>,
    events: mpsc::Receiver<Event>,
    _stop: watch::Sender<bool>,
}

/// Entry port whose events are handled by the test instead of the control thread.
async fn port() -> Port {
    let limits = Limits {
        max_body_bytes: 2048,
        max_bodies_bytes: 4096,
        max_connections: 4,
        max_events: 2,
        header_timeout: Duration::from_millis(300),
        body_timeout: Duration::from_millis(300),
        ..Limits::default()
    };
    let (control, events) =
        Control::new(limits.clone(), Arc::new(Metrics::new()), Handle::current());
    control.snapshot.store(Some(Arc::new(file::Snapshot::default())));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    let router = entry::router(&control);
    tokio::spawn(serve::run(listener, router, limits, Arc::default(), stopped));
    Port { address, control, events, _stop: stop }
}

fn completion(stream: bool) -> String {
    let body =
        format!(r#"{{"model":"m","prompt":"Once","max_tokens":4,"stream":{stream},"seed":7}}"#);
    post("/v1/completions", &body)
}

fn text(text: &str, finish_reason: Option<&str>) -> Reply {
    let segments = vec![Segment { version: Some(7), tokens: 2 }];
    Reply::Answer(Answer::Done(Output::Text(Text {
        text: text.into(),
        segments,
        finish_reason: finish_reason.map(Into::into),
    })))
}

impl Port {
    async fn next_submit(&mut self) -> (Ticket, request::Incoming) {
        match timeout(WAIT_MAX, self.events.recv()).await.unwrap().unwrap() {
            Event::Request(request::Event::Submit { ticket, incoming }) => (ticket, incoming),
            event => panic!("{event:?}"),
        }
    }

    async fn chunk(&self, ticket: Ticket, offset: usize, text: &str) {
        let chunk = Chunk { offset, text: text.into(), version: Some(7) };
        self.control.chunk_sender(ticket).unwrap().send(chunk).await.unwrap();
    }

    /// Sends a request in the background.
    fn call(&self, request: String) -> tokio::task::JoinHandle<String> {
        let address = self.address;
        tokio::spawn(async move { exchange(address, request.as_bytes()).await })
    }
}

#[track_caller]
fn assert_code(answer: &str, code: Code) {
    assert!(answer.starts_with(&format!("HTTP/1.1 {}", code.status())), "{answer}");
    assert!(answer.contains(&format!("\"code\":\"{code}\"")), "{answer}");
}

#[tokio::test]
async fn malformed_bodies_are_refused() {
    let port = port().await;
    let bodies = [
        "",
        "{",
        "[]",
        r#"{"prompt":"x"}"#,
        r#"{"model":"m","prompt":["x"]}"#,
        r#"{"model":"m","prompt":"x","max_tokens":0}"#,
        r#"{"model":"m","prompt":"x","stream":1}"#,
        r#"{"model":"m","prompt":"x","n":2}"#,
        r#"{"model":"m","prompt":"x"} {}"#,
    ];
    for body in bodies {
        let answer = exchange(port.address, post("/v1/completions", body).as_bytes()).await;
        assert_code(&answer, Code::RequestMalformed);
    }
    for (path, body) in [
        ("/v1/keys", r#"{"count":0}"#),
        ("/v1/keys", r#"{"number":1}"#),
        ("/v1/trainers/t/pull", r#"{"cursor":""}"#),
        ("/v1/trainers/t/versions", r#"{"version":-1,"weights":"w"}"#),
    ] {
        let answer = exchange(port.address, post(path, body).as_bytes()).await;
        assert_code(&answer, Code::RequestMalformed);
    }
    let request = completion(false).replace("host: h\r\n", "host: h\r\nx-deadline-ms: soon\r\n");
    assert_code(&exchange(port.address, request.as_bytes()).await, Code::RequestMalformed);
}

#[tokio::test]
async fn oversized_bodies_are_refused_with_and_without_a_length() {
    let port = port().await;
    let request = post("/v1/services/s/p", &"x".repeat(4096));
    assert_code(&exchange(port.address, request.as_bytes()).await, Code::TooLarge);
    let chunk = format!("800\r\n{}\r\n", "x".repeat(0x800)).repeat(2);
    let head = "POST /v1/services/s/p HTTP/1.1\r\nhost: h\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n";
    let answer = exchange(port.address, format!("{head}{chunk}0\r\n\r\n").as_bytes()).await;
    assert_code(&answer, Code::TooLarge);
}

#[tokio::test]
async fn bodies_above_the_total_limit_are_refused_as_not_run() {
    let port = port().await;
    let mut held = Vec::new();
    // The announced length is reserved before the body arrives.
    for _ in 0..2 {
        let mut stream = TcpStream::connect(port.address).await.unwrap();
        let head = post("/v1/keys", &"x".repeat(2000));
        stream.write_all(&head.as_bytes()[..200]).await.unwrap();
        held.push(stream);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let request = post("/v1/keys", "{\"count\":0}");
    assert_code(&exchange(port.address, request.as_bytes()).await, Code::QueueFull);
    drop(held);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_code(&exchange(port.address, request.as_bytes()).await, Code::RequestMalformed);
}

#[tokio::test]
async fn slow_heads_and_bodies_time_out() {
    let port = port().await;
    let request = completion(false);
    let started = tokio::time::Instant::now();
    let answer = exchange(port.address, &request.as_bytes()[..request.len() - 5]).await;
    assert_code(&answer, Code::RequestMalformed);
    // A request whose head never ends gets no answer; its connection is closed.
    let answer = exchange(port.address, &request.as_bytes()[..20]).await;
    assert!(!answer.contains(" 200 "), "{answer}");
    assert!(started.elapsed() < Duration::from_secs(3));
}

#[tokio::test]
async fn connections_above_the_limit_are_refused() {
    let port = port().await;
    let mut held = Vec::new();
    for _ in 0..4 {
        held.push(TcpStream::connect(port.address).await.unwrap());
    }
    assert!(exchange(port.address, b"").await.contains("\"LY-201\""));
    drop(held);
}

#[tokio::test]
async fn calls_are_refused_as_not_run_while_the_event_channel_is_full() {
    let mut port = port().await;
    let first = [port.call(completion(false)), port.call(completion(false))];
    while port.events.len() < 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let answer = exchange(port.address, completion(false).as_bytes()).await;
    assert_code(&answer, Code::QueueFull);
    for call in first {
        let (ticket, _) = port.next_submit().await;
        port.control.reply(ticket, text("x", Some("stop")));
        assert!(call.await.unwrap().contains(" 200 "));
    }
    assert_eq!(port.control.waiting(), 0);
}

#[tokio::test]
async fn a_complete_answer_names_its_versions_and_a_partial_one_is_an_error() {
    let mut port = port().await;
    let call = port.call(
        completion(false)
            .replace("host: h", "host: h\r\nidempotency-key: k\r\nx-deadline-ms: 1500"),
    );
    let (ticket, incoming) = port.next_submit().await;
    assert_eq!(incoming.key.as_deref(), Some("k"));
    assert_eq!(incoming.deadline, Some(Duration::from_millis(1500)));
    assert_matches!(incoming.work, request::Work::Generate(it) => assert_eq!(&*it.params, r#"{"seed":7}"#));
    port.control.reply(ticket, text(" upon", Some("stop")));
    let answer = call.await.unwrap();
    let body: serde_json::Value =
        serde_json::from_str(answer.split_once("\r\n\r\n").unwrap().1).unwrap();
    assert_eq!(body["choices"][0]["text"], " upon");
    assert_eq!(body["segments"], serde_json::json!([{"version": 7, "tokens": 2}]));

    let call = port.call(completion(false));
    let (ticket, _) = port.next_submit().await;
    port.control.reply(ticket, text(" upon", None));
    assert_code(&call.await.unwrap(), Code::Incomplete);
}

#[tokio::test]
async fn a_stream_ends_with_done_only_when_complete() {
    let mut port = port().await;
    let error = |code: Code| Reply::Answer(Answer::Error { code, message: code.text().into() });
    // Chunks, reply, and whether the stream is complete.
    let cases = [
        (vec![(0, " upon"), (5, " a")], text(" upon a time", Some("stop")), true),
        // A resumed attempt repeats text that the caller already has.
        (vec![(0, " upon"), (2, "pon a")], text(" upon a time", Some("stop")), true),
        (vec![(0, " upon")], text(" upon", None), false),
        (vec![(0, " upon")], error(Code::Incomplete), false),
        (vec![(0, " upon")], error(Code::Deadline), false),
        (vec![(0, " upon")], text(" once", Some("stop")), false),
        (vec![(0, " upon"), (0, " never")], text(" never", Some("stop")), false),
        (vec![(0, " upon"), (9, " a")], text(" upon a time", Some("stop")), false),
    ];
    for (chunks, reply, complete) in cases {
        let call = port.call(completion(true));
        let (ticket, _) = port.next_submit().await;
        for (offset, text) in chunks {
            port.chunk(ticket, offset, text).await;
        }
        let description = format!("{reply:?}");
        port.control.reply(ticket, reply);
        let answer = call.await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert_eq!(answer.contains("data: [DONE]"), complete, "{description} {answer}");
        assert_eq!(answer.contains("\"LY-207\""), !complete, "{description} {answer}");
        let pieces = answer.split("\"text\":\"").skip(1).map(|it| it.split('"').next().unwrap());
        if complete {
            assert_eq!(pieces.collect::<String>(), " upon a time", "{answer}");
        }
        // A stream that cannot continue reports a disconnection to the core.
        while let Ok(event) = port.events.try_recv() {
            assert_matches!(event, Event::Request(request::Event::Disconnected { .. }));
        }
    }
    // A refusal before the first text keeps its status and kind.
    let call = port.call(completion(true));
    let (ticket, _) = port.next_submit().await;
    port.control.reply(ticket, error(Code::NoTarget));
    assert_code(&call.await.unwrap(), Code::NoTarget);
}

#[tokio::test]
async fn a_caller_that_disconnects_is_reported() {
    let mut port = port().await;
    for (stream, chunks) in [(false, 0), (true, 0), (true, 1)] {
        let mut connection = TcpStream::connect(port.address).await.unwrap();
        connection.write_all(completion(stream).as_bytes()).await.unwrap();
        let (ticket, _) = port.next_submit().await;
        for _ in 0..chunks {
            port.chunk(ticket, 0, " upon").await;
            connection.read_u8().await.unwrap();
        }
        drop(connection);
        let event = timeout(WAIT_MAX, port.events.recv()).await.unwrap().unwrap();
        assert_matches!(event, Event::Request(request::Event::Disconnected { ticket: disconnected }) => assert_eq!(disconnected, ticket));
        assert_eq!(port.control.waiting(), 0);
    }
}

/// Guards against a generation that is buffered without bound while its caller does not read.
#[tokio::test]
async fn a_caller_that_does_not_read_blocks_further_chunks() {
    let mut port = port().await;
    let mut connection = TcpStream::connect(port.address).await.unwrap();
    connection.write_all(completion(true).as_bytes()).await.unwrap();
    let (ticket, _) = port.next_submit().await;
    let text = "x".repeat(64 * 1024);
    let mut sent = 0;
    // Nothing is read, so the bounded channel and the socket buffers fill up.
    while timeout(Duration::from_millis(500), port.chunk(ticket, sent * text.len(), &text))
        .await
        .is_ok()
    {
        sent += 1;
        assert!(sent < 1000, "{sent} chunks of 64 KiB were accepted");
    }
}
