//! The cases.

pub mod hints;
pub mod line_feed;
pub mod turns;
