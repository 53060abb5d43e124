//! Type aliases for the ids and plain quantities used across the library.

use std::time::Duration;

/// Name of an entry host.
pub type HostId = Box<str>;
/// Name of an availability zone.
pub type ZoneId = Box<str>;
/// Name of a target, as the host list gives it.
pub type TargetId = Box<str>;
/// Name of a pool of equal targets.
pub type PoolId = Box<str>;
/// Name of a model.
pub type ModelId = Box<str>;
/// Name of a plain service.
pub type ServiceId = Box<str>;
/// Name of a trainer.
pub type TrainerId = Box<str>;
/// Id of a request, unique in one process.
pub type RequestId = u64;
/// Id of one attempt to run a request on a target, unique in one process.
pub type AttemptId = u64;
/// Id of a store call, unique in one process.
pub type CallId = u64;
/// Id of a call by a caller, trainer or operator that waits for a reply, unique in one process.
pub type Ticket = u64;
/// Number of one process start; a later start has a higher one.
pub type Incarnation = u64;
/// Version of a model's weights, counted up by its trainer.
pub type Version = u64;
/// Revision of the configuration, counted up by one per accepted file.
pub type Revision = u64;
/// Fencing token of an order.
pub type Fence = u64;
/// Hash of a request's content.
pub type ContentHash = u64;
/// Time since an arbitrary origin that is fixed for the life of a process.
pub type Time = Duration;
