//! A request that crashes each worker which runs it, and comes again after all entry processes were killed at once.

use std::{path::Path, process::exit, time::Duration};

use review_kit_3::{
    BROKEN, Cluster, HELD, Json, Kv, NOT_RUN, Node, Record, has_trouble,
    poison::{self, DOWN, LATE_RETRIES_MAX, POISON, Seen},
    wait_until,
};

/// Pause between two client attempts of the request.
const PAUSE: Duration = Duration::from_millis(3500);
const SENDS: usize = 12;
/// Crashes after which all processes are killed.
const CRASHES_BEFORE: usize = 2;

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
    let routes = vec![poison::route("lodge", "non_idempotent", "desk", 3)];
    kv.put("op/config", &poison::config(1, routes, &["desk"]));
    let (at_worker, log) = (seen.clone(), record.clone());
    let workers = poison::workers(&kv, 6, "desk", move |worker, request, stream| {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        log.add(format!("worker {} begins {id} ({})", worker.id, request.text()));
        if request.text() == POISON {
            at_worker.arrived(&id);
            let number = at_worker.crashed();
            log.add(format!("worker {} crashes under {id}: crash {number}", worker.id));
            worker.crash(DOWN);
            return Err(review_kit_3::Worker::gone());
        }
        std::thread::sleep(Duration::from_millis(25));
        worker.answer(request, stream, b"entry")
    })?;
    let mut cluster = Cluster::start("forgotten", &poison::specs(4), kv, &Json::Null)?;
    // The processes learn of each other.
    poison::pause(Duration::from_secs(8));
    let mut killed = false;
    for number in 0..SENDS {
        if has_trouble() && !killed && seen.crashes() >= CRASHES_BEFORE {
            killed = true;
            record.add("all entry processes are killed");
            cluster.nodes.iter_mut().for_each(Node::kill);
            poison::pause(Duration::from_millis(500));
            for node in &mut cluster.nodes {
                node.start()?;
            }
            if !wait_until(Duration::from_secs(10), || cluster.nodes.iter().all(Node::is_ready)) {
                return Ok(NOT_RUN);
            }
            record.add("all entry processes are back and ready");
            poison::pause(Duration::from_secs(4));
        }
        let id = format!("{:016x}", 0xb000 + number);
        poison::send(&cluster, &record, number, "/lodge/1", &id, POISON);
        poison::pause(PAUSE);
    }
    let (crashes, late) = (seen.crashes(), seen.late_retries());
    record.add(format!(
        "{crashes} crashes, {late} retries reached workers later than contact_ms after the third"
    ));
    drop(workers);
    Ok(if late > LATE_RETRIES_MAX { BROKEN } else { HELD })
}
