//! Usage counts of a host, their collection at the holder of the duty, and clocks that differ.

mod common;

use std::{collections::BTreeSet, sync::Arc};

use common::ms;
use lagoonyard_node::{
    peer::{UsageCounts, UsageReply},
    prelude::*,
    usage::{Collector, Counters, Counts, Meter, Moment, Offsets, Ran, Reading, Windows},
};

const START_MS: u64 = 1_000_000;
const LENGTH: Duration = Duration::from_secs(5);
/// Window at `START_MS`, and its time left.
const FIRST: u64 = 200;
const ADDRESS: &str = "10.0.0.1:3";

fn moment(after_ms: u64) -> Moment {
    Moment { now: ms(after_ms), unix_ms: START_MS + after_ms }
}

fn counters(incarnation: u64) -> Counters {
    Counters::new("h1".into(), ADDRESS.into(), incarnation, Windows::new(LENGTH))
}

fn counts(all: &[(&str, u64)]) -> Counts {
    all.iter().map(|(name, count)| ((*name).into(), *count)).collect()
}

fn run(counters: &mut Counters, workspace: &str, after_ms: u64) {
    let window = counters.begin(workspace, moment(after_ms)).unwrap();
    counters.end(window, workspace, Ran::Perhaps);
}

fn reply(settled_before: Option<u64>) -> UsageReply {
    UsageReply { settled_before, ..UsageReply::default() }
}

/// Sends what is new to a collector, which acknowledges it.
fn send(counters: &mut Counters, collector: &mut Collector, next: u64, after_ms: u64) -> u64 {
    let Some(sent) = counters.unsent(moment(after_ms)) else {
        return 0;
    };
    let intake = collector.accept(&sent, Some(next), FIRST, ms(after_ms));
    let refused = intake.refused.into_keys().collect();
    let reply = UsageReply { refused, ..reply(Some(next)) };
    counters.apply_reply(&sent, &reply, moment(after_ms));
    intake.late
}

fn is_closed(collector: &Collector, window: u64, hosts: &[&str]) -> bool {
    let known = hosts.iter().map(|host| host.parse().unwrap()).collect::<BTreeSet<_>>();
    collector.is_closed(window, &known, ms(1), ms(0))
}

/// Guards against requests that count although a target has stated that it has not run them.
#[test]
fn attempts_count_from_their_beginning_unless_they_have_not_run() {
    let (mut counters, mut collector) = (counters(1), Collector::default());
    let window = counters.begin("a", moment(0)).unwrap();
    run(&mut counters, "a", 10);
    send(&mut counters, &mut collector, 0, 20);
    assert_eq!(collector.total(FIRST), counts(&[("a", 2)]));
    counters.end(window, "a", Ran::No);
    send(&mut counters, &mut collector, 0, 30);
    assert_eq!(collector.total(FIRST), counts(&[("a", 1)]));
}

/// Guards against a window that is closed while the outcome of one of its attempts is open, or before the holder is known.
#[test]
fn a_window_closes_once_its_attempts_have_ended() {
    let (mut counters, mut collector) = (counters(1), Collector::default());
    let window = counters.begin("a", moment(4900)).unwrap();
    send(&mut counters, &mut collector, 0, 5100);
    send(&mut counters, &mut collector, 0, 5200);
    assert!(!is_closed(&collector, FIRST, &[ADDRESS]));
    counters.end(window, "a", Ran::Perhaps);
    send(&mut counters, &mut collector, 0, 5300);
    assert!(is_closed(&collector, FIRST, &[ADDRESS]));
    assert!(!is_closed(&collector, FIRST, &[ADDRESS, "10.0.0.2:3"]), "a host was not waited for");
}

/// Guards against repeated, lost and overtaken messages that change the counts.
#[test]
fn messages_may_be_repeated_lost_and_late() {
    let (mut counters, mut collector) = (counters(1), Collector::default());
    run(&mut counters, "a", 0);
    let first = counters.unsent(moment(1)).unwrap();
    run(&mut counters, "a", 2);
    run(&mut counters, "b", 3);
    // The first message is lost: it is not acknowledged, and comes after the second.
    let second = counters.unsent(moment(4)).unwrap();
    for message in [&second, &second, &first] {
        collector.accept(message, Some(0), FIRST, ms(5));
    }
    assert_eq!(collector.total(FIRST), counts(&[("a", 2), ("b", 1)]));
    counters.apply_reply(&second, &reply(Some(0)), moment(6));
    assert_eq!(counters.unsent(moment(7)).map(|sent| sent.windows), Some(Vec::new()));
}

