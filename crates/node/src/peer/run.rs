//! Messages between the leader of a service and the hosts that run items for it.
//!
//! A connection begins with a request of kind `Lead`. From then on the leader sends `ToRunner` and the runner sends
//! `FromRunner` messages, without waiting for each other. A text is transferred once: each message carries the part that
//! follows what was sent before.

use crate::{
    crash::Content,
    job::Origin,
    peer::{
        departure::Departure, ended::Ended, item::RunItem, limit::Limit, micros, text::TextPart,
    },
    prelude::*,
    traffic::RunReport,
};

/// Opens a connection on which the leader of a service has items run.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Lead {
    #[prost(string, tag = "1")]
    pub service: String,
    /// Fencing token of the leadership.
    #[prost(uint64, tag = "2")]
    pub fence: u64,
}

/// Message to a runner.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ToRunner {
    #[prost(oneof = "Order", tags = "1, 2, 3")]
    pub order: Option<Order>,
}

/// Content of a message to a runner.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Order {
    #[prost(message, tag = "1")]
    Run(Box<RunItem>),
    /// Stops a run, by its id.
    #[prost(uint64, tag = "2")]
    Stop(u64),
    /// Heartbeat with its number; the runner returns it.
    #[prost(uint64, tag = "3")]
    Ping(u64),
}

/// Message from a runner.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FromRunner {
    #[prost(oneof = "News", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9")]
    pub news: Option<News>,
}

/// Content of a message from a runner.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum News {
    #[prost(message, tag = "1")]
    Progress(TextPart),
    #[prost(message, tag = "2")]
    Generated(Generated),
    #[prost(message, tag = "3")]
    Ended(Box<Ended>),
    #[prost(uint64, tag = "4")]
    Pong(u64),
    /// The runner stops and takes no more items.
    #[prost(bool, tag = "5")]
    Leaving(bool),
    /// Text of a run that an earlier leader had started.
    #[prost(message, tag = "6")]
    Retained(Retained),
    /// Limit of a target.
    #[prost(message, tag = "7")]
    Limit(Limit),
    /// A target leaves.
    #[prost(message, tag = "8")]
    Departure(Departure),
    /// The leader's term is over; with the earliest fencing token that a leader may still have. The connection ends.
    #[prost(uint64, tag = "9")]
    Superseded(u64),
}

/// The text of a run is complete.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Generated {
    #[prost(uint64, tag = "1")]
    pub run: u64,
    #[prost(uint64, optional, tag = "2")]
    pub pace_us: Option<u64>,
}

/// Text of an item that is not finished.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Retained {
    #[prost(string, tag = "1")]
    pub item: String,
    #[prost(message, optional, tag = "2")]
    pub part: Option<TextPart>,
    #[prost(bool, tag = "3")]
    pub text_complete: bool,
    /// Content of the text's origin. Runners of earlier builds send none.
    #[prost(bytes = "vec", tag = "4")]
    pub content: Vec<u8>,
}

impl Retained {
    /// What the text was generated for, if the runner says so.
    pub fn origin(&self) -> Option<Origin> {
        let content = Content::try_from(&*self.content).ok()?;
        Some(Origin { item: self.item.as_str().into(), content })
    }
}

impl Generated {
    pub fn new(run: u64, pace: Option<Duration>) -> Self {
        Self { run, pace_us: pace.map(micros) }
    }
}

impl From<Generated> for RunReport {
    fn from(generated: Generated) -> Self {
        let pace = generated.pace_us.map(Duration::from_micros);
        Self::Generated { run: generated.run, pace }
    }
}
