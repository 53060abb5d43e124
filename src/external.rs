//! Traits for the external systems that the daemon calls.
//!
//! Each trait has an implementation over a published protocol, in `etcd`, `http_sd`, `engine` and `service`. Tests can
//! substitute their own.

use async_trait::async_trait;

use crate::{
    core::{listing, request, rollout, store, target},
    prelude::*,
};

/// Key-value store of the platform.
#[async_trait]
pub trait Store: Send + Sync {
    /// Makes one call. The failure tells whether the call may have taken effect.
    async fn call(
        &self,
        call: store::Call,
        timeout: Duration,
    ) -> Result<store::Reply, store::Failure>;
}

/// Host list of the platform.
#[async_trait]
pub trait Directory: Send + Sync {
    /// Entries of a zone, `None` if the list could not be read.
    async fn read(&self, zone: &ZoneId) -> Option<Vec<listing::Entry>>;
}

/// Receiver of the progress of an attempt.
#[async_trait]
pub trait Sink: Send {
    /// Called before the first byte of the request is sent to the target.
    fn before_send(&mut self);
    /// Called when a usable response marks its target as leaving.
    fn target_leaving(&mut self) {}
    /// Passes on one chunk of text, its number of tokens and the version that produced it. Waits while the caller's
    /// buffer is full.
    async fn push_chunk(&mut self, text: &str, tokens: u32, version: Option<Version>);
}

/// Model engines.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Runs a generation to completion or failure.
    async fn generate(&self, attempt: &request::Attempt, sink: &mut dyn Sink) -> request::Update;
    /// Polls health, load and versions.
    async fn poll(&self, address: &str) -> target::Outcome;
    /// Sends an order to load a version.
    async fn order(&self, order: &rollout::Order) -> Result<(), rollout::Failure>;
}

/// Plain services.
#[async_trait]
pub trait Service: Send + Sync {
    /// Runs a call to completion or failure.
    async fn call(&self, attempt: &request::Attempt, sink: &mut dyn Sink) -> request::Update;
}