/// Guards against counts that go to a former holder only.
#[test]
fn the_next_holder_gets_all_windows_that_are_not_settled() {
    let (mut counters, mut old, mut new) =
        (counters(1), Collector::default(), Collector::default());
    counters.set_holder(1);
    run(&mut counters, "a", 0);
    run(&mut counters, "a", 5000);
    send(&mut counters, &mut old, FIRST, 5100);
    counters.set_holder(1);
    assert_eq!(counters.unsent(moment(5200)).map(|sent| sent.windows.len()), Some(0));
    counters.set_holder(2);
    send(&mut counters, &mut new, FIRST, 5300);
    assert_eq!(new.total(FIRST), counts(&[("a", 1)]));
    assert_eq!(new.total(FIRST + 1), counts(&[("a", 1)]));
    // A settled window is not sent again.
    send(&mut counters, &mut new, FIRST + 1, 10_100);
    counters.set_holder(3);
    let sent = counters.unsent(moment(10_200)).unwrap();
    assert_eq!(sent.windows.iter().map(|it| it.window).collect::<Vec<_>>(), [FIRST + 1]);
}

/// Guards against an answer of a host without the duty that counts as an acknowledgement.
#[test]
fn only_the_holder_acknowledges_counts() {
    let mut counters = counters(1);
    run(&mut counters, "a", 0);
    let sent = counters.unsent(moment(1)).unwrap();
    counters.apply_reply(&sent, &reply(None), moment(2));
    assert_eq!(counters.unsent(moment(3)).map(|sent| sent.windows.len()), Some(1));
}

/// Guards against counts before a restart that are replaced by those after it.
#[test]
fn counts_before_and_after_a_restart_add_up() {
    let mut collector = Collector::default();
    for (incarnation, requests) in [(7, 3), (8, 2)] {
        let mut counters = counters(incarnation);
        (0..requests).for_each(|n| run(&mut counters, "a", n));
        send(&mut counters, &mut collector, 0, 100);
    }
    assert_eq!(collector.total(FIRST), counts(&[("a", 5)]));
}

/// Guards against late counts that are reported after all, counted twice, or taken for late when they are repetitions.
#[test]
fn counts_after_the_window_was_settled_are_late_once() {
    let (mut counters, mut collector) = (counters(1), Collector::default());
    run(&mut counters, "a", 0);
    send(&mut counters, &mut collector, FIRST, 10);
    collector.settle_before(FIRST + 1);
    // The host has not learnt that the window is settled.
    run(&mut counters, "a", 20);
    let sent = counters.unsent(moment(30)).unwrap();
    let late = |collector: &mut Collector, sent: &UsageCounts| {
        collector.accept(sent, Some(FIRST + 1), FIRST + 1, ms(30)).late
    };
    assert_eq!(late(&mut collector, &sent), 1);
    assert_eq!(late(&mut collector, &sent), 0);
    assert!(collector.is_empty());
}

/// Guards against counters that grow while no holder takes them, or with what callers send.
#[test]
fn memory_is_bounded() {
    let (mut counters, mut collector) = (counters(1), Collector::default());
    for window in 0..1000 {
        run(&mut counters, "a", window * 5000);
    }
    for workspace in 0..10_000 {
        let window = counters.begin(&format!("w{workspace}"), moment(5_000_000));
        window.into_iter().for_each(|it| counters.end(it, &format!("w{workspace}"), Ran::Perhaps));
    }
    let sent = counters.unsent(moment(5_000_001)).unwrap();
    assert_eq!(sent.windows.len(), 64);
    assert!(sent.windows.iter().all(|window| window.counts.len() <= 4096));
    collector.accept(&sent, None, FIRST + 2000, ms(1));
    for incarnation in 0..1000 {
        let sent = UsageCounts { incarnation, ..sent.clone() };
        let windows = sent.windows[..1].to_vec();
        collector.accept(&UsageCounts { windows, ..sent }, None, FIRST + 2000, ms(1));
    }
    assert!(collector.len() <= Collector::WINDOWS_MAX);
    // A window that lies far ahead is not kept.
    let mut ahead = Collector::default();
    ahead.accept(&sent, None, FIRST, ms(1));
    assert!(ahead.is_empty());
}

