//! Runs real host and stand-in processes on loopback, injures them by process id and checks what their users see.
//!
//! A daemon of this project starts no other process; this is a test program, which does.

pub mod cases;
pub mod http;
pub mod process;
pub mod relay;
pub mod trainer;
pub mod yard;

/// Failed checks carry a message for the person who reads the run.
pub type Result<T, E = snafu::Whatever> = std::result::Result<T, E>;
