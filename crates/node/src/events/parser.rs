use bytes::{Bytes, BytesMut};

use crate::events::{Error, Event, error::MalformedSnafu, line};

/// Maximum size of an event; an engine sends no larger one.
const EVENT_BYTES_MAX: usize = 1 << 20;
/// Largest content of a buffer whose spare room does not count as held.
const SHORT_BYTES_MAX: usize = 64 << 10;
/// Byte order mark, which may begin a stream.
const BOM: &[u8] = "\u{feff}".as_bytes();

/// What has been read of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Block {
    /// Nothing but comments.
    Empty,
    /// Fields that no event needs.
    Other,
    /// A field of an event, or one that is unknown.
    Event,
}

impl Block {
    fn with_line(self, line: &[u8]) -> Self {
        let is_comment = line.is_empty() || line.starts_with(b":");
        match self {
            Self::Empty if is_comment => Self::Empty,
            Self::Empty | Self::Other if Event::is_ignorable(line) => Self::Other,
            _ => Self::Event,
        }
    }
}

/// Splits bytes into events.
///
/// The buffer begins with blocks that hold nothing of an event, then comes the first event.
#[derive(Debug)]
pub struct Parser {
    buffer: BytesMut,
    version_field: Box<str>,
    /// Bytes at the start of the buffer that hold nothing of an event.
    skipped: usize,
    /// Start of the first line that is not read.
    line_start: usize,
    /// Bytes at the start of the buffer that hold no end of that line, so that each byte is searched once.
    searched: usize,
    block: Block,
    /// Position after the first event in the buffer, once it is complete.
    event_end: Option<usize>,
    /// The last line ended with a CR at the end of the received bytes, so that a line feed still belongs to it.
    after_cr: bool,
    /// No byte of the stream is read yet.
    at_start: bool,
}

impl Parser {
    pub fn new(version_field: &str) -> Self {
        Self {
            buffer: BytesMut::new(),
            version_field: version_field.into(),
            skipped: 0,
            line_start: 0,
            searched: 0,
            block: Block::Empty,
            event_end: None,
            after_cr: false,
            at_start: true,
        }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        self.find_event();
    }

    /// Bytes of memory that the buffer holds. The spare room of a short one does not count, as sound streams have many of them.
    pub fn buffered(&self) -> usize {
        let len = self.buffer.len();
        if len > SHORT_BYTES_MAX { self.buffer.capacity() } else { len }
    }

    /// Whether the buffer holds an incomplete block.
    pub fn is_partial(&self) -> bool {
        self.buffer.len() > self.skipped
    }

    /// Whether the buffer holds a complete event.
    pub fn has_event(&self) -> bool {
        self.event_end.is_some()
    }

    /// Whether the event in the buffer is longer than any engine sends.
    pub fn is_too_long(&self) -> bool {
        self.buffer.len() > EVENT_BYTES_MAX && !self.has_event()
    }

    /// Next complete event, if any. What precedes it is dropped.
    pub fn next_event(&mut self) -> Result<Option<Event>, Error> {
        self.take_skipped();
        Ok(self.next_raw()?.map(|(event, _)| event))
    }

    /// Next complete event, if any, with its bytes and those before it.
    pub fn next_raw(&mut self) -> Result<Option<(Event, Bytes)>, Error> {
        let Some(end) = self.event_end else {
            if self.is_too_long() {
                return MalformedSnafu { reason: "event too long" }.fail();
            }
            return Ok(None);
        };
        let event = Event::parse(&self.buffer[self.skipped..end], &self.version_field)?;
        let bytes = self.buffer.split_to(end).freeze();
        (self.skipped, self.line_start, self.searched) = (0, 0, 0);
        self.event_end = None;
        self.find_event();
        Ok(Some((event, bytes)))
    }

    /// Takes the bytes at the start of the buffer that hold nothing of an event, such as comments.
    pub fn take_skipped(&mut self) -> Bytes {
        let skipped = std::mem::take(&mut self.skipped);
        self.line_start -= skipped;
        self.searched -= skipped;
        self.event_end = self.event_end.map(|end| end - skipped);
        self.buffer.split_to(skipped).freeze()
    }

    /// Reads lines up to the end of the first event.
    fn find_event(&mut self) {
        if self.event_end.is_some() || !self.skip_start() {
            return;
        }
        while self.event_end.is_none() {
            // The end of the line may follow bytes that were searched before.
            let Some((_, len)) = line::split(&self.buffer[self.searched..]) else {
                self.searched = self.buffer.len();
                return;
            };
            self.read_line(self.searched + len);
        }
    }

    /// Reads the line up to `end`, the start of the next one.
    fn read_line(&mut self, end: usize) {
        let bytes = &self.buffer[self.line_start..end];
        let (line, _) = line::split(bytes).unwrap_or_default();
        self.after_cr = end == self.buffer.len() && bytes.ends_with(b"\r");
        self.block = self.block.with_line(line);
        (self.line_start, self.searched) = (end, end);
        if line.is_empty() {
            let ended = std::mem::replace(&mut self.block, Block::Empty);
            self.event_end = (ended == Block::Event).then_some(end);
        }
        if self.block == Block::Empty && self.event_end.is_none() {
            self.skipped = end;
        }
    }

    /// Skips a byte order mark at the start of the stream, and a line feed that belongs to a line already read. Returns
    /// `false` if more bytes are needed.
    fn skip_start(&mut self) -> bool {
        if self.at_start {
            if self.buffer.len() < BOM.len() && BOM.starts_with(&self.buffer) {
                return false;
            }
            self.at_start = false;
            if self.buffer.starts_with(BOM) {
                self.skip(BOM.len());
            }
        }
        if self.after_cr && self.line_start < self.buffer.len() {
            self.after_cr = false;
            if self.buffer[self.line_start] == b'\n' {
                self.skip(1);
            }
        }
        true
    }

    /// Skips bytes before the next line. They belong to the present block if that has begun.
    fn skip(&mut self, count: usize) {
        let at_block_start = self.line_start == self.skipped;
        self.line_start += count;
        self.searched = self.line_start;
        if at_block_start {
            self.skipped = self.line_start;
        }
    }
}
