//! Contents in the store under which several targets ended, as one more end holds them. Hosts tell each other of them; the store is read when a host starts, as all others may have been
//! started anew as well.

use std::sync::Arc;

use log::{info, warn};
use tokio::time::sleep;

use crate::{
    clock,
    crash::{Content, Record, Stored, Table},
    job,
    prelude::*,
    store::{self, Entry, Handle, Put, Txn},
};

/// Delay before a failed call is made again, and number of calls; the store may be away for long.
const RETRY_DELAY: Duration = Duration::from_secs(2);
const WRITES_MAX: usize = 5;

/// Keeps a content in the store.
pub async fn keep(store: &Handle, content: Content, record: &Record) {
    let value = serde_json::to_vec(&Stored::from(record)).unwrap_or_default().into();
    let put = Put { key: job::held_key(content), value, lease: None };
    write(store, content, Txn { puts: vec![put], ..Txn::default() }).await;
}

/// Removes a content that was cleared.
pub async fn forget(store: Handle, content: Content) {
    let removes = vec![job::held_key(content)];
    write(&store, content, Txn { removes, ..Txn::default() }).await;
}

/// Makes a write, which may take effect twice.
async fn write(store: &Handle, content: Content, txn: Txn) {
    for _ in 0..WRITES_MAX {
        match store.commit(&txn).await {
            Ok(outcome) => {
                info!(content:% = content, outcome:? = outcome, held = !txn.puts.is_empty(); "held content written");
                return;
            }
            Err(error) => {
                info!(content:% = content, reason:% = error; "could not write a held content");
                sleep(RETRY_DELAY).await;
            }
        }
    }
    warn!(content:% = content; "held content not written: hosts that are all started anew may not know it");
}

/// Reads the contents when this host starts.
pub async fn read(store: Handle, crashes: Arc<Table>) {
    let entries = loop {
        match store::read_all(store.as_ref(), job::HELD).await {
            Ok((entries, _)) => break entries,
            Err(error) => {
                info!(reason:% = error; "could not read the held contents");
                sleep(RETRY_DELAY).await;
            }
        }
    };
    let now = clock::now();
    for entry in entries {
        let Some((content, record)) = decode(&entry) else {
            warn!(key = &*entry.key; "held content ignored: could not decode it");
            continue;
        };
        if record.is_outdated(now) {
            tokio::task::spawn_local(forget(store.clone(), content));
            continue;
        }
        crashes.merge(content, record, now);
    }
}

fn decode(entry: &Entry) -> Option<(Content, Record)> {
    let content = entry.key.strip_prefix(job::HELD)?.parse().ok()?;
    let stored: Stored = serde_json::from_slice(&entry.value).ok()?;
    Some((content, stored.into()))
}
