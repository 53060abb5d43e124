//! The engine's text, versions and fencing are what resumption and rollouts rely on.

mod common;

use common::Standin;
use serde_json::{Value, json};

async fn complete(engine: &Standin, prompt: &str, max_tokens: u32) -> String {
    let body = json!({"model": "blurb", "prompt": prompt, "max_tokens": max_tokens});
    let (status, answer) = engine.post("/v1/completions", &body).await.unwrap();
    assert_eq!(status, 200, "{answer}");
    answer["choices"][0]["text"].as_str().unwrap().into()
}

/// Chunks of a stream, without the final `[DONE]`, and whether that was there.
async fn chunks(engine: &Standin, max_tokens: u32) -> Option<(Vec<Value>, bool)> {
    let body = json!({"model": "blurb", "prompt": "a", "max_tokens": max_tokens, "stream": true});
    let (_, text) = engine.post("/v1/completions", &body).await?;
    let text = text.as_str().unwrap();
    let data = text.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    let chunks = data.clone().filter_map(|chunk| serde_json::from_str(chunk).ok());
    Some((chunks.collect(), data.clone().any(|chunk| chunk == "[DONE]")))
}

/// Guards against a resumed text that repeats or drops tokens.
#[tokio::test]
async fn a_resumed_text_equals_the_whole_text() {
    let engine = Standin::start(&["engine", "--model", "blurb=1", "--token-delay-ms", "0"]);
    let whole = complete(&engine, "Write a placard:", 24).await;
    for cut in [1, 7, 23] {
        let first = complete(&engine, "Write a placard:", cut).await;
        let rest = complete(&engine, &format!("Write a placard:{first}"), 24 - cut).await;
        assert_eq!(format!("{first}{rest}"), whole, "cut after {cut}");
    }
}

/// Guards against streams that hide their version or their end.
#[tokio::test]
async fn a_stream_names_versions_and_ends_whole_or_breaks() {
    let engine = Standin::start(&["engine", "--model", "blurb=3", "--token-delay-ms", "1"]);
    let (whole, done) = chunks(&engine, 5).await.unwrap();
    assert!(done && whole.iter().all(|chunk| chunk["system_fingerprint"] == "blurb@3"));
    assert_eq!(whole.last().unwrap()["choices"][0]["finish_reason"], "length");
    engine.post("/control", &json!({"truncate_after_tokens": 2})).await.unwrap();
    assert_eq!(chunks(&engine, 5).await, None);
}

/// Guards against an order of a former lease holder that undoes a newer one.
#[tokio::test]
async fn an_old_fence_is_refused_only_by_engines_that_check() {
    for (flag, status, version) in [("--checks-fence", 409, 5), ("--swap=keep", 200, 4)] {
        let engine = Standin::start(&["engine", "--model", "blurb=1", "--load-ms", "1", flag]);
        let order = |fence, version| json!({"fence": fence, "op": "load_version", "model": "blurb", "version": version, "weights": "w"});
        assert_eq!(engine.post("/orders", &order(9, 5)).await.unwrap().0, 200);
        assert_eq!(engine.post("/orders", &order(8, 4)).await.unwrap().0, status);
        assert_eq!(engine.get("/load").await.1["versions"]["blurb"], version);
    }
}

/// Guards against a failed load that leaves the engine without a version.
#[tokio::test]
async fn a_failed_load_keeps_the_old_version() {
    let engine =
        Standin::start(&["engine", "--model", "blurb=1", "--load-ms", "1", "--swap", "stop"]);
    engine.post("/control", &json!({"fail_loads": 1})).await.unwrap();
    let order =
        json!({"fence": 1, "op": "load_version", "model": "blurb", "version": 2, "weights": "w"});
    assert_eq!(engine.post("/orders", &order).await.unwrap().0, 500);
    assert!(!complete(&engine, "a", 2).await.is_empty());
    assert_eq!(engine.post("/orders", &order).await.unwrap().0, 200);
    assert_eq!(engine.get("/load").await.1["versions"]["blurb"], 2);
}

/// Guards against a crash that does not end the process, and an engine that leaves without saying so.
#[tokio::test]
async fn crashing_and_leaving_are_visible() {
    let mut engine = Standin::start(&["engine", "--model", "blurb=1"]);
    engine.post("/control", &json!({"leaving": true})).await.unwrap();
    assert_eq!(engine.get("/health").await.0, 503);
    let control = json!({"leaving": false, "crash_on": "poison"});
    engine.post("/control", &control).await.unwrap();
    let body = json!({"model": "blurb", "prompt": "some poison here"});
    assert_eq!(engine.post("/v1/completions", &body).await, None);
    assert!(engine.ended().await);
}
