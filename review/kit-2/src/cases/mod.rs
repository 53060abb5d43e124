//! The cases.

pub mod encoded;
pub mod hints;
pub mod line_feed;
pub mod lost_watch;
pub mod same_ids;
pub mod slow_readers;
pub mod turns;
