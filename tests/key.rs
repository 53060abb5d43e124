//! Requests with keys under lost, late and repeated messages.

mod driver;

use assert_matches::assert_matches;
use bytes::Bytes;
use driver::{Driver, LONG_DEADLINE, call, limits, ms, settings};
use lagoonyard::{
    core::{
        Event, Settings, forward, host, key,
        request::{self, Failure, Output, Response, Update},
    },
    prelude::*,
    wire,
};

/// Guards against a call that runs twice because its caller sent copies, and against a copy without an answer.
#[test]
fn copies_run_once_and_all_get_the_answer() {
    let mut driver = Driver::new(0, 2);
    let key = driver.issue_key();
    driver.submit_booking(1, &key, LONG_DEADLINE);
    driver.submit_booking(2, &key, LONG_DEADLINE);
    let attempt = driver.single_attempt();
    driver.complete(&attempt);
    driver.submit_booking(3, &key, LONG_DEADLINE);
    driver.advance(ms(100));
    assert_eq!([1, 2, 3].map(|ticket| driver.error_code(ticket)), [None; 3]);
    assert!(driver.take_attempts().is_empty());
}

/// Guards against a second run of a call whose target failed after the request was sent.
#[test]
fn call_that_may_have_run_never_runs_again() {
    for failure in [Failure::Broken, Failure::Timeout, Failure::Status(503)] {
        let mut driver = Driver::new(0, 3);
        let key = driver.issue_key();
        driver.submit_booking(1, &key, LONG_DEADLINE);
        let attempt = driver.single_attempt();
        driver.fail(&attempt, failure);
        assert_eq!(driver.error_code(1), Some(Code::OutcomeUnknown));
        driver.complete(&attempt);
        driver.submit_booking(2, &key, LONG_DEADLINE);
        driver.advance(ms(5000));
        assert_eq!(driver.error_code(2), Some(Code::OutcomeUnknown));
        assert!(driver.take_attempts().is_empty(), "{failure:?}");
    }
}

/// Guards against a refusal although no target has received the call, so that another could run it.
#[test]
fn call_is_retried_on_another_target_when_nothing_was_sent() {
    let mut driver = Driver::new(0, 3);
    let key = driver.issue_key();
    driver.submit_booking(1, &key, LONG_DEADLINE);
    let mut seen = Vec::new();
    for failure in [Failure::Connect, Failure::Leaving] {
        let attempt = driver.single_attempt();
        seen.push(attempt.target.clone());
        driver.fail(&attempt, failure);
        driver.advance(ms(200));
    }
    let last = driver.single_attempt();
    assert!(!seen.contains(&last.target));
    driver.complete(&last);
    assert_eq!(driver.error_code(1), None);
}

/// Guards against a delayed copy that runs after the first was answered with an expired deadline.
#[test]
fn delayed_copy_after_a_refusal_does_not_run() {
    let mut driver = Driver::new(0, 1);
    let keys = [driver.issue_key(), driver.issue_key(), driver.issue_key(), driver.issue_key()];
    driver.submit_booking(1, &keys[0], LONG_DEADLINE);
    driver.submit_booking(2, &keys[1], LONG_DEADLINE);
    driver.submit_booking(3, &keys[2], ms(100));
    let running = driver.take_attempts();
    driver.advance(ms(200));
    assert_eq!(driver.error_code(3), Some(Code::Deadline));
    running.iter().for_each(|attempt| driver.complete(attempt));
    driver.submit_booking(4, &keys[3], Duration::ZERO);
    driver.submit_booking(5, &keys[2], LONG_DEADLINE);
    driver.submit_booking(6, &keys[3], LONG_DEADLINE);
    driver.advance(ms(500));
    assert_eq!([4, 5, 6].map(|ticket| driver.error_code(ticket)), [Some(Code::Deadline); 3]);
    assert!(driver.take_attempts().is_empty());
}

