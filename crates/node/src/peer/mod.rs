//! Protocol between hosts, for jobs and their items.
//!
//! The leader of a service has its jobs in memory, so other hosts ask it instead of the store. A host that gets no
//! answer turns to the store itself; no request relies on the leader. The leader has its items run by other hosts, over
//! one connection to each. A host that has lost its links to targets has its connections opened by other hosts.

mod client;
mod contact;
mod departure;
mod dry_run;
mod ended;
mod failure;
mod frame;
mod item;
mod limit;
mod run;
mod server;
mod suspect;
mod text;
pub mod tunnel;
mod usage;

pub use client::{Client, connect};
pub use contact::ContactRequest;
pub use departure::Departure;
pub use dry_run::{DryRun, DryRunReply};
pub use ended::Ended;
pub use failure::{FailedItem, FailedItems, FailuresRequest};
use frame::micros;
pub use frame::{
    Body, End, Frames, JobCall, Kind, Origin, Owned, Request, Response, Results, Submitted,
    duration, feed, flush, millis,
};
pub use item::{Header, RunItem};
pub use limit::{Limit, Notice, Permit, PermitReply};
pub use run::{FromRunner, Generated, Lead, News, Order, Retained, ToRunner};
pub use server::{Handler, serve};
pub use suspect::{Strike, Suspect, Suspects, SuspectsRequest, Trial};
pub use text::TextPart;
pub use tunnel::Tunnel;
pub use usage::{HostClock, UsageCounts, UsageReply, UsageWindow};
