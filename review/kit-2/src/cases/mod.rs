//! The cases.

pub mod encoded;
pub mod hints;
pub mod line_feed;
pub mod same_ids;
pub mod turns;
