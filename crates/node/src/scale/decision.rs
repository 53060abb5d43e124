//! Decision of a [`Scaler`](crate::scale::Scaler), with the estimates that led to it.

use crate::scale::{Need, Pool};

/// An order to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    pub pool: Pool,
    pub count: u32,
    /// Last number that was ordered or found, and targets that are ready.
    pub before: u32,
    pub ready: u32,
    /// Why it is sent.
    pub reason: &'static str,
}

/// Estimates that led to a decision, in slots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Basis {
    pub open_steps: usize,
    /// Needed by the open steps.
    pub open: f64,
    /// Needed by the steps that recur.
    pub expected: f64,
    /// Slots of the ready targets.
    pub ready: f64,
    /// Slots of a target.
    pub per_target: f64,
    /// Targets that are needed.
    pub need: Need,
}

/// Orders to send, and what led to them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decision {
    pub basis: Basis,
    pub orders: Vec<Order>,
}
