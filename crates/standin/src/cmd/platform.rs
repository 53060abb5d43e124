use std::{sync::Arc, time::Duration};

use serde_json::json;
use tokio::sync::watch;

use super::{Platform, Run};
use crate::{
    Result, http,
    listener::Listener,
    outage::{Mode, Outage},
    platform,
};

impl Run for Platform {
    async fn run(self) -> Result<()> {
        let outage = Arc::new(Outage::new(Duration::from_millis(self.delay_ms)));
        let main =
            Listener::bind(self.listen, outage.subscribe(|mode| mode != Mode::Refuse)).await?;
        let control = Listener::bind(self.control, watch::channel(true).1).await?;
        http::print_address(&json!({"address": main.address(), "control": control.address()}))?;
        let platform = platform::Platform::start(outage, self.writes_per_s, self.reads_per_s);
        http::serve_until_signal(vec![main, control], platform).await
    }
}
