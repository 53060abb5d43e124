//! A request that crashes each worker which begins to run it, shortly after its client has left.

use std::{
    io::Write,
    net::TcpStream,
    path::Path,
    process::exit,
    thread,
    time::{Duration, Instant},
};

use review_kit_3::{
    BROKEN, Cluster, HELD, Json, Kv, NOT_RUN, Record, has_trouble, http,
    poison::{self, DOWN, LATE_RETRIES_MAX, POISON, Seen},
};

/// Time from the begin of the request at a worker until the worker crashes.
const CRASH_AFTER: Duration = Duration::from_millis(300);
/// Half the objective of the route, after which the client leaves.
const PATIENCE: Duration = Duration::from_millis(200);
/// Pause between two client attempts of the request.
const PAUSE: Duration = Duration::from_millis(3500);
const SENDS: usize = 12;

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    exit(match run(Path::new(&folder)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("could not run: {error}");
            NOT_RUN
        }
    });
}

fn run(folder: &Path) -> std::io::Result<i32> {
    let record = Record::create(&folder.join("record.txt"))?;
    let (kv, seen) = (Kv::start(), Seen::default());
    let routes = vec![poison::route("register", "idempotent", "desk", 4)];
    kv.put("op/config", &poison::config(1, routes, &["desk"]));
    let (at_worker, log) = (seen.clone(), record.clone());
    let workers = poison::workers(&kv, 8, "desk", move |worker, request, stream| {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        log.add(format!("worker {} begins {id} ({})", worker.id, request.text()));
        if request.text() != POISON {
            thread::sleep(Duration::from_millis(25));
            return worker.answer(request, stream, b"entry");
        }
        at_worker.arrived(&id);
        thread::sleep(CRASH_AFTER);
        if !worker.is_down() {
            let number = at_worker.crashed();
            log.add(format!("worker {} crashes under {id}: crash {number}", worker.id));
            worker.crash(DOWN);
        }
        Err(review_kit_3::Worker::gone())
    })?;
    let cluster = Cluster::start("impatient", &poison::specs(4), kv, &Json::Null)?;
    // The processes learn of each other.
    poison::pause(Duration::from_secs(8));
    for number in 0..SENDS {
        let id = format!("{:016x}", 0xc000 + number);
        if has_trouble() {
            leave(&cluster, &record, number, &id)?;
        } else {
            poison::send(&cluster, &record, number, "/register/1", &id, POISON);
        }
        poison::pause(PAUSE);
    }
    let (crashes, late) = (seen.crashes(), seen.late_retries());
    record.add(format!(
        "{crashes} crashes, {late} retries reached workers later than contact_ms after the third"
    ));
    if let Ok(to) = std::env::var("KEEP_LOGS") {
        cluster.keep_logs(Path::new(&to));
    }
    drop(workers);
    Ok(if late > LATE_RETRIES_MAX { BROKEN } else { HELD })
}

/// Sends the request, and closes the channel before the answer.
fn leave(cluster: &Cluster, record: &Record, at: usize, id: &str) -> std::io::Result<()> {
    let node = &cluster.nodes[at % cluster.nodes.len()];
    record.add(format!("client sends {id} ({POISON}) to {}", node.spec.name));
    let headers = [("Host", "ficu95.example"), ("X-Request-Id", id), ("X-Deadline-Ms", "2000")];
    let mut stream = TcpStream::connect(node.entry)?;
    stream.write_all(&http::request("POST", "/register/1", &headers, POISON.as_bytes()))?;
    let sent = Instant::now();
    thread::sleep(PATIENCE);
    drop(stream);
    record.add(format!("client leaves {id} after {} ms", sent.elapsed().as_millis()));
    Ok(())
}
