//! One value of each format that passes between hosts or lasts in the store, built with names that every build has.
//!
//! `scripts/samples.sh COMMIT` builds this file at an earlier commit and keeps the bytes in `files/COMMIT/`.

use lagoonyard_node::{
    events::Progress,
    feed::ChangesRequest,
    holder::Holder,
    job::{Checkpoint, Chunk, Record, Row},
    peer::{
        Body, Departure, End, Ended, FromRunner, Generated, Kind, Lead, Limit, News, Notice, Order,
        Origin, Permit, PermitReply, Request, Response, Results, Retained, RunItem, Submitted,
        TextPart, ToRunner, Tunnel,
    },
    relay::{self, Peer},
    software::History,
};
use prost::Message;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};

/// An encoded value, and how the present build decodes and encodes it again.
pub struct Sample {
    pub name: &'static str,
    pub bytes: Vec<u8>,
    #[allow(dead_code, reason = "unused where the bytes are written")]
    pub again: fn(&[u8]) -> Option<Vec<u8>>,
}

fn message<T: Message + Default>(name: &'static str, value: T) -> Sample {
    let again = |bytes: &[u8]| T::decode(bytes).ok().map(|value| value.encode_to_vec());
    Sample { name, bytes: value.encode_to_vec(), again }
}

fn stored<T: Serialize + DeserializeOwned>(name: &'static str, value: T) -> Sample {
    let again = |bytes: &[u8]| {
        let value: T = serde_json::from_slice(bytes).ok()?;
        serde_json::to_vec(&value).ok()
    };
    Sample { name, bytes: serde_json::to_vec(&value).unwrap(), again }
}

fn request(name: &'static str, kind: Kind) -> Sample {
    message(name, Request { kind: Some(kind) })
}

fn limit() -> Limit {
    Limit { target: "i-1".into(), per_second: Some(2.5), age_ms: 40 }
}

fn departure() -> Departure {
    Departure { target: "i-1".into(), started_ms: 1_700_000_000_000 }
}

fn part() -> TextPart {
    TextPart {
        run: 7,
        after: 3,
        text: "text".into(),
        last_event: 9,
        versions: vec![1, 2],
        software: Some("v1".into()),
    }
}

fn progress() -> Progress {
    Progress {
        text: "text".into(),
        last_event: 9,
        versions: [1, 2].into(),
        software: Some("v1".into()),
    }
}

fn run_item() -> RunItem {
    RunItem {
        run: 7,
        job: "j".into(),
        index: 2,
        item: "i".into(),
        host: "h".into(),
        path: "/p".into(),
        body: vec![0, 255].into(),
        min_version: 3,
        single_version: true,
        target: "i-1".into(),
        address: "127.0.0.1:1".into(),
        pace_max_us: 55_000,
        pace_window: 6,
        judge_failures: 1,
        text: "text".into(),
        last_event: 9,
        versions: vec![1, 2],
        last_resort: true,
        software: "v1".into(),
        text_software: Some("v1".into()),
        started_ms: 5,
        ..RunItem::default()
    }
}

fn ended() -> Ended {
    Ended {
        part: Some(part()),
        end: 5,
        score: Some("score".into()),
        text_complete: true,
        pace_us: Some(60_000),
        judge_failures: 1,
        holds_slot: true,
        ..Ended::default()
    }
}

