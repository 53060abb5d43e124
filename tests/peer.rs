//! Gossip between hosts: all rows arrive within the byte budget, and rows of old incarnations and malformed messages
//! are ignored.

mod common;

use std::time::Duration;

use common::{Fleet, STEP, id};
use lagoonyard::{
    core::{
        Action, Core, Event, Settings, World, gossip,
        peer::{self, Spread},
        rows::Key,
        settings::Seed,
    },
    wire::{self, Body, Item, Message},
};
use prost::Message as _;

const SECOND: Duration = Duration::from_secs(1);
const MILLISECOND: Duration = Duration::from_millis(1);

fn world(host: &str, peers: &[&str]) -> World {
    let (incarnation, zone, address) = (host.bytes().map(u64::from).sum(), "zone", "x:1");
    let seed =
        |host: &&str| Seed { host: (*host).into(), zone: zone.into(), address: address.into() };
    let settings = Settings {
        host: host.into(),
        incarnation,
        seed: incarnation,
        peers: peers.iter().map(seed).collect(),
        ..Settings::default()
    };
    World::new(settings, 100 * SECOND)
}

fn load(target: usize, running: u32) -> Item {
    let target = format!("target-{target}");
    Item::Load(wire::Load { target, running, ..wire::Load::default() })
}

/// Runs two hosts for a while and returns their messages. `lost` decides by its number whether a message is lost.
fn exchange(pair: &mut [World; 2], time: Duration, lost: impl Fn(usize) -> bool) -> Vec<Message> {
    let mut messages = Vec::new();
    let until = pair[0].now + time;
    while pair[0].now < until {
        for index in 0..2 {
            pair[index].now += STEP;
            peer::run(&mut pair[index]);
            lagoonyard::core::host::run(&mut pair[index]);
            let from = pair[index].hosts.local_id.clone();
            for action in std::mem::take(&mut pair[index].actions) {
                let Action::Send { message, .. } = action else {
                    continue;
                };
                messages.push(message.clone());
                if !lost(messages.len()) {
                    receive(&mut pair[1 - index], &from, message.body);
                }
            }
        }
    }
    messages
}

/// Encoded size of the rows of a delta.
fn row_bytes(message: &Message) -> usize {
    match &message.body {
        Some(Body::Delta(delta)) => delta.rows.iter().map(|row| row.encoded_len()).sum(),
        _ => 0,
    }
}

fn rows_of(world: &World, owner: &str) -> usize {
    world.peers.owners.get(owner).map_or(0, |owner| owner.rows.len())
}

#[test]
fn all_rows_arrive_in_small_messages_of_which_every_third_is_lost() {
    let mut pair = [world("a", &["b"]), world("b", &["a"])];
    for target in 0..300 {
        peer::publish(&mut pair[0], load(target, 1), Spread::Gossip);
    }
    let messages = exchange(&mut pair, 30 * SECOND, |count| count % 3 == 0);
    assert_eq!(rows_of(&pair[1], "a"), 301);
    let longest = messages.iter().map(row_bytes).max().unwrap();
    assert!((1000..=1200).contains(&longest), "{longest} bytes of rows in one message");
}

/// Guards against rows that are never sent because a pushed row of the same owner has a higher version than they have.
#[test]
fn a_pushed_row_does_not_hide_the_rows_before_it() {
    let mut pair = [world("a", &["b"]), world("b", &["a"])];
    exchange(&mut pair, 3 * SECOND, |_| false);
    for target in 0..100 {
        peer::publish(&mut pair[0], load(target, 1), Spread::Gossip);
    }
    peer::publish(&mut pair[0], load(500, 9), Spread::PushAll);
    exchange(&mut pair, 100 * MILLISECOND, |_| false);
    assert!(pair[1].peers.owners["a"].rows.contains_key(&Key::Load("target-500".into())));
    exchange(&mut pair, 5 * SECOND, |_| false);
    assert_eq!(rows_of(&pair[1], "a"), 102);
}

