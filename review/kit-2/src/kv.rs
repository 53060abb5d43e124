//! Stand-in of the platform's store: linearizable, with watches, conditional transactions and leases.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    base64,
    http::{self, Reply, Request, Response},
    json::{Json, quoted},
};

/// Largest value, as the settings of the processes say.
pub const VALUE_BYTES: usize = 1 << 20;
/// Shortest lease.
pub const TTL_MIN_MS: u64 = 1000;
/// Largest number of items and of bytes in a page.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
const ENTRIES_MAX: usize = 32;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    revision: u64,
    key: String,
    event: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    changes: Vec<Change>,
    leases: HashMap<u64, (Instant, Duration)>,
    last_lease: u64,
    /// Prefix of which the next answer of a watch with changes is lost.
    to_lose: Option<String>,
}

/// Handle of the store.
#[derive(Clone)]
pub struct Kv {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Kv {
    pub fn start() -> Self {
        let state = State { revision: 100, ..State::default() };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let server = Arc::clone(&shared);
        let address = http::serve(Arc::new(move |request| respond(&server, &request)));
        let kv = Self { address, shared };
        let expiring = kv.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                expiring.lock().expire();
                expiring.shared.1.notify_all();
            }
        });
        kv
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no holder panics")
    }

    pub fn put(&self, key: &str, value: &str) {
        self.lock().put(key, value.as_bytes().to_vec(), 0);
        self.shared.1.notify_all();
    }

    /// Loses the next answer of one watch of a prefix that has changes: its channel returns nothing further.
    pub fn lose_answer_of_watch(&self, prefix: &str) {
        self.lock().to_lose = Some(prefix.into());
    }

    /// Whether that answer has been lost.
    pub fn has_lost_it(&self) -> bool {
        self.lock().to_lose.is_none()
    }

    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.lock();
        state.items.get(key).map(|item| String::from_utf8_lossy(&item.value).into_owned())
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        let event = format!("{{{}}}", fields(key, &item));
        self.changes.push(Change { revision, key: key.into(), event });
        self.items.insert(key.into(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            let event =
                format!("{{\"key\":{},\"revision\":{revision},\"deleted\":true}}", quoted(key));
            self.changes.push(Change { revision, key: key.into(), event });
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (end, _))| *end <= now);
        for lease in ended.map(|(lease, _)| *lease).collect::<Vec<_>>() {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let bound = self.items.iter().filter(|(_, item)| item.lease == lease);
        for key in bound.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.remove(&key);
        }
    }

    fn revision_of(&self, key: &str) -> u64 {
        self.items.get(key).map_or(0, |item| item.revision)
    }
}

