//! `status`: prints the state of a host and its view of the other hosts.

use http::Method;

use super::{Client, Result, Run, Status, print};

impl Run for Status {
    async fn run(self) -> Result<()> {
        let mut client = Client::operator(&self.operator)?;
        let status = client.read_json("read the status", Method::GET, "/v1/admin/status").await?;
        print::value(&status, self.json.into())
    }
}
