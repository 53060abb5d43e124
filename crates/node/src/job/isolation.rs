//! Isolation of jobs that a leader cannot handle.
//!
//! A panic on the control thread ends the process, and the next leader reads the same job from the store. So whatever is
//! computed of one job alone is guarded: if it panics, only that job is set aside, and all others go on.

use std::{
    collections::BTreeSet,
    panic::{self, AssertUnwindSafe},
};

use log::error;

use crate::{metrics::METERS, prelude::*};

/// Computes something of a job. `None` if that panics: the job, which may have changed in part, must not be used any more.
pub fn guard<T>(job: &str, compute: impl FnOnce() -> T) -> Option<T> {
    let result = panic::catch_unwind(AssertUnwindSafe(compute));
    if result.is_err() {
        error!(job; "a job is set aside: this host panics on it");
        METERS.isolated_job();
    }
    result.ok()
}

/// Jobs that are set aside until the process ends.
pub type Isolated = BTreeSet<JobId>;