fn fields(key: &str, item: &Item) -> String {
    format!(
        "\"key\":{},\"value\":\"{}\",\"revision\":{},\"create_revision\":{},\"lease\":{}",
        quoted(key),
        base64::encode(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn respond(shared: &(Mutex<State>, Condvar), request: &Request) -> Reply {
    if request.path == "/lagoonyard/kv-watch" {
        return watch(shared, request);
    }
    let mut state = shared.0.lock().expect("no holder panics");
    state.expire();
    let response = match (&*request.method, request.path.trim_start_matches("/lagoonyard/")) {
        ("GET", "kv-key") => get(&state, request),
        ("GET", "kv-range") => range(&state, request),
        ("POST", "kv-txn") => commit(&mut state, request),
        ("POST", "kv-lease") => {
            let ttl_ms = Json::parse(&request.body).map_or(0, |body| body.get("ttl_ms").number());
            let ttl = Duration::from_millis(ttl_ms.clamp(TTL_MIN_MS, 600_000));
            state.last_lease += 1;
            let lease = state.last_lease;
            state.leases.insert(lease, (Instant::now() + ttl, ttl));
            Response::json(200, format!("{{\"lease\":{lease},\"ttl_ms\":{}}}", ttl.as_millis()))
        }
        ("POST", path) if path.starts_with("kv-keep/") => {
            let lease = path.trim_start_matches("kv-keep/").parse().unwrap_or(0);
            match state.leases.get_mut(&lease) {
                Some((end, ttl)) => {
                    *end = Instant::now() + *ttl;
                    Response::json(200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                }
                None => Response::json(404, "{}"),
            }
        }
        ("DELETE", path) if path.starts_with("kv-lease-end/") => {
            let lease = path.trim_start_matches("kv-lease-end/").parse().unwrap_or(0);
            state.end_lease(lease);
            Response::json(200, "{}")
        }
        _ => Response::json(400, "{}"),
    };
    drop(state);
    shared.1.notify_all();
    Reply::Answer(response)
}

fn get(state: &State, request: &Request) -> Response {
    let key = request.parameter("key");
    let now = state.revision;
    match state.items.get(&key) {
        Some(item) => {
            Response::json(200, format!("{{{},\"current_rev\":{now}}}", fields(&key, item)))
        }
        None => Response::json(404, format!("{{\"current_rev\":{now}}}")),
    }
}

fn range(state: &State, request: &Request) -> Response {
    let (prefix, after) = (request.parameter("prefix"), request.parameter("after"));
    let found = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
    let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
    for (key, item) in found {
        if items.len() >= PAGE_ITEMS || bytes >= PAGE_BYTES {
            more = true;
            break;
        }
        bytes += item.value.len();
        items.push(format!("{{{}}}", fields(key, item)));
    }
    let (items, now) = (items.join(","), state.revision);
    Response::json(
        200,
        format!("{{\"items\":[{items}],\"more_pages\":{more},\"current_rev\":{now}}}"),
    )
}

fn watch(shared: &(Mutex<State>, Condvar), request: &Request) -> Reply {
    let prefix = request.parameter("prefix");
    let after: u64 = request.parameter("after").parse().unwrap_or(0);
    let wait_ms: u64 = request.parameter("wait_ms").parse().unwrap_or(0);
    let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
    let mut state = shared.0.lock().expect("no holder panics");
    loop {
        let changes = state.changes.iter();
        let found = changes.filter(|it| it.revision > after && it.key.starts_with(&prefix));
        let events: Vec<&str> = found.map(|it| &*it.event).collect();
        let left = end.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            let (is_lost, now) =
                (!events.is_empty() && state.to_lose.as_ref() == Some(&prefix), state.revision);
            if is_lost {
                state.to_lose = None;
                drop(state);
                // The caller gives up sooner.
                thread::sleep(Duration::from_secs(25));
                return Reply::Close;
            }
            let events = events.join(",");
            let body = format!("{{\"events\":[{events}],\"current_rev\":{now}}}");
            return Reply::Answer(Response::json(200, body));
        }
        state = shared.1.wait_timeout(state, left).expect("no holder panics").0;
    }
}

fn commit(state: &mut State, request: &Request) -> Response {
    let Some(txn) = Json::parse(&request.body) else {
        return Response::json(400, "{}");
    };
    let (expected, puts, removes) =
        (txn.get("expected").list(), txn.get("puts").list(), txn.get("remove").list());
    let is_own = |key: &str| !key.starts_with("op/") && !key.starts_with("servers/");
    if !puts.iter().all(|put| is_own(put.get("key").text())) {
        return Response::json(403, "{}");
    }
    let values: Vec<Vec<u8>> =
        puts.iter().map(|put| base64::decode(put.get("value").text())).collect();
    let is_too_large = values.iter().any(|value| value.len() > VALUE_BYTES)
        || expected.len() + puts.len() + removes.len() > ENTRIES_MAX * 3
        || [expected.len(), puts.len(), removes.len()].iter().any(|len| *len > ENTRIES_MAX);
    if is_too_large {
        return Response::json(400, "{}");
    }
    let holds =
        |row: &Json| state.revision_of(row.get("key").text()) == row.get("revision").number();
    if !expected.iter().all(holds) {
        let present = expected.iter().filter_map(|row| {
            let key = row.get("key").text();
            Some(format!("{{{}}}", fields(key, state.items.get(key)?)))
        });
        let items = present.collect::<Vec<_>>().join(",");
        return Response::json(412, format!("{{\"items\":[{items}]}}"));
    }
    let leases = puts.iter().map(|put| put.get("lease").number());
    if leases.into_iter().any(|lease| lease > 0 && !state.leases.contains_key(&lease)) {
        return Response::json(404, "{}");
    }
    for (put, value) in puts.iter().zip(values) {
        state.put(put.get("key").text(), value, put.get("lease").number());
    }
    for key in removes {
        state.remove(key.text());
    }
    Response::json(200, format!("{{\"revision\":{}}}", state.revision))
}
