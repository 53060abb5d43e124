//! Held contents in the store. Hosts tell each other of them; the store is read when a host starts, as all others may have been
//! started anew as well.

use std::rc::Rc;

use log::{info, warn};
use tokio::time::sleep;

use crate::{
    clock,
    crash::{Content, Record, Stored},
    job,
    prelude::*,
    store::{self, Entry, Put, Txn},
    traffic::serve::Traffic,
};

/// Delay before a failed call is made again, and number of calls; the store may be away for long.
const RETRY_DELAY: Duration = Duration::from_secs(2);
const WRITES_MAX: usize = 5;

/// Keeps a content in the store.
pub async fn keep(traffic: &Rc<Traffic>, content: Content) {
    let Some(record) = traffic.crashes.record(content) else {
        return;
    };
    let value = serde_json::to_vec(&Stored::from(&record)).unwrap_or_default().into();
    let put = Put { key: job::held_key(content), value, lease: None };
    write(traffic, content, Txn { puts: vec![put], ..Txn::default() }).await;
}

/// Removes a content that was cleared.
pub async fn forget(traffic: Rc<Traffic>, content: Content) {
    let removes = vec![job::held_key(content)];
    write(&traffic, content, Txn { removes, ..Txn::default() }).await;
}

/// Makes a write, which may take effect twice.
async fn write(traffic: &Rc<Traffic>, content: Content, txn: Txn) {
    for _ in 0..WRITES_MAX {
        match traffic.store.commit(&txn).await {
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
pub async fn read(traffic: Rc<Traffic>) {
    let entries = loop {
        match store::read_all(traffic.store.as_ref(), job::HELD).await {
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
            tokio::task::spawn_local(forget(Rc::clone(&traffic), content));
            continue;
        }
        traffic.crashes.merge(content, record, now);
    }
}

fn decode(entry: &Entry) -> Option<(Content, Record)> {
    let content = entry.key.strip_prefix(job::HELD)?.parse().ok()?;
    let stored: Stored = serde_json::from_slice(&entry.value).ok()?;
    Some((content, stored.into()))
}