#[test]
fn the_byte_budget_holds_when_rows_change_faster_than_it_allows() {
    let mut pair = [world("a", &["b"]), world("b", &["a"])];
    exchange(&mut pair, 3 * SECOND, |_| false);
    let mut bytes = 0;
    for round in 1..=50u64 {
        let mut delta = wire::Delta::default();
        for owner in (0..30).map(|owner| format!("host-{owner}")) {
            let loads =
                (0..30).map(|target| row(&owner, 5, round * 31 + target, load(target as usize, 1)));
            delta.rows.push(host(&owner, "x:1"));
            delta.rows.extend(loads);
            let (owner, version) = (gossip::digest_key(&owner), round * 31 + 29);
            delta.known.push(wire::KnownVersion {
                owner,
                incarnation: 5,
                version,
                heartbeat: round + 3,
            });
        }
        receive(&mut pair[0], "b", Some(Body::Delta(delta)));
        let messages = exchange(&mut pair, 200 * MILLISECOND, |_| false);
        bytes += messages.iter().map(row_bytes).sum::<usize>();
    }
    assert!(bytes > 100_000, "{bytes} bytes in 10 s do not reach the budget");
    // Ten seconds of 12 KB/s, a burst of one second, and one message by which the budget may be overdrawn.
    assert!(bytes <= 12_000 * 11 + 1200, "{bytes} bytes in 10 s");
}

#[test]
fn rows_of_a_replaced_incarnation_are_dropped() {
    let mut pair = [world("a", &["b"]), world("b", &["a"])];
    peer::publish(&mut pair[0], load(1, 1), Spread::Gossip);
    exchange(&mut pair, 20 * SECOND, |_| false);
    assert_eq!(rows_of(&pair[1], "a"), 2);
    let old = gossip_row(&pair[0], 1);
    let mut new = world("a", &["b"]);
    new.settings.incarnation = 7;
    new.hosts.rows.get_mut("a").unwrap().incarnation = 7;
    new.now = pair[0].now;
    pair[0] = new;
    exchange(&mut pair, 5 * SECOND, |_| false);
    assert_eq!((pair[1].peers.owners["a"].incarnation, rows_of(&pair[1], "a")), (7, 1));
    // A late row of the old incarnation is ignored.
    receive(&mut pair[1], "a", push(vec![old]));
    assert_eq!(rows_of(&pair[1], "a"), 1);
}

fn row(owner: &str, incarnation: u64, version: u64, item: Item) -> wire::Row {
    let (owner, item) = (owner.into(), Some(item));
    wire::Row { owner, incarnation, version, item }
}

fn host(id: &str, address: &str) -> wire::Row {
    let (zone, address) = ("zone".into(), address.into());
    row(
        id,
        5,
        1,
        Item::Host(wire::Host { zone, address, heartbeat: 3, leaving: false, revision: 0 }),
    )
}

fn push(rows: Vec<wire::Row>) -> Option<Body> {
    let known = Vec::new();
    Some(Body::Push(wire::Delta { rows, known }))
}

fn digest(sender: Option<wire::Row>) -> Option<Body> {
    let known = Vec::new();
    Some(Body::Digest(wire::Digest { known, sender }))
}

fn gossip_row(world: &World, target: usize) -> wire::Row {
    let key = Key::Load(format!("target-{target}").into());
    gossip::row(world, &key).unwrap()
}

fn receive(world: &mut World, from: &str, body: Option<Body>) {
    peer::input(
        world,
        peer::Event::Message { from: from.into(), message: Box::new(Message { body }) },
    );
}

