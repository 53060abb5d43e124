//! What the collector answers about counts that it got.

/// Which counts of a message are taken.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Receipt {
    /// The windows before this one are settled; `None` if this host does not hold the duty.
    pub settled_before: Option<u64>,
    /// Windows whose counts were not taken and have to be sent again.
    pub refused: Vec<u64>,
}
