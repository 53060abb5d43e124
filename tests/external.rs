//! Guards against a service call that is sent twice or whose truncated answer passes for a complete one, against a host
//! list that is read in part, and against a torn cache file.

mod util;

use std::time::Duration;

use assert_matches::assert_matches;
use lagoonyard::{
    cache,
    core::request::{Failure, Output, Update},
    external::{Directory as _, Service as _},
    http_sd::HttpSd,
    service::Service,
};
use util::{RecordingSink, http, server};

async fn call(address: &str) -> (Update, RecordingSink) {
    let service = Service { connect_timeout: Duration::from_millis(300), max_answer_bytes: 64 };
    let mut sink = RecordingSink::default();
    let work = util::call("PUT", "/slots/4?by=me", b"booked");
    let update = service.call(&util::attempt(address, work), &mut sink).await;
    (update, sink)
}

#[tokio::test]
async fn a_service_is_called_once_and_its_answer_passed_on() {
    let answer = http("409 Conflict", "content-type: text/plain\r\nx-leaving: 1\r\n", "taken");
    let (address, mut requests) = server(vec![answer]).await;
    let (update, sink) = call(&address.to_string()).await;
    assert_matches!(update, Update::Done(Output::Response(response)) => {
        assert_eq!((response.status, &*response.content_type, &response.body[..]), (409, "text/plain", &b"taken"[..]));
    });
    assert_eq!((sink.sent, sink.leaving), (1, 1));
    let request = requests.recv().await.unwrap();
    assert!(
        request.starts_with("PUT /slots/4?by=me HTTP/1.1\r\n")
            && request.ends_with("\r\n\r\nbooked"),
        "{request}"
    );
}

#[tokio::test]
async fn only_a_refused_connection_counts_as_not_sent() {
    let (update, sink) = call(&util::closed_port().await.to_string()).await;
    assert_matches!(update, Update::Failed { failure: Failure::Connect, .. });
    assert_eq!(sink.sent, 0);
    let cases = [
        (String::new(), Failure::Broken),
        (http("200 OK", "content-length: 9\r\n", "half"), Failure::Broken),
        (http("200 OK", "", &"x".repeat(65)), Failure::Broken),
        (http("503 Service Unavailable", "x-leaving: 1\r\n", ""), Failure::Leaving),
    ];
    for (answer, expected) in cases {
        let (address, _requests) = server(vec![answer.clone()]).await;
        let (update, sink) = call(&address.to_string()).await;
        assert_matches!(update, Update::Failed { failure, .. } => assert_eq!(failure, expected, "{answer}"));
        assert_eq!(sink.sent, 1);
    }
    let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (update, _) = call(&silent.local_addr().unwrap().to_string()).await;
    assert_matches!(update, Update::Failed { failure: Failure::Timeout, .. });
}

#[tokio::test]
async fn a_host_list_is_read_completely_or_not_at_all() {
    let entry = |id: &str, zone: &str, state: &str| {
        format!(
            r#"{{"targets":["127.0.0.1:9"],"labels":{{"id":"{id}","zone":"{zone}","pool":"p","state":"{state}","x":"y"}}}}"#
        )
    };
    let good =
        [entry("a", "z1", "live"), entry("b", "z1", "leaving"), entry("c", "z2", "live")].join(",");
    let bad = [
        format!("[{good}"),
        format!("[{good},{}]", entry("d", "z2", "gone")),
        format!(
            r#"[{good},{{"targets":[],"labels":{{"id":"d","zone":"z1","pool":"p","state":"live"}}}}]"#
        ),
    ];
    let mut answers = vec![http("200 OK", "", &format!("[{good}]"))];
    answers.extend(bad.iter().map(|it| http("200 OK", "", it)));
    answers.push(http("500 Internal Server Error", "", "[]"));
    let failures = answers.len() - 1;
    let (address, _requests) = server(answers).await;
    let list = HttpSd {
        url: format!("http://{address}/targets").parse().unwrap(),
        timeout: Duration::from_secs(1),
    };
    let entries = list.read(&"z1".into()).await.unwrap();
    let found: Vec<_> = entries.iter().map(|it| (&*it.target, it.leaving)).collect();
    assert_eq!(found, [("a", false), ("b", true)]);
    for _ in 0..failures {
        assert_eq!(list.read(&"z1".into()).await, None);
    }
}

#[test]
fn the_cache_is_replaced_atomically() {
    let dir = std::env::temp_dir().join(format!("lagoonyard-cache-{}", std::process::id()));
    assert_eq!(cache::read(&dir).unwrap(), None);
    cache::write(&dir, b"first").unwrap();
    // A crash before the rename leaves a temporary file, which is never read.
    std::fs::write(dir.join("config.new"), b"sec").unwrap();
    assert_eq!(cache::read(&dir).unwrap().as_deref(), Some(&b"first"[..]));
    cache::write(&dir, b"second").unwrap();
    assert_eq!(cache::read(&dir).unwrap().as_deref(), Some(&b"second"[..]));
    std::fs::remove_dir_all(dir).unwrap();
}
