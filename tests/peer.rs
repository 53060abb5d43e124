//! Guards against gossip that loses rows, takes rows of dead incarnations, grows without bound or follows garbage.

mod common;

use std::time::Duration;

use common::{Fleet, STEP, id};
use lagoonyard::{
    core::{
        Action, Core, Event, Settings, World,
        peer::{self, Spread},
        rows::Key,
        settings::Seed,
    },
    wire::{self, Body, Item, Message},
};
use prost::Message as _;

const S: Duration = Duration::from_secs(1);

fn world(host: &str, peers: &[&str]) -> World {
    let seed = |host: &&str| Seed {
        host: (*host).into(),
        zone: "zone".into(),
        address: "x:1".into(),
    };
    let peers = peers.iter().map(seed).collect();
    let incarnation = host.bytes().map(u64::from).sum();
    World::new(
        Settings {
            host: host.into(),
            incarnation,
            seed: incarnation,
            peers,
            ..Settings::default()
        },
        100 * S,
    )
}

fn load(target: usize, running: u32) -> Item {
    let target = format!("target-{target}");
    Item::Load(wire::Load {
        target,
        running,
        ..wire::Load::default()
    })
}

/// Runs two hosts for a while; `lost` says whether a message is lost. Returns the messages.
fn exchange(pair: &mut [World; 2], time: Duration, lost: impl Fn(usize) -> bool) -> Vec<Message> {
    let mut seen = Vec::new();
    let until = pair[0].now + time;
    while pair[0].now < until {
        for index in 0..2 {
            pair[index].now += STEP;
            peer::run(&mut pair[index]);
            lagoonyard::core::host::run(&mut pair[index]);
            let from = pair[index].hosts.me.clone();
            for action in std::mem::take(&mut pair[index].out) {
                let Action::Send { message, .. } = action else {
                    continue;
                };
                seen.push(message.clone());
                if !lost(seen.len()) {
                    let event = peer::Event::Message {
                        from: from.clone(),
                        message: Box::new(message),
                    };
                    peer::input(&mut pair[1 - index], event);
                }
            }
        }
    }
    seen
}

fn rows_of(world: &World, owner: &str) -> usize {
    world.peers.owners.get(owner).map_or(0, |owner| owner.rows.len())
}

#[test]
fn all_rows_arrive_although_messages_are_small_and_every_third_is_lost() {
    let mut pair = [world("a", &["b"]), world("b", &["a"])];
    for target in 0..300 {
        peer::publish(&mut pair[0], load(target, 1), Spread::Gossip);
    }
    let seen = exchange(&mut pair, 30 * S, |count| count % 3 == 0);
    assert_eq!(rows_of(&pair[1], "a"), 301);
    for message in &seen {
        if let Some(Body::Delta(delta)) = &message.body {
            let rows: usize = delta.rows.iter().map(|row| row.encoded_len()).sum();
            assert!(rows <= 1200, "{rows} bytes of rows in one message");
        }
    }
}

#[test]
fn a_pushed_row_does_not_hide_the_rows_before_it() {
    let mut pair = [world("a", &["b"]), world("b", &["a"])];
    exchange(&mut pair, 3 * S, |_| false);
    for target in 0..100 {
        peer::publish(&mut pair[0], load(target, 1), Spread::Gossip);
    }
    peer::publish(&mut pair[0], load(500, 9), Spread::PushAll);
    exchange(&mut pair, 100 * Duration::from_millis(1), |_| false);
    assert!(
        pair[1].peers.owners["a"]
            .rows
            .contains_key(&Key::Load("target-500".into()))
    );
    exchange(&mut pair, 5 * S, |_| false);
    assert_eq!(rows_of(&pair[1], "a"), 102);
}

#[test]
fn the_byte_budget_holds_when_rows_change_faster_than_it_allows() {
    let mut pair = [world("a", &["b"]), world("b", &["a"])];
    exchange(&mut pair, 3 * S, |_| false);
    let mut bytes = 0;
    for round in 0..50 {
        for target in 0..600 {
            peer::publish(&mut pair[0], load(target, round), Spread::Gossip);
        }
        let seen = exchange(&mut pair, 200 * Duration::from_millis(1), |_| false);
        bytes += seen.iter().map(|message| message.encoded_len()).sum::<usize>();
    }
    // Ten seconds of 12 KB/s, a burst of one second, and the digests.
    assert!(bytes < 12_000 * 11 + 40_000, "{bytes} bytes in 10 s");
}

#[test]
fn rows_of_a_replaced_incarnation_are_dropped() {
    let mut pair = [world("a", &["b"]), world("b", &["a"])];
    peer::publish(&mut pair[0], load(1, 1), Spread::Gossip);
    exchange(&mut pair, 20 * S, |_| false);
    assert_eq!(rows_of(&pair[1], "a"), 2);
    let old = gossip_row(&pair[0], 1);
    let mut new = world("a", &["b"]);
    new.settings.incarnation = 7;
    new.hosts.rows.get_mut("a").unwrap().incarnation = 7;
    new.now = pair[0].now;
    pair[0] = new;
    exchange(&mut pair, 5 * S, |_| false);
    assert_eq!((pair[1].peers.owners["a"].incarnation, rows_of(&pair[1], "a")), (7, 1));
    // A late row of the old incarnation changes nothing.
    let delta = wire::Delta {
        rows: vec![old],
        known: Vec::new(),
    };
    hear(&mut pair[1], "a", Some(Body::Push(delta)));
    assert_eq!(rows_of(&pair[1], "a"), 1);
}

