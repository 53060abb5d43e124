//! Checks that no host dispatches a prompt again when it could have learned that the prompt crashed three targets.
//!
//! Scenarios mark prompts as poisonous; an engine that runs one crashes. Once a second, `update_known_crashes` derives
//! which crashes each host process could have learned of, from its own dispatches and from peers that it has been
//! connected to long enough. `check_dispatch` then reports each dispatch by a process that could have learned of
//! `CRASHES_MAX` crashed targets.

use std::collections::{BTreeMap, BTreeSet};

use lagoonyard::prelude::*;

use crate::Fleet;

/// One process of a host.
type Process = (HostId, Incarnation);

/// Crashes by poisonous prompts that each host process could have learned of.
#[derive(Debug, Default)]
pub struct Tracker {
    /// Targets whose crash a process observed and had time to process, or could have learned from a peer.
    known_crashes: BTreeMap<Process, BTreeSet<TargetId>>,
    /// Crashes that a process observed but may not have processed yet.
    unprocessed: Vec<(Process, TargetId)>,
    /// Time since which two processes can exchange messages. A process is linked to itself while it is not frozen.
    linked_since: BTreeMap<(Process, Process), Time>,
}

/// Number of targets crashed by one prompt from which on hosts must refuse it.
const CRASHES_MAX: usize = 3;

/// Time in which linked hosts have exchanged their known crashes: two gossip exchanges between zones.
const PROPAGATION_TIME: Duration = Duration::from_secs(4);

/// Updates once a second which crashes each process could have learned of.
pub fn update_known_crashes(fleet: &mut Fleet) {
    let now = fleet.now;
    let up = fleet.hosts.iter().filter(|(_, host)| host.core.is_some() && !host.frozen);
    let up: Vec<_> =
        up.map(|(id, host)| ((id.clone(), host.incarnation), host.zone.clone())).collect();
    let mut linked_since = BTreeMap::new();
    for (one, zone) in &up {
        for (other, _) in up.iter().filter(|(_, other)| fleet.delay(zone, other).is_some()) {
            let pair = (one.clone(), other.clone());
            let since = fleet.checks.poison.linked_since.get(&pair).copied().unwrap_or(now);
            linked_since.insert(pair, since);
        }
    }
    let tracker = &mut fleet.checks.poison;
    for ((one, other), _) in
        linked_since.iter().filter(|(_, since)| now >= **since + PROPAGATION_TIME)
    {
        let mut learned = tracker.known_crashes.get(other).cloned().unwrap_or_default();
        if one == other {
            learned.extend(
                tracker
                    .unprocessed
                    .iter()
                    .filter(|(sender, _)| sender == one)
                    .map(|(_, target)| target.clone()),
            );
            tracker.unprocessed.retain(|(sender, _)| sender != one);
        }
        tracker.known_crashes.entry(one.clone()).or_default().extend(learned);
    }
    tracker.linked_since = linked_since;
    fleet.schedule(Duration::from_secs(1), update_known_crashes);
}

/// Records that a poisonous prompt crashed a target, and the processes that had sent it there.
pub fn record_crash(fleet: &mut Fleet, target: &TargetId, senders: Vec<Process>) {
    let names: Vec<&str> = senders.iter().map(|(host, _)| &**host).collect();
    fleet.trace_line(format!("poisonous prompt sent by {names:?} crashes {target}"));
    fleet.checks.poison_crashes += 1;
    let unprocessed = senders.into_iter().map(|sender| (sender, target.clone()));
    fleet.checks.poison.unprocessed.extend(unprocessed);
}

/// Checks the dispatch of a poisonous prompt.
pub fn check_dispatch(
    fleet: &mut Fleet,
    host: &HostId,
    incarnation: Incarnation,
    target: &TargetId,
) {
    let known_crashes = fleet.checks.poison.known_crashes.get(&(host.clone(), incarnation));
    if let Some(known_crashes) =
        known_crashes.filter(|known_crashes| known_crashes.len() >= CRASHES_MAX)
    {
        let text = format!(
            "{host} could have learned of the crashes of {known_crashes:?} but sent the prompt to {target}"
        );
        fleet.checks.report_violation(fleet.now, text);
    }
}
