//! Bounded queues per model and service.

/// Queues of this host.
#[derive(Debug, Default)]
pub struct Table {}
