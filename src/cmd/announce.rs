//! `announce`: publishes a new weight version of a trainer's model.

use bytes::Bytes;
use http::Method;
use serde_json::json;

use super::{Announce, Client, Result, Run, client::ApiError, print};
use crate::code::Kind;

const ACTION: &str = "announce the version";

impl Run for Announce {
    async fn run(self) -> Result<()> {
        let mut client = Client::entry(&self.entry)?;
        let path = format!("/v1/trainers/{}/versions", self.trainer);
        let body =
            Bytes::from(json!({"version": self.version, "weights": self.weights}).to_string());
        // All hosts keep the highest version, so an announcement may be repeated.
        loop {
            if let Ok(answer) = client.send(Method::POST, &path, &[], body.clone()).await {
                let error = ApiError::parse(&answer.body);
                let retryable = error.is_some_and(|error| {
                    matches!(error.code.kind(), Kind::NotRun | Kind::OutcomeUnknown)
                });
                if !retryable || client.is_expired() {
                    return print::value(&answer.json(ACTION)?, self.json.into());
                }
            }
            client.next_host().await;
            if client.is_expired() {
                return Err(client.unavailable(ACTION));
            }
        }
    }
}
