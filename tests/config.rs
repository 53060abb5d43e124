//! Distribution of the configuration: it reaches all hosts and never reverts, and calls of the store do not grow with
//! the number of hosts.

mod common;

use std::time::Duration;

use common::{Fleet, STEP, config_with_slots, id};
use lagoonyard::{
    core::{
        Event,
        config::{Admin, Answer},
        head::Head,
        store::Value,
    },
    file, wire,
};
use prost::Message as _;

const SECOND: Duration = Duration::from_secs(1);

fn status(fleet: &mut Fleet, host: &str) -> serde_json::Value {
    fleet.input(host, Event::Admin(Admin::Status { ticket: 0 }));
    fleet.run(STEP);
    match fleet.answers.remove(&0) {
        Some(Answer::Done(value)) => value,
        other => panic!("{other:?}"),
    }
}

#[test]
fn an_accepted_file_is_in_force_everywhere_within_seven_seconds() {
    let mut fleet = Fleet::with_config(&["a", "b", "c", "d"], 6);
    fleet.apply("c-3", 2, "second", 1, 24);
    fleet.run(STEP * 10);
    assert_eq!(fleet.outcome(2), "2");
    fleet.run(7 * SECOND);
    assert!(fleet.revisions().iter().all(|revision| *revision == 2), "{:?}", fleet.revisions());
    fleet.run(8 * SECOND);
    let status = status(&mut fleet, "b-1");
    for zone in ["a", "b", "c", "d"] {
        assert_eq!(status["zones"][zone]["hosts"], 6, "{status}");
        assert_eq!(status["zones"][zone]["lowest_revision"], 2, "{status}");
    }
}

#[test]
fn a_file_accepted_just_before_an_outage_of_the_store_reaches_all_hosts() {
    let mut fleet = Fleet::with_config(&["a", "b", "c"], 4);
    fleet.apply("b-1", 2, "second", 1, 24);
    for _ in 0..20 {
        fleet.run(STEP);
        if fleet.answers.contains_key(&2) {
            break;
        }
    }
    fleet.store.down = true;
    fleet.run(7 * SECOND);
    assert!(fleet.revisions().iter().all(|revision| *revision == 2), "{:?}", fleet.revisions());
}

#[test]
fn a_host_restarted_without_the_store_gets_the_configuration_from_its_peers() {
    let mut fleet = Fleet::with_config(&["a", "b"], 4);
    fleet.cut_zone("b");
    fleet.without_store = (0..4).map(|index| id("b", index)).collect();
    fleet.run(5 * SECOND);
    fleet.start("b", 2, 2);
    fleet.run(3 * SECOND);
    assert_eq!(fleet.cores["b-2"].world().config.revision, 1);
    // The other zone goes on to revision 2. After the partition this zone catches up.
    fleet.apply("a-0", 2, "second", 1, 24);
    fleet.run(10 * SECOND);
    assert_eq!(fleet.cores["b-0"].world().config.revision, 1);
    fleet.cut_links.clear();
    fleet.run(8 * SECOND);
    assert!(fleet.revisions().iter().all(|revision| *revision == 2), "{:?}", fleet.revisions());
}

/// Guards against a restarted host that puts the older revision of a restored store in force before it has received the
/// newest one from its peers.
#[test]
fn a_starting_host_never_has_a_revision_below_its_peers() {
    let mut fleet = Fleet::with_config(&["a", "b"], 4);
    let older = fleet.store.values.clone();
    fleet.apply("a-0", 2, "second", 1, 24);
    fleet.run(7 * SECOND);
    fleet.store.values = older;
    for incarnation in 2..8 {
        fleet.start("a", 1, incarnation);
        for _ in 0..200 {
            fleet.run(STEP);
            let revision = fleet.cores["a-1"].world().config.revision;
            assert!(revision == 0 || revision == 2, "revision {revision} is in force");
        }
        assert_eq!(fleet.cores["a-1"].world().config.revision, 2);
    }
}

/// Guards against a host that never starts because its peers do not answer.
#[test]
fn a_host_without_reachable_peers_starts_from_the_store_after_a_bounded_wait() {
    let mut fleet = Fleet::with_config(&["a", "b"], 2);
    let others: Vec<Box<str>> = fleet.cores.keys().filter(|id| &***id != "a-0").cloned().collect();
    others.into_iter().for_each(|id| _ = fleet.cores.remove(&id));
    fleet.start("a", 0, 2);
    fleet.run(5 * SECOND);
    assert_eq!(fleet.cores["a-0"].world().config.revision, 1);
}

/// Guards against digests that receivers ignore because they do not know the sender.
#[test]
fn every_digest_carries_its_sender() {
    let fleet = Fleet::with_config(&["a", "b"], 4);
    let ignored: Vec<&String> =
        fleet.logs.iter().filter(|line| line.contains("without its sender")).collect();
    assert!(ignored.is_empty(), "{ignored:?}");
}

#[test]
fn without_peers_and_store_a_host_starts_from_its_cache() {
    let mut fleet = Fleet::with_config(&["a"], 2);
    let cached = fleet.cached_configs["a-0"].to_vec();
    fleet.cores.clear();
    fleet.store.down = true;
    fleet.start("a", 0, 2);
    fleet.run(30 * SECOND);
    assert!(fleet.cores["a-0"].world().config.snapshot.is_none());
    fleet.start("a", 0, 3);
    fleet.input("a-0", Event::CachedConfig(vec![1, 2, 3].into()));
    fleet.input("a-0", Event::CachedConfig(cached.into()));
    fleet.run(5 * SECOND);
    assert!(
        fleet.cores["a-0"].world().config.snapshot.is_none(),
        "peers and the store have precedence"
    );
    fleet.run(6 * SECOND);
    assert_eq!(fleet.cores["a-0"].world().config.revision, 1);
}

