//! Dry run of a placement: where a request or the next item of a job would go now, and why.
//!
//! An operator asks while something is slow or stuck, so the answer must not change what it describes and must cost
//! nothing while nobody asks. The functions that decide fill in these types: `traffic::Pool` for plain services, and the
//! leader's queue and engines for items. Nothing here does input or output.

mod answer;
mod candidate;
mod exclusion;
mod gate;
mod inquiry;
mod millis;
mod plan;
mod question;
mod refusal;
mod text;

pub use answer::Answer;
pub use candidate::{Candidate, EngineInputs, Inputs, TargetInputs};
pub use exclusion::Exclusion;
pub use gate::Gate;
pub use inquiry::Inquiry;
pub use plan::{Ages, Job, Leader, Plan, Route, Wait};
pub use question::{Question, Subject};
pub use refusal::Refusal;

/// Candidates in an answer. It keeps the message small; the number of those left out is in the answer.
pub const CANDIDATES_MAX: usize = 64;
