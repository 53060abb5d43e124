//! Contents whose evidence may mislead the table of contents.

mod common;

use common::instance;
use lagoonyard_node::{
    crash::{Content, Record, Run, Strike, Table, Verdict},
    prelude::*,
};

const SECOND: Duration = Duration::from_secs(1);
/// Time for which an engine that has ended is away.
const AWAY_TIME: Duration = Duration::from_secs(2);
/// Time for which an item may be at no engine.
const IDLE_MAX: Duration = Duration::from_secs(5);
/// Time after the third end of a content from which on at most `LATE_MAX` more may come.
const LEARN_TIME: Duration = Duration::from_secs(3);
const LATE_MAX: usize = 3;
const STEP: Duration = Duration::from_millis(50);
/// Time from an end until the leader knows of it.
const SETTLE_TIME: Duration = Duration::from_millis(500);

fn content(body: &str) -> Content {
    Content::new("POST", "h.example", "/p", body.as_bytes())
}

fn end(number: usize, born: u64, at: Time, ran: Duration) -> Strike {
    Strike { target: format!("e{number}").into(), started_ms: born, at, ran }
}

/// Ends that come later than the third was known, in two minutes in which nothing but items of one content ends engines, each
/// some time after its start. Each item runs at an engine of its own.
fn late_ends(engines: usize, items: usize, ends_after: Duration) -> usize {
    late_ends_beside(engines, items, ends_after, 0)
}

/// The same while the entries of some more engines, which do not say that they leave, are removed from the store after 3 s.
fn late_ends_beside(engines: usize, items: usize, ends_after: Duration, leaving: usize) -> usize {
    let table = Table::default();
    let poison = content("poison");
    let mut born = vec![1; engines];
    let mut back_at = vec![Time::ZERO; engines];
    (0..engines).for_each(|number| table.target_registered(&instance(number, 1), Time::ZERO));
    let leaving = engines..engines + leaving;
    leaving.clone().for_each(|number| table.target_registered(&instance(number, 1), Time::ZERO));
    let mut runs: Vec<Option<(usize, Time)>> = vec![None; items];
    let mut not_before = vec![Time::ZERO; items];
    let (mut ends, mut now) = (Vec::new(), SECOND);
    while now < SECOND * 120 {
        now += STEP;
        if now == SECOND * 3 {
            leaving.clone().for_each(|id| table.target_deregistered(&instance(id, 1).id, now));
        }
        for number in 0..engines {
            if back_at[number] <= now && now < back_at[number] + STEP {
                table.target_registered(&instance(number, born[number]), now);
            }
        }
        for item in 0..items {
            if let Some((engine, started)) = runs[item] {
                if now - started >= ends_after {
                    let ran = now - started;
                    let run = Run { time: ran, ..Run::default() };
                    table.item_ended(poison, end(engine, born[engine], now, ran), run, now);
                    ends.push(now);
                    born[engine] += 1;
                    back_at[engine] = now + AWAY_TIME;
                    runs[item] = None;
                    not_before[item] = now + SETTLE_TIME;
                }
                continue;
            }
            let is_free = |engine: &usize| {
                back_at[*engine] <= now && runs.iter().flatten().all(|(other, _)| other != engine)
            };
            let Some(engine) = (0..engines).find(is_free) else { continue };
            if now < not_before[item] {
                continue;
            }
            let may_run = match table.item_verdict(poison, now) {
                Verdict::Free | Verdict::Suspect => true,
                Verdict::Held(_) => false,
                Verdict::Trial => table.begin_item_trial(poison, now),
            };
            if may_run {
                runs[item] = Some((engine, now));
            }
        }
    }
    let known_by = ends[2] + LEARN_TIME;
    ends.iter().filter(|at| **at > known_by).count()
}

