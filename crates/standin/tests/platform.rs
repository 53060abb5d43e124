//! Guarantees of the key-value store that the control core relies on, and the simulated outages.

mod common;

use std::time::{Duration, Instant};

use common::{Standin, b64, swap_body};
use http_body_util::BodyExt;
use serde_json::{Value, json};
use volo_http::client::Client;

async fn read(platform: &Standin, key: &str) -> Value {
    let body = json!({"key": b64(key)});
    platform.post("/v3/kv/range", &body).await.unwrap().1["kvs"][0].clone()
}

/// Guards against two concurrent compare-and-swap writes that both succeed.
#[tokio::test]
async fn one_of_several_concurrent_swaps_succeeds() {
    let platform = Standin::start(&["platform"]);
    let values: Vec<String> = (0..8).map(|number| format!("writer {number}")).collect();
    let bodies: Vec<Value> = values.iter().map(|value| swap_body("head", "0", value)).collect();
    let swaps = bodies.iter().map(|body| platform.post("/v3/kv/txn", body));
    let answers = futures::future::join_all(swaps).await;
    let won: Vec<usize> =
        (0..8).filter(|&number| answers[number].as_ref().unwrap().1["succeeded"] == true).collect();
    assert_eq!(won.len(), 1);
    assert_eq!(read(&platform, "head").await["value"], b64(&values[won[0]]));
}

/// Guards against a lease that outlives its TTL or expires although it is renewed.
#[tokio::test]
async fn a_lease_expires_only_without_renewal() {
    let platform = Standin::start(&["platform"]);
    let lease = platform.post("/v3/lease/grant", &json!({"TTL": "2"})).await.unwrap().1;
    let id = lease["ID"].clone();
    let put = json!({"key": b64("orders"), "value": b64("host"), "lease": id});
    platform.post("/v3/kv/put", &put).await.unwrap();
    for _ in 0..3 {
        tokio::time::sleep(Duration::from_millis(800)).await;
        let kept = platform.post("/v3/lease/keepalive", &json!({"ID": id})).await.unwrap().1;
        assert_eq!(kept["result"]["TTL"], "2");
    }
    assert_eq!(read(&platform, "orders").await["lease"], id);
    tokio::time::sleep(Duration::from_millis(2_200)).await;
    assert_eq!(read(&platform, "orders").await, Value::Null);
    let kept = platform.post("/v3/lease/keepalive", &json!({"ID": id})).await.unwrap().1;
    assert_eq!(kept["result"]["TTL"], "0");
}

/// Guards against changes lost between a read and a watch that starts at the revision after it.
#[tokio::test]
async fn a_watch_receives_changes_from_its_start_revision_on() {
    let platform = Standin::start(&["platform"]);
    for value in ["one", "two"] {
        let put = json!({"key": b64("head"), "value": b64(value)});
        platform.post("/v3/kv/put", &put).await.unwrap();
    }
    let body = json!({"create_request": {"key": b64("head"), "start_revision": "3"}});
    let client = Client::builder().build().unwrap();
    let watch = client.post(format!("{}/v3/watch", platform.url)).data(body.to_string());
    let mut watch = watch.send::<volo_http::body::Body>().await.unwrap().into_body();
    let put = json!({"key": b64("head"), "value": b64("three")});
    platform.post("/v3/kv/put", &put).await.unwrap();
    let (mut text, mut values) = (String::new(), Vec::new());
    while values.len() < 2 {
        let frame = tokio::time::timeout(Duration::from_secs(5), watch.frame()).await.unwrap();
        text.push_str(std::str::from_utf8(frame.unwrap().unwrap().data_ref().unwrap()).unwrap());
        let lines: Vec<Value> =
            text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
        assert_eq!(lines[0]["result"]["created"], true);
        // Changes in quick succession may share one line.
        let events =
            lines.iter().flat_map(|line| line["result"]["events"].as_array().into_iter().flatten());
        values = events.map(|event| event["kv"]["value"].clone()).collect();
    }
    assert_eq!(values, [b64("two"), b64("three")]);
}

/// Guards against a lost response whose write is lost too, and against more lost responses than requested.
#[tokio::test]
async fn a_write_whose_response_is_lost_takes_effect() {
    let platform = Standin::start(&["platform"]);
    let outage = json!({"mode": "lose_answers", "count": 1});
    platform.post("/control/outage", &outage).await.unwrap();
    assert_eq!(platform.post("/v3/kv/txn", &swap_body("head", "0", "first")).await, None);
    assert_eq!(read(&platform, "head").await["value"], b64("first"));
    let again = platform.post("/v3/kv/txn", &swap_body("head", "0", "second")).await.unwrap().1;
    assert_eq!(again["succeeded"], Value::Null);
}

/// Guards against calls that take effect during an outage, and against an outage that lasts after it was ended.
#[tokio::test]
async fn calls_refused_or_hanging_in_an_outage_have_no_effect() {
    let platform = Standin::start(&["platform"]);
    for mode in ["refuse", "hang"] {
        platform.post("/control/outage", &json!({"mode": mode})).await.unwrap();
        let write = swap_body("head", "0", "first");
        let call = platform.post("/v3/kv/txn", &write);
        let answer = tokio::time::timeout(Duration::from_millis(500), call).await;
        assert!(answer.is_err() || answer == Ok(None), "{mode}");
        platform.post("/control/outage", &json!({"mode": "none"})).await.unwrap();
        let deadline = Instant::now() + Duration::from_secs(2);
        let range = json!({"key": b64("head")});
        let answer = loop {
            if let Some(answer) = platform.post("/v3/kv/range", &range).await {
                break answer;
            }
            assert!(Instant::now() < deadline, "{mode} lasts");
        };
        assert_eq!(answer.1["kvs"], Value::Null, "{mode}");
    }
}

/// Guards against a missing limit on value size or write rate, and against a rewind that keeps newer contents.
#[tokio::test]
async fn value_size_and_write_rate_are_limited_and_a_rewind_restores_contents() {
    let platform = Standin::start(&["platform", "--writes-per-s", "5"]);
    let large = json!({"key": b64("large"), "value": b64(&"x".repeat(1_000_001))});
    assert_eq!(platform.post("/v3/kv/put", &large).await.unwrap().0, 400);
    platform.post("/v3/kv/txn", &swap_body("head", "0", "old")).await.unwrap();
    let newer = platform.post("/v3/kv/txn", &swap_body("head", "2", "new")).await.unwrap().1;
    assert_eq!(newer["header"]["revision"], "3");
    platform.post("/control/rewind", &json!({"revision": 2})).await.unwrap();
    assert_eq!(read(&platform, "head").await["value"], b64("old"));
    let mut last = 0;
    for _ in 0..5 {
        last = platform.post("/v3/kv/put", &json!({"key": b64("k")})).await.unwrap().0;
    }
    assert_eq!(last, 429);
}
