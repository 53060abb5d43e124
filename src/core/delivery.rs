//! Delivery of batches: choice of groups, check of staleness, answers to waiting pulls.
//!
//! Staleness is checked against the version of the pull that a batch answers. A batch that is pulled again with the
//! same cursor is delivered again, unless it has become too old in the meantime.

use std::{collections::BTreeSet, sync::Arc};

use crate::{
    core::{
        World, burn,
        cursor::SKIPPED_MAX,
        stream::{self, Answer, Group, Offer, Row},
    },
    file::Trainer,
    prelude::*,
};

/// Answers the pulls for which a batch is complete, that have an outdated cursor, or whose wait is over.
pub fn serve(world: &mut World, name: &str, trainer: &Trainer, row: &mut Row) {
    for waiting in std::mem::take(&mut row.waiting) {
        if waiting.cursor != row.cursor {
            stream::refuse(world, waiting.ticket, Code::NoBatch, "a later pull has another cursor");
            continue;
        }
        if let Some(groups) = offer(world, name, trainer, row, waiting.version) {
            let cursor = row.base().into();
            let version = waiting.version;
            stream::answer(world, waiting.ticket, Answer::Batch { cursor, version, groups });
        } else if world.now >= waiting.until {
            stream::refuse(world, waiting.ticket, Code::NoBatch, "no batch is complete yet");
        } else {
            row.waiting.push(waiting);
        }
    }
}

/// Batch for the row's cursor at this version: the one offered before if it is recent enough, or else a new one.
fn offer(
    world: &mut World,
    name: &str,
    trainer: &Trainer,
    row: &mut Row,
    version: Version,
) -> Option<Arc<[Group]>> {
    let bound = trainer.staleness_versions;
    if let Some(offered) = row.offered.take_if(|offered| {
        !offered.groups.iter().all(|group| group.is_within_bound(version, bound))
    }) {
        for group in offered.groups.iter() {
            row.drafts.insert(group.prompt_index, group.into());
        }
        row.idle_since = Some(world.now);
    }
    if let Some(offered) = &row.offered {
        return Some(Arc::clone(&offered.groups));
    }
    drop_stale(world, name, trainer, row, version);
    let groups = choose(trainer, row)?;
    let taken: BTreeSet<u64> = groups.iter().map(|group| group.prompt_index).collect();
    let next = row.cursor.advance(&taken, &row.abandoned, row.epoch)?;
    row.drafts.retain(|index, _| !taken.contains(index));
    for sample in groups.iter().flat_map(|group| &group.samples) {
        let staleness = sample.staleness(version);
        world.burn.record_sample(
            world.now,
            &trainer.yard,
            name,
            staleness,
            burn::Delivery::Delivered,
        );
    }
    let waited = world.now.saturating_sub(row.idle_since.take().unwrap_or(world.now));
    let total = row.pace.answered_at().map_or(waited, |at| world.now.saturating_sub(at));
    world.burn.record_wait(world.now, &trainer.yard, name, waited, total.max(waited));
    row.pace.record_delivery(world.now, version, waited);
    let groups: Arc<[Group]> = groups.into();
    row.offered = Some(Offer { next, groups: Arc::clone(&groups) });
    Some(groups)
}

/// Drops complete groups with a sample that is too old for this version. Their prompts are generated again.
pub fn drop_stale(
    world: &mut World,
    name: &str,
    trainer: &Trainer,
    row: &mut Row,
    version: Version,
) {
    let bound = trainer.staleness_versions;
    let stale: Vec<Group> = row
        .drafts
        .iter()
        .filter(|(_, draft)| draft.finished.is_some() && draft.is_stale(version, bound))
        .filter_map(|(&index, draft)| draft.group(index))
        .collect();
    for group in stale {
        for sample in &group.samples {
            let staleness = sample.staleness(version);
            if staleness > bound {
                world.burn.record_sample(
                    world.now,
                    &trainer.yard,
                    name,
                    staleness,
                    burn::Delivery::TooOld,
                );
            }
        }
        row.drafts.remove(&group.prompt_index);
        row.prompts.put(group.prompt_index, group.prompt);
    }
}

/// Groups of one batch in the order of their completion; `None` if there are not enough.
fn choose(trainer: &Trainer, row: &Row) -> Option<Vec<Group>> {
    let count = trainer.groups_per_step.max(1) as usize;
    // Groups beyond this index would leave more undelivered indices below them than a cursor can hold.
    let end = row.cursor.undelivered().nth(count + SKIPPED_MAX)?;
    let mut complete: Vec<(Time, u64)> = row
        .drafts
        .range(..end)
        .filter_map(|(&index, draft)| Some((draft.finished?, index)))
        .collect();
    if complete.len() < count {
        return None;
    }
    complete.sort_unstable();
    let groups = complete.into_iter().take(count);
    groups.map(|(_, index)| row.drafts.get(&index)?.group(index)).collect()
}
