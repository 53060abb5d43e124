use bytes::Bytes;
use http::Method;
use serde_json::json;

use super::{Announce, Client, Result, Run, client::Fault, print};
use crate::code::Kind;

const WHAT: &str = "announce the version";

impl Run for Announce {
    async fn run(self) -> Result<()> {
        let mut client = Client::entry(&self.entry)?;
        let path = format!("/v1/trainers/{}/versions", self.trainer);
        let body =
            Bytes::from(json!({"version": self.version, "weights": self.weights}).to_string());
        // The higher version wins everywhere, so an announcement may be repeated.
        loop {
            if let Ok(answer) = client.send(Method::POST, &path, &[], body.clone()).await {
                let fault = Fault::read(&answer.body);
                let again = fault.is_some_and(|fault| {
                    matches!(fault.code.kind(), Kind::NotRun | Kind::OutcomeUnknown)
                });
                if !again || client.late() {
                    return print::value(&answer.json(WHAT)?, self.json.into());
                }
            }
            client.next_host().await;
            if client.late() {
                return Err(client.unavailable(WHAT));
            }
        }
    }
}
