//! Counters of the service-level objectives: windows, what counts as a failure, and bounds on memory.

use lagoonyard::{
    core::{Settings, World, burn},
    prelude::*,
};
use serde_json::Value;

const HOUR: Duration = Duration::from_secs(3600);

fn world(now: Time) -> World {
    World::new(Settings::default(), now)
}

fn window(report: &Value, objective: &str, window: &str) -> (u64, u64, f64) {
    let window = &report["yards"]["huon"][objective]["windows"][window];
    let number = |name: &str| window[name].as_u64().unwrap();
    (number("good"), number("total"), window["burn"].as_f64().unwrap())
}

/// Guards against failures that are missing in a window or stay in it after its length has passed.
#[test]
fn each_window_counts_its_own_length() {
    let mut world = world(HOUR);
    for _ in 0..9 {
        world.burn.record_answer(HOUR, "huon", None);
    }
    world.burn.record_answer(HOUR, "huon", Some(Code::Incomplete));
    world.now = HOUR + Duration::from_secs(299);
    burn::run(&mut world);
    let report = burn::report(&world);
    let (good, total, burn) = window(&report, "answered", "5m");
    assert_eq!((good, total), (9, 10));
    assert!((burn - 100.0).abs() < 1e-6, "{burn}");
    world.now = HOUR + Duration::from_secs(310);
    burn::run(&mut world);
    let report = burn::report(&world);
    assert_eq!(window(&report, "answered", "5m"), (0, 0, 0.0));
    assert_eq!(window(&report, "answered", "30m").1, 10);
    world.now = HOUR * 8;
    burn::run(&mut world);
    assert_eq!(window(&burn::report(&world), "answered", "6h").1, 0);
}

/// Guards against callers' errors that count as failures of the service, and against refusals under load that do not.
#[test]
fn only_failures_of_the_service_count() {
    let mut world = world(HOUR);
    for code in [Code::RequestMalformed, Code::KeyReused, Code::CrashesTargets] {
        world.burn.record_answer(HOUR, "huon", Some(code));
    }
    for code in [Code::QueueFull, Code::OutcomeUnknown, Code::Incomplete, Code::Internal] {
        world.burn.record_answer(HOUR, "huon", Some(code));
    }
    assert_eq!(window(&burn::report(&world), "answered", "1h").1, 4);
}

/// Guards against wrong totals of idle time and staleness.
#[test]
fn report_has_idle_share_and_staleness_of_trainers() {
    let mut world = world(HOUR);
    let second = Duration::from_secs(1);
    world.burn.record_wait(HOUR, "huon", "placards", second, second * 10);
    world.burn.record_wait(HOUR, "huon", "placards", Duration::ZERO, second * 10);
    for staleness in [0, 0, 1] {
        world.burn.record_sample(HOUR, "huon", "placards", staleness, burn::Delivery::Delivered);
    }
    world.burn.record_sample(HOUR, "huon", "placards", 5, burn::Delivery::TooOld);
    let report = burn::report(&world);
    assert_eq!(window(&report, "trainer_busy", "5m").0, 19_000);
    assert_eq!(window(&report, "samples_within_bound", "5m").0, 3);
    let trainer = &report["trainers"]["placards"];
    assert_eq!(trainer["idle_share"], 0.05);
    assert_eq!(trainer["samples_too_old"], 1);
    assert_eq!(trainer["staleness_max_versions"], 1);
}

/// Guards against memory that grows with time or with the number of yards and trainers.
#[test]
fn memory_is_bounded() {
    let mut world = world(HOUR);
    for name in 0..1000 {
        world.burn.record_answer(HOUR, &format!("yard {name}"), None);
        world.burn.record_wait(HOUR, "huon", &format!("trainer {name}"), HOUR, HOUR);
    }
    let report = burn::report(&world);
    assert!(report["yards"].as_object().unwrap().len() <= 256);
    assert!(report["trainers"].as_object().unwrap().len() <= 256);
    for step in 0..10_000 {
        world.now = HOUR + Duration::from_secs(step * 10);
        let now = world.now;
        world.burn.record_answer(now, "yard 0", None);
        burn::run(&mut world);
    }
    let window = &burn::report(&world)["yards"]["yard 0"]["answered"]["windows"]["6h"];
    assert_eq!(window["total"], 2160);
}
