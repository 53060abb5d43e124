//! Limits that targets name: the table of a host, and the quota of one target.

mod common;

use std::{collections::BTreeMap, time::Duration};

use assert_matches::assert_matches;
use common::{engine, engines, job, ms};
use lagoonyard_node::{
    job::Queue,
    rate::{Limit, News, Quota, Table},
};

fn limit(per_second: f64) -> Limit {
    Limit::new(per_second).unwrap()
}

/// Guards against a limit of garbage that stops all requests or none.
#[test]
fn a_limit_that_is_no_rate_is_refused() {
    for text in ["", "-1", "inf", "NaN", "2 a second"] {
        assert_matches!(Limit::try_from(text), Err(_), "{text}");
    }
    assert_eq!(Limit::try_from(" 2.5 ").unwrap().per_second(), 2.5);
}

/// Guards against a target that is never asked again, so that the end of its limit is not noticed.
#[test]
fn a_limit_of_zero_leaves_rare_requests() {
    let mut quota = Quota::new(limit(0.0), 1.0, ms(0));
    assert_matches!(quota.take(0, ms(1_000)), Err(_));
    assert_eq!(quota.take(0, ms(10_000)), Ok(()));
}

/// Guards against an answer that was on its way when the target named its limit, and ends it.
#[test]
fn an_answer_to_an_earlier_request_does_not_end_a_limit() {
    let table = Table::default();
    assert!(table.record("t", Some(limit(2.0)), ms(100), ms(200)));
    assert!(!table.record("t", None, ms(150), ms(300)));
    assert_eq!(table.limit("t"), Some(limit(2.0)));
    assert!(table.record("t", None, ms(250), ms(350)));
    assert_eq!(table.limit("t"), None);
}

/// Guards against late news of another host that bring an ended limit back.
#[test]
fn older_news_of_another_host_do_not_count() {
    let table = Table::default();
    table.record("t", Some(limit(2.0)), ms(100), ms(200));
    table.record("t", None, ms(300), ms(400));
    assert!(!table.merge("t", News { limit: Some(limit(1.0)), heard_at: ms(350) }));
    assert!(table.merge("t", News { limit: Some(limit(1.0)), heard_at: ms(450) }));
    assert_eq!(table.limit("t"), Some(limit(1.0)));
}

/// Requests granted within four seconds when a hundred a second are asked for.
fn granted(quota: &mut Quota, from_ms: u64) -> usize {
    (0..400).filter(|tick| quota.take(1, ms(from_ms + tick * 10)).is_ok()).count()
}

/// Guards against a quota that grants more than the limit, also after a pause.
#[test]
fn a_quota_grants_its_limit_under_pressure() {
    let mut quota = Quota::new(limit(2.0), 1.0, ms(0));
    let counts = [granted(&mut quota, 0), granted(&mut quota, 4_000), granted(&mut quota, 60_000)];
    assert_eq!(counts, [7, 8, 8]);
}

/// Guards against two stand-ins beside a holder that together exceed one and a half times the limit.
#[test]
fn a_holder_and_two_stand_ins_stay_within_the_bound() {
    for per_second in [0.5, 1.0, 10.0, 100.0] {
        let quota = |share| Quota::new(limit(per_second), share, ms(0));
        let mut quotas = [quota(1.0), quota(0.2), quota(0.2)];
        let count: usize = quotas.iter_mut().map(|quota| granted(quota, 60_000)).sum();
        let allowed = 1.5 * per_second * 4.0 + 5.0;
        assert!(count as f64 <= allowed, "{count} granted at {per_second} a second");
    }
}

/// Guards against less urgent requests that take the tokens for which urgent ones were just refused.
#[test]
fn urgent_requests_are_granted_first() {
    let mut quota = Quota::new(limit(2.0), 1.0, ms(0));
    let (mut urgent, mut other) = (0, 0);
    for tick in 0..400 {
        other += usize::from(quota.take(2, ms(tick * 10)).is_ok());
        urgent += usize::from(quota.take(0, ms(tick * 10 + 5)).is_ok());
    }
    assert!(urgent >= 7 && other <= 1, "{urgent} urgent, {other} others");
}

/// Guards against items that start without a token of the engine's quota.
#[test]
fn items_start_at_the_rate_of_the_engine() {
    let mut engines = engines(&[engine("e1", 1)]);
    engines.set_demand(&BTreeMap::from([("m".into(), 1)]));
    engines.set_limit("e1", Some(limit(2.0)), ms(0));
    let mut queue = Queue::default();
    let names: Vec<String> = (0..100).map(|at| format!("i{at}")).collect();
    let items: Vec<(&str, u64)> = names.iter().map(|name| (&**name, 1)).collect();
    queue.insert(job("j", 1, &items));
    let mut started = 0;
    for tick in 0..400 {
        let now = ms(tick * 10);
        while queue.assign_next(now, &mut engines).is_some() {
            started += 1;
            engines.finish_run("e1", now, None);
        }
    }
    assert_eq!(started, 7);
    engines.set_limit("e1", None, ms(4_000));
    assert!(queue.assign_next(ms(4_000), &mut engines).is_some());
}

/// Guards against a caller's request that gets a token which an item has taken.
#[test]
fn callers_and_items_share_the_quota_of_an_engine() {
    let mut engines = engines(&[engine("e1", 1)]);
    engines.set_limit("e1", Some(limit(1.0)), ms(0));
    engines.start_run("e1");
    assert_matches!(engines.grant("e1", 0, ms(1_000)), Err(left) if left > Duration::ZERO);
    assert_eq!(engines.grant("e1", 0, ms(2_000)), Ok(()));
}
