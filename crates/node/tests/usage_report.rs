//! Holders of the duty of usage reports: what is settled and sent when a holder is lost, stands still, or is not alone.

mod common;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use common::ms;
use lagoonyard_node::{
    cloud::{self, UsageReport},
    control::{Leadership, settle},
    job,
    metrics::METERS,
    peer::{UsageCounts, UsageWindow},
    prelude::*,
    store,
    usage::{Action, DUTY, LEDGER, Ledger, Reporter, Rules, Windows},
};

const LEASE: Duration = Duration::from_secs(2);
const LENGTH_MS: u64 = 5000;
const WINDOW: u64 = 200;
/// End of the window. In all tests the time since boot is the time since 1970.
const END: u64 = (WINDOW + 1) * LENGTH_MS;
const TURN: Duration = Duration::from_secs(3);
const HOSTS: [&str; 2] = ["10.0.0.1:3", "10.0.0.2:3"];

type CallResult = Result<cloud::Outcome, cloud::Error>;

/// Store and platform.
#[derive(Default)]
struct World {
    revision: Revision,
    keys: BTreeMap<Box<str>, (Vec<u8>, Revision)>,
    /// Calls that the platform has carried out.
    calls: Vec<(Revision, UsageReport)>,
}

impl World {
    /// Gives the duty to another host. Returns its fencing token.
    fn elect(&mut self) -> Revision {
        self.revision += 1;
        self.keys.insert(job::leader_key(DUTY), (Vec::new(), self.revision));
        self.revision
    }

    fn commit(&mut self, txn: &store::Txn) -> store::Outcome {
        let revision = |key: &str| self.keys.get(key).map_or(0, |(_, revision)| *revision);
        if txn.expected.iter().any(|(key, expected)| revision(key) != *expected) {
            return store::Outcome::Conflict(Vec::new());
        }
        self.revision += 1;
        for put in &txn.puts {
            self.keys.insert(put.key.clone(), (put.value.to_vec(), self.revision));
        }
        store::Outcome::Committed(self.revision)
    }

    fn ledger(&self) -> (Option<Ledger>, Revision) {
        let Some((value, revision)) = self.keys.get(LEDGER) else {
            return (None, 0);
        };
        (Ledger::decode(value), *revision)
    }

    /// Windows that the platform has got. Different reports of one window are a fault.
    fn reported(&self) -> BTreeMap<u64, u64> {
        let mut reports: BTreeMap<u64, &UsageReport> = BTreeMap::new();
        for (_, report) in &self.calls {
            let first = *reports.entry(report.window).or_insert(report);
            assert_eq!(first, report, "two reports of one window");
        }
        let fences: Vec<Revision> = self.calls.iter().map(|(fence, _)| *fence).collect();
        assert!(fences.is_sorted(), "a lower fencing token after a higher one: {fences:?}");
        let total = |report: &UsageReport| report.counts.values().sum();
        reports.into_iter().map(|(window, report)| (window, total(report))).collect()
    }
}

/// What is lost of the actions of a holder.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    Nothing,
    /// The holder is killed before it writes.
    Write,
    /// Its write takes effect, but it does not learn of that and is killed.
    WriteAnswer,
    /// The same, but it lives on.
    WriteUnknown,
    /// It is killed before it calls.
    Call,
    /// Its call takes effect, but it does not learn of that and is killed.
    CallAnswer,
}

struct Host {
    name: &'static str,
    reporter: Reporter,
    at: u64,
    /// Addresses of the hosts that it knows.
    hosts: BTreeSet<SocketAddr>,
    /// Calls that it has begun.
    calls: usize,
}

fn host(name: &'static str, at: u64) -> Host {
    let rules = Rules {
        host: name.into(),
        windows: Windows::new(ms(LENGTH_MS)),
        deadline: Duration::from_secs(10),
        turn_interval: TURN,
        calls_per_s: 20.0,
        value_bytes: 1 << 20,
    };
    Host { name, reporter: Reporter::new(rules, ms(at)), at, hosts: addresses(), calls: 0 }
}

fn addresses() -> BTreeSet<SocketAddr> {
    HOSTS.iter().map(|host| host.parse().unwrap()).collect()
}

/// Counts of a host that has closed the windows before one.
fn message(host: usize, closed_before: u64, requests: u64) -> UsageCounts {
    UsageCounts {
        host: format!("host-{host}"),
        address: HOSTS[host].into(),
        incarnation: 1,
        change: requests,
        closed_before,
        unix_ms: 0,
        windows: vec![UsageWindow {
            window: WINDOW,
            counts: BTreeMap::from([("a".into(), requests)]),
        }],
    }
}

