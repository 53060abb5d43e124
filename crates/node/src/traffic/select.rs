//! Choice of a request's target among those whose limits let it pass, for requests and for their dry runs.

use std::{sync::Arc, time::Instant};

use crate::{
    fleet::Target,
    prelude::*,
    traffic::{
        permit,
        pool::{Connection, Pool},
        serve::Traffic,
    },
    view::View,
};

/// What a request wants.
pub struct Wanted<'a> {
    pub service: &'a str,
    pub priority: u32,
    /// Targets that are not to be chosen.
    pub excluded: Vec<TargetId>,
}

/// Target of a request.
pub struct Selection {
    pub target: Option<Arc<Target>>,
    /// Targets that would go before it and are known to take no request of its priority for a time.
    pub refused: Vec<(TargetId, Duration)>,
}

/// Chooses the target of a request.
pub fn select(
    traffic: &Traffic,
    pool: &Pool,
    view: &View,
    wanted: Wanted<'_>,
    connection: impl Fn(&Target) -> Connection,
    now: Instant,
) -> Selection {
    let Wanted { service, priority, mut excluded } = wanted;
    let mut refused = Vec::new();
    loop {
        let target = pool.choose(view, service, &excluded, &connection, now);
        let left = target.as_ref().and_then(|it| permit::refused_for(traffic, &it.id, priority));
        let Some((target, left)) = target.as_ref().zip(left) else {
            return Selection { target, refused };
        };
        refused.push((target.id.clone(), left));
        excluded.push(target.id.clone());
    }
}