#[test]
fn malformed_messages_and_unknown_hosts_are_ignored_and_logged_rarely() {
    let mut world = world("a", &[]);
    let request = Body::ConfigRequest(wire::ConfigRequest { revision: 1 });
    let long = "x".repeat(5000);
    for _ in 0..100 {
        receive(&mut world, "stranger", None);
        receive(&mut world, "stranger", Some(request.clone()));
        receive(&mut world, "stranger", push(vec![host("c", "x:1")]));
        receive(&mut world, "stranger", digest(None));
        for sender in [host("other", "x:1"), host("stranger", ""), host("stranger", &long)] {
            receive(&mut world, "stranger", digest(Some(sender)));
        }
    }
    assert_eq!(world.hosts.rows.len(), 1);
    let lines = world.actions.iter().filter(|action| matches!(action, Action::Log { .. }));
    assert_eq!(lines.count(), 1, "one line in ten seconds");

    receive(&mut world, "host-1", digest(Some(host("host-1", "x:1"))));
    let hosts = (0..4200).map(|count| host(&format!("host-{count}"), "x:1"));
    receive(&mut world, "host-1", push(hosts.collect()));
    assert!(world.hosts.rows.len() <= 4096 && world.peers.owners.len() <= 4096);
    let loads = (0..4200).map(|target| row("host-1", 5, target as u64 + 2, load(target, 1)));
    receive(&mut world, "host-1", push(loads.collect()));
    assert!(rows_of(&world, "host-1") <= 4096);
}

#[test]
fn altered_messages_do_not_panic() {
    let mut core = Core::new(Settings::default(), 100 * SECOND);
    let deliver = |core: &mut Core, message| {
        core.input(
            101 * SECOND,
            Event::Peer(peer::Event::Message { from: "x".into(), message: Box::new(message) }),
        );
        core.tick(101 * SECOND);
    };
    let mut world = world("x", &["host"]);
    lagoonyard::core::host::run(&mut world);
    let sender = gossip::row(&world, &Key::Host);
    let body = Some(Body::Digest(wire::Digest { known: Vec::new(), sender }));
    deliver(&mut core, Message { body: body.clone() });
    let valid = Message { body }.encode_to_vec();
    let mut decoded = 0;
    for seed in 0..20_000u64 {
        let mut bytes = valid.clone();
        let noise = xxhash_rust::xxh3::xxh3_64(&seed.to_be_bytes());
        let index = noise as usize % bytes.len();
        bytes[index] = (noise >> 32) as u8;
        if let Ok(message) = Message::decode(&bytes[..]) {
            decoded += 1;
            deliver(&mut core, message);
        }
    }
    assert!(decoded > 1000);
}

#[test]
fn fleet_wide_rows_cross_zones_and_never_go_back() {
    let mut fleet = Fleet::new(&["a", "b", "c"], 4);
    fleet.run(10 * SECOND);
    for version in [8, 9, 7] {
        let (model, weights) = ("m".into(), "w".into());
        let row = row("", 0, version, Item::Desired(wire::Desired { model, version, weights }));
        let (lease, fence) = ("orders/a".into(), version);
        let token = self::row("", 0, version, Item::Fence(wire::Fence { lease, fence }));
        let body = push(vec![row, token]);
        fleet.deliver("a-1", id("a", 0), Message { body });
    }
    fleet.run(7 * SECOND);
    for (host, core) in &fleet.cores {
        let desired = core.world().peers.fleet_rows.get(&Key::Desired("m".into()));
        assert_eq!(desired.map(|row| row.version), Some(9), "{host}");
        assert_eq!(core.world().store.known_fence("orders/a"), Some(9), "{host}");
    }
    // A partitioned zone keeps its rows and catches up after the partition.
    fleet.cut_zone("c");
    fleet.run(60 * SECOND);
    assert!(
        fleet.cores["a-0"].world().hosts.live_hosts("c").is_empty(),
        "hosts of an unreachable zone get no roles"
    );
    assert_eq!(fleet.cores["c-0"].world().hosts.live_hosts("c").len(), 4);
    fleet.cut_links.clear();
    fleet.run(15 * SECOND);
    assert_eq!(fleet.cores["a-0"].world().hosts.live_hosts("c").len(), 4);
}
