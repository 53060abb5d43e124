//! Guards against a write whose answer is lost being reported as never sent, and against comparisons that let two
//! conflicting writes succeed.

mod util;

use std::{net::SocketAddr, time::Duration};

use assert_matches::assert_matches;
use bytes::Bytes;
use lagoonyard::{
    core::store::{Call, Expect, Failure, Reply, Value},
    etcd::Etcd,
    external::Store as _,
};
use util::{http, server};

const TIMEOUT: Duration = Duration::from_millis(500);

fn etcd(addresses: &[SocketAddr]) -> Etcd {
    let urls = addresses.iter().map(|it| format!("http://{it}").parse().unwrap());
    Etcd::new(urls.collect(), Duration::from_millis(300))
}

fn swap(expect: Expect) -> Call {
    Call::Swap { key: "k".into(), expect, value: Bytes::from_static(b"v"), lease: None }
}

async fn call_with_answer(
    call: Call,
    status: &str,
    body: &str,
) -> (Result<Reply, Failure>, String) {
    let (address, mut requests) = server(vec![http(status, "", body)]).await;
    let result = etcd(&[address]).call(call, TIMEOUT).await;
    (result, requests.recv().await.unwrap())
}

#[tokio::test]
async fn a_lost_answer_makes_the_outcome_of_a_write_unknown() {
    // The connection closes after the request, with and without a part of the answer.
    for part in ["", "HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{\"header\":{\"rev"] {
        let (address, _requests) = server(vec![part.into()]).await;
        let result = etcd(&[address]).call(swap(Expect::Absent), TIMEOUT).await;
        assert_eq!(result, Err(Failure::Unknown), "{part:?}");
    }
    // The service accepts the request and never answers.
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let answer = http("200 OK", "", r#"{"header":{"revision":"9"},"succeeded":true}"#);
    let (other, _requests) = server(vec![answer]).await;
    let etcd = etcd(&[address, other]);
    let result = etcd.call(swap(Expect::Absent), TIMEOUT).await;
    assert_eq!(result, Err(Failure::Unknown));
    // The next call goes to another member.
    let result = etcd.call(swap(Expect::Absent), TIMEOUT).await;
    assert_eq!(result, Ok(Reply::Swapped { revision: 9 }));
    // An error of the service may come after the write took effect.
    let (result, _) =
        call_with_answer(swap(Expect::Absent), "503 Service Unavailable", "{\"code\":14}").await;
    assert_eq!(result, Err(Failure::Unknown));
}

#[tokio::test]
async fn a_refused_connection_is_unsent_and_the_next_url_is_tried() {
    let refused = util::closed_port().await;
    let result = etcd(&[refused, refused]).call(swap(Expect::Absent), TIMEOUT).await;
    assert_eq!(result, Err(Failure::Unsent));
    let answer = http("200 OK", "", r#"{"header":{"revision":"9"},"succeeded":true}"#);
    let (address, _requests) = server(vec![answer]).await;
    let result = etcd(&[refused, address]).call(swap(Expect::Absent), TIMEOUT).await;
    assert_eq!(result, Ok(Reply::Swapped { revision: 9 }));
}

#[tokio::test]
async fn a_swap_compares_and_a_conflict_returns_the_current_value() {
    let body = r#"{"header":{"revision":"9"},"responses":[{"response_range":{"kvs":[
        {"key":"aw==","value":"dw==","mod_revision":"8","create_revision":"3"}],"count":"1"}}]}"#;
    let (result, request) = call_with_answer(swap(Expect::Revision(5)), "200 OK", body).await;
    let value = Value { bytes: Bytes::from_static(b"w"), mod_revision: 8, create_revision: 3 };
    assert_eq!(result, Ok(Reply::Conflict(Some(value))));
    assert!(request.starts_with("POST /v3/kv/txn "));
    let sent: serde_json::Value =
        serde_json::from_str(request.split_once("\r\n\r\n").unwrap().1).unwrap();
    let expected = serde_json::json!({
        "compare": [{"key": "aw==", "target": "MOD", "result": "EQUAL", "mod_revision": "5"}],
        "success": [{"request_put": {"key": "aw==", "value": "dg=="}}],
        "failure": [{"request_range": {"key": "aw=="}}],
    });
    assert_eq!(sent, expected);

    let (result, request) =
        call_with_answer(swap(Expect::Absent), "200 OK", r#"{"header":{"revision":"9"}}"#).await;
    assert_eq!(result, Ok(Reply::Conflict(None)));
    assert!(request.contains(r#""create_revision":"0""#));
}

#[tokio::test]
async fn leases_are_granted_renewed_and_reported_as_expired() {
    let ttl = Duration::from_secs(10);
    let (result, request) =
        call_with_answer(Call::Grant { ttl }, "200 OK", r#"{"ID":"77","TTL":"10"}"#).await;
    assert_eq!(result, Ok(Reply::Lease { id: 77, ttl }));
    assert!(request.contains(r#"{"TTL":"10"}"#));
    let call = Call::KeepAlive { lease: 77 };
    let (result, _) =
        call_with_answer(call.clone(), "200 OK", "{\"result\":{\"ID\":\"77\",\"TTL\":\"10\"}}\n")
            .await;
    assert_eq!(result, Ok(Reply::Lease { id: 77, ttl }));
    let (result, _) = call_with_answer(call, "200 OK", "{\"result\":{\"ID\":\"77\"}}\n").await;
    assert_eq!(result, Ok(Reply::LeaseGone));
    let call = Call::Swap {
        key: "k".into(),
        expect: Expect::Absent,
        value: Bytes::new(),
        lease: Some(77),
    };
    let (result, request) =
        call_with_answer(call, "404 Not Found", r#"{"code":5,"message":"lease not found"}"#).await;
    assert_eq!(result, Ok(Reply::LeaseGone));
    assert!(request.contains(r#""lease":"77""#));
}

#[tokio::test]
async fn a_watch_ends_with_the_first_change_or_after_its_wait() {
    let watch = |wait| Call::Watch { key: "k".into(), after: 5, wait };
    let created = "{\"result\":{\"created\":true}}\n";
    let event = "{\"result\":{\"events\":[{\"kv\":{\"value\":\"dw==\",\"mod_revision\":\"6\",\"create_revision\":\"6\"}}]}}\n";
    let (result, request) =
        call_with_answer(watch(TIMEOUT), "200 OK", &format!("{created}{event}")).await;
    assert_matches!(result, Ok(Reply::Value(Some(value))) => assert_eq!(value.mod_revision, 6));
    assert!(request.contains(r#""start_revision":"6""#));

    // The stream stays open without a change.
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        util::request(&mut stream).await;
        let answer = http("200 OK", "", created);
        tokio::io::AsyncWriteExt::write_all(&mut stream, answer.as_bytes()).await.unwrap();
        std::future::pending::<()>().await;
    });
    let result = etcd(&[address]).call(watch(Duration::from_millis(100)), TIMEOUT).await;
    assert_eq!(result, Ok(Reply::NoChange));
}
