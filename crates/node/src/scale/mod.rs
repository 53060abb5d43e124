//! How many targets an engine service gets, in which zones and of which kind.
//!
//! Load pattern: trainers submit steps at recurring times and need them complete by a due time; a target serves only some
//! seconds after it was ordered; the platform may reclaim all spot targets of a zone at once. A target costs little beside a
//! step that is not served, so capacity grows at once and shrinks only after a hold time.
//!
//! [`slots_needed`] estimates what the open steps need, [`Forecast`] what the next ones will, [`plan`] spreads targets over
//! zones and kinds, and [`Scaler`] decides which orders to send. [`Scaler`] keeps the state of one leadership; a new leader
//! begins with what is registered. Nothing here does input or output.

mod call_result;
mod decision;
mod demand;
mod forecast;
mod pacer;
mod peak;
mod plan;
mod pool_state;
mod scaler;
mod turn;

pub use call_result::CallResult;
pub use decision::{Basis, Decision, Order};
pub use demand::{Step, Supply, slots_needed};
pub use forecast::Forecast;
pub use pacer::Pacer;
pub use peak::Peak;
pub use plan::{Need, ZoneOffer, plan};
pub use pool_state::{PoolState, Registered};
pub use scaler::{Inputs, Present, Scaler};
pub use turn::Turn;

use crate::prelude::*;

/// Kind of a target, by whether the platform may reclaim it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    OnDemand,
    Spot,
}

impl Kind {
    /// Label in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::OnDemand => "on_demand",
            Self::Spot => "spot",
        }
    }

    fn other(self) -> Self {
        match self {
            Self::OnDemand => Self::Spot,
            Self::Spot => Self::OnDemand,
        }
    }
}

/// Targets of one kind in a zone; their number is ordered as a whole.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pool {
    pub zone: ZoneId,
    pub kind: Kind,
}
