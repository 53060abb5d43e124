//! Check that no host sends a prompt on although it could hear that it crashed too many targets.

use std::collections::{BTreeMap, BTreeSet};

use lagoonyard::prelude::*;

use crate::Fleet;

/// One run of a host's process.
type Process = (HostId, Incarnation);

/// Which crashes by a poisonous prompt each host could have heard of.
#[derive(Debug, Default)]
pub struct Strikes {
    /// Crashes that each incarnation saw itself and has had time to judge, or could hear of.
    aware: BTreeMap<Process, BTreeSet<TargetId>>,
    /// Crashes that an incarnation saw.
    seen: Vec<(Process, TargetId)>,
    /// Since when two incarnations could talk to each other; a host is linked to itself while it is not frozen.
    linked: BTreeMap<(Process, Process), Time>,
}

/// Targets that one content may crash.
const STRIKES_MAX: usize = 3;

/// Time that two hosts must be linked for one to hear what the other knows: two exchanges between zones.
const HEARD_AFTER: Duration = Duration::from_secs(4);

/// Follows which hosts could hear of the crashes by poisonous prompts.
pub fn follow(fleet: &mut Fleet) {
    let now = fleet.now;
    let up = fleet.hosts.iter().filter(|(_, host)| host.core.is_some() && !host.frozen);
    let up: Vec<_> =
        up.map(|(id, host)| ((id.clone(), host.incarnation), host.zone.clone())).collect();
    let mut linked = BTreeMap::new();
    for (one, zone) in &up {
        for (other, _) in up.iter().filter(|(_, other)| fleet.delay(zone, other).is_some()) {
            let pair = (one.clone(), other.clone());
            let since = fleet.checks.strikes.linked.get(&pair).copied().unwrap_or(now);
            linked.insert(pair, since);
        }
    }
    let strikes = &mut fleet.checks.strikes;
    for ((one, other), _) in linked.iter().filter(|(_, since)| now >= **since + HEARD_AFTER) {
        let mut known = strikes.aware.get(other).cloned().unwrap_or_default();
        if one == other {
            known.extend(
                strikes.seen.iter().filter(|(by, _)| by == one).map(|(_, target)| target.clone()),
            );
            strikes.seen.retain(|(by, _)| by != one);
        }
        strikes.aware.entry(one.clone()).or_default().extend(known);
    }
    strikes.linked = linked;
    fleet.schedule(Duration::from_secs(1), follow);
}

/// A poisonous prompt ends a target.
pub fn crashed(fleet: &mut Fleet, target: &TargetId, by: Vec<Process>) {
    let names: Vec<&str> = by.iter().map(|(host, _)| &**host).collect();
    fleet.note(format!("poison sent by {names:?} ends {target}"));
    fleet.checks.poison_crashes += 1;
    let seen = by.into_iter().map(|by| (by, target.clone()));
    fleet.checks.strikes.seen.extend(seen);
}

/// A host sends a poisonous prompt to a target.
pub fn sent(fleet: &mut Fleet, host: &HostId, incarnation: Incarnation, target: &TargetId) {
    let aware = fleet.checks.strikes.aware.get(&(host.clone(), incarnation));
    if let Some(aware) = aware.filter(|aware| aware.len() >= STRIKES_MAX) {
        let text = format!(
            "{host} could hear of the crashes of {aware:?} and sends the prompt to {target}"
        );
        fleet.checks.broken(fleet.now, text);
    }
}
