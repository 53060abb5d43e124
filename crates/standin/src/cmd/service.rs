use std::time::Duration;

use serde_json::json;
use tokio::sync::watch;

use super::{Run, Service};
use crate::{Result, http, listener::Listener, service};

impl Run for Service {
    async fn run(self) -> Result<()> {
        let listener = Listener::bind(self.listen, watch::channel(true).1).await?;
        http::print_address(&json!({"address": listener.address()}))?;
        let service = service::Service::new(Duration::from_millis(self.delay_ms));
        http::serve_until_signal(vec![listener], service).await
    }
}
