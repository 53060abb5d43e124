//! Guards against a lease that is used after it ended or by two hosts under one number, and against calls without end.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::Store;
use lagoonyard::core::{
    Action, Settings, World,
    store::{self, Answer, Call, Failure, Reply},
};

const MS: Duration = Duration::from_millis(1);
const LEASE: &str = "orders/a";

/// The fake store with leases.
#[derive(Default)]
struct Service {
    store: Store,
    /// Ends of leases by id.
    leases: Vec<Duration>,
    /// Keys under a lease.
    keys: BTreeMap<Box<str>, i64>,
}

impl Service {
    fn apply(&mut self, now: Duration, call: &Call) -> Reply {
        let ended = |id: &i64| self.leases[*id as usize] <= now;
        self.store.values.retain(|key, _| !self.keys.get(key).is_some_and(ended));
        self.keys.retain(|_, id| !ended(id));
        let ttl = Duration::from_secs(10);
        match call {
            Call::Grant { ttl } => {
                self.leases.push(now + *ttl);
                let id = self.leases.len() as i64 - 1;
                Reply::Lease { id, ttl: *ttl }
            }
            Call::KeepAlive { lease } if ended(lease) => Reply::LeaseGone,
            Call::KeepAlive { lease } => {
                self.leases[*lease as usize] = now + ttl;
                Reply::Lease { id: *lease, ttl }
            }
            Call::Swap { lease: Some(lease), .. } if ended(lease) => Reply::Conflict(None),
            call => {
                let reply = self.store.apply(call);
                if let (Reply::Swapped { .. }, Call::Swap { key, lease: Some(lease), .. }) =
                    (&reply, call)
                {
                    self.keys.insert(key.clone(), *lease);
                }
                reply
            }
        }
    }
}

/// One host that wants the lease, against a store whose answers may be delayed or lost.
struct Holder {
    world: World,
    late: Vec<Answer>,
    delay_answers: bool,
    lose_answers: bool,
    calls: usize,
}

impl Holder {
    fn new(host: &str) -> Self {
        let settings = Settings { host: host.into(), ..Settings::default() };
        let mut world = World::new(settings, 100_000 * MS);
        store::acquire(&mut world, LEASE);
        Self { world, late: Vec::new(), delay_answers: false, lose_answers: false, calls: 0 }
    }

    fn step(&mut self, now: Duration, service: &mut Service) {
        self.world.now = now;
        store::run(&mut self.world);
        for action in std::mem::take(&mut self.world.actions) {
            let Action::Store { id, call } = action else {
                continue;
            };
            self.calls += 1;
            if service.store.down {
                continue;
            }
            let answer = Answer { id, result: Ok(service.apply(now, &call)) };
            if self.delay_answers {
                self.late.push(answer);
            } else if !self.lose_answers {
                store::input(&mut self.world, answer);
            }
        }
    }

    fn fence(&self, now: Duration) -> Option<u64> {
        self.world.store.held(LEASE, now).map(|held| held.fence)
    }
}

struct Pair {
    now: Duration,
    service: Service,
    hosts: [Holder; 2],
}

impl Pair {
    fn new() -> Self {
        Self {
            now: 100_000 * MS,
            service: Service::default(),
            hosts: [Holder::new("a"), Holder::new("b")],
        }
    }

    /// Runs some hosts and checks at every step that no two may use the lease.
    fn run(&mut self, hosts: &[usize], time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += 50 * MS;
            for index in hosts {
                self.hosts[*index].step(self.now, &mut self.service);
            }
            let holders = self.hosts.iter().filter(|host| host.fence(self.now).is_some()).count();
            assert!(holders <= 1, "two holders at {:?}", self.now);
        }
    }
}

#[test]
fn one_of_two_holds_and_renews_and_the_other_learns_the_number() {
    let mut pair = Pair::new();
    pair.run(&[0, 1], 1000 * MS);
    let fence = pair.hosts[0].fence(pair.now).unwrap();
    pair.run(&[0, 1], 60_000 * MS);
    assert_eq!(pair.hosts[0].fence(pair.now), Some(fence));
    assert_eq!(pair.hosts[1].world.store.known_fence(LEASE), Some(fence));
}

#[test]
fn a_paused_holder_finds_its_lease_ended_at_the_moment_of_sending() {
    let mut pair = Pair::new();
    pair.run(&[0, 1], 1000 * MS);
    let first = pair.hosts[0].fence(pair.now).unwrap();
    pair.run(&[1], 20_000 * MS);
    let second = pair.hosts[1].fence(pair.now).unwrap();
    assert!(second > first);
    // The paused one acts before it has ticked: the check takes the time of the act.
    assert_eq!(pair.hosts[0].fence(pair.now), None);
    pair.run(&[0, 1], 5000 * MS);
    assert_eq!(pair.hosts[0].fence(pair.now), None);
    assert_eq!(pair.hosts[0].world.store.known_fence(LEASE), Some(second));
}

