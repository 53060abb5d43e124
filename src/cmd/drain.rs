//! `drain`: starts the graceful stop of a host.

use bytes::Bytes;
use http::Method;

use super::{Client, Drain, Error, Failure, Result, Run, print};

const ACTION: &str = "drain the host";

impl Run for Drain {
    async fn run(self) -> Result<()> {
        // Only the first host is drained: a retry on the next one would stop a different host.
        let client = Client::operator(&self.operator)?;
        match client.send(Method::POST, "/v1/admin/drain", &[], Bytes::new()).await {
            Ok(answer) => print::value(&answer.json(ACTION)?, self.json.into()),
            Err(Failure::Connect) => Err(client.unavailable(ACTION)),
            Err(Failure::Broken) => Err(Error::OutcomeUnknown {
                action: ACTION.into(),
                hint: "draining the host again is safe".into(),
            }),
        }
    }
}