fn requests() -> Vec<Sample> {
    let (limits, departures) = (vec![limit()], vec![departure()]);
    vec![
        request("results", Kind::Results(Results { job: "j".into(), after: 3, wait_ms: 1000 })),
        request("body", Kind::Body(Body { job: "j".into(), item: "i".into() })),
        request("end", Kind::End(End { job: "j".into() })),
        request(
            "submitted",
            Kind::Submitted(Submitted {
                job: "j".into(),
                record: b"{}".to_vec().into(),
                body: vec![1, 2].into(),
                revision: 8,
            }),
        ),
        request("lead", Kind::Lead(Lead { service: "llm".into(), fence: 4 })),
        request(
            "changes",
            Kind::Changes(ChangesRequest {
                prefix: "servers/".into(),
                after: Some(5),
                wait_ms: 100,
                max_age_ms: Some(500),
                ..ChangesRequest::default()
            }),
        ),
        request(
            "permit",
            Kind::Permit(Permit {
                limit: Some(limit()),
                holder: "llm".into(),
                priority: 1,
                stand_in: true,
            }),
        ),
        request(
            "notice",
            Kind::Notice(Notice { limits, forward: true, departures, ..Notice::default() }),
        ),
        request("origin", Kind::Origin(Origin { stream: "r".into(), software: Some("v1".into()) })),
        request("tunnel", Kind::Tunnel(Tunnel { target: "i-1".into(), ..Tunnel::default() })),
        message("response", Response::served(vec![1].into())),
        message("permit-reply", PermitReply { retry_after_ms: Some(20), limit: Some(limit()) }),
    ]
}

fn leader_and_runner() -> Vec<Sample> {
    let order = |order| ToRunner { order: Some(order) };
    let news = |news| FromRunner { news: Some(news) };
    let retained = Retained {
        item: "i".into(),
        part: Some(part()),
        text_complete: true,
        ..Retained::default()
    };
    vec![
        message("run", order(Order::Run(Box::new(run_item())))),
        message("stop", order(Order::Stop(7))),
        message("ping", order(Order::Ping(1))),
        message("progress", news(News::Progress(part()))),
        message("generated", news(News::Generated(Generated { run: 7, pace_us: Some(5) }))),
        message("ended", news(News::Ended(Box::new(ended())))),
        message("pong", news(News::Pong(1))),
        message("leaving", news(News::Leaving(true))),
        message("retained", news(News::Retained(retained))),
        message("runner-limit", news(News::Limit(limit()))),
        message("runner-departure", news(News::Departure(departure()))),
        message(
            "relay-call",
            relay::Call {
                method: "POST".into(),
                path: "/p".into(),
                body: vec![1].into(),
                timeout_ms: 400,
            },
        ),
    ]
}

/// Value of a type that has further fields in some builds.
fn decoded<T: DeserializeOwned>(value: Value) -> T {
    serde_json::from_value(value).unwrap()
}

fn record(policy: &Value) -> Record {
    decoded(json!({
        "host": "h", "path": "/p", "service": "llm", "submitted_ms": 5, "total": 2, "parts": 1,
        "ended": false, "policy": policy,
    }))
}

fn store_values() -> Vec<Sample> {
    let row = Row {
        item: "i".into(),
        done: true,
        text: "text".into(),
        versions: vec![1],
        score: Some("s".into()),
    };
    let versions = ["v1".into()].into();
    vec![
        stored("job-head", record(&Value::Null)),
        stored(
            "job-head-with-policy",
            record(&json!({
                "config": 7, "deadline_ms": 8_000, "item_ttl_ms": 40_000, "max_attempts": 3,
                "priority": 1, "single_version": true,
            })),
        ),
        stored("rows", decoded::<Chunk>(json!({"total": 2, "first": 0, "rows": [row]}))),
        stored(
            "checkpoints",
            vec![Checkpoint { item: "i".into(), progress: progress(), text_complete: false }],
        ),
        stored("leader", Holder { host: "n".into(), peer: Some("127.0.0.1:1".parse().unwrap()) }),
        stored(
            "host",
            Peer {
                zone: "z".into(),
                address: "127.0.0.1:1".parse().unwrap(),
                peer: Some("127.0.0.1:2".parse().unwrap()),
                cpu_share: 0.25,
            },
        ),
        stored("software", History::default().updated(&versions, 1_000).unwrap()),
    ]
}

pub fn samples() -> Vec<Sample> {
    let mut all = requests();
    all.extend(leader_and_runner());
    all.extend(store_values());
    all
}
