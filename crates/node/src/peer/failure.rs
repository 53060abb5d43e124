//! Messages about failed runs of items.

use crate::{
    crash::Content,
    job::{Failure, Failures, Identity},
    prelude::*,
};

/// What a host knows of the failed runs of an item.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct FailedItem {
    #[prost(string, tag = "1")]
    pub job: String,
    #[prost(string, tag = "2")]
    pub item: String,
    /// Status 500 responses of engines.
    #[prost(uint32, tag = "3")]
    pub failures: u32,
    /// Status 500 responses of the judge.
    #[prost(uint32, tag = "4")]
    pub judge_failures: u32,
    /// The item may run no more.
    #[prost(bool, tag = "5")]
    pub given_up: bool,
    /// Hash of what an engine is asked to do.
    #[prost(bytes = "vec", tag = "6")]
    pub content: Vec<u8>,
}

/// Asks for the failed items that a host knows.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct FailuresRequest {}

/// Answer to that, and news for a host.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct FailedItems {
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<FailedItem>,
}

impl FailedItem {
    pub fn new(item: &Identity, failure: Failure) -> Self {
        Self {
            job: item.job.to_string(),
            item: item.item.to_string(),
            content: item.content.to_bytes().to_vec(),
            failures: failure.failures,
            judge_failures: failure.judge_failures,
            given_up: failure.given_up,
        }
    }

    /// Adds what the message says to what this host knows, if its content can be decoded.
    pub fn record(&self, known: &Failures, now: Time) {
        let &Self { failures, judge_failures, given_up, .. } = self;
        let failure = Failure { failures, judge_failures, given_up };
        if let Ok(content) = Content::try_from(self.content.as_slice()) {
            let (job, item) = (self.job.as_str().into(), self.item.as_str().into());
            known.record(Identity { job, item, content }, failure, now);
        }
    }
}
