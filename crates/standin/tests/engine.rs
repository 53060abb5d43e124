//! Properties of the engine that tests of resumption and rollouts rely on: deterministic text, reported versions,
//! fencing, injected faults.

mod common;

use common::Standin;
use serde_json::{Value, json};

async fn complete(engine: &Standin, prompt: &str, max_tokens: u32) -> String {
    let body = json!({"model": "blurb", "prompt": prompt, "max_tokens": max_tokens});
    let (status, answer) = engine.post("/v1/completions", &body).await.unwrap();
    assert_eq!(status, 200, "{answer}");
    answer["choices"][0]["text"].as_str().unwrap().into()
}

/// Chunks of a stream without the final `[DONE]`, and whether `[DONE]` was received; `None` if the connection broke.
async fn chunks(engine: &Standin, max_tokens: u32) -> Option<(Vec<Value>, bool)> {
    let body = json!({"model": "blurb", "prompt": "a", "max_tokens": max_tokens, "stream": true});
    let (_, text) = engine.post("/v1/completions", &body).await?;
    let text = text.as_str().unwrap();
    let data = text.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    let chunks = data.clone().filter_map(|chunk| serde_json::from_str(chunk).ok());
    Some((chunks.collect(), data.clone().any(|chunk| chunk == "[DONE]")))
}

/// Guards against a resumed text that repeats or drops tokens, as happens if a token depends on more than the text
/// before it.
#[tokio::test]
async fn a_text_resumed_after_a_cut_equals_the_uncut_text() {
    let engine = Standin::start(&["engine", "--model", "blurb=1", "--token-delay-ms", "0"]);
    let whole = complete(&engine, "Write a placard:", 24).await;
    for cut in [1, 7, 23] {
        let first = complete(&engine, "Write a placard:", cut).await;
        let rest = complete(&engine, &format!("Write a placard:{first}"), 24 - cut).await;
        assert_eq!(format!("{first}{rest}"), whole, "cut after {cut}");
    }
}

/// Guards against chunks without a version, and against a truncated stream that looks complete.
#[tokio::test]
async fn a_stream_reports_versions_and_a_truncated_one_breaks_the_connection() {
    let engine = Standin::start(&["engine", "--model", "blurb=3", "--token-delay-ms", "1"]);
    let (whole, done) = chunks(&engine, 5).await.unwrap();
    assert!(done && whole.iter().all(|chunk| chunk["system_fingerprint"] == "blurb@3"));
    assert_eq!(whole.last().unwrap()["choices"][0]["finish_reason"], "length");
    engine.post("/control", &json!({"truncate_after_tokens": 2})).await.unwrap();
    assert_eq!(chunks(&engine, 5).await, None);
}

/// Guards against an order of a former lease holder that replaces a newer version. Engines without `--checks-fence`
/// accept it.
#[tokio::test]
async fn an_old_fence_is_refused_only_with_checks_fence() {
    for (flag, status, version) in [("--checks-fence", 409, 5), ("--swap=keep", 200, 4)] {
        let engine = Standin::start(&["engine", "--model", "blurb=1", "--load-ms", "1", flag]);
        let order = |fence, version| json!({"fence": fence, "op": "load_version", "model": "blurb", "version": version, "weights": "w"});
        assert_eq!(engine.post("/orders", &order(9, 5)).await.unwrap().0, 200);
        assert_eq!(engine.post("/orders", &order(8, 4)).await.unwrap().0, status);
        assert_eq!(engine.get("/load").await.1["versions"]["blurb"], version);
    }
}

/// Guards against a failed load that leaves a model of an engine with `--swap stop` without a version.
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

/// Guards against an injected crash that does not end the process, and against a leaving engine that passes health
/// checks.
#[tokio::test]
async fn a_leaving_engine_fails_health_checks_and_a_crash_ends_the_process() {
    let mut engine = Standin::start(&["engine", "--model", "blurb=1"]);
    engine.post("/control", &json!({"leaving": true})).await.unwrap();
    assert_eq!(engine.get("/health").await.0, 503);
    let control = json!({"leaving": false, "crash_on": "poison"});
    engine.post("/control", &control).await.unwrap();
    let body = json!({"model": "blurb", "prompt": "some poison here"});
    assert_eq!(engine.post("/v1/completions", &body).await, None);
    assert!(engine.has_exited().await);
}
