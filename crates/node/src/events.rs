//! Server-sent events of a run: an incremental parser and the text accumulated from events.

use std::collections::BTreeSet;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::prelude::*;

/// Maximum size of an event; an engine sends no larger one.
const EVENT_BYTES_MAX: usize = 1 << 20;
/// Largest content of a buffer whose spare room does not count as held.
const SHORT_BYTES_MAX: usize = 64 << 10;

/// Reason why a stream cannot be continued.
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
    /// Version from this event on, if it changes with this event.
    pub version: Option<Version>,
}

/// Splits bytes into events.
#[derive(Debug)]
pub struct Parser {
    buffer: BytesMut,
    /// Bytes at the start of the buffer that hold no end of an event, so that each byte is searched once.
    searched: usize,
    /// Position of the line feeds that end the first event in the buffer.
    event_end: Option<usize>,
    version_field: Box<str>,
}

impl Parser {
    pub fn new(version_field: &str) -> Self {
        Self {
            buffer: BytesMut::new(),
            searched: 0,
            event_end: None,
            version_field: version_field.into(),
        }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        self.find_end();
    }

    fn find_end(&mut self) {
        if self.event_end.is_some() {
            return;
        }
        let rest = &self.buffer[self.searched..];
        match rest.windows(2).position(|pair| pair == b"\n\n") {
            Some(end) => self.event_end = Some(self.searched + end),
            // The last byte may be the first of the two line feeds.
            None => self.searched = self.buffer.len().saturating_sub(1),
        }
    }

    /// Bytes of memory that the buffer holds. The spare room of a short one does not count, as sound streams have many of them.
    pub fn buffered(&self) -> usize {
        let len = self.buffer.len();
        if len > SHORT_BYTES_MAX { self.buffer.capacity() } else { len }
    }

    /// Whether the buffer holds an incomplete event.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the buffer holds a complete event.
    pub fn has_event(&self) -> bool {
        self.event_end.is_some()
    }

    /// Whether the event in the buffer is longer than any engine sends.
    pub fn is_too_long(&self) -> bool {
        self.buffer.len() > EVENT_BYTES_MAX && !self.has_event()
    }

    /// Next complete event, if any.
    pub fn next_event(&mut self) -> Result<Option<Event>, Error> {
        Ok(self.next_raw()?.map(|(event, _)| event))
    }

    /// Next complete event with its bytes, if any.
    pub fn next_raw(&mut self) -> Result<Option<(Event, Bytes)>, Error> {
        let Some(end) = self.event_end else {
            if self.is_too_long() {
                return Err(Error::Malformed { reason: "event too long" });
            }
            return Ok(None);
        };
        let event = self.event(end)?;
        let bytes = self.buffer.split_to(end + 2).freeze();
        (self.searched, self.event_end) = (0, None);
        self.find_end();
        Ok(Some((event, bytes)))
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
                name if name == &*self.version_field => event.version = value.trim().parse().ok(),
                _ => {}
            }
        }
        event.id = id.ok_or(Error::Malformed { reason: "no id" })?;
        Ok(event)
    }
}

/// Accumulated text of an item.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Data of all events, separated by line feeds.
    pub text: String,
    /// Id of the last event, 0 before the first.
    pub last_event: u64,
    /// Versions that generated the events.
    pub versions: BTreeSet<Version>,
    /// Software version of the engines; `None` before the first event, and in texts stored before it was recorded.
    #[serde(default)]
    pub software: Option<Software>,
}

impl Progress {
    /// Appends an event generated by `version`.
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

    /// Whether an engine of a software version may continue the text.
    pub fn fits(&self, software: &str) -> bool {
        self.last_event == 0 || self.software.as_deref() == Some(software)
    }

    /// Whether `next` may continue the text for a job that accepts versions from `min` on and, with `single`, only one
    /// version per text.
    pub fn can_continue(&self, min: Version, next: Version, single: bool) -> bool {
        let oldest = self.versions.first().copied();
        oldest.is_none_or(|oldest| oldest >= min)
            && !(single && self.versions.iter().any(|version| *version != next))
    }
}
