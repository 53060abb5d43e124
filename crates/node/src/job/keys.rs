//! Keys of this program in the platform's store.

use crate::{crash::Content, prelude::*};

/// Prefix of the heads of jobs. A head holds the job's [`Record`](crate::job::Record).
pub const HEADS: &str = "job/head/";
const BODIES: &str = "job/body/";
const CHUNKS: &str = "job/rows/";
const CHECKPOINTS: &str = "job/texts/";
/// Prefix of the leader key of each service.
pub const LEADERS: &str = "lead/";
/// Name before the zone in the leader keys of the hosts that read for their zones.
pub const READERS: &str = "zone/";
/// Begin of the names in the leader keys of the holders of duties at the platform.
const DUTIES: &str = "duty/";
/// Prefix of the relay addresses of hosts.
pub const HOSTS: &str = "host/";

/// Prefix of the software versions of each service.
const SOFTWARE: &str = "software/";

/// Prefix of the contents that are held.
pub const HELD: &str = "held/";

/// A parsed key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    Head(JobId),
    Leader(ServiceId),
    /// Host that reads for its zone.
    Reader(ZoneId),
    /// Holder of a duty, by the name under which hosts compete for it.
    Duty(ServiceId),
}

impl Key {
    /// Parses a key of a job head, a leader, a reader or the holder of a duty; `None` for any other key.
    pub fn parse(key: &str) -> Option<Self> {
        if let Some(id) = key.strip_prefix(HEADS) {
            return Some(Self::Head(id.into()));
        }
        let name = key.strip_prefix(LEADERS)?;
        Some(match name.strip_prefix(READERS) {
            Some(zone) => Self::Reader(zone.into()),
            None if name.starts_with(DUTIES) => Self::Duty(name.into()),
            None => Self::Leader(name.into()),
        })
    }
}

/// Key of a job's head.
pub fn head_key(job: &str) -> Box<str> {
    format!("{HEADS}{job}").into()
}

/// Key of a part of a job's submitted body.
pub fn body_key(job: &str, part: usize) -> Box<str> {
    format!("{BODIES}{job}/{part:04}").into()
}

/// Prefix of a job's result chunks.
pub fn chunks_prefix(job: &str) -> Box<str> {
    format!("{CHUNKS}{job}/").into()
}

/// Key of a result chunk. Keys sort by chunk number.
pub fn chunk_key(job: &str, chunk: u64) -> Box<str> {
    format!("{CHUNKS}{job}/{chunk:08}").into()
}

/// Key of a job's checkpoints.
pub fn checkpoints_key(job: &str) -> Box<str> {
    format!("{CHECKPOINTS}{job}").into()
}

/// Key of the address at which a host accepts relayed calls.
pub fn host_key(host: &str) -> Box<str> {
    format!("{HOSTS}{host}").into()
}

/// Key held by the leader of a service.
pub fn leader_key(service: &str) -> Box<str> {
    format!("{LEADERS}{service}").into()
}

/// Key of the software versions of a service.
pub fn software_key(service: &str) -> Box<str> {
    format!("{SOFTWARE}{service}").into()
}

/// Key of a content that is held.
pub fn held_key(content: Content) -> Box<str> {
    format!("{HELD}{content}").into()
}
