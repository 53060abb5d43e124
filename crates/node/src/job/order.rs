//! Start order of a job's items, and the work that the job still needs.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    job::{Effort, Job, status::ItemStatus, triage::Load},
    length::{Estimate, Hint},
    prefix,
    prelude::*,
    scale::Step,
};

/// An item is short if it takes at most this fraction (1/n) of the time to the due time of its job.
const SHORT_DIVISOR: u32 = 6;
/// Expected rest of a text that is longer than estimated, as a share of its length so far.
const OVERRUN_SHARE: f64 = 0.25;

impl Job {
    /// Sorts the items into their start order. Long items determine when a group is complete, so they start first; the
    /// largest groups beyond those that the trainer waits for start last. Of a job that cannot be complete in time, the
    /// smallest groups start first, as they may still be.
    pub(super) fn sort(&mut self) {
        let hint = |item: usize| self.spec.items[item].length_hint.map_or(0, Hint::tokens);
        let mut sizes: BTreeMap<usize, u64> = BTreeMap::new();
        for (item, group) in self.groups.iter().enumerate() {
            *sizes.entry(*group).or_default() += u64::from(hint(item));
        }
        let mut by_size: Vec<(u64, usize)> =
            sizes.iter().map(|(group, size)| (*size, *group)).collect();
        by_size.sort_unstable();
        let needed =
            if self.spec.groups_needed == 0 { usize::MAX } else { self.spec.groups_needed };
        let surplus: BTreeSet<usize> =
            by_size.iter().skip(needed).map(|(_, group)| *group).collect();
        let mut order: Vec<usize> = (0..self.spec.items.len()).collect();
        order.sort_by_key(|&item| {
            let group = self.groups[item];
            let size = if self.deferred { sizes[&group] } else { 0 };
            let resubmitted = self.resubmitted.contains(&item);
            let last = !resubmitted && surplus.contains(&group);
            (!resubmitted && !self.deferred, last, size, std::cmp::Reverse(hint(item)))
        });
        self.positions = vec![0; order.len()];
        for (position, &item) in order.iter().enumerate() {
            self.positions[item] = position;
        }
        let ready = std::mem::take(&mut self.waiting.ready);
        let before = std::mem::replace(&mut self.order, order);
        self.waiting.ready =
            ready.into_iter().map(|position| self.positions[before[position]]).collect();
    }

    /// Work that the job needs to be complete, if each event takes `pace`.
    pub(super) fn load(&self, pace: Duration, lengths: &Estimate) -> Load {
        self.load_of(pace, |item| self.rest_events(item, lengths))
    }

    /// Work that the job needed when it was submitted.
    pub(super) fn whole_load(&self, pace: Duration, lengths: &Estimate) -> Load {
        self.load_of(pace, |item| self.length(item, lengths))
    }

    /// Events that all its texts are expected to have.
    pub(super) fn whole_events(&self, lengths: &Estimate) -> f64 {
        (0..self.spec.items.len()).map(|item| self.length(item, lengths)).sum()
    }

    fn load_of(&self, pace: Duration, events: impl Fn(usize) -> f64) -> Load {
        let mut groups: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
        for (item, group) in self.groups.iter().enumerate() {
            let (sum, longest) = groups.entry(*group).or_default();
            let events = events(item);
            *sum += events;
            *longest = longest.max(events);
        }
        let mut groups: Vec<(f64, f64)> = groups.into_values().collect();
        groups.sort_by(|a, b| a.0.total_cmp(&b.0));
        let needed =
            if self.spec.groups_needed == 0 { usize::MAX } else { self.spec.groups_needed };
        let needed = groups.iter().take(needed);
        let (sum, longest) =
            needed.fold((0.0, 0.0_f64), |all, group| (all.0 + group.0, all.1.max(group.1)));
        Load {
            job: self.spec.id.clone(),
            due: self.due,
            priority: self.policy.priority,
            work: Effort::new(pace, sum),
            longest: Effort::new(pace, longest),
        }
    }

    /// What an item needs of an engine.
    pub(super) fn work(&self, item: usize) -> prefix::Work<'_> {
        let it = &self.spec.items[item];
        let events = self.rest_events(item, &self.lengths.unwrap_or_default());
        prefix::Work { prompt: &it.prompt, max_total_tokens: it.max_total_tokens, events }
    }

    /// The job as a consumer of slots.
    pub(super) fn step(&self, pace: Duration, lengths: &Estimate) -> Step {
        let is_open = |status: &&ItemStatus| status.state.is_open() && !status.text_complete;
        Step {
            model: self.spec.model.clone(),
            submitted_at: self.submitted_at,
            rest: self.load(pace, lengths),
            whole: self.whole_load(pace, lengths),
            open_items: self.statuses.iter().filter(is_open).count(),
            items: self.statuses.len(),
        }
    }

    /// Expected length of an item's text.
    fn length(&self, item: usize, lengths: &Estimate) -> f64 {
        lengths.events(self.spec.items[item].length_hint)
    }

    /// Whether an item is done early enough on an engine of a pace that a faster one would not complete the job sooner.
    pub(super) fn is_short(&self, item: usize, now: Time, pace: Duration) -> bool {
        let Some(lengths) = &self.lengths else {
            return false;
        };
        let rest = Effort::new(pace, self.rest_events(item, lengths));
        rest.time() <= self.due.saturating_sub(now) / SHORT_DIVISOR
    }

    /// Events that an item's text is expected to lack.
    pub(super) fn rest_events(&self, item: usize, lengths: &Estimate) -> f64 {
        let status = self.statuses.get(item);
        let Some(status) = status.filter(|it| it.state.is_open() && !it.text_complete) else {
            return 0.0;
        };
        let length = self.length(item, lengths);
        let done = status.events() as f64;
        (length - done).max(done * OVERRUN_SHARE).max(1.0)
    }
}
