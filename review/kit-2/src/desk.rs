//! Stand-in of a plain service, such as one that scores texts.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{self, Reply, Response},
    kv::Kv,
    record::Record,
};

const HEARTBEAT: Duration = Duration::from_millis(1200);
const WORK_TIME: Duration = Duration::from_millis(20);

/// Starts a worker of the service and registers it.
pub fn start(id: &str, zone: &str, service: &'static str, kv: &Kv, record: &Record) -> SocketAddr {
    start_with((id, zone, service), Arc::new(b"scored".to_vec()), kv, record)
}

/// The same with another body of its answers.
pub fn start_with(
    (id, zone, service): (&str, &str, &'static str),
    answer: Arc<Vec<u8>>,
    kv: &Kv,
    record: &Record,
) -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let (own, record) = (id.to_owned(), record.clone());
    let address = http::serve(Arc::new(move |request| {
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != own {
            return Reply::Answer(Response::new(421, &[("X-Instance-Id", &own)], ""));
        }
        if request.path == "/health" {
            return Reply::Answer(Response::new(200, &[("X-Instance-Id", &own)], ""));
        }
        let call = request.header("x-request-id").to_owned();
        thread::sleep(WORK_TIME);
        let seal = format!("score-{:08x}", NEXT.fetch_add(1, Ordering::SeqCst));
        record.line(format!("{own}: ran call {call}, receipt {seal}"));
        let headers = [("X-Request-Id", &*call), ("X-Response-Seal", &*seal)];
        Reply::Answer(Response::new(200, &headers, &**answer))
    }));
    let (key, zone, kv) = (format!("servers/{id}"), zone.to_owned(), kv.clone());
    let register = move |beat: u64| {
        let value = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"born":1700000000000,"seq_no":{beat}}}"#
        );
        kv.put(&key, &value);
    };
    register(0);
    thread::spawn(move || {
        for beat in 1.. {
            thread::sleep(HEARTBEAT);
            register(beat);
        }
    });
    address
}