#[test]
fn use_stops_a_margin_before_the_end_counted_from_before_the_renewal() {
    let mut pair = Pair::new();
    pair.run(&[0], 1000 * MS);
    pair.hosts[0].delay_answers = true;
    let sent = pair.now + 2100 * MS;
    pair.run(&[0], 3500 * MS);
    let [answer] = &std::mem::take(&mut pair.hosts[0].late)[..] else {
        panic!("one renewal is in flight");
    };
    // The answer comes 1.4 s after the renewal was sent.
    store::input(&mut pair.hosts[0].world, answer.clone());
    let until = pair.hosts[0].world.store.held(LEASE, pair.now).unwrap().until;
    assert!(until <= sent + 8000 * MS, "{until:?} with the renewal sent at {sent:?}");
    assert_eq!(pair.hosts[0].fence(until), None);
}

#[test]
fn a_lost_answer_to_the_creation_is_resolved_by_reading_back() {
    let mut pair = Pair::new();
    // Grant is answered, the creation takes effect without an answer.
    pair.now += 50 * MS;
    pair.hosts[0].step(pair.now, &mut pair.service);
    for _ in 0..10 {
        if pair.service.store.values.contains_key(LEASE) {
            break;
        }
        pair.now += 50 * MS;
        let granted = !pair.service.leases.is_empty();
        pair.hosts[0].lose_answers = granted;
        pair.hosts[0].step(pair.now, &mut pair.service);
    }
    assert_eq!(pair.hosts[0].fence(pair.now), None);
    pair.hosts[0].lose_answers = false;
    pair.run(&[0, 1], 3000 * MS);
    let created = pair.service.store.values[LEASE].create_revision;
    assert_eq!(pair.hosts[0].fence(pair.now), Some(created));
}

#[test]
fn in_an_outage_the_holder_stops_in_time_and_the_next_gets_a_higher_number() {
    let mut pair = Pair::new();
    pair.run(&[0, 1], 1000 * MS);
    let first = pair.hosts[0].fence(pair.now).unwrap();
    pair.service.store.down = true;
    pair.run(&[0, 1], 9000 * MS);
    assert_eq!(pair.hosts[0].fence(pair.now), None);
    assert_eq!(pair.hosts[0].world.store.known_fence(LEASE), Some(first));
    pair.run(&[0, 1], 300_000 * MS);
    let calls = pair.hosts[0].calls;
    assert!(calls < 100, "{calls} calls in five minutes of outage");
    pair.service.store.down = false;
    pair.run(&[0, 1], 20_000 * MS);
    let holder = pair.hosts.iter().find_map(|host| host.fence(pair.now)).unwrap();
    assert!(holder > first);
}

#[test]
fn a_released_lease_passes_on_and_its_late_answers_are_dropped() {
    let mut pair = Pair::new();
    pair.run(&[0, 1], 1000 * MS);
    pair.hosts[0].delay_answers = true;
    pair.run(&[0, 1], 3000 * MS);
    store::release(&mut pair.hosts[0].world, LEASE);
    store::acquire(&mut pair.hosts[0].world, LEASE);
    let late = std::mem::take(&mut pair.hosts[0].late);
    assert_eq!(late.len(), 1);
    store::input(&mut pair.hosts[0].world, late[0].clone());
    assert_eq!(pair.hosts[0].fence(pair.now), None);
    store::release(&mut pair.hosts[0].world, LEASE);
    pair.run(&[1], 20_000 * MS);
    assert!(pair.hosts[1].fence(pair.now).is_some());
}

#[test]
fn calls_above_the_rate_are_answered_as_unsent() {
    let mut holder = Holder::new("a");
    store::release(&mut holder.world, LEASE);
    let get = Call::Get { key: "x".into() };
    for _ in 0..100 {
        store::call(&mut holder.world, store::Purpose::Version("m".into()), get.clone());
    }
    let sent =
        holder.world.actions.iter().filter(|action| matches!(action, Action::Store { .. })).count();
    assert!((1..=60).contains(&sent), "{sent}");
    // A late answer after the timeout finds nobody and harms nothing.
    holder.world.now += 3000 * MS;
    store::run(&mut holder.world);
    store::input(&mut holder.world, Answer { id: 1, result: Err(Failure::Unknown) });
    assert!(holder.world.store.failing_since.is_some());
}
