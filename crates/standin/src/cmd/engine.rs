use serde_json::json;
use tokio::sync::watch;

use super::{Engine, Run};
use crate::{Result, engine, http, listener::Listener};

impl Run for Engine {
    async fn run(self) -> Result<()> {
        let listener = Listener::bind(self.listen, watch::channel(true).1).await?;
        http::print_address(&json!({"address": listener.address()}))?;
        http::serve_until_signal(vec![listener], engine::Engine::new(self)).await
    }
}
