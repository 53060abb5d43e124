//! Graceful stop: a host that gets SIGTERM completes the requests in flight and exits.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use nix::sys::signal::Signal;
use serde_json::json;
use snafu::ensure_whatever;

use super::{once, streams};
use crate::{
    Result,
    cluster::{Cluster, Plan},
    http::Request,
    trainer::Trainer,
};

const TOKENS: u64 = 100;

/// Guards against a stop that cuts off streams, a keyed call or a pull, that exits with an error, or after which the
/// other hosts deliver no batches to the trainer.
pub fn graceful_stop() -> Result<()> {
    let mut cluster = Cluster::start(Plan { hosts: 3, ..Plan::default() })?;
    once::control_service(&cluster, 0, &json!({"delay_ms": 1500}))?;
    let texts = streams::expected_texts(cluster.engines[0].address, 4, TOKENS)?;
    let entries = [cluster.hosts[0].entry, cluster.hosts[1].entry, cluster.hosts[2].entry];
    let key = once::issue_key(entries[0])?;
    let stopping = AtomicBool::new(false);
    thread::scope(|scope| {
        let calls: Vec<_> = (0..4)
            .map(|index| scope.spawn(move || streams::read_stream(entries[0], index, TOKENS)))
            .collect();
        let booked = scope.spawn(|| once::submit_booking(entries[0], &key, "b-1"));
        let pulled = scope.spawn(|| {
            let pull = json!({"cursor": "", "version": 1, "wait_ms": 4000});
            Request::post(entries[0], "/v1/trainers/blurb/pull", &pull).send()
        });
        let trained = scope.spawn(|| {
            let mut trainer = Trainer::new(1);
            let mut before = 0;
            let bound = Duration::from_secs(20);
            while trainer.batches < before + 3 {
                if !stopping.load(Ordering::SeqCst) {
                    before = trainer.batches;
                }
                trainer.pull_from_any(&entries[1..], bound)?;
            }
            Ok(())
        });
        thread::sleep(Duration::from_millis(700));
        cluster.process(0)?.signal(Signal::SIGTERM)?;
        stopping.store(true, Ordering::SeqCst);
        let panicked = |_| snafu::whatever!("calling thread panicked");
        for (call, text) in calls.into_iter().zip(&texts) {
            let complete = streams::check_stream(&call.join().unwrap_or_else(panicked)?, text)?;
            ensure_whatever!(complete, "stream was cut off by a graceful stop");
        }
        let booked = booked.join().unwrap_or_else(panicked)?;
        ensure_whatever!(
            booked.status == 201,
            "keyed call failed: {} {}",
            booked.status,
            booked.text()
        );
        let pulled = pulled.join().unwrap_or_else(panicked)?;
        let expected = pulled.complete
            && (pulled.status == 200 || matches!(&*pulled.code(), "LY-302" | "LY-209"));
        ensure_whatever!(expected, "pull in flight failed: {} {}", pulled.status, pulled.text());
        trained.join().unwrap_or_else(|_| snafu::whatever!("trainer thread panicked"))
    })?;
    let status = cluster.process(0)?.wait_for_exit(Duration::from_secs(20))?;
    ensure_whatever!(status.success(), "stopped host exited with {status}");
    ensure_whatever!(
        once::booking_count(&cluster, "b-1") == 1,
        "keyed call did not run exactly once"
    );
    Ok(())
}
