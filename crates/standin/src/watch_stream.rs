//! Response stream of a watch: one JSON object per line.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use serde_json::{Value, json};
use tokio::{io, sync::mpsc, time};

use crate::{
    gateway,
    outage::Mode,
    platform::Platform,
    store::{Error, Span},
};

/// Lines buffered for a slow reader.
pub const CHANNEL_CAPACITY: usize = 64;
/// Interval at which a watch without changes checks for an outage.
const OUTAGE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Sends the changes within a span, starting with revision `start` or, if that is 0, with the next one. Ends when the
/// receiver is dropped, the store is rewound, the change log no longer holds the start revision, or an outage refuses
/// connections.
pub async fn run(
    platform: Arc<Platform>,
    span: Span,
    start: i64,
    lines: mpsc::Sender<io::Result<Bytes>>,
) {
    let mut changed = platform.subscribe();
    let rewinds = platform.rewinds();
    let mut next = if start > 0 { start } else { platform.revision() + 1 };
    let created = json!({"header": gateway::header(platform.revision()), "created": true});
    if send(&lines, created).await.is_err() {
        return;
    }
    loop {
        match platform.outage.mode() {
            Mode::Refuse => {
                let _ = lines.send(Err(io::Error::other("outage"))).await;
                return;
            }
            Mode::Hang => platform.outage.wait_while_hanging().await,
            Mode::None | Mode::LoseAnswers => {}
        }
        if platform.rewinds() != rewinds {
            let _ = lines.send(Err(io::Error::other("store was rewound"))).await;
            return;
        }
        match platform.changes(&span, next) {
            Ok((changes, revision)) => {
                next = revision + 1;
                if !changes.is_empty() {
                    let events: Vec<Value> = changes.iter().map(gateway::event).collect();
                    let result = json!({"header": gateway::header(revision), "events": events});
                    if send(&lines, result).await.is_err() {
                        return;
                    }
                }
            }
            Err(error) => {
                debug_assert_eq!(error, Error::Compacted);
                let oldest = platform.oldest_revision().to_string();
                let result = json!({"header": gateway::header(platform.revision()), "canceled": true,
                    "compact_revision": oldest, "cancel_reason": gateway::error_status(error).0});
                let _ = send(&lines, result).await;
                return;
            }
        }
        tokio::select! {
            _ = changed.changed() => {}
            () = lines.closed() => return,
            () = time::sleep(OUTAGE_CHECK_INTERVAL) => {}
        }
    }
}

async fn send(lines: &mpsc::Sender<io::Result<Bytes>>, result: Value) -> Result<(), ()> {
    let line = format!("{}\n", json!({"result": result}));
    lines.send(Ok(line.into())).await.map_err(|_| ())
}
