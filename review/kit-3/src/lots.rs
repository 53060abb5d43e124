//! Trainers that submit batch submissions and read their results, and other clients that read them.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    Json, Record, base64, http,
    poison::{config, pause, route},
};

/// `settle_ms` of the deployment.
const SETTLE: Duration = Duration::from_millis(1000);
/// Items of a batch submission, as on the small deployment.
pub const ITEMS: usize = 112;

/// A batch submission.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub accepted: Instant,
    /// Results that its trainer has read.
    pub known: Arc<AtomicUsize>,
}

#[derive(Clone, Default)]
pub struct Shared {
    pub jobs: Arc<Mutex<Vec<Job>>>,
    pub stop: Arc<AtomicBool>,
    pub not_found: Arc<AtomicUsize>,
    pub read: Arc<AtomicUsize>,
}

pub fn deployment() -> Json {
    let mut rolls = route("rolls", "rollout", "writers", 3);
    rolls.set("timeout_ms", 10000);
    rolls.set("run_deadline_ms", 7500);
    rolls.set("item_ttl_s", 60);
    let mut config = config(1, vec![rolls], &["writers"]);
    let engine = Json::map([("slots", 8.into()), ("kv_cache_tokens", 72728.into())]);
    let service = Json::map([
        ("name", "writers".into()),
        ("health_path", "/health".into()),
        ("max_conns", 150.into()),
        ("engine", engine),
    ]);
    config.set("services", Json::list([service]));
    config
}

/// Submits a batch submission and reads its results until the end.
pub fn trainer(number: usize, entries: &[(String, SocketAddr)], shared: &Shared, record: &Record) {
    let id = format!("{:016x}", 0xd000 + number);
    let item = |at: usize| {
        Json::map([
            ("id", format!("{:08x}{at:08x}", 0xd000 + number).into()),
            ("path", format!("/rolls/{number}/{at}").into()),
            (
                "headers",
                Json::map([("X-Model-Name", "m0".into()), ("X-Token-Usage", "340,52".into())]),
            ),
            ("body", base64::encode(b"a prompt").into()),
            ("tokens", 392.into()),
            ("group", format!("g{}", at / 4).into()),
        ])
    };
    let body = Json::map([
        ("step", 0.into()),
        ("model", "m0".into()),
        ("min_version", 1.into()),
        ("group_count", (ITEMS / 4).into()),
        ("items", Json::list((0..ITEMS).map(item))),
    ]);
    let headers = [
        ("Host", "ficu95.example"),
        ("X-Request-Id", id.as_str()),
        ("Content-Type", "application/json"),
    ];
    let path = format!("/rolls/{number}");
    let known: Arc<AtomicUsize> = Arc::default();
    for attempt in 0..3 {
        let (name, entry) = &entries[(number + attempt) % entries.len()];
        let limit = Duration::from_secs(4);
        let text = body.to_string();
        let answer = http::call(*entry, ("POST", &path), &headers, text.as_bytes(), limit);
        let status = answer.map_or(0, |answer| answer.status());
        record.add(format!("trainer submits {id} to {name}: {status}"));
        if status == 202 {
            let (id, known) = (id.clone(), Arc::clone(&known));
            shared.jobs.lock().unwrap().push(Job { id, accepted: Instant::now(), known });
            break;
        }
    }
    pause(SETTLE);
    let (mut next, mut turn) = (0, number);
    while !shared.stop.load(Ordering::SeqCst) {
        turn += 1;
        if let Some(answer) = read(&id, next, &entries[turn % entries.len()], shared, record) {
            next = answer;
            known.store(next as usize, Ordering::SeqCst);
        }
        pause(Duration::from_millis(400));
    }
}

/// Reads from any position of any batch submission, about twice a second.
pub fn reader(number: usize, entries: &[(String, SocketAddr)], shared: &Shared, record: &Record) {
    let mut turn = number;
    while !shared.stop.load(Ordering::SeqCst) {
        turn = turn.wrapping_mul(31).wrapping_add(7);
        let jobs = shared.jobs.lock().unwrap().clone();
        if let Some(job) = jobs.get(turn % jobs.len().max(1)) {
            let known = job.known.load(Ordering::SeqCst) as u64;
            let after = if turn % 2 == 0 { known / 2 } else { known };
            let entry = &entries[(turn / 3) % entries.len()];
            if job.accepted.elapsed() > SETTLE {
                let _ = read(&job.id, after, entry, shared, record);
            }
        }
        pause(Duration::from_millis(400));
    }
}

/// Reads once. Returns the next position.
fn read(
    id: &str,
    after: u64,
    (name, entry): &(String, SocketAddr),
    shared: &Shared,
    record: &Record,
) -> Option<u64> {
    let target = format!("/lagoonyard/lots/{id}?after={after}");
    let headers = [("Host", "ficu95.example"), ("X-Wait-Ms", "1000")];
    let answer = http::call(*entry, ("GET", &target), &headers, b"", Duration::from_millis(2500))?;
    match answer.status() {
        200 => {
            shared.read.fetch_add(1, Ordering::SeqCst);
            Json::parse(&answer.text()).map(|page| page.get("next").u64())
        }
        404 => {
            shared.not_found.fetch_add(1, Ordering::SeqCst);
            record.add(format!("client reads {id} from {after} at {name}: 404"));
            None
        }
        status => {
            record.add(format!("client reads {id} from {after} at {name}: {status}"));
            None
        }
    }
}
