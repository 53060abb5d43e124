//! Guards against truncated generations that pass for complete ones, and against tokens that are attributed to a wrong
//! weight version.

mod util;

use std::{sync::Arc, time::Duration};

use assert_matches::assert_matches;
use lagoonyard::{
    core::{
        request::{Attempt, Failure, Generate, Output, Segment, Text, Update, Work},
        target,
    },
    engine::Engine,
    external::Engine as _,
};
use util::{RecordingSink, http, server};

fn engine() -> Engine {
    Engine {
        connect_timeout: Duration::from_secs(1),
        poll_timeout: Duration::from_secs(1),
        chunk_timeout: Duration::from_millis(200),
        max_answer_bytes: 64 * 1024,
    }
}

fn attempt(address: &str, so_far: Option<Text>) -> Attempt {
    let work = Work::Generate(Generate {
        model: "m".into(),
        prompt: Arc::from("Once"),
        max_tokens: 8,
        params: Arc::from(r#"{"temperature":0.5,"stream":false}"#),
        content: 0,
        prefix: 0,
    });
    Attempt { so_far, ..util::attempt(address, work) }
}

async fn generate(address: impl ToString, so_far: Option<Text>) -> (Update, RecordingSink) {
    let mut sink = RecordingSink::default();
    let update = engine().generate(&attempt(&address.to_string(), so_far), &mut sink).await;
    (update, sink)
}

fn chunk(text: &str, version: u64, finish: &str) -> String {
    format!(
        "data: {{\"choices\":[{{\"text\":\"{text}\",\"finish_reason\":{finish}}}],\"system_fingerprint\":\"m@{version}\"}}\n\n"
    )
}

fn stream(events: &str) -> String {
    http("200 OK", "content-type: text/event-stream\r\n", events)
}

fn segment(version: u64, tokens: u32) -> Segment {
    let version = Some(version);
    Segment { version, tokens }
}

#[tokio::test]
async fn a_stream_without_finish_reason_is_incomplete() {
    let complete_chunk = chunk(" upon", 7, "null");
    let half_chunk = &chunk(" a time", 7, "\"stop\"")[..40];
    let done = "data: [DONE]\n\n";
    for rest in ["", done, half_chunk, "data: {\"error\":{}}\n\n"] {
        let (address, _requests) = server(vec![stream(&format!("{complete_chunk}{rest}"))]).await;
        let (update, _) = generate(address, None).await;
        assert_matches!(update, Update::Failed { failure: Failure::Broken, partial: Some(text) } => {
            assert_eq!(&*text.text, " upon", "{rest:?}");
            assert_eq!(text.finish_reason, None);
            assert_eq!(text.segments, [segment(7, 1)]);
        });
    }
}

#[tokio::test]
async fn a_version_change_in_the_middle_gives_two_segments() {
    let events = [
        chunk(" upon", 7, "null"),
        chunk(" a", 7, "null"),
        chunk(" time", 8, "null"),
        chunk("", 8, "\"stop\""),
    ];
    let (address, _requests) = server(vec![stream(&events.concat())]).await;
    let (update, sink) = generate(address, None).await;
    assert_matches!(update, Update::Done(Output::Text(text)) => {
        assert_eq!(&*text.text, " upon a time");
        assert_eq!(text.segments, [segment(7, 2), segment(8, 1)]);
        assert_eq!(text.finish_reason.as_deref(), Some("stop"));
    });
    assert_eq!((sink.sent, sink.chunks.len()), (1, 3));
}

#[tokio::test]
async fn a_missing_or_foreign_fingerprint_gives_no_version() {
    let events = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n\
        data: {\"choices\":[{\"text\":\"b\",\"finish_reason\":\"stop\"}],\"system_fingerprint\":\"other@9\"}\n\n";
    let (address, _requests) = server(vec![stream(events)]).await;
    let (update, _) = generate(address, None).await;
    assert_matches!(update, Update::Done(Output::Text(text)) => {
        assert_eq!(text.segments, [Segment { version: None, tokens: 2 }]);
    });
}

#[tokio::test]
async fn a_resumed_generation_continues_text_segments_and_token_limit() {
    let so_far = Text { text: " upon".into(), segments: vec![segment(7, 3)], finish_reason: None };
    let (address, mut requests) = server(vec![stream(&chunk(" a", 7, "\"length\""))]).await;
    let (update, _) = generate(address, Some(so_far)).await;
    assert_matches!(update, Update::Done(Output::Text(text)) => {
        assert_eq!(&*text.text, " upon a");
        assert_eq!(text.segments, [segment(7, 4)]);
    });
    let request = requests.recv().await.unwrap();
    let body: serde_json::Value =
        serde_json::from_str(request.split_once("\r\n\r\n").unwrap().1).unwrap();
    let expected = serde_json::json!({"model": "m", "prompt": "Once upon", "max_tokens": 5, "priority": 3,
        "stream": true, "temperature": 0.5});
    assert_eq!(body, expected);
}

#[tokio::test]
async fn failures_before_and_after_the_first_byte_are_distinguished() {
    let (update, sink) = generate(util::closed_port().await, None).await;
    assert_matches!(update, Update::Failed { failure: Failure::Connect, .. });
    assert_eq!(sink.sent, 0);

    let answers = [
        (http("503 Service Unavailable", "x-leaving: 1\r\n", ""), Failure::Leaving),
        (http("500 Internal Server Error", "", ""), Failure::Status(500)),
        (String::new(), Failure::Broken),
    ];
    for (answer, expected) in answers {
        let (address, _requests) = server(vec![answer]).await;
        let (update, sink) = generate(address, None).await;
        assert_matches!(update, Update::Failed { failure, .. } => assert_eq!(failure, expected));
        assert_eq!(sink.sent, 1);
    }
}

#[tokio::test]
async fn a_silent_engine_times_out_between_chunks() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        util::request(&mut stream).await;
        let answer = self::stream(&chunk(" upon", 7, "null"));
        tokio::io::AsyncWriteExt::write_all(&mut stream, answer.as_bytes()).await.unwrap();
        // The client must close the connection after its timeout.
        tokio::io::AsyncReadExt::read(&mut stream, &mut [0]).await
    });
    let (update, _) = generate(address, None).await;
    assert_matches!(update, Update::Failed { failure: Failure::Timeout, partial: Some(text) } => {
        assert_eq!(&*text.text, " upon");
    });
    let ended = tokio::time::timeout(util::WAIT_MAX, server).await.unwrap().unwrap();
    assert_matches!(ended, Ok(0));
}

#[tokio::test]
async fn a_poll_distinguishes_report_leaving_and_unreachable() {
    let load = r#"{"running":2,"waiting":1,"kv_used_percent":40,"versions":{"m":7}}"#;
    let (address, _requests) = server(vec![http("200 OK", "", ""), http("200 OK", "", load)]).await;
    assert_matches!(engine().poll(&address.to_string()).await, target::Outcome::Report(report) => {
        assert_eq!((report.running, report.waiting, report.kv_used_percent), (2, 1, 40));
        assert_eq!(report.versions["m"], 7);
    });
    let (address, _requests) = server(vec![http("503 Service Unavailable", "", "")]).await;
    assert_matches!(engine().poll(&address.to_string()).await, target::Outcome::Leaving);
    let refused = util::closed_port().await.to_string();
    assert_matches!(engine().poll(&refused).await, target::Outcome::Unreachable);
}