/// Guards against counts that are acknowledged although they were dropped: those of a host whose clock is not corrected yet.
#[test]
fn counts_far_ahead_are_sent_again_until_their_window_is_near() {
    let (mut counters, mut collector) = (counters(1), Collector::default());
    let ahead = FIRST + 5;
    run(&mut counters, "a", 0);
    run(&mut counters, "a", 25_000);
    send(&mut counters, &mut collector, FIRST, 25_010);
    assert_eq!(collector.total(FIRST), counts(&[("a", 1)]));
    assert!(collector.total(ahead).is_empty() && counters.has_unsent_counts());
    let sent = counters.unsent(moment(25_020)).unwrap();
    assert_eq!(sent.windows.iter().map(|it| it.window).collect::<Vec<_>>(), [ahead]);
    let intake = collector.accept(&sent, Some(FIRST), FIRST + 1, ms(25_020));
    assert!(intake.refused.is_empty());
    counters.apply_reply(&sent, &reply(Some(FIRST)), moment(25_030));
    assert_eq!(collector.total(ahead), counts(&[("a", 1)]));
    assert!(!counters.has_unsent_counts());
}

/// Guards against counts of processes beyond those of a window that are dropped in silence: they are sent again, and late
/// once the window is settled.
#[test]
fn counts_of_too_many_processes_are_refused_and_then_late() {
    let mut collector = Collector::default();
    collector.forget_before(FIRST);
    let mut all: Vec<Counters> = (0..300).map(counters).collect();
    for it in &mut all {
        run(it, "a", 0);
        send(it, &mut collector, FIRST, 10);
    }
    let refused: Vec<Counters> = all.into_iter().filter(|it| it.has_unsent_counts()).collect();
    let taken: u64 = collector.total(FIRST).values().sum();
    assert_eq!((taken, refused.len()), (256, 44));
    collector.settle_before(FIRST + 1);
    let mut late = 0;
    for mut it in refused {
        late += send(&mut it, &mut collector, FIRST + 1, 5100);
        assert!(!it.has_unsent_counts());
    }
    assert_eq!(late, 44);
}

/// Guards against counts of a settled window that are dropped in silence as the window was settled without any.
#[test]
fn counts_of_a_window_that_was_settled_empty_are_late_once() {
    let (mut counters, mut collector) = (counters(1), Collector::default());
    collector.forget_before(FIRST);
    run(&mut counters, "a", 0);
    let sent = counters.unsent(moment(30)).unwrap();
    collector.settle_before(FIRST + 1);
    let late = |collector: &mut Collector| {
        collector.accept(&sent, Some(FIRST + 1), FIRST + 1, ms(30)).late
    };
    assert_eq!((late(&mut collector), late(&mut collector)), (1, 0));
}

/// Guards against a list of hosts that grows with each name that was ever sent.
#[test]
fn the_hosts_that_are_waited_for_are_bounded() {
    let (counters, mut collector) = (counters(1), Collector::default());
    let sent = counters.clock_request(moment(0));
    for host in 0..5000 {
        let sent = UsageCounts { host: format!("h{host}"), ..sent.clone() };
        let intake = collector.accept(&sent, None, FIRST, ms(1));
        assert_eq!(intake.is_host_refused, host >= 1024);
    }
    assert_eq!(collector.open_hosts(FIRST, ms(1)).len(), 1024);
}

fn reading(host: &str, unix_ms: u64) -> Reading {
    Reading { host: host.into(), unix_ms, age: Duration::ZERO }
}

/// Guards against windows that begin at different times on hosts whose clocks differ.
#[test]
fn hosts_agree_on_the_time_although_their_clocks_differ() {
    check_agreement(&[10_000, 10_020, 13_000, 10_010, 7_000], 10_010);
    // Between two middle clocks all hosts take the same one, whatever they knew before.
    check_agreement(&[10_000, 11_000, 12_000, 13_000], 11_000);
    check_agreement(&[13_000, 10_000], 10_000);
}

/// Checks that hosts whose clocks are ahead by some times estimate the same time, each after all others were heard.
fn check_agreement(skews: &[u64], expected: u64) {
    let estimates = skews.iter().enumerate().map(|(own, skew)| {
        let mut offsets = Offsets::new(format!("h{own}").into());
        // Time since boot differs between hosts as well.
        let now = ms(own as u64 * 1000);
        for (other, skew) in skews.iter().enumerate() {
            offsets.record(&reading(&format!("h{other}"), START_MS + skew), now);
            offsets.true_ms(Moment { now, unix_ms: START_MS + skews[own] });
        }
        offsets.true_ms(Moment { now, unix_ms: START_MS + skew })
    });
    assert_eq!(estimates.collect::<Vec<_>>(), vec![START_MS + expected; skews.len()]);
}