fn gossip_row(world: &World, target: usize) -> wire::Row {
    let key = Key::Load(format!("target-{target}").into());
    lagoonyard::core::gossip::row(world, &key).unwrap()
}

fn hear(world: &mut World, from: &str, body: Option<Body>) {
    peer::input(
        world,
        peer::Event::Message {
            from: from.into(),
            message: Box::new(Message { body }),
        },
    );
}

#[test]
fn garbage_and_strangers_are_ignored_with_few_log_lines() {
    let mut world = world("a", &[]);
    let host = |id: &str, address: &str| wire::Row {
        owner: id.into(),
        incarnation: 5,
        version: 1,
        item: Some(Item::Host(wire::Host {
            zone: "zone".into(),
            address: address.into(),
            beat: 3,
            ..wire::Host::default()
        })),
    };
    let digest = |sender| {
        Some(Body::Digest(wire::Digest {
            known: Vec::new(),
            sender,
        }))
    };
    for _ in 0..100 {
        hear(&mut world, "stranger", None);
        hear(
            &mut world,
            "stranger",
            Some(Body::ConfigAsk(wire::ConfigAsk { revision: 1 })),
        );
        hear(
            &mut world,
            "stranger",
            Some(Body::Push(wire::Delta {
                rows: vec![host("c", "x:1")],
                known: Vec::new(),
            })),
        );
        hear(&mut world, "stranger", digest(None));
        hear(&mut world, "stranger", digest(Some(host("other", "x:1"))));
        hear(&mut world, "stranger", digest(Some(host("stranger", ""))));
        hear(
            &mut world,
            "stranger",
            digest(Some(host("stranger", &"x".repeat(5000)))),
        );
    }
    assert_eq!(world.hosts.rows.len(), 1);
    let lines = world
        .out
        .iter()
        .filter(|action| matches!(action, Action::Log { .. }))
        .count();
    assert_eq!(lines, 1, "one line in ten seconds");

    hear(&mut world, "host-1", digest(Some(host("host-1", "x:1"))));
    let push = |rows| {
        Some(Body::Push(wire::Delta {
            rows,
            known: Vec::new(),
        }))
    };
    let hosts = (0..4200).map(|count| host(&format!("host-{count}"), "x:1")).collect();
    hear(&mut world, "host-1", push(hosts));
    assert!(world.hosts.rows.len() <= 4096 && world.peers.owners.len() <= 4096);
    let row = |target| wire::Row {
        owner: "host-1".into(),
        incarnation: 5,
        version: target as u64 + 2,
        item: Some(load(target, 1)),
    };
    hear(&mut world, "host-1", push((0..4200).map(row).collect()));
    assert!(rows_of(&world, "host-1") <= 4096);
}

#[test]
fn random_bytes_as_messages_do_not_panic() {
    let mut core = Core::new(Settings::default(), 100 * S);
    let hello = |core: &mut Core, message| {
        core.input(
            101 * S,
            Event::Peer(peer::Event::Message {
                from: "x".into(),
                message: Box::new(message),
            }),
        );
        core.tick(101 * S);
    };
    let mut world = world("x", &["host"]);
    lagoonyard::core::host::run(&mut world);
    let sender = lagoonyard::core::gossip::row(&world, &Key::Host);
    let body = Some(Body::Digest(wire::Digest {
        known: Vec::new(),
        sender,
    }));
    hello(&mut core, Message { body: body.clone() });
    let valid = Message { body }.encode_to_vec();
    let mut decoded = 0;
    for seed in 0..20_000u64 {
        let mut bytes = valid.clone();
        let noise = xxhash_rust::xxh3::xxh3_64(&seed.to_be_bytes());
        let index = noise as usize % bytes.len();
        bytes[index] = (noise >> 32) as u8;
        if let Ok(message) = Message::decode(&bytes[..]) {
            decoded += 1;
            hello(&mut core, message);
        }
    }
    assert!(decoded > 1000);
}

#[test]
fn fleet_wide_rows_cross_zones_and_never_go_back() {
    let mut fleet = Fleet::new(&["a", "b", "c"], 4);
    fleet.run(10 * S);
    let delta = |version| wire::Delta {
        rows: vec![wire::Row {
            item: Some(Item::Desired(wire::Desired {
                model: "m".into(),
                version,
                weights: "w".into(),
            })),
            ..wire::Row::default()
        }],
        known: Vec::new(),
    };
    for version in [8, 9, 7] {
        let message = Box::new(Message {
            body: Some(Body::Push(delta(version))),
        });
        fleet.input(
            "a-1",
            Event::Peer(peer::Event::Message {
                from: id("a", 0),
                message,
            }),
        );
    }
    fleet.run(7 * S);
    for (host, core) in &fleet.cores {
        let held = core.world().peers.wide.get(&Key::Desired("m".into()));
        assert_eq!(held.map(|row| row.version), Some(9), "{host}");
    }
    // A zone cut off keeps what it has and follows after the cut.
    fleet.cut_zone("c");
    fleet.run(60 * S);
    assert!(
        fleet.cores["a-0"].world().hosts.alive_in("c").is_empty(),
        "a silent zone takes no roles"
    );
    assert_eq!(fleet.cores["c-0"].world().hosts.alive_in("c").len(), 4);
    fleet.cut.clear();
    fleet.run(15 * S);
    assert_eq!(fleet.cores["a-0"].world().hosts.alive_in("c").len(), 4);
}
