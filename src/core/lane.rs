//! Models and plain services as units of queueing.

use crate::{
    core::request::Work,
    file::{Kind, Limits, Pool, Snapshot},
    prelude::*,
};

/// A model or a plain service; each has one queue and its own targets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lane {
    Model(ModelId),
    Service(ServiceId),
}

impl Lane {
    /// Lane that a piece of work belongs to.
    pub fn of(work: &Work) -> Self {
        match work {
            Work::Generate(generate) => Self::Model(generate.model.clone()),
            Work::Call(call) => Self::Service(call.service.clone()),
        }
    }

    /// Bounds on the lane's requests, absent when the configuration does not name the lane.
    pub fn limits<'a>(&self, snapshot: &'a Snapshot) -> Option<&'a Limits> {
        match self {
            Self::Model(model) => snapshot.models.get(model).map(|model| &model.limits),
            Self::Service(service) => snapshot.services.get(service).map(|service| &service.limits),
        }
    }

    /// Yard that the lane belongs to.
    pub fn yard<'a>(&self, snapshot: &'a Snapshot) -> Option<&'a str> {
        match self {
            Self::Model(model) => snapshot.models.get(model).map(|model| &*model.yard),
            Self::Service(service) => snapshot.services.get(service).map(|service| &*service.yard),
        }
    }

    /// Zones in which the lane's work may run; empty means any.
    pub fn zones<'a>(&self, snapshot: &'a Snapshot) -> &'a [ZoneId] {
        match self {
            Self::Model(model) => snapshot.models.get(model).map_or(&[], |model| &model.zones),
            Self::Service(service) => {
                snapshot.services.get(service).map_or(&[], |service| &service.zones)
            }
        }
    }

    /// Pools that run the lane's work.
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
