//! A stream that crashes each worker which runs it, and that gets a little further before some crashes than before others.

use std::{path::Path, process::exit, time::Duration};

use review_kit_3::{
    BROKEN, Cluster, HELD, Json, Kv, NOT_RUN, Record, has_trouble,
    poison::{self, DOWN, LATE_RETRIES_MAX, POISON, SOUND, Seen},
};

/// Events that each crash lets through, in turn.
const EVENTS_BEFORE: [u64; 10] = [1, 2, 3, 2, 1, 3, 2, 1, 3, 2];
const EVENTS: u64 = 8;
const EVENT_TIME: Duration = Duration::from_millis(30);
/// Pause between two client attempts of the request.
const PAUSE: Duration = Duration::from_millis(3500);
const SENDS: usize = 14;

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
    let routes = vec![poison::route("drafts", "stream", "writers", 3)];
    kv.put("op/config", &poison::config(1, routes, &["writers"]));
    let (at_worker, log) = (seen.clone(), record.clone());
    let workers = poison::workers(&kv, 6, "writers", move |worker, request, stream| {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let is_poison = request.text() == POISON;
        if is_poison {
            at_worker.arrived(&id);
        }
        log.add(format!("worker {} begins {id} ({})", worker.id, request.text()));
        worker.begin_stream(request, stream)?;
        let before = EVENTS_BEFORE[at_worker.crashes() % EVENTS_BEFORE.len()];
        for event in 1..=EVENTS {
            if is_poison && event > before {
                std::thread::sleep(EVENT_TIME);
                let number = at_worker.crashed();
                log.add(format!(
                    "worker {} crashes under {id} after {before} events: crash {number}",
                    worker.id
                ));
                worker.crash(DOWN);
                return Err(review_kit_3::Worker::gone());
            }
            std::thread::sleep(EVENT_TIME);
            worker.event(stream, event, &format!("text {event}"))?;
        }
        log.add(format!("worker {} has run {id}", worker.id));
        worker.end_stream(stream)
    })?;
    let cluster = Cluster::start("growing", &poison::specs(4), kv, &Json::Null)?;
    // The processes learn of each other.
    poison::pause(Duration::from_secs(8));
    let body = if has_trouble() { POISON } else { SOUND };
    let mut served = 0;
    for number in 0..SENDS {
        let id = format!("{:016x}", 0xa000 + number);
        let status = poison::send(&cluster, &record, number, "/drafts/1", &id, body);
        served += usize::from(status == 200);
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
    if !has_trouble() && served < SENDS {
        return Ok(NOT_RUN);
    }
    Ok(if late > LATE_RETRIES_MAX { BROKEN } else { HELD })
}
