//! The run counts of the plain service, which checks of at-most-once execution read, and its repeatable prompts and
//! rewards. Also the end of each stand-in on SIGTERM.

mod common;

use common::Standin;
use serde_json::json;

/// Guards against a counter that misses runs or counts calls that were not run.
#[tokio::test]
async fn only_calls_that_ran_are_counted() {
    let mut service = Standin::start(&["service"]);
    let booking = json!({"id": "b-1"});
    service.post("/control", &json!({"fail_before": 1})).await.unwrap();
    assert_eq!(service.post("/bookings", &booking).await, None);
    assert_eq!(service.get("/count?id=b-1").await.1["count"], 0);
    for _ in 0..2 {
        assert_eq!(service.post("/bookings", &booking).await.unwrap().0, 201);
    }
    assert_eq!(service.get("/count?id=b-1").await.1["count"], 2);
    service.post("/control", &json!({"leaving": true})).await.unwrap();
    assert_eq!(service.post("/entries", &booking).await.unwrap().0, 503);
    let control = json!({"leaving": false, "die_after_run": true});
    service.post("/control", &control).await.unwrap();
    assert_eq!(service.post("/entries", &booking).await, None);
    assert!(service.has_exited().await);
}

/// Guards against prompts and rewards that differ between calls with the same input.
#[tokio::test]
async fn prompts_and_rewards_are_the_same_at_each_call() {
    let service = Standin::start(&["service"]);
    let prompts = service.get("/prompts/prompts?from=3&count=2").await.1;
    assert_eq!(prompts[1], service.get("/prompts/prompts?from=4&count=1").await.1[0]);
    let judged = service.post("/judge/judge", &json!({"text": "a"})).await;
    assert_eq!(judged, service.post("/judge/judge", &json!({"text": "a"})).await);
}

/// Guards against stand-ins that keep running after SIGTERM because a request is in flight.
#[tokio::test]
async fn each_stand_in_exits_on_sigterm() {
    for args in [&["platform"][..], &["engine", "--model", "blurb=1"], &["service"]] {
        let mut standin = Standin::start(args);
        let slow = json!({"model": "blurb", "prompt": "a", "max_tokens": 1_000});
        let mut in_flight = Box::pin(standin.post("/v1/completions", &slow));
        let answer =
            tokio::time::timeout(std::time::Duration::from_millis(50), &mut in_flight).await;
        assert_eq!(answer.is_err(), args[0] == "engine");
        standin.terminate();
        drop(in_flight);
        assert!(standin.has_exited().await, "{args:?}");
    }
}