impl Host {
    fn lead(&mut self, fence: Revision, renewed_at: u64) {
        let leadership = Leadership {
            fence: Some(fence),
            orders_until: ms(renewed_at) + LEASE / 2,
            exclusive_until: ms(renewed_at) + LEASE,
        };
        self.reporter.set_leadership(leadership, ms(self.at));
    }

    fn receive(&mut self, host: usize, closed_before: u64, requests: u64) {
        let message = message(host, closed_before, requests);
        self.reporter.accept(&message, ms(self.at), self.at);
    }

    fn receive_from_all(&mut self, closed_before: u64) {
        self.receive(0, closed_before, 5);
        self.receive(1, closed_before, 2);
    }

    /// Runs under a lease that is renewed until a time, or until it is killed (`false`).
    fn run(&mut self, world: &mut World, fence: Revision, until: u64, loss: Loss) -> bool {
        while self.at < until {
            self.at += 100;
            self.lead(fence, self.at);
            if !self.act(world, loss, &Ok(cloud::Outcome::Accepted)) {
                return false;
            }
        }
        true
    }

    /// Does what is due, with an answer of the platform. Returns whether it lives on.
    fn act(&mut self, world: &mut World, loss: Loss, answer: &CallResult) -> bool {
        let now = ms(self.at);
        while let Some(action) = self.reporter.next(now, self.at, &self.hosts) {
            match action {
                Action::Read => self.reporter.read(Ok(world.ledger()), now, self.at),
                Action::Settle { .. } if loss == Loss::Write => return false,
                Action::Settle { fence, revision, ledger } => {
                    let mut result = Ok(world.commit(&settle(fence, revision, &ledger)));
                    if loss == Loss::WriteAnswer {
                        return false;
                    }
                    if loss == Loss::WriteUnknown {
                        result = Err(store::Error::NoResponse { reason: "lost".into() });
                    }
                    self.reporter.settled((fence, ledger), result, now);
                }
                Action::Send(..) if loss == Loss::Call => return false,
                Action::Send(authority, report) => {
                    self.calls += 1;
                    assert_eq!(&*authority.holder, self.name);
                    assert!(authority.until > now, "called without the lease");
                    if *answer == Ok(cloud::Outcome::Accepted) {
                        world.calls.push((authority.fence, report.clone()));
                    }
                    if loss == Loss::CallAnswer {
                        return false;
                    }
                    self.reporter.sent(authority.fence, &report, answer.clone(), now);
                }
                Action::GiveUp(_) => {}
            }
        }
        true
    }
}

/// A host that took the duty well before the end of the window and has heard all hosts.
fn holder(world: &mut World) -> (Host, Revision) {
    let (mut host, fence) = (host("a", END - 4000), world.elect());
    host.receive_from_all(WINDOW);
    host.run(world, fence, END - 100, Loss::Nothing);
    (host, fence)
}

/// Guards against a window that is lost, or reported with two different counts, when the holder is killed at any point.
#[test]
fn the_next_holder_completes_what_the_last_one_began() {
    for loss in [Loss::Write, Loss::WriteAnswer, Loss::Call, Loss::CallAnswer] {
        let mut world = World::default();
        let (mut first, fence) = holder(&mut world);
        first.receive_from_all(WINDOW + 1);
        assert!(!first.run(&mut world, fence, END + 1000, loss), "{loss:?}");
        let (mut second, fence) = (host("b", END + 2000), world.elect());
        // The hosts send the windows that are not settled, here with one more request than the last holder knew.
        second.receive(0, WINDOW + 1, 5);
        second.receive(1, WINDOW + 1, 3);
        second.run(&mut world, fence, END + 4500, Loss::Nothing);
        let expected = if loss == Loss::Write { 8 } else { 7 };
        assert_eq!(world.reported().get(&WINDOW), Some(&expected), "{loss:?}");
        let times = world.calls.iter().filter(|(_, report)| report.window == WINDOW).count();
        assert_eq!(times, if loss == Loss::CallAnswer { 2 } else { 1 }, "{loss:?}");
    }
}

/// Guards against a window that is settled twice because the answer to its write was lost.
#[test]
fn a_write_without_an_answer_is_looked_up() {
    let mut world = World::default();
    let (mut first, fence) = holder(&mut world);
    first.receive_from_all(WINDOW + 1);
    let sent = world.calls.len();
    first.at += 100;
    first.lead(fence, first.at);
    first.act(&mut world, Loss::WriteUnknown, &Ok(cloud::Outcome::Accepted));
    assert_eq!(world.calls.len(), sent, "sent before it was known what is settled");
    first.receive(1, WINDOW + 1, 9);
    first.run(&mut world, fence, END + 2000, Loss::Nothing);
    assert_eq!(world.reported().get(&WINDOW), Some(&7));
}

