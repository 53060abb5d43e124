use std::time::Instant;

use crate::share::Share;

/// A request that waits for a target with room.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: Box<str>,
    pub share: Share,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Time at which the caller needs its response.
    pub deadline: Instant,
    /// Time until which the request may wait.
    pub until: Instant,
}
