//! Traits at the clients of the daemon: the outside systems that it calls.
//!
//! Each has an implementation over a published protocol and small fakes in tests.

use async_trait::async_trait;

use crate::{
    core::{listing, request, rollout, store, target},
    prelude::*,
};

/// The platform's key-value service.
#[async_trait]
pub trait Store: Send + Sync {
    /// Makes one call; a failure says whether it may have taken effect.
    async fn call(
        &self,
        call: store::Call,
        timeout: Duration,
    ) -> Result<store::Reply, store::Failure>;
}

/// The platform's host list.
#[async_trait]
pub trait Directory: Send + Sync {
    /// Entries of a zone, or `None` when the list could not be read.
    async fn read(&self, zone: &ZoneId) -> Option<Vec<listing::Entry>>;
}

/// Takes what an attempt produces while it runs.
#[async_trait]
pub trait Sink: Send {
    /// The first byte is about to be sent to the target.
    fn before_send(&mut self);
    /// The target's answer is good, but says that the target leaves.
    fn target_leaving(&mut self) {}
    /// Text of one chunk, its tokens and the version that produced it. Waits while the caller reads slowly.
    async fn push_chunk(&mut self, text: &str, tokens: u32, version: Option<Version>);
}

/// Model engines.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Runs a generation to its end.
    async fn generate(&self, attempt: &request::Attempt, sink: &mut dyn Sink) -> request::Update;
    /// Asks for health, load and versions.
    async fn poll(&self, address: &str) -> target::Outcome;
    /// Sends an order.
    async fn order(&self, order: &rollout::Order) -> Result<(), rollout::Failure>;
}

/// Plain services.
#[async_trait]
pub trait Service: Send + Sync {
    /// Runs a call to its end; `sink.before_send` is called before the first byte goes out.
    async fn call(&self, attempt: &request::Attempt, sink: &mut dyn Sink) -> request::Update;
}
