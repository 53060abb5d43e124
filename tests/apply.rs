//! Applies of configuration files: each takes effect at most once, and its answer is true when replies of the store are
//! late or lost.

mod common;

use std::time::Duration;

use common::{Fleet, STEP, config_with_slots};
use lagoonyard::core::{
    Event,
    config::{Admin, Answer},
    head::Head,
};

const SECOND: Duration = Duration::from_secs(1);

fn details(fleet: &Fleet, ticket: u64) -> String {
    match &fleet.answers[&ticket] {
        Answer::Error { message, details, .. } => format!("{message} {}", details.join(" ")),
        Answer::Done(value) => value.to_string(),
    }
}

#[test]
fn invalid_files_and_ids_are_refused_with_all_faults() {
    let mut fleet = Fleet::new(&["a"], 1);
    let invalid = config_with_slots(0).replace("\"weight\": 1,", "\"weight\": 0,");
    fleet.apply_file("a-0", 1, "x", 0, invalid, false);
    fleet.apply("a-0", 2, "no/slash", 0, 16);
    fleet.run(STEP);
    assert_eq!(fleet.outcome(1), "LY-102");
    assert!(details(&fleet, 1).contains("slots: 0") && details(&fleet, 1).contains("weight: 0"));
    assert_eq!(fleet.outcome(2), "LY-210");
    assert_eq!(fleet.store.config_calls, 0);
}

#[test]
fn of_concurrent_applies_one_succeeds_and_the_others_report_both_revisions() {
    let mut fleet = Fleet::with_config(&["a", "b"], 4);
    for (ticket, host) in [(10, "a-0"), (11, "a-1"), (12, "b-0"), (13, "b-0")] {
        fleet.apply(host, ticket, &format!("race-{ticket}"), 1, 20 + ticket as u32);
    }
    fleet.run(2 * SECOND);
    let codes: Vec<String> = (10..14).map(|ticket| fleet.outcome(ticket)).collect();
    assert_eq!(codes.iter().filter(|code| *code == "2").count(), 1, "{codes:?}");
    assert_eq!(codes.iter().filter(|code| *code == "LY-103").count(), 3, "{codes:?}");
    let loser = (10..14).find(|ticket| fleet.outcome(*ticket) == "LY-103").unwrap();
    assert!(details(&fleet, loser).contains("expected revision 1, found revision 2"));
    let bodies = fleet.store.values.keys().filter(|key| key.starts_with("config/body/")).count();
    assert_eq!(bodies, 2, "bodies of the other applies should be removed");
}

#[test]
fn an_apply_whose_write_took_effect_is_accepted_although_the_reply_was_lost() {
    let mut fleet = Fleet::with_config(&["a"], 3);
    fleet.store.drop_replies = Some("config/head".into());
    fleet.apply("a-1", 2, "second", 1, 24);
    fleet.run(9 * SECOND);
    assert_eq!(fleet.outcome(2), "2");
    // Other modules write to the store too, so its revision does not show how often the head was written.
    let head = Head::parse(&fleet.store.values["config/head"]).unwrap();
    let written: Vec<u64> = head.history.iter().map(|(revision, _)| *revision).collect();
    assert_eq!((head.revision, written), (2, vec![1, 2]));
}

/// Guards against an apply that takes effect twice: its write of the head is retried, and then the first one arrives.
#[test]
fn a_write_that_takes_effect_late_is_accepted_once() {
    let mut fleet = Fleet::with_config(&["a"], 3);
    fleet.store.hold_writes = Some("config/head".into());
    fleet.apply("a-1", 2, "second", 1, 24);
    fleet.run(3 * SECOND);
    assert_eq!(
        fleet.outcome(2),
        "none",
        "the head is unchanged, so the write may still take effect"
    );
    fleet.store.hold_writes = None;
    fleet.run(3 * SECOND);
    assert_eq!(fleet.outcome(2), "2");
    let held = std::mem::take(&mut fleet.store.held_writes);
    let head = fleet.store.values["config/head"].clone();
    for call in held {
        fleet.store.apply(&call);
    }
    assert_eq!(fleet.store.values["config/head"], head, "the late copy must not take effect again");
}

#[test]
fn a_lost_write_is_refused_once_another_apply_has_succeeded() {
    let mut fleet = Fleet::with_config(&["a"], 3);
    fleet.store.hold_writes = Some("config/head".into());
    fleet.apply("a-1", 2, "second", 1, 24);
    fleet.run(SECOND);
    let held = std::mem::take(&mut fleet.store.held_writes);
    fleet.store.hold_writes = None;
    fleet.apply("a-2", 3, "third", 1, 32);
    fleet.run(4 * SECOND);
    assert_eq!((fleet.outcome(3), fleet.outcome(2)), ("2".into(), "LY-103".into()));
    for call in held {
        fleet.store.apply(&call);
    }
    fleet.run(5 * SECOND);
    assert!(fleet.cores.values().all(|core| &*core.world().config.apply_id == "third"));
}