/// Guards against a jump of one clock, this host's or another one's, that moves the windows.
#[test]
fn a_jump_of_a_clock_does_not_move_the_time() {
    for others in [1, 2, 3, 4] {
        let mut offsets = Offsets::new("own".into());
        (0..others).for_each(|n| offsets.record(&reading(&format!("h{n}"), START_MS), ms(0)));
        assert_eq!(offsets.true_ms(moment(0)), START_MS);
        let jumped = Moment { now: ms(100), unix_ms: START_MS + 5100 };
        assert_eq!(offsets.true_ms(jumped), START_MS + 100, "{others} others");
        // Another clock jumps as well, forward or back.
        for (jump, after) in [(4000, 200), (-4000, 20_000)] {
            let unix_ms = (START_MS + after).saturating_add_signed(jump);
            offsets.record(&reading("h0", unix_ms), ms(after));
            (1..others).for_each(|n| {
                offsets.record(&reading(&format!("h{n}"), START_MS + after), ms(after));
            });
            if others > 2 {
                assert_eq!(offsets.true_ms(moment(after)), START_MS + after, "{others} others");
            }
        }
    }
}

/// Guards against a host that was suspended and takes the messages that waited for it for clocks that are behind.
#[test]
fn messages_that_waited_do_not_set_the_time_back() {
    let mut offsets = Offsets::new("own".into());
    for after in [0, 5000] {
        for host in ["h1", "h2", "h3"] {
            offsets.record(&reading(host, START_MS), ms(after));
        }
        assert_eq!(offsets.true_ms(moment(after)), START_MS + after);
    }
    // A clock that is set back is believed in the end.
    for host in ["h1", "h2", "h3"] {
        offsets.record(&reading(host, START_MS + 15_000), ms(20_000));
    }
    assert_eq!(offsets.true_ms(moment(20_000)), START_MS + 15_000);
}

/// Guards against attempts that end without a statement of their target, as after a time-out or a cancelled hedge, and do
/// not count; and against requests without a workspace that do.
#[test]
fn an_attempt_counts_unless_its_target_says_no() {
    let windows = Windows::new(Duration::from_secs(1 << 40));
    let meter = Arc::new(Meter::of_process("h1".into(), ADDRESS.into(), windows));
    let workspace = Some(WorkspaceId::from("a"));
    drop(meter.begin(workspace.as_ref()));
    meter.begin(workspace.as_ref()).not_run();
    meter.began(workspace.as_ref());
    meter.began(None);
    let sent = meter.unsent().unwrap();
    let counts: Vec<_> = sent.windows.iter().flat_map(|window| &window.counts).collect();
    assert_eq!(counts, [(&"a".to_owned(), &2)]);
    let off = Arc::new(Meter::default());
    off.began(workspace.as_ref());
    assert_eq!(off.unsent(), None);
}

/// Guards against the clock of a lost host that counts for ever, as hosts repeat it to each other.
#[test]
fn a_clock_that_nobody_reads_is_forgotten() {
    let (mut a, mut b) = (Offsets::new("a".into()), Offsets::new("b".into()));
    a.record(&reading("lost", START_MS + 900_000), ms(0));
    for second in 1..100 {
        let at = moment(second * 1000);
        a.readings(at).iter().for_each(|reading| b.record(reading, at.now));
        b.readings(at).iter().for_each(|reading| a.record(reading, at.now));
    }
    let names = |offsets: &Offsets| {
        let readings = offsets.readings(moment(100_000));
        readings.into_iter().map(|reading| reading.host).collect::<Vec<_>>()
    };
    assert_eq!(names(&a), ["a".into(), "b".into()] as [HostId; 2]);
    assert_eq!(names(&b), ["b".into(), "a".into()] as [HostId; 2]);
}

/// Guards against requests that count in a window that the host has closed, after its time was corrected backwards.
#[test]
fn nothing_counts_in_a_closed_window() {
    let (mut counters, mut collector) = (counters(1), Collector::default());
    run(&mut counters, "a", 0);
    send(&mut counters, &mut collector, 0, 1);
    send(&mut counters, &mut collector, 0, 5100);
    run(&mut counters, "a", 5100);
    assert!(is_closed(&collector, FIRST, &[ADDRESS]));
    for host in ["h2", "h3"] {
        counters.record_clock(&reading(host, START_MS + 2000), ms(5100));
    }
    assert_eq!(counters.true_ms(moment(5100)), START_MS + 2000);
    assert_eq!(counters.begin("a", moment(5100)), Some(FIRST + 1));
}
