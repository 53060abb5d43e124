//! Proof that a job or an item does not exist.
//!
//! A cache without an entry proves nothing: the entry may have been evicted, not read yet, or closed with a leadership. So an
//! `Absence` is only made from what says so: the head of the job as read from the store, the job's workspace, or its complete
//! submission.

use std::fmt;

use crate::{
    job::{Item, Spec},
    store::Entry,
    workspace::Caller,
};

/// What does not exist for a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Subject {
    Job,
    Item,
}

/// Proof that something does not exist for a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Absence(Subject);

impl Absence {
    /// Head of a job, as just read from the store.
    pub(super) fn check_head(head: Option<Entry>) -> Result<Entry, Self> {
        head.ok_or(Self(Subject::Job))
    }

    /// Fails if a job of a workspace does not exist for a caller.
    pub(super) fn check_visible(caller: &Caller, workspace: Option<&str>) -> Result<(), Self> {
        if caller.sees(workspace) { Ok(()) } else { Err(Self(Subject::Job)) }
    }

    /// The leader of a job has found that it belongs to another workspace.
    pub(super) fn hidden() -> Self {
        Self(Subject::Job)
    }

    /// Item of a complete submission.
    pub(super) fn check_item<'a>(spec: &'a Spec, id: &str) -> Result<&'a Item, Self> {
        let item = spec.items.iter().find(|item| &*item.id == id);
        item.map(|item| &**item).ok_or(Self(Subject::Item))
    }
}

impl fmt::Display for Absence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.0 {
            Subject::Job => "job",
            Subject::Item => "item",
        })
    }
}
