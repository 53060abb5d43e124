//! Choice of a request's target among those whose limits let it pass, for requests and for their dry runs.

use std::{sync::Arc, time::Instant};

use crate::{
    fleet::Target,
    prelude::*,
    traffic::pool::{Connection, Pool},
    view::View,
};

/// What a request wants.
pub struct Wanted<'a> {
    pub service: &'a str,
    /// Targets that are not to be chosen.
    pub excluded: Vec<TargetId>,
}

/// Target of a request.
pub struct Selection {
    pub target: Option<Arc<Target>>,
    /// Targets that would go before it and are known to take no request of its priority for a time.
    pub refused: Vec<(TargetId, Duration)>,
}

/// Chooses the target of a request. `refused_for` tells for how long a target is known to take no such request.
pub fn select(
    pool: &Pool,
    view: &View,
    wanted: Wanted<'_>,
    refused_for: impl Fn(&str) -> Option<Duration>,
    connection: impl Fn(&Target) -> Connection,
    now: Instant,
) -> Selection {
    let Wanted { service, mut excluded } = wanted;
    let mut refused = Vec::new();
    loop {
        let target = pool.choose(view, service, &excluded, &connection, now);
        let left = target.as_ref().and_then(|target| refused_for(&target.id));
        let Some((target, left)) = target.as_ref().zip(left) else {
            return Selection { target, refused };
        };
        refused.push((target.id.clone(), left));
        excluded.push(target.id.clone());
    }
}
