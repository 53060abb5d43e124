use std::time::Duration;

use serde_json::json;
use tokio::sync::watch;

use super::{Run, Service};
use crate::{Result, gate::Gate, http, service};

impl Run for Service {
    async fn run(self) -> Result<()> {
        let gate = Gate::open(self.listen, watch::channel(true).1).await?;
        http::announce(&json!({"address": gate.address()}))?;
        let service = service::Service::new(Duration::from_millis(self.delay_ms));
        http::serve_until_signal(vec![gate], service).await
    }
}
