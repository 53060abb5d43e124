//! Limits on requests that targets in need name in their answers.
//!
//! A limit holds for all hosts together and for as long as the target's answers name it. [`Table`] holds the limits that
//! a host knows of, from the answers that it received and from other hosts. A [`Quota`] grants the requests for one target;
//! for each target one host at a time has the quota (`traffic::permit`).

mod limit;
mod quota;
mod table;

pub use limit::Limit;
pub use quota::Quota;
pub use table::{News, Table};
