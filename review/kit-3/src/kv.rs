//! Stand-in of the platform's store: linearizable keys, watches, conditional changes and leases.

use std::{
    collections::{BTreeMap, HashMap},
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{Json, base64, http};

/// Largest number of entries in a page.
const PAGE: usize = 500;
/// Size of the values from which a page ends.
const PAGE_BYTES: usize = 1_000_000;
/// Largest number of entries in a transaction.
const TXN_MAX: usize = 32;
/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order; an item of `None` was removed.
    log: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
    /// Calls in order: time and target.
    calls: Vec<(Instant, String)>,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.log.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            self.log.push((revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let bound = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            let revision = self.revision;
            keys.iter().for_each(|key| self.remove(key, revision));
        }
    }
}

/// Whether a machine gets no answers. A channel on which an answer is lost returns nothing further.
#[derive(Clone, Default)]
pub struct Losses(Arc<AtomicBool>);

impl Losses {
    pub fn set(&self, loses: bool) {
        self.0.store(loses, Ordering::SeqCst);
    }

    fn are_on(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// Handle of the store.
#[derive(Clone, Default)]
pub struct Kv {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Kv {
    /// Starts the store. It can be reached at any number of addresses.
    pub fn start() -> Self {
        let kv = Self::default();
        kv.lock().revision = 100;
        let expiring = kv.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                let mut state = expiring.lock();
                let now = Instant::now();
                let ended = state.leases.iter().filter(|(_, (_, end))| *end <= now);
                let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
                ended.iter().for_each(|lease| state.end_lease(*lease));
                drop(state);
                if !ended.is_empty() {
                    expiring.shared.1.notify_all();
                }
            }
        });
        kv
    }