#[test]
fn a_store_restored_to_an_older_or_different_state_is_reported_and_ignored() {
    let mut fleet = Fleet::with_config(&["a"], 3);
    let older = fleet.store.values["config/head"].clone();
    let old_body = wire::Config::decode(fleet.cached_configs["a-1"].clone()).unwrap();
    fleet.apply("a-0", 2, "second", 1, 24);
    fleet.run(7 * SECOND);
    // Late answers of a peer: the older file, and a file that does not match the digest of its head.
    let mut wrong = old_body.clone();
    wrong.head.as_mut().unwrap().revision = 9;
    wrong.head.as_mut().unwrap().digest += 1;
    for body in [old_body, wrong] {
        let body = Some(wire::Body::Config(body));
        fleet.deliver("a-0", id("a", 1), wire::Message { body });
    }
    let newer = fleet.store.values.insert("config/head".into(), older).unwrap();
    fleet.run(13 * SECOND);
    fleet.apply("a-0", 3, "third", 1, 32);
    fleet.apply("a-1", 4, "third", 2, 32);
    fleet.run(SECOND);
    assert_eq!((fleet.outcome(3), fleet.outcome(4)), ("LY-104".into(), "LY-104".into()));
    assert!(fleet.revisions().iter().all(|revision| *revision == 2));
    assert!(
        fleet
            .logs
            .iter()
            .any(|line| line.contains("store shows revision 1, hosts hold revision 2"))
    );
    let faults: Vec<_> =
        (0..3).map(|i| status(&mut fleet, &id("a", i))["faults"]["store"].clone()).collect();
    assert_eq!(
        faults.iter().filter(|fault| fault.is_string()).count(),
        2,
        "both watchers should report it: {faults:?}"
    );

    let text = String::from_utf8(newer.bytes.to_vec()).unwrap();
    let digest = fleet.cores["a-0"].world().config.digest;
    let mut other = newer.clone();
    other.bytes = text.replace(&digest.to_string(), &(digest - 1).to_string()).into();
    fleet.store.values.insert("config/head".into(), other);
    fleet.apply("a-0", 5, "third", 2, 32);
    fleet.run(13 * SECOND);
    assert_eq!(fleet.outcome(5), "LY-104");

    fleet.store.values.insert("config/head".into(), newer);
    fleet.run(13 * SECOND);
    fleet.apply("a-0", 6, "third", 2, 32);
    fleet.run(7 * SECOND);
    assert!(fleet.revisions().iter().all(|revision| *revision == 3));
}

#[test]
fn a_new_host_gets_the_newest_file_and_only_the_last_64_bodies_are_kept() {
    let mut fleet = Fleet::with_config(&["a"], 2);
    for revision in 1..70 {
        fleet.apply("a-0", 100 + revision, &format!("r{revision}"), revision, 16 + revision as u32);
        fleet.run(SECOND * 2);
        assert_eq!(fleet.outcome(100 + revision), (revision + 1).to_string());
    }
    let bodies = fleet.store.values.keys().filter(|key| key.starts_with("config/body/")).count();
    assert_eq!(bodies, 64);
    fleet.start("a", 2, 1);
    fleet.run(3 * SECOND);
    assert_eq!(fleet.cores["a-2"].world().config.revision, 70);
    // The apply is no longer in the history, so its outcome is unknown. A conflict would say that it was not applied.
    fleet.apply("a-2", 2, "long-ago", 1, 16);
    fleet.run(SECOND);
    assert_eq!(fleet.outcome(2), "LY-106");
}

#[test]
fn a_file_that_this_release_cannot_read_is_reported_and_not_fetched_repeatedly() {
    let mut fleet = Fleet::with_config(&["a"], 4);
    let body = config_with_slots(24).replace("\"slots\"", "\"new_field\": 1, \"slots\"");
    let (head, _) = Head::next(None, "newer", file::digest(body.as_bytes()));
    let head = Head { revision: 2, ..head };
    for (key, bytes) in [("config/body/newer", body.into()), ("config/head", head.encode())] {
        fleet.store.revision += 1;
        let changed = fleet.store.revision;
        fleet
            .store
            .values
            .insert(key.into(), Value { bytes, mod_revision: changed, create_revision: 1 });
    }
    let calls = fleet.store.config_calls;
    fleet.run(60 * SECOND);
    let calls = fleet.store.config_calls - calls;
    assert!(calls <= 40, "{calls} calls by two watchers in a minute");
    assert!(fleet.revisions().iter().all(|revision| *revision == 1));
    assert!(fleet.logs.iter().any(|line| line.contains("revision 2 is not readable by this host")));
}

#[test]
fn store_calls_of_an_idle_fleet_do_not_grow_with_its_hosts() {
    let calls = |hosts| {
        let mut fleet = Fleet::with_config(&["a", "b"], hosts);
        let before = fleet.store.config_calls;
        fleet.run(60 * SECOND);
        fleet.store.config_calls - before
    };
    let (few, many) = (calls(2), calls(12));
    assert!(many <= few + 4, "{few} calls with 4 hosts, {many} with 24");
}
