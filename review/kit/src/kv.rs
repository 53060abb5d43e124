//! Stand-in of the platform's store: linearizable, with watches, conditional transactions and leases.

use std::{
    collections::{BTreeMap, HashMap},
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request, Response},
    json::{Value, decode64, encode64, obj},
    link::Translation,
};

/// Time for an answer, as the sheets of the small sites have it.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const PAGE_ITEMS: usize = 500;
const WATCH_POLL: Duration = Duration::from_millis(50);

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
    /// All changes: revision, key and event.
    events: Vec<(u64, String, Value)>,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

/// Handle of the store.
#[derive(Clone)]
pub struct Kv {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.events.push((self.revision, key.into(), encode(key, &item)));
        self.items.insert(key.into(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = obj([
                ("key", key.into()),
                ("revision", self.revision.into()),
                ("deleted", true.into()),
            ]);
            self.events.push((self.revision, key.into(), event));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let bound = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (end, _))| *end <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn commit(&mut self, txn: &Value) -> (u16, Value) {
        let revision = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let expected = txn.arr("expected");
        if !expected.iter().all(|row| revision(row.str("key")) == row.num("revision")) {
            let keys = expected.iter().map(|row| row.str("key"));
            let items = keys.filter_map(|key| Some(encode(key, self.items.get(key)?)));
            return (412, obj([("items", items.collect::<Vec<_>>().into())]));
        }
        let leases = txn.arr("puts").iter().map(|put| put.num("lease"));
        if leases.filter(|lease| *lease > 0).any(|lease| !self.leases.contains_key(&lease)) {
            return (404, obj([]));
        }
        let keys = txn.arr("puts").iter().map(|put| put.str("key"));
        if keys.into_iter().any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
            return (403, obj([]));
        }
        for put in txn.arr("puts") {
            self.put(put.str("key"), decode64(put.str("value")), put.num("lease"));
        }
        for key in txn.arr("remove") {
            if let Value::Str(key) = key {
                self.remove(key);
            }
        }
        (200, obj([("revision", self.revision.into())]))
    }
}

fn translate_answer(value: &mut Value, translation: &Translation) {
    for list in ["items", "events"] {
        let entries = value.arr(list).to_vec();
        if !entries.is_empty() {
            let translated = entries.into_iter().map(|entry| translate_entry(entry, translation));
            value.set(list, translated.collect::<Vec<_>>().into());
        }
    }
    *value = translate_entry(value.clone(), translation);
}

fn translate_entry(mut entry: Value, translation: &Translation) -> Value {
    let key = entry.str("key");
    let has_address = ["host/", "lead/"].iter().any(|prefix| key.starts_with(prefix));
    let Some(mut value) = Value::parse(&decode64(entry.str("value"))).filter(|_| has_address)
    else {
        return entry;
    };
    for field in ["address", "peer"] {
        if let Some(seen) = translation.of(value.str(field)) {
            value.set(field, seen.into());
        }
    }
    entry.set("value", encode64(value.to_string().as_bytes()).into());
    entry
}

fn encode(key: &str, item: &Item) -> Value {
    obj([
        ("key", key.into()),
        ("value", encode64(&item.value).into()),
        ("revision", item.revision.into()),
        ("create_revision", item.created.into()),
        ("lease", item.lease.into()),
    ])
}