#[test]
fn without_a_store_reply_the_outcome_is_unknown_only_if_the_head_may_be_written() {
    let mut fleet = Fleet::with_config(&["a"], 2);
    fleet.store.down = true;
    fleet.apply("a-0", 2, "never-sent", 1, 24);
    // A client with a timeout of 10 s allows one host 5 s.
    fleet.run(5 * SECOND);
    assert_eq!(fleet.outcome(2), "LY-105");
    fleet.run(6 * SECOND);
    fleet.store.down = false;
    fleet.run(12 * SECOND);
    fleet.store.hold_writes = Some("config/head".into());
    fleet.apply("a-0", 3, "in-doubt", 1, 24);
    fleet.run(11 * SECOND);
    assert_eq!(fleet.outcome(3), "LY-106");
    fleet.apply("a-0", 4, "in-doubt", 1, 24);
    fleet.run(SECOND);
    fleet.store.down = true;
    fleet.run(10 * SECOND);
    assert_eq!(fleet.outcome(4), "LY-106", "the write was sent before the store went down");
    // Repeating the apply through another host resolves the outcome.
    fleet.store.down = false;
    fleet.store.hold_writes = None;
    fleet.apply("a-1", 6, "in-doubt", 1, 40);
    fleet.run(SECOND);
    assert_eq!(fleet.outcome(6), "LY-102", "the id belongs to another file");
    fleet.apply("a-1", 5, "in-doubt", 1, 24);
    fleet.run(2 * SECOND);
    assert_eq!(fleet.outcome(5), "2");
    // The deadline passes while the first write of the head is in flight.
    fleet.store.drop_replies = Some("config/body".into());
    fleet.apply("a-0", 7, "late", 2, 32);
    fleet.run(SECOND * 15 / 2);
    fleet.store.drop_replies = None;
    fleet.store.hold_writes = Some("config/head".into());
    fleet.run(3 * SECOND);
    assert_eq!(fleet.outcome(7), "LY-106");
}

#[test]
fn an_apply_whose_host_dies_can_be_repeated_through_another() {
    for (stage, dies_after) in [("config/body", 0), ("config/head", 0), ("none", 1)] {
        let mut fleet = Fleet::with_config(&["a", "b"], 3);
        fleet.store.drop_replies = Some(stage.into());
        fleet.apply("a-1", 2, "second", 1, 24);
        fleet.run(STEP * (2 + dies_after));
        fleet.cores.remove("a-1");
        fleet.store.drop_replies = None;
        fleet.apply("b-2", 3, "second", 1, 24);
        fleet.run(10 * SECOND);
        assert_eq!(fleet.outcome(3), "2", "died at {stage}");
        fleet.apply("b-0", 4, "second", 1, 24);
        fleet.apply("b-0", 5, "second", 1, 40);
        fleet.run(SECOND);
        assert_eq!((fleet.outcome(4), fleet.outcome(5)), ("2".into(), "LY-102".into()));
        assert!(fleet.revisions().iter().all(|revision| *revision == 2));
    }
}

#[test]
fn a_dry_run_lists_changes_and_writes_nothing() {
    let mut fleet = Fleet::with_config(&["a"], 1);
    let before = fleet.store.revision;
    fleet.apply_file("a-0", 2, "dry", 1, config_with_slots(24), true);
    fleet.apply_file("a-0", 3, "dry", 4, config_with_slots(24), true);
    fleet.run(STEP);
    assert!(details(&fleet, 2).contains("~ pools.blurb-engines.slots = 24 (was 16)"));
    assert_eq!(fleet.outcome(3), "LY-103");
    assert_eq!(fleet.store.revision, before);
}

#[test]
fn a_draining_host_refuses_applies_and_exits_when_idle() {
    let mut fleet = Fleet::with_config(&["a"], 3);
    fleet.store.hold_writes = Some("config/".into());
    fleet.apply("a-0", 2, "second", 1, 24);
    fleet.run(STEP);
    fleet.input("a-0", Event::Admin(Admin::Drain { ticket: Some(3) }));
    fleet.apply("a-0", 4, "third", 1, 24);
    fleet.run(SECOND);
    assert_eq!(fleet.outcome(4), "LY-209");
    assert!(matches!(fleet.answers[&3], Answer::Done(_)));
    assert!(!fleet.exits.contains("a-0"), "an apply is in progress");
    fleet.store.hold_writes = None;
    fleet.run(5 * SECOND);
    assert_eq!(fleet.outcome(2), "2");
    assert!(fleet.exits.contains("a-0"));
}
