//! Builders shared by the tests of the node.

#![allow(dead_code)]

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use lagoonyard_node::{
    events::{Event, Progress},
    fleet::Target,
    job::{Engines, Item, Job, Outcome, Record, Spec},
};

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An engine with two places and a version of model `m`.
pub fn engine(id: &str, version: u64) -> Target {
    Target {
        id: id.into(),
        service: "llm".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "z".into(),
        slots: 2,
        draining: false,
        started_ms: 1,
        versions: BTreeMap::from([("m".into(), version)]),
    }
}

pub fn engines(of: &[Target]) -> Engines {
    let mut engines = Engines::default();
    for target in of {
        engines.put(Arc::new(target.clone()));
    }
    engines
}

fn item(id: &str, length_hint: u64, group: &str) -> Item {
    Item {
        id: id.into(),
        path: "/p/1".into(),
        headers: Vec::new(),
        body: bytes::Bytes::new(),
        tokens: 10,
        length_hint: Some(length_hint),
        group: group.into(),
        judge: None,
    }
}

/// A job of model `m` whose items have the given ids and length hints.
pub fn job(id: &str, min_version: u64, items: &[(&str, u64)]) -> Job {
    job_of(id, min_version, items.iter().map(|(id, hint)| item(id, *hint, "g")).collect())
}

/// A job whose items have the given ids and groups.
pub fn grouped_job(id: &str, items: &[(&str, &str)]) -> Job {
    job_of(id, 1, items.iter().map(|(id, group)| item(id, 1, group)).collect())
}

fn job_of(id: &str, min_version: u64, items: Vec<Item>) -> Job {
    let record = Record {
        host: "h".into(),
        path: "/p/".into(),
        service: "llm".into(),
        submitted_ms: 0,
        total: items.len(),
        parts: 1,
        ended: false,
    };
    let spec =
        Spec { id: id.into(), step: 0, model: "m".into(), min_version, groups_needed: 1, items };
    let mut job = Job::new(Arc::new(spec), record, ms(7_500), ms(40_000));
    job.max_attempts = 2;
    job
}

/// A text of `events` events that one version generated.
pub fn text(events: u64, version: u64) -> Progress {
    let mut progress = Progress::default();
    for id in 1..=events {
        let event = Event { id, data: format!("e{id}").into(), version: None };
        progress.append(&event, version).unwrap();
    }
    progress
}

/// End of a run.
pub fn outcome(
    (job, item, id): (&str, usize, &str),
    target: &str,
    ended: lagoonyard_node::job::End,
    progress: Progress,
) -> Outcome {
    Outcome {
        job: job.into(),
        item,
        item_id: id.into(),
        target: Some(target.into()),
        end: ended,
        progress,
        text_complete: false,
        pace: None,
        judge_failures: 0,
    }
}
