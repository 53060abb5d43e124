//! Common types. This is the only module imported with a glob.

pub use std::time::Duration;

/// Name of an entry host.
pub type HostId = Box<str>;
/// Name of an availability zone.
pub type ZoneId = Box<str>;
/// Id of a target; a restarted target may have the same one.
pub type TargetId = Box<str>;
/// Name of a service or an engine pool.
pub type ServiceId = Box<str>;
/// Name of a model.
pub type ModelId = Box<str>;
/// Id of a batch job.
pub type JobId = Box<str>;
/// Id of an item of a batch job.
pub type ItemId = Box<str>;
/// Name of a workspace, to which callers' keys belong.
pub type WorkspaceId = Box<str>;
/// Version of a model's weights.
pub type Version = u64;
/// Version of a target's software; what two of them generate does not fit together.
pub type Software = Box<str>;
/// Revision of the store.
pub type Revision = u64;
/// Time since the host's boot, including suspension.
pub type Time = Duration;
