/// Work that a job claims.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Events that its texts are expected to have.
    pub events: f64,
    /// Whether finished texts of its trainer show how long its texts are.
    pub is_measured: bool,
}
