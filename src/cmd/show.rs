//! `show`: prints the configuration in force.

use http::Method;

use super::{Client, Result, Run, Show, print};

impl Run for Show {
    async fn run(self) -> Result<()> {
        let mut client = Client::operator(&self.operator)?;
        let shown =
            client.read_json("show the configuration", Method::GET, "/v1/admin/config").await?;
        print::value(&shown, self.json.into())
    }
}
