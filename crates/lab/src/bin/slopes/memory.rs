//! Measures resident memory per table row by the process's VmRSS before and after inserting many rows.

use std::{fs, sync::Arc, time::Duration};

use lagoonyard::{
    core::{
        Core, Event, Settings,
        group::{Draft, Slot},
        host, key,
        listing::Entry,
        request::{self, Generate, Incoming, Segment, Work},
        rows::{Key, Owner},
        stream::Sample,
        target,
    },
    file,
    wire::{self, Item},
};

use crate::{line, platform};

const NOW: Duration = Duration::from_secs(1000);

fn resident_bytes() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|text| text.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kilobytes.map_or(f64::NAN, |count| count * 1024.0)
}

fn core() -> Core {
    let body = platform::file(1, 1, 16);
    let settings = Settings {
        host: "host-0-000".into(),
        zone: "zone-0".into(),
        key_limit: 10_000_000,
        ..Settings::default()
    };
    let snapshot = file::parse(&body, 1).expect("the benchmark's file is valid");
    Core::with_snapshot(settings, NOW, snapshot, &[])
}

fn targets(core: &mut Core, count: usize) {
    for index in 0..count {
        let entry = Entry {
            target: format!("worker-0-{index:04}").into(),
            zone: "zone-0".into(),
            address: format!("10.0.{}.{}:8000", index / 200, index % 200).into(),
            pool: "engines".into(),
            leaving: false,
        };
        target::upsert(core.world_mut(), &entry);
        let report = target::Report {
            running: 3,
            versions: [("writer".into(), 1)].into(),
            ..target::Report::default()
        };
        target::apply_peer_report(core.world_mut(), &entry.target, target::Outcome::Report(report));
    }
}

fn hosts(core: &mut Core, count: usize) {
    for index in 0..count {
        let row = host::Row {
            zone: "zone-0".into(),
            address: format!("10.0.{}.{}:7000", index / 200, index % 200).into(),
            incarnation: index as u64,
            heartbeat: 1,
            state: host::State::Live,
            revision: 1,
            heartbeat_at: NOW,
        };
        let id = format!("host-0-{index:05}");
        core.world_mut().hosts.rows.insert(id.into(), row);
    }
}

fn loads(core: &mut Core, count: usize) {
    // Each host owns the rows of the seven targets that it polls.
    for owner in 0..count / 7 {
        let mut rows = Owner::new(1);
        for index in 0..7 {
            let load = wire::Load {
                target: format!("worker-0-{:05}", owner * 7 + index),
                running: 3,
                version: 1,
                ..wire::Load::default()
            };
            let item = Item::Load(load);
            rows.insert(NOW, index as u64 + 1, &Key::of(&item), &item);
        }
        let id = format!("host-0-{owner:05}");
        core.world_mut().peers.owners.insert(id.into(), rows);
    }
}

fn keys(core: &mut Core, count: usize) {
    for ticket in 0..count as u64 / 1000 {
        core.input(NOW, Event::Key(key::Issue { ticket, count: 1000 }));
        core.tick(NOW);
    }
}

fn requests(core: &mut Core, count: usize) {
    // Without a live target the requests would be refused.
    targets(core, 4);
    for ticket in 0..count as u64 {
        let prompt = format!("prompt {ticket} {}", "x".repeat(1000));
        let incoming = Incoming {
            work: Work::Generate(Generate::new("writer", &prompt, 293, "")),
            key: None,
            deadline: None,
        };
        core.input(NOW, Event::Request(request::Event::Submit { ticket, incoming }));
    }
}

/// Groups of eight samples with 1,172 bytes of text each (293 tokens).
fn samples(count: usize) -> Vec<Draft> {
    let sample = |index: usize| Sample {
        id: format!("trainer-0.{index}").into(),
        text: "x".repeat(1172).into(),
        segments: vec![Segment { version: Some(1), tokens: 293 }],
        reward: Some(1.0),
    };
    let draft = |group: usize| {
        let prompt: Arc<str> = format!("prompt {group}").into();
        let mut draft = Draft::new(prompt, 8);
        draft.slots = (0..8).map(|slot| Slot::Done(sample(group * 8 + slot))).collect();
        draft
    };
    (0..count / 8).map(draft).collect()
}

fn sweep<T>(name: &str, sizes: [usize; 4], mut fill: impl FnMut(usize) -> T) {
    let (mut points, mut kept) = (Vec::new(), Vec::new());
    print!("| {name} |");
    for size in sizes {
        let before = resident_bytes();
        kept.push(fill(size));
        let bytes = resident_bytes() - before;
        print!(" {size}: {:.0} KB |", bytes / 1024.0);
        points.push((size as f64, bytes));
    }
    let (slope, _) = line(&points);
    println!(" {slope:.0} |");
    // Leaked on purpose: the next table would reuse freed memory, and its rows would not show in VmRSS. The process
    // ends soon after.
    std::mem::forget(kept);
}

/// Prints the bytes per row of each table.
pub fn run() {
    println!("\n| rows | | | | | bytes each, by least squares |");
    println!("|---|---|---|---|---|---|");
    let filled = |fill: fn(&mut Core, usize)| {
        move |size| {
            let mut core = core();
            fill(&mut core, size);
            core
        }
    };
    sweep("targets", [2_000, 4_000, 8_000, 16_000], filled(targets));
    sweep("hosts", [2_000, 4_000, 8_000, 16_000], filled(hosts));
    sweep("load rows of gossip", [7_000, 14_000, 28_000, 56_000], filled(loads));
    sweep("issued keys", [10_000, 20_000, 40_000, 80_000], filled(keys));
    sweep(
        "queued requests with a prompt of 1,000 bytes",
        [500, 1_000, 2_000, 4_000],
        filled(requests),
    );
    sweep("held samples of 1,172 bytes", [8_000, 16_000, 32_000, 64_000], samples);
}