/// Guards against a write that takes effect long after the holder has settled the window with other counts.
#[test]
fn a_late_write_has_no_effect() {
    let mut world = World::default();
    let (mut first, fence) = holder(&mut world);
    first.receive_from_all(WINDOW + 1);
    first.at += 100;
    first.lead(fence, first.at);
    let now = ms(first.at);
    let action = first.reporter.next(now, first.at, &first.hosts);
    let Some(Action::Settle { fence, revision, ledger }) = action else {
        panic!("not settled: {action:?}");
    };
    let late = settle(fence, revision, &ledger);
    let no_answer = Err(store::Error::NoResponse { reason: "slow".into() });
    first.reporter.settled((fence, ledger), no_answer, now);
    first.receive(1, WINDOW + 1, 9);
    first.run(&mut world, fence, END + 2000, Loss::Nothing);
    assert_eq!(world.reported().get(&WINDOW), Some(&14));
    assert_eq!(world.commit(&late), store::Outcome::Conflict(Vec::new()));
}

/// Guards against a holder that stood still beyond its lease and then settles or sends beside its successor.
#[test]
fn a_holder_that_wakes_without_its_lease_does_nothing() {
    let mut world = World::default();
    let (mut frozen, fence) = holder(&mut world);
    let sent = world.calls.len();
    frozen.receive_from_all(WINDOW + 1);
    frozen.at = END + 3000;
    assert_eq!(frozen.reporter.next(ms(frozen.at), frozen.at, &addresses()), None);
    // A write that it began before has no effect.
    let (ledger, revision) = world.ledger();
    world.elect();
    let late = world.commit(&settle(fence, revision, &ledger.unwrap_or_default()));
    assert_eq!(late, store::Outcome::Conflict(Vec::new()));
    assert_eq!(world.calls.len(), sent);
}

/// Guards against two hosts that both take themselves for the holder and settle a window with different counts.
#[test]
fn of_two_candidates_one_settles() {
    let mut world = World::default();
    let (mut first, old) = holder(&mut world);
    let (mut second, new) = (host("b", END - 100), world.elect());
    first.receive(0, WINDOW + 1, 5);
    first.receive(1, WINDOW + 1, 2);
    second.receive(0, WINDOW + 1, 5);
    second.receive(1, WINDOW + 1, 4);
    let sent = world.calls.len();
    // The first one has not noticed that its lease has ended.
    first.run(&mut world, old, END + 500, Loss::Nothing);
    assert_eq!(world.calls.len(), sent, "sent what it could not settle");
    second.run(&mut world, new, END + 2000, Loss::Nothing);
    assert_eq!(world.reported().get(&WINDOW), Some(&9));
}

/// Guards against a window that waits for a lost host until its report is late, and against one that is settled before a
/// host that lives has sent its counts.
#[test]
fn a_window_waits_for_all_hosts_but_not_until_it_is_due() {
    let mut world = World::default();
    let (mut first, fence) = holder(&mut world);
    first.receive(0, WINDOW + 1, 5);
    first.run(&mut world, fence, END + 5900, Loss::Nothing);
    assert_eq!(world.reported().get(&WINDOW), None);
    first.run(&mut world, fence, END + 6200, Loss::Nothing);
    assert_eq!(world.reported().get(&WINDOW), Some(&7));
}

/// Guards against holders that take turns, A, B, A, and against a host that is started again and does not know that it has
/// just called.
#[test]
fn a_host_does_not_compete_again_before_the_turn_interval() {
    let mut world = World::default();
    let (mut first, fence) = holder(&mut world);
    assert_eq!(host("a", END).reporter.rejoin_at(), ms(END) + TURN);
    first.receive_from_all(WINDOW + 1);
    first.run(&mut world, fence, END + 1000, Loss::Nothing);
    let called_at = first.reporter.rejoin_at() - TURN;
    assert!(called_at >= ms(END) && called_at <= ms(END + 1000), "{called_at:?}");
    // A call in progress counts from its beginning and again from its end.
    first.receive_from_all(WINDOW + 2);
    first.at = END + LENGTH_MS;
    first.lead(fence, first.at);
    let settle_it = first.reporter.next(ms(first.at), first.at, &addresses());
    let Some(Action::Settle { fence, ledger, .. }) = settle_it else {
        panic!("not settled: {settle_it:?}");
    };
    first.reporter.settled((fence, ledger), Ok(store::Outcome::Committed(99)), ms(first.at));
    let call = first.reporter.next(ms(first.at), first.at, &addresses());
    let Some(Action::Send(_, report)) = call else {
        panic!("not sent: {call:?}");
    };
    assert_eq!(first.reporter.rejoin_at(), ms(first.at) + TURN);
    let ended = ms(first.at + 1400);
    let no_answer = Err(cloud::Error::NoResponse { reason: "slow".into() });
    first.reporter.sent(fence, &report, no_answer, ended);
    assert_eq!(first.reporter.rejoin_at(), ended + TURN);
}

