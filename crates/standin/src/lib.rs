//! Stand-ins for the external systems that Lagoonyard calls: the platform, model engines and plain services.
//!
//! Each stand-in speaks the protocol of the system that it replaces, keeps its state in memory and has a control
//! interface for injecting faults. The platform combines a key-value store with the host list of
//! targets. The stand-ins are for tests and the demo, not for production.

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
pub mod watch_stream;

pub use self::error::{Error, Result};
