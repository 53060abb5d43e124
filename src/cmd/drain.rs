use bytes::Bytes;
use http::Method;

use super::{Client, Drain, Error, Failure, Result, Run, print};

const WHAT: &str = "drain the host";

impl Run for Drain {
    async fn run(self) -> Result<()> {
        // Only the first host is meant: draining the next one instead would stop another host.
        let client = Client::operator(&self.operator)?;
        match client.send(Method::POST, "/v1/admin/drain", &[], Bytes::new()).await {
            Ok(answer) => print::value(&answer.json(WHAT)?, self.json.into()),
            Err(Failure::Connect) => Err(client.unavailable(WHAT)),
            Err(Failure::Broken) => Err(Error::Unknown {
                what: WHAT.into(),
                hint: "draining twice does no harm".into(),
            }),
        }
    }
}
