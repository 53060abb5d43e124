//! A group in generation: one prompt and its samples.

use std::sync::Arc;

use crate::{
    core::{
        World,
        request::Text,
        stream::{Group, Sample},
    },
    prelude::*,
};

/// One prompt whose samples are generated or wait for their batch.
#[derive(Debug)]
pub struct Draft {
    pub prompt: Arc<str>,
    pub slots: Vec<Slot>,
    /// When the last sample was done.
    pub finished: Option<Time>,
}

/// One sample of a draft.
#[derive(Debug)]
pub enum Slot {
    /// Not submitted; `tries` have failed.
    Idle {
        not_before: Time,
        tries: u32,
    },
    /// Submitted, with a second run if the first one is slow.
    Running {
        run: Run,
        second: Option<Run>,
        tries: u32,
    },
    /// Generated; the judge has not answered.
    Judging {
        sample: Sample,
        not_before: Time,
        tries: u32,
        asked: bool,
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
        let idle = || Slot::Idle { not_before: Duration::ZERO, tries: 0 };
        Self { prompt, slots: (0..size).map(|_| idle()).collect(), finished: None }
    }

    /// The whole group, if every sample is done.
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
    pub fn whole(&self) -> bool {
        self.slots.iter().all(|slot| matches!(slot, Slot::Done(_)))
    }

    /// Whether a sample that is done is too old for a trainer at this version.
    pub fn stale(&self, version: Version, bound: u64) -> bool {
        let too_old =
            |slot: &Slot| matches!(slot, Slot::Done(sample) if sample.staleness(version) > bound);
        self.slots.iter().any(too_old)
    }

    /// Requests that run for this draft.
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
    /// Requests that generate this sample.
    pub fn runs(&self) -> impl Iterator<Item = &Run> {
        let (run, second) = match self {
            Self::Running { run, second, .. } => (Some(run), second.as_ref()),
            _ => (None, None),
        };
        run.into_iter().chain(second)
    }
}

impl Run {
    /// A request submitted now.
    pub fn new(request: RequestId, now: Time) -> Self {
        Self { request, submitted: now, started: None, target: None }
    }

    /// Notes where and since when the request runs.
    pub fn watch(&mut self, world: &World) {
        if let Some(row) = world.requests.rows.get(&self.request) {
            // The time of a sample that was resumed elsewhere counts from its first attempt.
            self.started = self.started.or(row.started);
            self.target = row.target.clone().or_else(|| self.target.take());
        }
    }

    /// When the run began, as far as that was seen.
    pub fn since(&self) -> Time {
        self.started.unwrap_or(self.submitted)
    }
}

impl Sample {
    /// A sample from a whole text; `None` if the text broke off or some of it names no version.
    pub fn new(id: Box<str>, text: Text) -> Option<Self> {
        text.finish_reason.as_ref()?;
        let sample = Self { id, text: text.text, segments: text.segments, reward: None };
        sample.oldest().is_some().then_some(sample)
    }

    /// Version of the oldest weights that produced a part of it; `None` if a segment names no version.
    pub fn oldest(&self) -> Option<Version> {
        let (first, rest) = self.segments.split_first()?;
        rest.iter().try_fold(first.version?, |oldest, segment| Some(oldest.min(segment.version?)))
    }

    /// Distance from a trainer's version to the oldest version in it.
    pub fn staleness(&self, version: Version) -> u64 {
        self.oldest().map_or(u64::MAX, |oldest| version.saturating_sub(oldest))
    }
}

impl Group {
    /// Whether every sample is within a staleness bound.
    pub fn fresh(&self, version: Version, bound: u64) -> bool {
        self.samples.iter().all(|sample| sample.staleness(version) <= bound)
    }
}
