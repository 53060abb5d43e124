//! Keyed requests under lost, late and repeated messages.

mod drive;

use assert_matches::assert_matches;
use bytes::Bytes;
use drive::{Drive, call, ms, prompt, settings};
use lagoonyard::{
    core::{
        Event, Settings, forward, host, key,
        request::{self, Failure, News, Output, Response},
    },
    file::Limits,
    prelude::*,
    wire,
};

const LONG: Duration = Duration::from_secs(30);

/// Guards against a booking that is made twice because its caller sent two copies, and against one that gets no answer.
#[test]
fn two_copies_run_once_and_both_get_the_answer() {
    let mut drive = Drive::new(0, 2, Limits::default());
    let key = drive.key();
    drive.submit(1, call("/book"), Some(&key), LONG);
    drive.submit(2, call("/book"), Some(&key), LONG);
    let attempt = drive.one();
    drive.done(&attempt);
    drive.submit(3, call("/book"), Some(&key), LONG);
    drive.advance(ms(100));
    assert_eq!([1, 2, 3].map(|ticket| drive.code(ticket)), [None; 3]);
    assert!(drive.take().is_empty());
}

/// Guards against a second run of a call whose target died between the request and its answer.
#[test]
fn call_that_may_have_run_never_runs_again() {
    for failure in [Failure::Broken, Failure::Timeout, Failure::Status(503)] {
        let mut drive = Drive::new(0, 3, Limits::default());
        let key = drive.key();
        drive.submit(1, call("/book"), Some(&key), LONG);
        let attempt = drive.one();
        drive.fail(&attempt, failure);
        assert_eq!(drive.code(1), Some(Code::OutcomeUnknown));
        drive.done(&attempt);
        drive.submit(2, call("/book"), Some(&key), LONG);
        drive.advance(ms(5000));
        assert_eq!(drive.code(2), Some(Code::OutcomeUnknown));
        assert!(drive.take().is_empty(), "{failure:?}");
    }
}

/// Guards against a refused booking although no target has taken a byte of it.
#[test]
fn call_moves_when_nothing_was_sent() {
    let mut drive = Drive::new(0, 3, Limits::default());
    let key = drive.key();
    drive.submit(1, call("/book"), Some(&key), LONG);
    let mut seen = Vec::new();
    for failure in [Failure::Connect, Failure::Leaving] {
        let attempt = drive.one();
        seen.push(attempt.target.clone());
        drive.fail(&attempt, failure);
        drive.advance(ms(200));
    }
    let last = drive.one();
    assert!(!seen.contains(&last.target));
    drive.done(&last);
    assert_eq!(drive.code(1), None);
}

/// Guards against a delayed copy that runs after its caller was told that the request did not run.
#[test]
fn delayed_copy_after_a_refusal_does_not_run() {
    let mut drive = Drive::new(0, 1, Limits::default());
    let keys = [drive.key(), drive.key(), drive.key()];
    drive.submit(1, call("/book"), Some(&keys[0]), LONG);
    drive.submit(2, call("/book"), Some(&keys[1]), LONG);
    drive.submit(3, call("/book"), Some(&keys[2]), ms(100));
    let running = drive.take();
    drive.advance(ms(200));
    assert_eq!(drive.code(3), Some(Code::Deadline));
    running.iter().for_each(|attempt| drive.done(attempt));
    drive.submit(4, call("/book"), Some(&keys[2]), LONG);
    drive.advance(ms(500));
    assert_eq!(drive.code(4), Some(Code::Deadline));
    assert!(drive.take().is_empty());
}

/// Guards against a forgotten, guessed, foreign or reused key that runs something.
#[test]
fn only_a_listed_key_runs_and_only_its_own_request() {
    let mut drive = Drive::new(0, 1, Limits::default());
    let key = drive.key();
    drive.submit(1, call("/book"), Some(&key), LONG);
    drive.submit(2, call("/book/other"), Some(&key), LONG);
    assert_eq!(drive.code(2), Some(Code::KeyReused));
    let attempt = drive.one();
    drive.done(&attempt);

    let unused = drive.key();
    drive.advance(Duration::from_secs(601));
    let guessed = format!("{}0", &unused[..unused.len() - 1]);
    let other_start = unused.replacen(".1.", ".2.", 1);
    for (ticket, key) in [&*key, &*unused, &*guessed, &*other_start, "nonsense"]
        .into_iter()
        .enumerate()
    {
        let ticket = ticket as Ticket + 10;
        drive.submit(ticket, call("/book"), Some(key), LONG);
        assert_eq!(drive.code(ticket), Some(Code::KeyInvalid), "{key}");
    }
    assert!(drive.take().is_empty());
}

/// Guards against a booking that is cut off, or whose answer is lost, because its caller went away or waited too long.
#[test]
fn dispatched_call_outlives_its_callers() {
    let mut drive = Drive::new(0, 2, Limits::default());
    let keys = [drive.key(), drive.key()];
    drive.submit(1, call("/book"), Some(&keys[0]), LONG);
    drive.submit(2, call("/book"), Some(&keys[1]), ms(300));
    let attempts = drive.take();
    drive.gone(1);
    drive.advance(ms(400));
    assert_eq!(drive.code(2), Some(Code::OutcomeUnknown));
    assert!(drive.cancels.is_empty());
    attempts.iter().for_each(|attempt| drive.done(attempt));
    drive.submit(3, call("/book"), Some(&keys[0]), LONG);
    drive.submit(4, call("/book"), Some(&keys[1]), LONG);
    assert_eq!([drive.code(3), drive.code(4)], [None; 2]);
    assert!(drive.take().is_empty() && request::idle(drive.core.world()));
}

