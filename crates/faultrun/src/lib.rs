//! Failure cases and load measurements with real processes on loopback.
//!
//! A case starts a cluster of host and stand-in processes, injects a fault (a signal to a process, a cut connection or
//! an outage of the platform) and checks what callers, trainers and operators get. The daemons themselves never
//! start other processes.

pub mod cases;
pub mod cluster;
pub mod http;
pub mod process;
pub mod relay;
pub mod trainer;

/// Result of a step or check; the error is the message that is printed for the failed case.
pub type Result<T, E = snafu::Whatever> = std::result::Result<T, E>;
