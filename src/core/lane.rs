//! Lanes: the models and plain services, each with a queue and targets of its own.

use crate::{
    core::request::Work,
    file::{Kind, Limits, Pool, Snapshot},
    prelude::*,
};

/// Model or plain service that a request is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lane {
    Model(ModelId),
    Service(ServiceId),
}

/// Whether work may run in a zone, given the zones of its lane. No zones mean all zones.
pub fn is_allowed(zones: &[ZoneId], zone: &ZoneId) -> bool {
    zones.is_empty() || zones.contains(zone)
}

impl Lane {
    /// Lane of a piece of work.
    pub fn of(work: &Work) -> Self {
        match work {
            Work::Generate(generate) => Self::Model(generate.model.clone()),
            Work::Call(call) => Self::Service(call.service.clone()),
        }
    }

    /// Limits of the lane, or `None` if the lane is not in the configuration.
    pub fn limits<'a>(&self, snapshot: &'a Snapshot) -> Option<&'a Limits> {
        match self {
            Self::Model(model) => snapshot.models.get(model).map(|model| &model.limits),
            Self::Service(service) => snapshot.services.get(service).map(|service| &service.limits),
        }
    }

    /// Yard that owns the lane.
    pub fn yard<'a>(&self, snapshot: &'a Snapshot) -> Option<&'a str> {
        match self {
            Self::Model(model) => snapshot.models.get(model).map(|model| &*model.yard),
            Self::Service(service) => snapshot.services.get(service).map(|service| &*service.yard),
        }
    }

    /// Zones in which the lane's work may run. Empty means all zones.
    pub fn zones<'a>(&self, snapshot: &'a Snapshot) -> &'a [ZoneId] {
        match self {
            Self::Model(model) => snapshot.models.get(model).map_or(&[], |model| &model.zones),
            Self::Service(service) => {
                snapshot.services.get(service).map_or(&[], |service| &service.zones)
            }
        }
    }

    /// Pools of the lane's targets.
    pub fn pools<'a>(
        &'a self,
        snapshot: &'a Snapshot,
    ) -> impl Iterator<Item = (&'a PoolId, &'a Pool)> {
        snapshot.pools.iter().filter(move |(_, pool)| match (&pool.kind, self) {
            (Kind::Engine { model }, Self::Model(own)) => model == own,
            (Kind::Service { service }, Self::Service(own)) => service == own,
            _ => false,
        })
    }
}
