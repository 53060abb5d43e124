//! The parts of a prompt, as its sender names them.

use xxhash_rust::xxh3::xxh3_64;

/// Id of a part, as a hash of its text, so that ids of any length take the same space.
pub type PartId = u64;

/// Part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    pub id: PartId,
    pub tokens: u32,
}

impl Part {
    /// A part with its sender's id.
    pub fn new(id: &str, tokens: u32) -> Self {
        Self { id: xxh3_64(id.as_bytes()), tokens }
    }
}

/// A prompt's parts in order; none if its sender names none. The last one is the request's own.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    parts: Box<[Part]>,
}

impl Prompt {
    /// Parts in the order of the text.
    pub fn parts(&self) -> &[Part] {
        &self.parts
    }

    /// Whether the sender names no parts.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Tokens of all parts.
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|part| u64::from(part.tokens)).sum()
    }
}

impl FromIterator<Part> for Prompt {
    fn from_iter<I: IntoIterator<Item = Part>>(parts: I) -> Self {
        Self { parts: parts.into_iter().collect() }
    }
}
