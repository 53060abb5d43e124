//! Server-sent events of a run: parsing as bytes arrive, and the text that they make up.

use std::collections::BTreeSet;

use bytes::{Buf, BytesMut};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::prelude::*;

/// Longest event; a longer one is not the engine's.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// Why a stream cannot be used any further.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    #[snafu(display("could not read an event: {reason}"))]
    Malformed { reason: &'static str },
    #[snafu(display("could not append event {found} after event {last}"))]
    Gap { last: u64, found: u64 },
}

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    pub id: u64,
    pub data: Box<str>,
    /// Version from this event on, if it changes here.
    pub version: Option<Version>,
}

/// Splits bytes into events.
#[derive(Debug)]
pub struct Parser {
    buffer: BytesMut,
    version_line: Box<str>,
}

impl Parser {
    pub fn new(version_line: &str) -> Self {
        Self { buffer: BytesMut::new(), version_line: version_line.into() }
    }

    /// Takes bytes that arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether bytes of an unfinished event are left.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Result<Option<Event>, Error> {
        let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") else {
            if self.buffer.len() > EVENT_BYTES_MAX {
                return Err(Error::Malformed { reason: "event too long" });
            }
            return Ok(None);
        };
        let event = self.event(end);
        self.buffer.advance(end + 2);
        event.map(Some)
    }

    fn event(&self, end: usize) -> Result<Event, Error> {
        let text = std::str::from_utf8(&self.buffer[..end])
            .map_err(|_| Error::Malformed { reason: "not UTF-8" })?;
        let (mut event, mut id) = (Event::default(), None);
        for line in text.split('\n') {
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match name {
                "id" => id = value.parse().ok(),
                "data" => event.data = value.into(),
                name if name == &*self.version_line => event.version = value.trim().parse().ok(),
                _ => {}
            }
        }
        event.id = id.ok_or(Error::Malformed { reason: "no id" })?;
        Ok(event)
    }
}

/// Text of an item so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Data of all events, separated by line feeds.
    pub text: String,
    /// Id of the last event, 0 before the first.
    pub last_event: u64,
    /// Versions that generated an event.
    pub versions: BTreeSet<Version>,
}

impl Progress {
    /// Appends the next event, which `version` generated.
    pub fn append(&mut self, event: &Event, version: Version) -> Result<(), Error> {
        if event.id != self.last_event + 1 {
            return Err(Error::Gap { last: self.last_event, found: event.id });
        }
        if self.last_event > 0 {
            self.text.push('\n');
        }
        self.text.push_str(&event.data);
        self.last_event = event.id;
        self.versions.insert(version);
        Ok(())
    }

    /// Whether the text may be continued for a job that allows no version below `min` and, with `single`, only one.
    pub fn can_continue(&self, min: Version, next: Version, single: bool) -> bool {
        let oldest = self.versions.first().copied();
        oldest.is_none_or(|oldest| oldest >= min)
            && !(single && self.versions.iter().any(|version| *version != next))
    }
}
