//! Guards against choosing targets by outdated registrations, and against requests that wait too long for a refresh.

mod common;

use std::{sync::Arc, time::Instant};

use common::ms;
use lagoonyard_node::{clock, freshness::Freshness};
use tokio::time::{sleep, timeout};

const MAX_AGE_MS: u64 = 1000;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Performs each requested refresh after `delay_ms`.
fn spawn_refresher(freshness: &Arc<Freshness>, delay_ms: u64) {
    let freshness = Arc::clone(freshness);
    tokio::task::spawn_local(async move {
        loop {
            freshness.refresh_requested().await;
            let begun = clock::now();
            sleep(ms(delay_ms)).await;
            freshness.refreshed(begun);
        }
    });
}

/// Guards against choosing the target of a request by outdated registrations.
#[test]
fn a_request_waits_for_the_refresh_of_outdated_registrations() {
    run(async {
        let freshness = Arc::new(Freshness::new(ms(MAX_AGE_MS)));
        freshness.refreshed(clock::now() - ms(2 * MAX_AGE_MS));
        spawn_refresher(&freshness, 60);
        let begun = Instant::now();
        freshness.wait_for_refresh().await;
        assert!(begun.elapsed() >= ms(60), "{:?}", begun.elapsed());
        let begun = Instant::now();
        freshness.wait_for_refresh().await;
        assert!(
            begun.elapsed() < ms(20),
            "fresh registrations are used at once: {:?}",
            begun.elapsed()
        );
    });
}

/// Guards against a slow store that delays requests although the registrations are within the maximum age.
#[test]
fn a_request_waits_only_briefly_while_registrations_are_within_the_maximum_age() {
    run(async {
        let freshness = Arc::new(Freshness::new(ms(MAX_AGE_MS)));
        freshness.refreshed(clock::now() - ms(MAX_AGE_MS * 3 / 4));
        let begun = Instant::now();
        freshness.wait_for_refresh().await;
        assert!(begun.elapsed() < ms(100), "{:?}", begun.elapsed());
    });
}

/// Guards against requests that all wait while the store is unavailable.
#[test]
fn no_request_waits_after_a_failed_refresh() {
    run(async {
        let freshness = Freshness::new(ms(MAX_AGE_MS));
        freshness.refresh_failed();
        let begun = Instant::now();
        freshness.wait_for_refresh().await;
        assert!(begun.elapsed() < ms(20), "{:?}", begun.elapsed());
        timeout(ms(20), freshness.refresh_requested())
            .await
            .expect("a refresh is requested nevertheless");
    });
}

/// Guards against one store call for each request of a burst.
#[test]
fn a_completed_refresh_is_not_repeated() {
    run(async {
        let freshness = Freshness::new(ms(MAX_AGE_MS));
        freshness.request_refresh();
        freshness.refresh_requested().await;
        freshness.request_refresh();
        freshness.refreshed(clock::now());
        timeout(ms(50), freshness.refresh_requested()).await.expect_err("no refresh is due");
    });
}
