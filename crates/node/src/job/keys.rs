//! Keys of this program in the platform's store.

use crate::prelude::*;

/// Prefix of the heads of jobs.
pub const HEADS: &str = "job/head/";
const BODIES: &str = "job/body/";
const ROWS: &str = "job/rows/";
const TEXTS: &str = "job/texts/";
/// Prefix of the leaders of services.
pub const LEADS: &str = "lead/";
/// Prefix of the hosts.
pub const HOSTS: &str = "host/";

/// What a key of this program holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    Head(JobId),
    Lead(ServiceId),
}

impl Key {
    /// What a mirrored key holds.
    pub fn parse(key: &str) -> Option<Self> {
        if let Some(id) = key.strip_prefix(HEADS) {
            return Some(Self::Head(id.into()));
        }
        key.strip_prefix(LEADS).map(|service| Self::Lead(service.into()))
    }
}

/// Head of a job.
pub fn head_key(job: &str) -> Box<str> {
    format!("{HEADS}{job}").into()
}

/// A part of a job's submission.
pub fn body_key(job: &str, part: usize) -> Box<str> {
    format!("{BODIES}{job}/{part:04}").into()
}

/// Prefix of a job's chunks of results.
pub fn chunks_prefix(job: &str) -> Box<str> {
    format!("{ROWS}{job}/").into()
}

/// A chunk of results; chunks sort by their number.
pub fn chunk_key(job: &str, chunk: u64) -> Box<str> {
    format!("{ROWS}{job}/{chunk:08}").into()
}

/// Unfinished texts of a job, as the leader last saved them.
pub fn texts_key(job: &str) -> Box<str> {
    format!("{TEXTS}{job}").into()
}

/// Address of a host for calls of other hosts.
pub fn host_key(host: &str) -> Box<str> {
    format!("{HOSTS}{host}").into()
}

/// Leader of a service.
pub fn leader_key(service: &str) -> Box<str> {
    format!("{LEADS}{service}").into()
}
