//! When registrations of targets are read again, and for how long a request waits for it.

mod common;

use std::{sync::Arc, time::Instant};

use common::ms;
use lagoonyard_node::{clock, freshness::Freshness};
use tokio::time::{sleep, timeout};

const RELIABLE_MS: u64 = 1000;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Carries out each refresh that is due, `after_ms` later.
fn refresh(freshness: &Arc<Freshness>, after_ms: u64) {
    let freshness = Arc::clone(freshness);
    tokio::task::spawn_local(async move {
        loop {
            freshness.due().await;
            let begun = clock::now();
            sleep(ms(after_ms)).await;
            freshness.refreshed(begun);
        }
    });
}

/// Guards against placing a request by registrations that were read long before.
#[test]
fn a_request_waits_for_a_refresh_of_old_registrations() {
    run(async {
        let freshness = Arc::new(Freshness::new(ms(RELIABLE_MS)));
        freshness.refreshed(clock::now() - ms(2 * RELIABLE_MS));
        refresh(&freshness, 60);
        let begun = Instant::now();
        freshness.wait_for_refresh().await;
        assert!(begun.elapsed() >= ms(60), "{:?}", begun.elapsed());
        let begun = Instant::now();
        freshness.wait_for_refresh().await;
        assert!(begun.elapsed() < ms(20), "fresh ones are used at once: {:?}", begun.elapsed());
    });
}

/// Guards against a slow store that holds up requests whose registrations may still be relied on.
#[test]
fn a_request_does_not_wait_long_while_registrations_are_reliable() {
    run(async {
        let freshness = Arc::new(Freshness::new(ms(RELIABLE_MS)));
        freshness.refreshed(clock::now() - ms(RELIABLE_MS * 3 / 4));
        let begun = Instant::now();
        freshness.wait_for_refresh().await;
        assert!(begun.elapsed() < ms(100), "{:?}", begun.elapsed());
    });
}

/// Guards against requests that all wait while the store is away.
#[test]
fn no_request_waits_after_a_failed_refresh() {
    run(async {
        let freshness = Freshness::new(ms(RELIABLE_MS));
        freshness.failed();
        let begun = Instant::now();
        freshness.wait_for_refresh().await;
        assert!(begun.elapsed() < ms(20), "{:?}", begun.elapsed());
        timeout(ms(20), freshness.due()).await.expect("a refresh is asked for all the same");
    });
}

/// Guards against one call to the store for each request of a burst.
#[test]
fn a_refresh_that_is_done_is_not_made_again() {
    run(async {
        let freshness = Freshness::new(ms(RELIABLE_MS));
        freshness.ask();
        freshness.due().await;
        freshness.ask();
        freshness.refreshed(clock::now());
        timeout(ms(50), freshness.due()).await.expect_err("nothing is due");
    });
}
