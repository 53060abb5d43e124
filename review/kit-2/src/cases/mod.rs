//! The cases.

pub mod hints;
pub mod line_feed;
pub mod same_ids;
pub mod slow_readers;
pub mod turns;
