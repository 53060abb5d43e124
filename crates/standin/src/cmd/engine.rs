use serde_json::json;
use tokio::sync::watch;

use super::{Engine, Run};
use crate::{Result, engine, gate::Gate, http};

impl Run for Engine {
    async fn run(self) -> Result<()> {
        let gate = Gate::open(self.listen, watch::channel(true).1).await?;
        http::announce(&json!({"address": gate.address()}))?;
        http::serve_until_signal(vec![gate], engine::Engine::new(self)).await
    }
}
