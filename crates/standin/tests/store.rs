//! Limits, leases and rewinds of the key-value store.

mod common;

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::{Duration, Instant},
};

use bytes::Bytes;
use common::{Standin, b64};
use lagoonyard_standin::store::{Error, Op, Outcome, Span, Store};
use serde_json::{Value, json};

/// Keys that the store accepts.
const KEYS_MAX: usize = 100_000;
const TTL: Duration = Duration::from_secs(2);

fn put(key: &str, lease: i64) -> Op {
    Op::Put { key: Bytes::copy_from_slice(key.as_bytes()), value: Bytes::new(), lease }
}

fn exists(store: &mut Store, key: &str) -> bool {
    let span = Span { start: Bytes::copy_from_slice(key.as_bytes()), end: Bytes::new() };
    let outcomes = store.execute(&[Op::Range { span, limit: 0 }]).unwrap();
    matches!(&outcomes[..], [Outcome::Range { count: 1, .. }])
}

/// Guards against a taken lease id that is reported as a full store.
#[tokio::test]
async fn a_lease_id_that_exists_is_reported_as_such() {
    let platform = Standin::start(&["platform"]);
    let grant = json!({"ID": "7", "TTL": "60"});
    assert_eq!(platform.post("/v3/lease/grant", &grant).await.unwrap().0, 200);
    let (status, body) = platform.post("/v3/lease/grant", &grant).await.unwrap();
    assert_eq!((status, &body["code"]), (400, &json!(9)), "{body}");
    assert_eq!(body["message"], "etcdserver: lease already exists");
}

/// Guards against a restored key that outlives its lease, and against one that ends with a lease that it has left.
#[test]
fn a_rewind_restores_the_keys_of_leases() {
    let now = Instant::now();
    let mut store = Store::default();
    let lease = store.grant(0, TTL, now).unwrap();
    let other = store.grant(0, 10 * TTL, now).unwrap();
    store.execute(&[put("deleted", lease), put("moved", lease)]).unwrap();
    let backup = store.revision();
    let span = Span { start: Bytes::from_static(b"deleted"), end: Bytes::new() };
    store.execute(&[Op::Delete { span }, put("moved", other), put("newer", other)]).unwrap();
    store.rewind(backup, now).unwrap();
    store.revoke(other).unwrap();
    assert!(exists(&mut store, "moved"), "it was attached to the other lease after the backup");
    assert!(store.expire(now + TTL));
    assert!(!exists(&mut store, "deleted") && !exists(&mut store, "moved"));
}

/// Guards against a restored key that stays for ever because its lease ended after the backup.
#[test]
fn a_rewind_restores_the_leases_of_restored_keys() {
    let now = Instant::now();
    let mut store = Store::default();
    let lease = store.grant(0, TTL, now).unwrap();
    store.execute(&[put("held", lease)]).unwrap();
    let backup = store.revision();
    store.revoke(lease).unwrap();
    assert!(!exists(&mut store, "held"));
    store.rewind(backup, now + TTL).unwrap();
    assert!(exists(&mut store, "held"));
    assert_eq!(store.keep_alive(lease, now + TTL), Some(TTL));
    assert!(store.expire(now + 2 * TTL));
    assert!(!exists(&mut store, "held"));
}

/// Guards against a transaction whose puts exceed the limit of keys together but not one by one.
#[test]
fn the_puts_of_a_transaction_count_together() {
    let mut store = Store::default();
    for key in 0..KEYS_MAX - 1 {
        store.execute(&[put(&format!("k{key}"), 0)]).unwrap();
    }
    let revision = store.revision();
    let two = [put("a", 0), put("b", 0)];
    assert_eq!(store.execute(&two).unwrap_err(), Error::SpaceExceeded);
    assert_eq!(store.revision(), revision);
    store.execute(&[put("a", 0), put("a", 0), put("k0", 0)]).unwrap();
    assert_eq!(store.execute(&[put("b", 0)]).unwrap_err(), Error::SpaceExceeded);
}

/// Guards against a cancelled watch that restarts at the current revision and so misses the changes before it.
#[tokio::test]
async fn a_cancelled_watch_names_the_first_revision_with_all_changes() {
    let platform = Standin::start(&["platform", "--writes-per-s", "1000"]);
    // 90 transactions of 128 changes, of which the log keeps 10,000: the oldest is one of revision 13, in part.
    let mut ops: Vec<Value> = Vec::new();
    for key in 0..128 {
        ops.push(json!({"request_put": {"key": b64(&format!("k{key}"))}}));
    }
    for _ in 0..90 {
        let (status, _) = platform.post("/v3/kv/txn", &json!({"success": ops})).await.unwrap();
        assert_eq!(status, 200);
    }
    let watch = async |start: &str| {
        let mut create = json!({"key": b64("k0"), "start_revision": start});
        create["range_end"] = b64("l").into();
        let body = json!({"create_request": create}).to_string();
        let head = format!(
            "POST /v3/watch HTTP/1.1\r\nhost: standin\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let mut stream = TcpStream::connect(platform.url.trim_start_matches("http://")).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
        stream.write_all(format!("{head}{body}").as_bytes()).unwrap();
        let (mut text, mut part) = (String::new(), [0; 4096]);
        while !text.contains("compact_revision") && !text.contains("events") {
            let read = stream.read(&mut part).unwrap();
            assert!(read > 0, "{text}");
            text.push_str(&String::from_utf8_lossy(&part[..read]));
        }
        text
    };
    for start in ["2", "13"] {
        let cancelled = watch(start).await;
        assert!(cancelled.contains(r#""compact_revision":"14""#), "{cancelled}");
    }
    assert!(watch("14").await.contains("events"));
}

/// Guards against a slow body that is reported as too large.
#[tokio::test]
async fn a_body_that_times_out_gets_408_and_a_large_one_413() {
    let platform = Standin::start(&["platform"]);
    let address = platform.url.trim_start_matches("http://");
    let mut slow = TcpStream::connect(address).unwrap();
    slow.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    slow.write_all(b"POST /v3/kv/put HTTP/1.1\r\nhost: standin\r\ncontent-length: 9\r\n\r\n{")
        .unwrap();
    let large = Value::String("x".repeat(5 << 20));
    assert_eq!(platform.post("/v3/kv/put", &large).await.unwrap().0, 413);
    let mut status = [0; 12];
    slow.read_exact(&mut status).unwrap();
    assert_eq!(std::str::from_utf8(&status), Ok("HTTP/1.1 408"));
}
