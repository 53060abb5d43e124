//! Drafts: groups in generation, each with one prompt and its samples.

use std::sync::Arc;

use crate::{
    core::{
        World,
        request::Text,
        stream::{Group, Sample},
    },
    prelude::*,
};

/// One prompt with samples that are in generation or wait for delivery.
#[derive(Debug)]
pub struct Draft {
    pub prompt: Arc<str>,
    pub slots: Vec<Slot>,
    /// Time at which the last sample was done.
    pub finished: Option<Time>,
}

/// State of one sample of a draft.
#[derive(Debug)]
pub enum Slot {
    /// Not submitted.
    Idle {
        not_before: Time,
        failures: u32,
    },
    /// Submitted, with a duplicate if the first run is slow.
    Running {
        run: Run,
        duplicate: Option<Run>,
        failures: u32,
    },
    /// Generated, without a reward yet.
    Judging {
        sample: Sample,
        not_before: Time,
        failures: u32,
        call_in_flight: bool,
    },
    Done(Sample),
}

/// One request that generates a sample.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: RequestId,
    pub submitted: Time,
    pub started: Option<Time>,
    pub target: Option<TargetId>,
}

impl Draft {
    /// A draft with no sample submitted.
    pub fn new(prompt: Arc<str>, size: u32) -> Self {
        let idle = || Slot::Idle { not_before: Duration::ZERO, failures: 0 };
        Self { prompt, slots: (0..size).map(|_| idle()).collect(), finished: None }
    }

    /// The group, if every sample is done.
    pub fn group(&self, prompt_index: u64) -> Option<Group> {
        let samples = self.slots.iter().map(|slot| match slot {
            Slot::Done(sample) => Some(sample.clone()),
            _ => None,
        });
        Some(Group {
            prompt_index,
            prompt: Arc::clone(&self.prompt),
            samples: samples.collect::<Option<_>>()?,
        })
    }

    /// Whether every sample is done.
    pub fn is_complete(&self) -> bool {
        self.slots.iter().all(|slot| matches!(slot, Slot::Done(_)))
    }

    /// Whether a finished sample is too old for a trainer at this version.
    pub fn is_stale(&self, version: Version, bound: u64) -> bool {
        let too_old =
            |slot: &Slot| matches!(slot, Slot::Done(sample) if sample.staleness(version) > bound);
        self.slots.iter().any(too_old)
    }

    /// Requests in flight for this draft.
    pub fn runs(&self) -> impl Iterator<Item = &Run> {
        self.slots.iter().flat_map(Slot::runs)
    }
}

impl From<&Group> for Draft {
    fn from(group: &Group) -> Self {
        Self {
            prompt: Arc::clone(&group.prompt),
            slots: group.samples.iter().cloned().map(Slot::Done).collect(),
            finished: Some(Duration::ZERO),
        }
    }
}

impl Slot {
    /// Requests in flight for this sample.
    pub fn runs(&self) -> impl Iterator<Item = &Run> {
        let (run, duplicate) = match self {
            Self::Running { run, duplicate, .. } => (Some(run), duplicate.as_ref()),
            _ => (None, None),
        };
        run.into_iter().chain(duplicate)
    }
}

impl Run {
    /// A request submitted now.
    pub fn new(request: RequestId, now: Time) -> Self {
        Self { request, submitted: now, started: None, target: None }
    }

    /// Updates the target and the start time from the request.
    pub fn update(&mut self, world: &World) {
        if let Some(row) = world.requests.rows.get(&self.request) {
            // The time of a sample that was resumed on another target counts from its first attempt.
            self.started = self.started.or(row.started);
            self.target = row.target.clone().or_else(|| self.target.take());
        }
    }

    /// Start of the run, or its submission if the start was not observed.
    pub fn start(&self) -> Time {
        self.started.unwrap_or(self.submitted)
    }
}

impl Sample {
    /// A sample from a complete text; `None` if the text is truncated or a segment has no version.
    pub fn new(id: Box<str>, text: Text) -> Option<Self> {
        text.finish_reason.as_ref()?;
        let sample = Self { id, text: text.text, segments: text.segments, reward: None };
        sample.oldest().is_some().then_some(sample)
    }

    /// Oldest weight version that produced a part of the sample; `None` if a segment has no version.
    pub fn oldest(&self) -> Option<Version> {
        let (first, rest) = self.segments.split_first()?;
        rest.iter().try_fold(first.version?, |oldest, segment| Some(oldest.min(segment.version?)))
    }

    /// Distance from the sample's oldest version to a trainer's version.
    pub fn staleness(&self, version: Version) -> u64 {
        self.oldest().map_or(u64::MAX, |oldest| version.saturating_sub(oldest))
    }
}

impl Group {
    /// Whether every sample is within a staleness bound.
    pub fn is_within_bound(&self, version: Version, bound: u64) -> bool {
        self.samples.iter().all(|sample| sample.staleness(version) <= bound)
    }
}
