//! Limits on requests that targets in need name in their answers.
//!
//! A limit holds for all hosts together and for as long as the target's answers name it. [`Table`] holds the limits that
//! a host knows of, from the answers that it received and from other hosts.

mod limit;
mod table;

pub use limit::Limit;
pub use table::{News, Table};