impl Kv {
    pub fn start() -> Self {
        let (listener, address) = http::listen();
        let state = State { revision: 1, ..State::default() };
        let kv = Self { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let shared = kv.clone();
        http::serve(listener, move |stream| shared.connection(stream));
        kv
    }

    fn with<T>(&self, work: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.0.lock().unwrap();
        state.expire();
        let result = work(&mut state);
        self.state.1.notify_all();
        result
    }

    /// Writes as the operator, a trainer or a server does.
    pub fn put(&self, key: &str, value: &Value) {
        self.with(|state| state.put(key, value.to_string().into_bytes(), 0));
    }

    /// Address of the same store at which a host sees the other hosts at the addresses of its links to them.
    pub fn view(&self, translation: &Translation) -> SocketAddr {
        let (listener, address) = http::listen();
        let (kv, translation) = (self.clone(), translation.clone());
        http::serve(listener, move |stream| {
            let mut reader = BufReader::new(stream.try_clone()?);
            let mut writer = stream;
            loop {
                let request = http::read_request(&mut reader)?;
                std::thread::sleep(ANSWER_TIME);
                let mut answer = kv.answer(&request);
                if let Some(mut value) = Value::parse(&answer.body) {
                    translate_answer(&mut value, &translation);
                    answer.body = value.to_string().into_bytes();
                }
                writer.write_all(&answer.encode())?;
            }
        });
        address
    }

    pub fn value(&self, key: &str) -> Option<Value> {
        let bytes = self.with(|state| state.items.get(key).map(|item| item.value.clone()))?;
        Value::parse(&bytes)
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.with(|state| {
            let keys = state.items.keys().filter(|key| key.starts_with(prefix));
            keys.cloned().collect()
        })
    }

    /// Host that holds a leader key.
    pub fn holder(&self, key: &str) -> Option<String> {
        self.value(key).map(|value| value.str("host").to_owned())
    }

    fn connection(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        loop {
            let request = http::read_request(&mut reader)?;
            std::thread::sleep(ANSWER_TIME);
            writer.write_all(&self.answer(&request).encode())?;
        }
    }

    fn answer(&self, request: &Request) -> Response {
        let call = request.path.trim_start_matches("/lagoonyard/");
        let (status, value) = match (request.method.as_str(), call) {
            ("GET", "kv-watch") => self.watch(request),
            ("GET", "kv-key") => self.with(|state| {
                let key = request.parameter("key");
                let Some(item) = state.items.get(&key) else {
                    return (404, obj([]));
                };
                let mut value = encode(&key, item);
                value.set("current_rev", state.revision.into());
                (200, value)
            }),
            ("GET", "kv-range") => self.with(|state| {
                let (prefix, after) = (request.parameter("prefix"), request.parameter("after"));
                let found = state.items.iter();
                let mut found = found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<Value> =
                    found.by_ref().take(PAGE_ITEMS).map(|(key, item)| encode(key, item)).collect();
                let more = found.next().is_some();
                let fields = [
                    ("items", items.into()),
                    ("more_pages", more.into()),
                    ("current_rev", state.revision.into()),
                ];
                (200, obj(fields))
            }),
            ("POST", "kv-txn") => match Value::parse(&request.body) {
                Some(txn) => self.with(|state| state.commit(&txn)),
                None => (400, obj([])),
            },
            ("POST", "kv-lease") => {
                let ttl = Value::parse(&request.body).map_or(0, |body| body.num("ttl_ms"));
                self.with(|state| {
                    state.next_lease += 1;
                    let ttl_time = Duration::from_millis(ttl);
                    let lease = (Instant::now() + ttl_time, ttl_time);
                    state.leases.insert(state.next_lease, lease);
                    (200, obj([("lease", state.next_lease.into()), ("ttl_ms", ttl.into())]))
                })
            }
            ("POST", call) if call.starts_with("kv-keep/") => {
                let lease: u64 = call["kv-keep/".len()..].parse().unwrap_or(0);
                self.with(|state| match state.leases.get_mut(&lease) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + *ttl;
                        (200, obj([("ttl_ms", (ttl.as_millis() as u64).into())]))
                    }
                    None => (404, obj([])),
                })
            }
            ("DELETE", call) if call.starts_with("kv-lease-end/") => {
                let lease: u64 = call["kv-lease-end/".len()..].parse().unwrap_or(0);
                self.with(|state| state.end_lease(lease));
                (200, obj([]))
            }
            _ => (400, obj([])),
        };
        Response::new(status, value.to_string()).with("Content-Type", "application/json")
    }

    fn watch(&self, request: &Request) -> (u16, Value) {
        let prefix = request.parameter("prefix");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait = request.parameter("wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.0.lock().unwrap();
        loop {
            state.expire();
            let new = state.events.iter().rev().take_while(|(revision, ..)| *revision > after);
            let matching = new.filter(|(_, key, _)| key.starts_with(&prefix));
            let mut events: Vec<Value> = matching.map(|(.., event)| event.clone()).collect();
            events.reverse();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let fields = [("events", events.into()), ("current_rev", state.revision.into())];
                return (200, obj(fields));
            }
            let pause = (end - now).min(WATCH_POLL);
            state = self.state.1.wait_timeout(state, pause).unwrap().0;
        }
    }
}
