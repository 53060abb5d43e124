//! Stand-in of a model worker: streams the events of items, takes orders and reports its state.

use std::{
    collections::HashMap,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request, Response},
    json::{Value, obj},
    record::Record,
};

pub const MODEL: &str = "m0";

/// How an engine answers a run of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// All its events.
    Stream,
    /// A failed attempt.
    Failed,
    /// It can never be done.
    Never,
}

#[derive(Default)]
struct State {
    version: u64,
    orders: u64,
    fence: u64,
    running: usize,
    /// Runs of each item, with the answer.
    runs: HashMap<String, Vec<Answer>>,
}

type Decide = dyn Fn(&str, usize) -> Answer + Send + Sync;

/// Number of events of an item.
pub type Length = fn(&str) -> u64;

/// Lengths from 6 to 47 events, by a hash of the id.
pub fn spread(id: &str) -> u64 {
    let hash = id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    6 + (hash >> 20) % 42
}

/// Handle of an engine.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub slots: usize,
    /// Number of events of an item, by its id.
    events: Length,
    interval: Duration,
    state: Arc<Mutex<State>>,
    /// Answer to a run of an item, by its id and the number of its earlier runs at all engines.
    decide: Arc<Decide>,
    all_runs: Runs,
    /// Arrivals of items and reward calls at all servers.
    pub arrivals: Arrivals,
    record: Record,
}

/// A request that a server ran.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    /// Host that sent it.
    pub from: String,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// Answers to the runs of each item at all engines.
pub type Runs = Arc<Mutex<HashMap<String, Vec<Answer>>>>;

impl Engine {
    pub fn start(
        id: &str,
        (slots, events, interval): (usize, Length, Duration),
        decide: Arc<Decide>,
        all_runs: &Runs,
        record: &Record,
    ) -> Self {
        let (listener, address) = http::listen();
        let engine = Self {
            id: id.into(),
            address,
            slots,
            events,
            interval,
            state: Arc::new(Mutex::new(State { version: 1, ..State::default() })),
            decide,
            all_runs: Arc::clone(all_runs),
            arrivals: Arrivals::default(),
            record: record.clone(),
        };
        let shared = engine.clone();
        http::serve(listener, move |stream| {
            let from = crate::cluster::peer_host(&stream);
            shared.connection(stream, &from)
        });
        engine
    }

    /// What the engine writes of itself to the store.
    pub fn registration(&self, service: &str, zone: &str) -> Value {
        let mut value =
            crate::refusal::registration(service, self.address, zone, self.slots as u64);
        value.set("stage", "both".into());
        value.set("models", self.models());
        value
    }

    fn models(&self) -> Value {
        let version = self.state.lock().unwrap().version;
        let fields =
            [("name", MODEL.into()), ("version", version.into()), ("adapters", Vec::new().into())];
        vec![obj(fields)].into()
    }

    fn connection(&self, stream: TcpStream, from: &str) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        loop {
            let request = http::read_request(&mut reader)?;
            match self.answer(&request, from) {
                Some(answer) => writer.write_all(&answer.encode())?,
                None => {
                    let result = self.stream(&request, &mut writer);
                    self.state.lock().unwrap().running -= 1;
                    result?;
                }
            }
        }
    }

    /// Answer to a request; `None` if a stream follows.
    fn answer(&self, request: &Request, from: &str) -> Option<Response> {
        let id = request.header("x-request-id");
        let refuse = |status: u16| {
            Response::new(status, "").with("X-Request-Id", id).with("X-Not-Executed", 1)
        };
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return Some(refuse(421).with("X-Instance-Id", &self.id));
        }
        match &*request.path {
            "/health" => return Some(Response::new(200, "").with("X-Instance-Id", &self.id)),
            "/lagoonyard/report" => return Some(self.report()),
            "/lagoonyard/order" => return Some(self.order(&request.body)),
            _ => {}
        }
        let mut state = self.state.lock().unwrap();
        if state.running >= self.slots {
            return Some(refuse(503));
        }
        let before = self.all_runs.lock().unwrap().get(id).map_or(0, Vec::len);
        let answer = (self.decide)(id, before);
        let after = request.header("last-event-id");
        let line = format!("{} runs {id} after event '{after}' from '{from}': {answer:?}", self.id);
        self.record.line(&line);
        let arrival = Arrival { at: Instant::now(), id: id.into(), from: from.into() };
        self.arrivals.lock().unwrap().push(arrival);
        self.all_runs.lock().unwrap().entry(id.into()).or_default().push(answer);
        state.runs.entry(id.into()).or_default().push(answer);
        let failure = |status: u16| {
            let response = Response::new(status, "failed").with("X-Request-Id", id);
            Some(response.with("X-Response-Seal", format!("seal-{id}-{before}")))
        };
        match answer {
            Answer::Failed => failure(500),
            Answer::Never => failure(422),
            Answer::Stream => {
                state.running += 1;
                None
            }
        }
    }

    fn report(&self) -> Response {
        let models = self.models();
        let state = self.state.lock().unwrap();
        let fields = [
            ("stage", "both".into()),
            ("models", models),
            ("busy", false.into()),
            ("seq_no", state.orders.into()),
            ("num_waiting", 0u64.into()),
            ("num_running", (state.running as u64).into()),
            ("kv_used", 0u64.into()),
            ("kv_total", 72_728u64.into()),
            ("handles", 0u64.into()),
        ];
        Response::new(200, obj(fields).to_string()).with("Content-Type", "application/json")
    }

    fn order(&self, body: &[u8]) -> Response {
        let Some(order) = Value::parse(body) else {
            return Response::new(400, "");
        };
        let mut state = self.state.lock().unwrap();
        let (fence, holder) = (order.num("fencing_token"), order.str("holder"));
        self.record.line(&format!("{} gets an order of {holder} with {fence}", self.id));
        if fence < state.fence {
            return Response::new(412, "");
        }
        if order.get("expected").is_some() && order.num("expected") != state.orders {
            return Response::new(409, "");
        }
        state.fence = fence;
        if state.version == order.num("version") {
            return Response::new(200, "");
        }
        state.orders += 1;
        state.version = order.num("version");
        Response::new(202, "")
    }

    fn stream(&self, request: &Request, writer: &mut TcpStream) -> io::Result<()> {
        let id = request.header("x-request-id");
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let version = self.state.lock().unwrap().version;
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {id}\r\n\
             X-Response-Seal: seal-{id}\r\nX-Weight-Versions: {version}\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        for event in after + 1..=(self.events)(id) {
            thread::sleep(self.interval);
            let text = format!("id: {event}\ndata: {id}-{event}\n\n");
            writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

/// Starts a plain service that answers every request with its receipt.
pub fn desk(id: &str) -> SocketAddr {
    let (listener, address) = http::listen();
    let id = id.to_owned();
    http::serve(listener, move |stream| {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        loop {
            let request = http::read_request(&mut reader)?;
            let request_id = request.header("x-request-id");
            let answer = if request.header("x-expect-instance") == id {
                thread::sleep(Duration::from_millis(10));
                Response::new(200, "judged").with("X-Response-Seal", format!("seal-{request_id}"))
            } else {
                Response::new(421, "").with("X-Not-Executed", 1).with("X-Instance-Id", &id)
            };
            writer.write_all(&answer.with("X-Request-Id", request_id).encode())?;
        }
    });
    address
}
