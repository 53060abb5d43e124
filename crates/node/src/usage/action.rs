//! What the holder of the duty is to do.

use crate::{
    cloud::{Authority, UsageReport},
    prelude::*,
    usage::Ledger,
};

/// What the holder is to do. One call of the store and one of the platform are in progress at a time.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the ledger.
    Read,
    /// Write the ledger, on the condition that this host holds the duty and that nobody else has written it.
    Settle {
        fence: Revision,
        revision: Revision,
        ledger: Ledger,
    },
    Send(Authority, UsageReport),
    /// Release the duty.
    GiveUp(Revision),
}
