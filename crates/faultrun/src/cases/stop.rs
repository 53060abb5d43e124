//! A graceful stop cuts nothing off.

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
    http::Request,
    trainer::Trainer,
    yard::{Plan, Yard},
};

const TOKENS: u64 = 100;

/// Guards against a stop that cuts off streams, a keyed call or a pull, exits with an error, or starves the trainer.
pub fn graceful_stop() -> Result<()> {
    let mut yard = Yard::start(Plan { hosts: 3, ..Plan::default() })?;
    once::service(&yard, 0, &json!({"delay_ms": 1500}))?;
    let texts = streams::texts(yard.engines[0].address, 4, TOKENS)?;
    let entries = [yard.hosts[0].entry, yard.hosts[1].entry, yard.hosts[2].entry];
    let key = once::key(entries[0])?;
    let stopping = AtomicBool::new(false);
    thread::scope(|scope| {
        let calls: Vec<_> = (0..4)
            .map(|index| scope.spawn(move || streams::stream(entries[0], index, TOKENS)))
            .collect();
        let booked = scope.spawn(|| once::book(entries[0], &key, "b-1"));
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
                trainer.pull_any(&entries[1..], bound)?;
            }
            Ok(())
        });
        thread::sleep(Duration::from_millis(700));
        yard.process(0)?.signal(Signal::SIGTERM)?;
        stopping.store(true, Ordering::SeqCst);
        let lost = |_| snafu::whatever!("call ended early");
        for (call, text) in calls.into_iter().zip(&texts) {
            let whole = streams::check(&call.join().unwrap_or_else(lost)?, text)?;
            ensure_whatever!(whole, "a stream is not whole after a graceful stop");
        }
        let booked = booked.join().unwrap_or_else(lost)?;
        ensure_whatever!(booked.status == 201, "keyed call: {} {}", booked.status, booked.text());
        let pulled = pulled.join().unwrap_or_else(lost)?;
        let fits = pulled.whole
            && (pulled.status == 200 || matches!(&*pulled.code(), "LY-302" | "LY-209"));
        ensure_whatever!(fits, "pull in flight: {} {}", pulled.status, pulled.text());
        trained.join().unwrap_or_else(|_| snafu::whatever!("trainer ended early"))
    })?;
    let status = yard.process(0)?.ended(Duration::from_secs(20))?;
    ensure_whatever!(status.success(), "the stopped host ended with {status}");
    ensure_whatever!(once::count(&yard, "b-1") == 1, "the keyed call did not run once");
    Ok(())
}
