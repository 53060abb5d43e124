//! Batch jobs: the submission, the state that is persisted in the store, and the choice of the next item to run.

mod assign;
mod checkpoint;
mod claim;
mod doubt;
mod effort;
mod engine;
mod engines;
mod explain;
mod failure;
mod failures;
pub mod homes;
mod isolation;
mod keys;
mod leaving;
mod open;
mod order;
mod origin;
mod outcome;
mod paces;
mod placement;
mod policy;
mod queue;
mod reason;
mod record;
mod requirement;
mod resumption;
mod row;
mod spec;
mod status;
mod supply;
pub mod triage;
mod wait;

pub use checkpoint::Checkpoint;
pub use claim::Claim;
pub use doubt::Doubt;
pub use effort::Effort;
pub use engine::Engine;
pub use engines::Engines;
pub use failure::{Failure, Identity};
pub use failures::Failures;
pub use isolation::guard;
pub use keys::{
    HEADS, HELD, HOSTS, Key, LEADERS, READERS, body_key, checkpoints_key, chunk_key, chunks_prefix,
    head_key, held_key, host_key, leader_key, software_key,
};
pub use leaving::Leaving;
pub use open::Job;
pub use origin::Origin;
pub use outcome::{Assignment, End, Outcome};
pub use placement::Placement;
pub use policy::Policy;
pub use queue::Queue;
pub use reason::Reason;
pub use record::Record;
pub use requirement::{Evidence, Requirement};
pub use row::{Chunk, Row};
pub use spec::{Item, Judge, Spec};
pub use supply::{Obstacle, Supply};
pub use wait::{IDLE_MIN, Pending, Visitor, Wait};