/// Guards against a call that waits for a target when all its callers have left, and against a copy that waits beyond
/// its own deadline.
#[test]
fn waiting_copies_leave_one_by_one() {
    let mut drive = Drive::new(1, 0, Limits::default());
    let key = drive.key();
    drive.submit(1, prompt("p"), Some(&key), LONG);
    drive.submit(2, prompt("p"), Some(&key), ms(200));
    let attempt = drive.one();
    drive.gone(1);
    assert!(drive.cancels.is_empty());
    drive.advance(ms(300));
    assert_eq!(drive.code(2), Some(Code::OutcomeUnknown));
    drive.submit(3, prompt("p"), Some(&key), LONG);
    drive.gone(3);
    drive.tick();
    assert_eq!(drive.cancels, [attempt.id]);
    drive.submit(4, prompt("p"), Some(&key), LONG);
    let again = drive.one();
    drive.done(&again);
    assert_eq!(drive.code(4), None);
}

/// Guards against a key table that grows without bound, and against kept answers that do.
#[test]
fn keys_and_answers_are_bounded() {
    let settings = Settings {
        key_limit: 50,
        key_answer_bytes: 1000,
        ..settings()
    };
    let mut drive = Drive::with(settings, 0, 1, Limits::default());
    for (count, total) in [(40, 40), (40, 50), (1, 50)] {
        drive.event(Event::Key(key::Ask { ticket: 0, count }));
        drive.tick();
        assert_eq!(drive.keys.len(), total);
    }
    let keys = drive.keys.clone();
    for (ticket, key) in keys[..3].iter().enumerate() {
        drive.submit(ticket as Ticket, call("/book"), Some(key), LONG);
        let (attempt, body) = (drive.one(), Bytes::from(vec![0; 400]));
        let output = Output::Response(Response {
            body,
            ..Response::default()
        });
        drive.news(attempt.id, News::Done(output));
    }
    drive.submit(10, call("/book"), Some(&keys[0]), LONG);
    drive.submit(11, call("/book"), Some(&keys[2]), LONG);
    assert_eq!((drive.code(10), drive.code(11)), (Some(Code::KeyInvalid), None));
    assert!(drive.take().is_empty());
}

/// Two hosts that know each other; the second issues keys and has a worker.
fn pair() -> (Drive, Drive) {
    let settings = |host: &str, incarnation| Settings {
        host: host.into(),
        incarnation,
        ..settings()
    };
    let mut entry = Drive::with(settings("a", 1), 0, 0, Limits::default());
    let mut issuer = Drive::with(settings("b.c", 2), 0, 1, Limits::default());
    for (drive, other, incarnation) in [(&mut entry, "b.c", 2), (&mut issuer, "a", 1)] {
        let hosts = &mut drive.core.world_mut().hosts;
        let mut row = hosts.rows[&hosts.me].clone();
        row.incarnation = incarnation;
        hosts.rows.insert(other.into(), row);
    }
    (entry, issuer)
}

/// Guards against a copy at another host that runs by itself instead of joining the first at the issuer.
#[test]
fn foreign_key_is_decided_by_its_issuer() {
    let (mut entry, mut issuer) = pair();
    let key = issuer.key();
    issuer.submit(1, call("/book"), Some(&key), LONG);
    entry.submit(2, call("/book"), Some(&key), LONG);
    assert_matches!(entry.sent.pop(), Some(wire::Body::Forward(forward)) => {
        forward::input(issuer.core.world_mut(), &"a".into(), forward);
    });
    let attempt = issuer.one();
    issuer.done(&attempt);
    assert_eq!((issuer.take().len(), issuer.code(1)), (0, None));
    assert_matches!(issuer.sent.pop(), Some(wire::Body::Reply(reply)) => {
        forward::reply(entry.core.world_mut(), &"x".into(), reply.clone());
        assert!(!request::idle(entry.core.world()), "another host cannot answer");
        forward::reply(entry.core.world_mut(), &"b.c".into(), reply);
    });
    entry.tick();
    assert_eq!(entry.code(2), None);
    assert!(request::idle(entry.core.world()) && request::idle(issuer.core.world()));
}

/// Guards against "not run" for a forward that may have reached its issuer, and against a key of a lost process that
/// runs elsewhere.
#[test]
fn lost_issuer_leaves_the_outcome_unknown() {
    let (mut entry, mut issuer) = pair();
    let key = issuer.key();
    entry.submit(1, call("/book"), Some(&key), LONG);
    forward::lost(entry.core.world_mut(), &"b.c".into());
    entry.submit(2, call("/book"), Some(&key), ms(100));
    entry.advance(ms(100) + forward::GRACE);
    let dead = host::Row {
        state: host::State::Dead,
        ..entry.core.world().hosts.rows["b.c"].clone()
    };
    let restarted = host::Row {
        incarnation: 3,
        ..dead.clone()
    };
    for (ticket, row) in [(3, dead), (4, restarted)] {
        entry.core.world_mut().hosts.rows.insert("b.c".into(), row);
        entry.submit(ticket, call("/book"), Some(&key), LONG);
    }
    let unknown = Some(Code::OutcomeUnknown);
    assert_eq!(
        [1, 2, 3, 4].map(|ticket| entry.code(ticket)),
        [unknown, unknown, unknown, Some(Code::KeyInvalid)]
    );
    assert!(entry.take().is_empty() && request::idle(entry.core.world()));
}