/// Guards against a holder that settles an overdue window before the hosts can have sent it their counts, and that calls
/// before the last call of its predecessor has arrived.
#[test]
fn a_new_holder_waits_for_counts_and_calls() {
    let mut world = World::default();
    let (mut first, fence) = holder(&mut world);
    first.receive_from_all(WINDOW + 1);
    first.run(&mut world, fence, END + 1000, Loss::Call);
    let (mut second, fence) = (host("b", END + LENGTH_MS + 7000), world.elect());
    let (taken_at, sent) = (second.at, world.calls.len());
    second.run(&mut world, fence, taken_at + 500, Loss::Nothing);
    let mut late = message(1, WINDOW, 3);
    late.windows[0].window = WINDOW + 1;
    second.reporter.accept(&late, ms(second.at), second.at);
    second.run(&mut world, fence, taken_at + 900, Loss::Nothing);
    assert_eq!(world.calls.len(), sent, "called too early");
    second.run(&mut world, fence, taken_at + 2000, Loss::Nothing);
    let reported = world.reported();
    assert_eq!((reported.get(&WINDOW), reported.get(&(WINDOW + 1))), (Some(&7), Some(&3)));
}

/// Guards against a holder that goes on calling with a fencing token that the platform has refused.
#[test]
fn a_refused_token_is_not_used_again() {
    let mut world = World::default();
    let (mut first, fence) = holder(&mut world);
    first.receive_from_all(WINDOW + 1);
    first.at = END + 200;
    first.lead(fence, first.at);
    first.act(&mut world, Loss::Nothing, &Ok(cloud::Outcome::Conflict));
    assert!(!first.reporter.is_holder());
    let sent = world.calls.len();
    first.run(&mut world, fence, END + 5000, Loss::Nothing);
    assert_eq!(world.calls.len(), sent);
    let next = world.elect();
    first.run(&mut world, next, END + 8000, Loss::Nothing);
    assert_eq!(world.reported().get(&WINDOW), Some(&7), "the next term does not send it");
}

/// Guards against reports that are lost while the platform is down, sent out of order after it, or sent for ever; and
/// against more calls than it permits.
#[test]
fn settled_windows_wait_for_the_platform() {
    let mut world = World::default();
    let (mut first, fence) = holder(&mut world);
    let (sent, begun) = (world.calls.len(), first.at);
    let down = Err(cloud::Error::Refused { reason: "down".into() });
    // One host alone keeps the duty.
    first.hosts.pop_last();
    first.calls = 0;
    while first.at < begun + 90_000 {
        first.at += 100;
        first.lead(fence, first.at);
        first.act(&mut world, Loss::Nothing, &down);
    }
    let calls = first.calls;
    assert!((15..40).contains(&calls), "{calls} calls in 90 s");
    first.run(&mut world, fence, begun + 100_000, Loss::Nothing);
    let windows: Vec<u64> = world.calls[sent..].iter().map(|(_, report)| report.window).collect();
    // The first window that ended at most 60 s ago; the backoff may take the time of one more.
    let oldest = (begun + 90_000 - 60_000).div_ceil(LENGTH_MS) - 1;
    assert!(windows.is_sorted(), "{windows:?}");
    assert!(windows[0] >= oldest && windows[0] <= oldest + 1, "{windows:?}, oldest {oldest}");
    assert!(windows.len() >= 12, "{windows:?}");
    let unsent = world.ledger().0.unwrap().unsent.len();
    assert!(unsent <= 1, "{unsent} windows are kept although they were received or dropped");
}

