//! Leases and calls of the key-value store: no lease is used after its expiry or by two hosts under one fencing
//! token, and the rate of calls is bounded.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::Store;
use lagoonyard::core::{
    Action, Settings, World,
    store::{self, Answer, Call, Failure, Reply},
};

const MILLISECOND: Duration = Duration::from_millis(1);
const LEASE: &str = "orders/a";

/// The in-memory store with leases.
#[derive(Default)]
struct Service {
    store: Store,
    /// Expiry of each lease by id.
    leases: Vec<Duration>,
    /// Lease of each key that has one.
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

/// A host that acquires the lease, with a store whose replies may be delayed or lost.
struct Holder {
    world: World,
    late_replies: Vec<Answer>,
    delay_replies: bool,
    lose_replies: bool,
    calls: usize,
}

impl Holder {
    fn new(host: &str) -> Self {
        let settings = Settings { host: host.into(), ..Settings::default() };
        let mut world = World::new(settings, 100_000 * MILLISECOND);
        store::acquire(&mut world, LEASE);
        Self {
            world,
            late_replies: Vec::new(),
            delay_replies: false,
            lose_replies: false,
            calls: 0,
        }
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
            let reply = Answer { id, result: Ok(service.apply(now, &call)) };
            if self.delay_replies {
                self.late_replies.push(reply);
            } else if !self.lose_replies {
                store::input(&mut self.world, reply);
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
            now: 100_000 * MILLISECOND,
            service: Service::default(),
            hosts: [Holder::new("a"), Holder::new("b")],
        }
    }

    /// Runs these hosts and checks at every step that at most one may use the lease.
    fn run(&mut self, hosts: &[usize], time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += 50 * MILLISECOND;
            for index in hosts {
                self.hosts[*index].step(self.now, &mut self.service);
            }
            let holders = self.hosts.iter().filter(|host| host.fence(self.now).is_some()).count();
            assert!(holders <= 1, "two holders at {:?}", self.now);
        }
    }
}

#[test]
fn one_host_keeps_the_lease_and_the_other_learns_the_fencing_token() {
    let mut pair = Pair::new();
    pair.run(&[0, 1], 1000 * MILLISECOND);
    let fence = pair.hosts[0].fence(pair.now).unwrap();
    pair.run(&[0, 1], 60_000 * MILLISECOND);
    assert_eq!(pair.hosts[0].fence(pair.now), Some(fence));
    assert_eq!(pair.hosts[1].world.store.known_fence(LEASE), Some(fence));
}

/// Guards against an order under an expired lease, sent by a paused host that has not ticked since.
#[test]
fn the_lease_of_a_paused_holder_has_expired_when_it_sends() {
    let mut pair = Pair::new();
    pair.run(&[0, 1], 1000 * MILLISECOND);
    let first = pair.hosts[0].fence(pair.now).unwrap();
    pair.run(&[1], 20_000 * MILLISECOND);
    let second = pair.hosts[1].fence(pair.now).unwrap();
    assert!(second > first);
    // The paused host has not ticked. The check uses the time of sending.
    assert_eq!(pair.hosts[0].fence(pair.now), None);
    pair.run(&[0, 1], 5000 * MILLISECOND);
    assert_eq!(pair.hosts[0].fence(pair.now), None);
    assert_eq!(pair.hosts[0].world.store.known_fence(LEASE), Some(second));
}

/// Guards against a lease that is used after its expiry because the expiry is counted from a late reply to the renewal.
#[test]
fn use_ends_a_margin_before_the_expiry_counted_from_the_sending_of_the_renewal() {
    let mut pair = Pair::new();
    pair.run(&[0], 1000 * MILLISECOND);
    pair.hosts[0].delay_replies = true;
    let sent = pair.now + 2100 * MILLISECOND;
    pair.run(&[0], 3500 * MILLISECOND);
    let [reply] = &std::mem::take(&mut pair.hosts[0].late_replies)[..] else {
        panic!("one renewal should be in flight");
    };
    // The reply arrives 1.4 s after the renewal was sent.
    store::input(&mut pair.hosts[0].world, reply.clone());
    let until = pair.hosts[0].world.store.held(LEASE, pair.now).unwrap().until;
    assert!(until <= sent + 8000 * MILLISECOND, "{until:?} with the renewal sent at {sent:?}");
    assert_eq!(pair.hosts[0].fence(until), None);
}

#[test]
fn a_lost_reply_to_the_creation_of_the_key_is_resolved_by_reading() {
    let mut pair = Pair::new();
    // The grant is answered. The creation of the key takes effect, but its reply is lost.
    pair.now += 50 * MILLISECOND;
    pair.hosts[0].step(pair.now, &mut pair.service);
    for _ in 0..10 {
        if pair.service.store.values.contains_key(LEASE) {
            break;
        }
        pair.now += 50 * MILLISECOND;
        let granted = !pair.service.leases.is_empty();
        pair.hosts[0].lose_replies = granted;
        pair.hosts[0].step(pair.now, &mut pair.service);
    }
    assert_eq!(pair.hosts[0].fence(pair.now), None);
    pair.hosts[0].lose_replies = false;
    pair.run(&[0, 1], 3000 * MILLISECOND);
    let created = pair.service.store.values[LEASE].create_revision;
    assert_eq!(pair.hosts[0].fence(pair.now), Some(created));
}

#[test]
fn in_an_outage_the_holder_stops_in_time_and_the_next_gets_a_higher_token() {
    let mut pair = Pair::new();
    pair.run(&[0, 1], 1000 * MILLISECOND);
    let first = pair.hosts[0].fence(pair.now).unwrap();
    pair.service.store.down = true;
    pair.run(&[0, 1], 9000 * MILLISECOND);
    assert_eq!(pair.hosts[0].fence(pair.now), None);
    assert_eq!(pair.hosts[0].world.store.known_fence(LEASE), Some(first));
    pair.run(&[0, 1], 300_000 * MILLISECOND);
    let calls = pair.hosts[0].calls;
    assert!(calls < 100, "{calls} calls in five minutes of outage");
    pair.service.store.down = false;
    pair.run(&[0, 1], 20_000 * MILLISECOND);
    let holder = pair.hosts.iter().find_map(|host| host.fence(pair.now)).unwrap();
    assert!(holder > first);
}

/// Guards against a late reply to a renewal from before the release that makes the host use the lease again.
#[test]
fn a_released_lease_goes_to_the_next_host_and_late_replies_are_dropped() {
    let mut pair = Pair::new();
    pair.run(&[0, 1], 1000 * MILLISECOND);
    pair.hosts[0].delay_replies = true;
    pair.run(&[0, 1], 3000 * MILLISECOND);
    store::release(&mut pair.hosts[0].world, LEASE);
    store::acquire(&mut pair.hosts[0].world, LEASE);
    let late = std::mem::take(&mut pair.hosts[0].late_replies);
    assert_eq!(late.len(), 1);
    store::input(&mut pair.hosts[0].world, late[0].clone());
    assert_eq!(pair.hosts[0].fence(pair.now), None);
    store::release(&mut pair.hosts[0].world, LEASE);
    pair.run(&[1], 20_000 * MILLISECOND);
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
    // A late reply after the timeout is ignored.
    holder.world.now += 3000 * MILLISECOND;
    store::run(&mut holder.world);
    store::input(&mut holder.world, Answer { id: 1, result: Err(Failure::Unknown) });
    assert!(holder.world.store.failing_since.is_some());
}