    /// Serves calls at a new address, whose answers may be lost.
    pub fn listen(&self, losses: &Losses) -> io::Result<SocketAddr> {
        let losses = losses.clone();
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let kv = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (kv, losses) = (kv.clone(), losses.clone());
                thread::spawn(move || kv.serve(&stream, &losses));
            }
        });
        Ok(address)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Writes a key as the operator or a worker does. Returns the revision.
    pub fn put(&self, key: &str, value: &Json) -> u64 {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        state.put(key, value.to_string().into_bytes(), 0, revision);
        drop(state);
        self.shared.1.notify_all();
        revision
    }

    /// Removes a key as the platform does with the entry of a worker that has left.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        state.remove(key, revision);
        drop(state);
        self.shared.1.notify_all();
    }

    pub fn get(&self, key: &str) -> Option<Json> {
        let state = self.lock();
        Json::parse(&String::from_utf8_lossy(&state.items.get(key)?.value))
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Calls whose target contains a text.
    pub fn calls(&self, text: &str) -> Vec<Instant> {
        let state = self.lock();
        state.calls.iter().filter(|(_, target)| target.contains(text)).map(|(at, _)| *at).collect()
    }

    fn serve(&self, stream: &TcpStream, losses: &Losses) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let (mut reader, mut writer) = (BufReader::new(clone), stream);
        while let Ok(request) = http::read_request(&mut reader) {
            self.lock().calls.push((Instant::now(), request.target().to_owned()));
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.handle(&request);
            if losses.are_on() {
                // Nothing further, until the machine closes the channel.
                while http::read_request(&mut reader).is_ok() {}
                return;
            }
            let body = body.map_or_else(String::new, |body| body.to_string());
            let headers = [("Content-Type", "application/json")];
            if writer.write_all(&http::response(status, &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &http::Message) -> (u16, Option<Json>) {
        let path = request.path().to_owned();
        let call = path.strip_prefix("/lagoonyard/").unwrap_or_default();
        let id = call.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        let body = Json::parse(&request.text()).unwrap_or(Json::Null);
        match (request.method(), call.split('/').next().unwrap_or_default()) {
            ("GET", "kv-key") => {
                let key = request.query("key").unwrap_or_default();
                let state = self.lock();
                let Some(item) = state.items.get(&key) else { return (404, None) };
                let mut found = encoded(&key, item);
                found.set("current_rev", state.revision);
                (200, Some(found))
            }
            ("GET", "kv-range") => {
                let prefix = request.query("prefix").unwrap_or_default();
                let after = request.query("after");
                let state = self.lock();
                let items = state.items.iter().filter(|(key, _)| {
                    key.starts_with(&prefix) && after.as_ref().is_none_or(|after| *key > after)
                });
                let (mut page, mut bytes, mut more) = (Vec::new(), 0, false);
                for (key, item) in items {
                    bytes += item.value.len();
                    more = !page.is_empty() && (bytes > PAGE_BYTES || page.len() == PAGE);
                    if more {
                        break;
                    }
                    page.push(encoded(key, item));
                }
                let page = Json::List(page);
                let fields = [
                    ("items", page),
                    ("more_pages", more.into()),
                    ("current_rev", state.revision.into()),
                ];
                (200, Some(Json::map(fields)))
            }
            ("GET", "kv-watch") => self.watch(request),
            ("POST", "kv-txn") => self.commit(&body),
            ("POST", "kv-lease") => {
                let ttl_ms = body.get("ttl_ms").u64();
                let ttl = Duration::from_millis(ttl_ms);
                let mut state = self.lock();
                state.last_lease += 1;
                let lease = state.last_lease;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, Some(Json::map([("lease", lease.into()), ("ttl_ms", ttl_ms.into())])))
            }
            ("POST", "kv-keep") => {
                let mut state = self.lock();
                let Some((ttl, end)) = state.leases.get_mut(&id) else { return (404, None) };
                *end = Instant::now() + *ttl;
                (200, Some(Json::map([("ttl_ms", (ttl.as_millis() as u64).into())])))
            }
            ("DELETE", "kv-lease-end") => {
                self.lock().end_lease(id);
                self.shared.1.notify_all();
                (200, Some(Json::map([])))
            }
            _ => (400, None),
        }
    }

    fn watch(&self, request: &http::Message) -> (u16, Option<Json>) {
        let prefix = request.query("prefix").unwrap_or_default();
        let number = |name| request.query(name).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
        let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms")));
        let end = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let changes = state.log.iter().rev().take_while(|(revision, ..)| *revision > after);
            let ours = changes.filter(|(_, key, _)| key.starts_with(&prefix));
            let mut events: Vec<Json> = ours
                .map(|(revision, key, item)| match item {
                    Some(item) => encoded(key, item),
                    None => Json::map([
                        ("key", key.as_str().into()),
                        ("revision", (*revision).into()),
                        ("deleted", true.into()),
                    ]),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                events.reverse();
                let fields =
                    [("events", Json::List(events)), ("current_rev", state.revision.into())];
                return (200, Some(Json::map(fields)));
            }
            state = match self.shared.1.wait_timeout(state, left) {
                Ok((state, _)) => state,
                Err(_) => return (503, None),
            };
        }
    }

    fn commit(&self, body: &Json) -> (u16, Option<Json>) {
        let rows = ["expected", "puts", "remove"].map(|name| body.get(name).items().len());
        if rows.iter().sum::<usize>() > TXN_MAX {
            return (400, None);
        }
        let mut state = self.lock();
        let now = |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.revision);
        let expected = body.get("expected").items();
        let differs = |row: &&Json| now(&state, row.get("key").str()) != row.get("revision").u64();
        if expected.iter().any(|row| differs(&row)) {
            let found = expected.iter().filter_map(|row| {
                let key = row.get("key").str();
                state.items.get(key).map(|item| encoded(key, item))
            });
            let found = Json::list(found);
            return (412, Some(Json::map([("items", found)])));
        }
        let puts = body.get("puts").items();
        let lease = |put: &Json| put.get("lease").u64();
        if puts.iter().any(|put| lease(put) > 0 && !state.leases.contains_key(&lease(put))) {
            return (404, None);
        }
        state.revision += 1;
        let revision = state.revision;
        for put in puts {
            let value = base64::decode(put.get("value").str()).unwrap_or_default();
            state.put(put.get("key").str(), value, lease(put), revision);
        }
        for key in body.get("remove").items() {
            state.remove(key.str(), revision);
        }
        drop(state);
        self.shared.1.notify_all();
        (200, Some(Json::map([("revision", revision.into())])))
    }
}

fn encoded(key: &str, item: &Item) -> Json {
    Json::map([
        ("key", key.into()),
        ("value", base64::encode(&item.value).into()),
        ("revision", item.revision.into()),
        ("create_revision", item.created.into()),
        ("lease", item.lease.into()),
    ])
}
