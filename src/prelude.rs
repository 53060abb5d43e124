//! Common types; the only module to import with a glob.

pub use std::time::Duration;

pub use crate::{
    code::Code,
    ids::{
        AttemptId, CallId, ContentHash, Fence, HostId, Incarnation, ModelId, PoolId, RequestId,
        Revision, ServiceId, TargetId, Ticket, Time, TrainerId, Version, ZoneId,
    },
};
