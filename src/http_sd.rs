//! Client of the host list in the JSON format of Prometheus HTTP service discovery.

use async_trait::async_trait;
use bytes::Bytes;
use http::Uri;
use serde::Deserialize;
use tokio::time::Instant;

use crate::{core::listing::Entry, external, outbound, prelude::*};

/// Largest list. The planned 6,500 entries take about 1 MB.
const LIST_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Client of the host list.
#[derive(Debug)]
pub struct HttpSd {
    pub url: Uri,
    pub timeout: Duration,
}

/// Entry of the list.
#[derive(Debug, Deserialize)]
struct Group {
    targets: Vec<Box<str>>,
    labels: Labels,
}

/// Labels of an entry; others are ignored.
#[derive(Debug, Deserialize)]
struct Labels {
    id: Box<str>,
    zone: Box<str>,
    pool: Box<str>,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Live,
    Leaving,
}

impl HttpSd {
    /// Reads the list. A malformed entry fails the whole read, because skipping it would look like a removal.
    async fn read_list(&self) -> Result<Vec<Entry>, String> {
        let authority = self.url.authority().ok_or("the URL has no address")?;
        let path = self.url.path_and_query().map_or("/", |it| it.as_str());
        let deadline = Instant::now() + self.timeout;
        let call = outbound::call_json(
            authority.as_str(),
            path,
            Bytes::new(),
            LIST_MAX_BYTES,
            deadline,
            deadline,
        );
        let (status, body) = call.await.map_err(|failure| format!("{failure:?}"))?;
        if !status.is_success() {
            return Err(format!("status {status}"));
        }
        let groups: Vec<Group> =
            serde_json::from_slice(&body).map_err(|error| error.to_string())?;
        let entry = |group: Group| {
            let [address] = <[Box<str>; 1]>::try_from(group.targets).ok()?;
            Some(Entry {
                target: group.labels.id,
                zone: group.labels.zone,
                address,
                pool: group.labels.pool,
                leaving: group.labels.state == State::Leaving,
            })
        };
        let entries: Option<_> = groups.into_iter().map(entry).collect();
        entries.ok_or_else(|| "an entry does not have exactly one target".into())
    }
}

#[async_trait]
impl external::Directory for HttpSd {
    async fn read(&self, zone: &ZoneId) -> Option<Vec<Entry>> {
        match self.read_list().await {
            Ok(entries) => Some(entries.into_iter().filter(|it| it.zone == *zone).collect()),
            Err(error) => {
                // The core warns once per outage; a warning per read would flood the log.
                log::debug!("could not read the host list: {error}");
                None
            }
        }
    }
}
