//! When a mirror reads its prefix.

use std::sync::Arc;

use crate::{feed::MaxAge, freshness::Freshness, prelude::*};

/// When a mirror reads changes from the store.
#[derive(Clone, Debug)]
pub enum Schedule {
    /// Continuously.
    Follow {
        /// Minimum interval between calls, so that many changes share a call.
        interval: Duration,
        /// Bound on the age of what is known.
        max_age: MaxAge,
    },
    /// When a refresh is requested.
    OnDemand(Arc<Freshness>),
}