/// Guards against a holder that alone is cut off from the platform and keeps the duty until reports are late.
#[test]
fn a_holder_that_cannot_call_lets_another_host_try() {
    let mut world = World::default();
    let (mut first, fence) = holder(&mut world);
    first.receive_from_all(WINDOW + 1);
    let cut_off = Err(cloud::Error::Refused { reason: "cut off".into() });
    while first.at < END + 5000 && first.reporter.is_holder() {
        first.at += 100;
        first.lead(fence, first.at);
        first.act(&mut world, Loss::Nothing, &cut_off);
    }
    assert!(!first.reporter.is_holder());
    assert!(first.at < END + 5000, "{}", first.at - END);
    // An answer that limits the rate is one.
    let mut world = World::default();
    let (mut limited, fence) = holder(&mut world);
    limited.receive_from_all(WINDOW + 1);
    for turn in 0..80 {
        let limit = Ok(cloud::Outcome::RateLimited);
        limited.at += 100;
        limited.lead(fence, limited.at);
        limited.act(&mut world, Loss::Nothing, if turn < 10 { &cut_off } else { &limit });
    }
    assert!(limited.reporter.is_holder());
}

/// Guards against a settled window that is settled anew because the ledger cannot be decoded.
#[test]
fn without_a_readable_ledger_only_new_windows_are_settled() {
    let mut world = World::default();
    world.keys.insert(LEDGER.into(), (b"?".to_vec(), 0));
    world.revision += 1;
    world.keys.insert(LEDGER.into(), (b"?".to_vec(), world.revision));
    let (mut first, fence) = holder(&mut world);
    first.receive_from_all(WINDOW + 2);
    first.run(&mut world, fence, END + LENGTH_MS + 1000, Loss::Nothing);
    assert_eq!(world.reported().into_keys().collect::<Vec<_>>(), [WINDOW + 1]);
}

/// Guards against a holder that ends because of numbers in a message or in the ledger that make no sense.
#[test]
fn numbers_out_of_range_do_no_harm() {
    let mut world = World::default();
    let (mut first, fence) = holder(&mut world);
    for host in [0, 1] {
        let mut message = message(host, u64::MAX, u64::MAX);
        let ahead = UsageWindow { window: u64::MAX, ..message.windows[0].clone() };
        message.windows.push(ahead);
        first.reporter.accept(&message, ms(first.at), u64::MAX);
        first.reporter.accept(&message, ms(first.at), first.at);
    }
    first.run(&mut world, fence, END + 1000, Loss::Nothing);
    assert_eq!(world.reported().get(&WINDOW), Some(&u64::MAX));
    let ledger = Ledger { next: u64::MAX, unsent: Vec::new() };
    world.keys.insert(LEDGER.into(), (ledger.encode(), 999));
    let (mut second, fence) = (host("b", END + 1000), world.elect());
    second.receive_from_all(u64::MAX);
    assert!(second.run(&mut world, fence, END + 9000, Loss::Nothing));
}

/// Requests that the metric of usage counts for an outcome.
fn metered(outcome: &str) -> u64 {
    let text = METERS.text();
    let labels = format!("outcome=\"{outcome}\"");
    let is_of = |line: &&str| line.starts_with("lagoonyard_usage") && line.contains(&labels);
    let value = |line: &str| line.rsplit(' ').next().and_then(|value| value.parse::<u64>().ok());
    text.lines().filter(is_of).filter_map(value).sum()
}

/// Guards against windows that are skipped as too old without a trace of their requests, before or after the holder gets them.
/// No other test of this program skips windows with so many requests.
#[test]
fn requests_of_skipped_windows_are_counted() {
    const REQUESTS: u64 = 1 << 40;
    let mut world = World::default();
    let (mut first, fence) = holder(&mut world);
    first.receive(0, WINDOW, REQUESTS);
    let before = (metered("unsent"), metered("late"));
    first.at = END + 120_000;
    first.lead(fence, first.at);
    first.act(&mut world, Loss::Nothing, &Ok(cloud::Outcome::Accepted));
    first.receive(1, WINDOW, REQUESTS);
    assert!(!world.reported().contains_key(&WINDOW));
    let counted = (metered("unsent") - before.0, metered("late") - before.1);
    // The holder already had two requests of the second host.
    assert_eq!((counted.0 / REQUESTS, (counted.1 + 2) / REQUESTS), (1, 1));
}

/// Guards against a host that remembers every other one as long as it does not hold the duty itself.
#[test]
fn a_host_without_the_duty_forgets_hosts_that_are_gone() {
    let mut other = host("b", END);
    other.receive(0, WINDOW, 1);
    other.at += 60_000;
    other.receive(1, WINDOW, 1);
    assert_eq!(other.reporter.addresses(), BTreeSet::from([HOSTS[1].parse().unwrap()]));
}
