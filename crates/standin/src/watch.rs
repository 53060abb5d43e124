//! Streams of changes, one JSON object a line.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use serde_json::{Value, json};
use tokio::{io, sync::mpsc, time};

use crate::{
    gateway,
    outage::Mode,
    platform::Platform,
    store::{Fault, Span},
};

/// Lines that may wait for a slow reader.
pub const LINES_MAX: usize = 64;
/// Longest time until a watch notices an outage.
const OUTAGE_CHECK: Duration = Duration::from_millis(50);

/// Sends the changes of a span from a revision on until the reader goes away or the store is put back.
pub async fn run(
    platform: Arc<Platform>,
    span: Span,
    start: i64,
    lines: mpsc::Sender<io::Result<Bytes>>,
) {
    let mut changed = platform.subscribe();
    let restores = platform.restores();
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
            Mode::Hang => platform.outage.hang().await,
            Mode::None | Mode::LoseAnswers => {}
        }
        if platform.restores() != restores {
            let _ = lines.send(Err(io::Error::other("store was restored"))).await;
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
            Err(fault) => {
                debug_assert_eq!(fault, Fault::Compacted);
                let oldest = platform.revision().to_string();
                let result = json!({"header": gateway::header(platform.revision()), "canceled": true,
                    "compact_revision": oldest, "cancel_reason": gateway::fault(fault).0});
                let _ = send(&lines, result).await;
                return;
            }
        }
        tokio::select! {
            _ = changed.changed() => {}
            () = lines.closed() => return,
            () = time::sleep(OUTAGE_CHECK) => {}
        }
    }
}

async fn send(lines: &mpsc::Sender<io::Result<Bytes>>, result: Value) -> Result<(), ()> {
    let line = format!("{}\n", json!({"result": result}));
    lines.send(Ok(line.into())).await.map_err(|_| ())
}