/// Guards against an item that ends its engines and is never held since its service has few of them.
#[test]
fn an_item_that_ends_its_engines_is_held_in_a_small_service() {
    let mut wrong = Vec::new();
    for engines in [1, 2, 3, 4] {
        for ends_after in [100, 300, 1000, 3000] {
            let late = late_ends(engines, 1, Duration::from_millis(ends_after));
            if late > LATE_MAX {
                wrong.push(format!("{engines} engines, {ends_after} ms: {late} late"));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against a group of items with one content that end their engines, and are never held as they run at the same time.
#[test]
fn a_group_that_ends_its_engines_is_held() {
    let mut wrong = Vec::new();
    for (engines, items) in [(6, 2), (6, 4), (6, 6), (12, 6), (24, 8)] {
        for ends_after in [100, 300, 1000, 3000] {
            let late = late_ends(engines, items, Duration::from_millis(ends_after));
            // Those that run already when the third end is known count as well.
            if late > LATE_MAX.max(items) {
                wrong.push(format!(
                    "{engines} engines, {items} items, {ends_after} ms: {late} late"
                ));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against engines that leave without a word, go on for a while, and pass for ends without the item.
#[test]
fn an_item_that_ends_its_engines_is_held_while_others_leave_silently() {
    let mut wrong = Vec::new();
    for leaving in [4, 10, 20, 40] {
        for ends_after in [100, 300, 1000] {
            let late = late_ends_beside(6, 1, Duration::from_millis(ends_after), leaving);
            if late > LATE_MAX {
                wrong.push(format!("{leaving} leave, {ends_after} ms: {late} late"));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// A sound item that ran for 8 s, 6 of 6 engines having ended under it one after the other, beside twelve ends without it.
fn storm(table: &Table) -> Time {
    (0..6).for_each(|number| table.target_registered(&instance(number, 1), Time::ZERO));
    for number in 0..6_u32 {
        let at = SECOND * (5 + 4 * number);
        for other in 0..4 {
            let id = (number as usize + 1 + other) % 6;
            let born = 2 + u64::from(number);
            table.target_registered(&instance(id, born), at - Duration::from_millis(1100));
        }
        let ran = Duration::from_millis(1500);
        let run = Run { time: ran, ..Run::default() };
        table.item_ended(content("a"), end(number as usize, 1000, at, ran), run, at);
    }
    SECOND * 25
}

/// Guards against a sound item that a host which was started anew holds, as it did not see the ends without the item.
#[test]
fn a_host_that_saw_no_other_ends_does_not_hold_a_sound_item_for_long() {
    let (old, new) = (Table::default(), Table::default());
    let last = storm(&old);
    assert_eq!(old.item_verdict(content("a"), last + SECOND), Verdict::Suspect);
    (0..6).for_each(|number| new.target_registered(&instance(number, 8), last));
    new.merge(content("a"), old.record(content("a")).unwrap(), last);
    let verdict = new.item_verdict(content("a"), last + IDLE_MAX);
    assert!(!matches!(verdict, Verdict::Held(_)), "{verdict:?} {}", new.evidence(content("a")));
}

/// Guards against a sound item that is held later, with no end since, as what spoke for it is forgotten before its strikes.
#[test]
fn a_sound_item_is_not_held_once_ends_are_forgotten() {
    let table = Table::default();
    let last = storm(&table);
    assert_eq!(table.item_verdict(content("a"), last + SECOND), Verdict::Suspect);
    let now = last + SECOND * 601;
    table.sweep(now);
    let verdict = table.item_verdict(content("a"), now);
    assert!(!matches!(verdict, Verdict::Held(_)), "{verdict:?} {}", table.evidence(content("a")));
}

/// Guards against strikes of hosts that do not tell the time of the run and count as ends at once.
#[test]
fn strikes_without_a_run_time_do_not_hold_an_item_for_an_hour() {
    let table = Table::default();
    (0..6).for_each(|number| table.target_registered(&instance(number, 1), Time::ZERO));
    let strikes =
        (0..6).map(|number| end(number as usize, 1, SECOND * (5 + 4 * number), Duration::ZERO));
    table.merge(content("a"), Record::new(strikes.collect(), 0, 139, 3), SECOND * 26);
    let verdict = table.item_verdict(content("a"), SECOND * 25 + IDLE_MAX);
    assert!(!matches!(verdict, Verdict::Held(_)), "{verdict:?}");
}

/// Guards against a record of an older build whose double entries count, as its number of answers is higher.
#[test]
fn double_entries_of_a_newer_record_count_once() {
    let table = Table::default();
    let strikes = (0..3).map(|number| end(1, 1, SECOND * (1 + 2 * number), SECOND)).collect();
    table.merge(content("a"), Record::new(strikes, 1, 0, 0), SECOND * 6);
    assert_eq!(table.record(content("a")).unwrap().strikes.len(), 1);
}

/// Guards against a hold that a host forgets whose machine was started anew, as its clock begins after all strikes.
#[test]
fn a_held_item_stays_held_on_a_machine_that_was_started_anew() {
    let (known, anew) = (Table::default(), Table::default());
    let ran = Duration::from_millis(300);
    let strikes = |at: fn(u32) -> Time| {
        let strike = |number| end(number as usize, 1, at(number), ran);
        Record::new((0..5).map(strike).collect(), 0, 0, 3)
    };
    for table in [&known, &anew] {
        (0..6).for_each(|number| table.target_registered(&instance(number, 2), Time::ZERO));
    }
    known.merge(content("a"), strikes(|number| SECOND * (10 + number)), SECOND * 14);
    assert!(matches!(known.item_verdict(content("a"), SECOND * 14), Verdict::Held(_)));
    // Their ages are longer than the machine is up.
    anew.merge(content("a"), strikes(|_| Time::ZERO), Duration::from_millis(500));
    let verdict = anew.item_verdict(content("a"), Duration::from_millis(600));
    assert!(matches!(verdict, Verdict::Held(_)), "{verdict:?} {}", anew.evidence(content("a")));
}

/// Guards against an item that ends one engine again and again while the registration of its first instance is the last one
/// that hosts have read.
#[test]
fn ends_of_an_engine_that_is_registered_late_count() {
    let table = Table::default();
    table.target_registered(&instance(0, 1), Time::ZERO);
    for number in 1..=10 {
        let at = SECOND * 3 * number;
        table.item_ended(content("a"), end(0, 1, at, SECOND / 10), Run::default(), at);
    }
    assert!(table.record(content("a")).unwrap().strikes.len() >= 3);
}

/// Guards against sound items that are held as they had just begun to run beside one that ends its engines, again and again.
#[test]
fn what_another_content_explains_holds_no_item() {
    let table = Table::default();
    (0..6).for_each(|number| table.target_registered(&instance(number, 1), Time::ZERO));
    for number in 0..6 {
        let at = SECOND * (2 + 2 * number);
        let end = end(number as usize, 1, at, Duration::from_millis(2));
        table.item_ended(content("bad"), end.clone(), Run::default(), at);
        if number < 4 {
            table.item_ended(content("beside"), end, Run::default(), at);
        }
    }
    let now = SECOND * 12;
    assert!(matches!(table.item_verdict(content("bad"), now), Verdict::Held(_)));
    assert_eq!(table.item_verdict(content("beside"), now), Verdict::Suspect);
}