/// Guards against runs under a key that has expired, was guessed, is of another incarnation or belongs to another
/// request.
#[test]
fn only_an_issued_key_runs_and_only_its_own_request() {
    let mut driver = Driver::new(0, 1);
    let key = driver.issue_key();
    driver.submit_booking(1, &key, LONG_DEADLINE);
    driver.submit(2, call("/book/other"), Some(&key), LONG_DEADLINE);
    assert_eq!(driver.error_code(2), Some(Code::KeyReused));
    let attempt = driver.single_attempt();
    driver.complete(&attempt);

    let unused = driver.issue_key();
    let end = if unused.ends_with('0') { "1" } else { "0" };
    let guessed = format!("{}{end}", &unused[..unused.len() - 1]);
    let other_incarnation = unused.replacen(".1.", ".2.", 1);
    let invalid = [&*guessed, &*other_incarnation, "nonsense", &*key, &*unused];
    for (ticket, key) in (10..).zip(invalid) {
        if ticket == 13 {
            driver.advance(Duration::from_secs(601));
        }
        driver.submit_booking(ticket, key, LONG_DEADLINE);
        assert_eq!(driver.error_code(ticket), Some(Code::KeyInvalid), "{key}");
    }
    assert!(driver.take_attempts().is_empty());
}

/// Guards against a call that is cancelled, or whose answer is lost, because its caller disconnected or its deadline
/// passed.
#[test]
fn dispatched_call_outlives_its_callers() {
    let mut driver = Driver::new(0, 2);
    let keys = [driver.issue_key(), driver.issue_key()];
    driver.submit_booking(1, &keys[0], LONG_DEADLINE);
    driver.submit_booking(2, &keys[1], ms(300));
    let attempts = driver.take_attempts();
    assert_eq!(attempts[1].timeout, ms(20_000), "the timeout of the route");
    driver.disconnect(1);
    driver.advance(ms(400));
    assert_eq!(driver.error_code(2), Some(Code::OutcomeUnknown));
    assert!(driver.cancels.is_empty());
    attempts.iter().for_each(|attempt| driver.complete(attempt));
    driver.submit_booking(3, &keys[0], LONG_DEADLINE);
    driver.submit_booking(4, &keys[1], LONG_DEADLINE);
    assert_eq!([driver.error_code(3), driver.error_code(4)], [None; 2]);
    assert!(driver.take_attempts().is_empty() && request::idle(driver.core.world()));
}

/// Guards against a key that stays bound to a request whose caller disconnected before anything was sent.
#[test]
fn withdrawn_request_can_be_submitted_again() {
    let mut driver = Driver::new(0, 1);
    let key = driver.issue_key();
    (1..=2).for_each(|ticket| driver.submit(ticket, call("/read"), None, LONG_DEADLINE));
    driver.submit_booking(3, &key, LONG_DEADLINE);
    driver.disconnect(3);
    driver.submit_booking(4, &key, LONG_DEADLINE);
    driver.take_attempts().iter().for_each(|attempt| driver.complete(attempt));
    assert_eq!(driver.single_attempt().ticket, Some(4));

    let key = driver.issue_key();
    driver.submit_booking(5, &key, LONG_DEADLINE);
    let attempt = driver.single_attempt();
    driver.disconnect(5);
    driver.fail(&attempt, Failure::Connect);
    driver.advance(ms(300));
    assert!(driver.take_attempts().is_empty(), "no caller waits for it any more");
}

/// Guards against unbounded memory for keys and stored answers.
#[test]
fn keys_and_answers_are_bounded() {
    let mut settings = settings();
    (settings.key_limit, settings.key_answer_bytes) = (50, 1000);
    let mut driver = Driver::with(settings, 0, 1, limits(|_| ()));
    for (count, total) in [(40, 40), (40, 50), (1, 50)] {
        driver.input(Event::Key(key::Issue { ticket: 0, count }));
        driver.tick();
        assert_eq!(driver.keys.len(), total);
    }
    assert_eq!(driver.error_code(0), Some(Code::QueueFull));
    let keys = driver.keys.clone();
    for (ticket, key) in keys[..3].iter().enumerate() {
        driver.submit(ticket as Ticket, call("/book"), Some(key), LONG_DEADLINE);
        let (attempt, body) = (driver.single_attempt(), Bytes::from(vec![0; 400]));
        let rest = Response::default();
        let output = Output::Response(Response { body, ..rest });
        driver.update(attempt.id, Update::Done(output));
    }
    driver.submit_booking(10, &keys[0], LONG_DEADLINE);
    driver.submit_booking(11, &keys[2], LONG_DEADLINE);
    assert_eq!((driver.error_code(10), driver.error_code(11)), (Some(Code::KeyInvalid), None));
    assert!(driver.take_attempts().is_empty());
}

