//! Stand-ins for the outside systems that Lagoonyard talks to: the platform, model engines and plain services.
//!
//! Each speaks the published protocol of the system that it stands for, keeps its state in memory and has a control
//! interface that makes it fail in a chosen way. They are for tests and trials, never for production.

pub mod cmd;
pub mod completion;
pub mod engine;
pub mod error;
pub mod gateway;
pub mod http;
pub mod listener;
pub mod model;
pub mod outage;
pub mod platform;
pub mod prefix;
pub mod service;
pub mod slots;
pub mod store;
pub mod watch;

pub use self::error::{Error, Result};