/// Two hosts that list each other. The second issues the keys and has a worker.
fn pair() -> (Driver, Driver) {
    let settings =
        |host: &str, incarnation| Settings { host: host.into(), incarnation, ..settings() };
    let mut entry = Driver::with(settings("a", 1), 0, 0, limits(|_| ()));
    let mut issuer = Driver::with(settings("b.c", 2), 0, 1, limits(|_| ()));
    for (driver, other, incarnation) in [(&mut entry, "b.c", 2), (&mut issuer, "a", 1)] {
        let hosts = &mut driver.core.world_mut().hosts;
        let mut row = hosts.rows[&hosts.local_id].clone();
        row.incarnation = incarnation;
        hosts.rows.insert(other.into(), row);
    }
    (entry, issuer)
}

/// Guards against a copy at another host that runs there instead of joining the first at the issuer of the key.
#[test]
fn request_is_forwarded_to_the_issuer_of_its_key() {
    let (mut entry, mut issuer) = pair();
    let key = issuer.issue_key();
    issuer.submit_booking(1, &key, LONG_DEADLINE);
    entry.submit_booking(2, &key, LONG_DEADLINE);
    let forward = entry.sent.iter().find(|body| matches!(body, wire::Body::Forward(_)));
    assert_matches!(forward.cloned(), Some(wire::Body::Forward(forward)) => {
        forward::input(issuer.core.world_mut(), &"a".into(), forward);
    });
    let attempt = issuer.single_attempt();
    issuer.complete(&attempt);
    assert_eq!((issuer.take_attempts().len(), issuer.error_code(1)), (0, None));
    let reply = issuer.sent.iter().find(|body| matches!(body, wire::Body::Reply(_)));
    assert_matches!(reply.cloned(), Some(wire::Body::Reply(reply)) => {
        forward::reply(entry.core.world_mut(), &"x".into(), reply.clone());
        assert!(!request::idle(entry.core.world()), "a reply of another host should be ignored");
        forward::reply(entry.core.world_mut(), &"b.c".into(), reply);
    });
    entry.tick();
    assert_eq!(entry.error_code(2), None);
    assert!(request::idle(entry.core.world()) && request::idle(issuer.core.world()));
}

/// Guards against the answer "not run" for a forwarded request that may have reached the issuer, and against a run
/// elsewhere under a key of a dead process.
#[test]
fn lost_issuer_leaves_the_outcome_unknown() {
    let (mut entry, mut issuer) = pair();
    let key = issuer.issue_key();
    entry.submit_booking(1, &key, LONG_DEADLINE);
    forward::link_lost(entry.core.world_mut(), &"b.c".into());
    entry.submit_booking(2, &key, ms(100));
    entry.advance(ms(100) + forward::REPLY_GRACE);
    for (ticket, incarnation) in [(3, 2), (4, 3)] {
        let row = entry.core.world_mut().hosts.rows.get_mut("b.c").expect("row");
        (row.state, row.incarnation) = (host::State::Dead, incarnation);
        entry.submit_booking(ticket, &key, LONG_DEADLINE);
    }
    let codes = [1, 2, 3, 4].map(|ticket| entry.error_code(ticket));
    assert_eq!(codes[..3], [Some(Code::OutcomeUnknown); 3]);
    assert_eq!(codes[3], Some(Code::KeyInvalid));
    assert!(entry.take_attempts().is_empty() && request::idle(entry.core.world()));
}
