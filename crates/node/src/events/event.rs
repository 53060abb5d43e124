use crate::{
    events::{Error, error::MalformedSnafu, line::Lines},
    prelude::*,
};

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    pub id: u64,
    /// Its lines of data, joined by line feeds. Empty if it has none: in the format, such a block is no event, but what has an
    /// id of its own counts as one.
    pub data: Box<str>,
    /// Version from this event on, if it changes with this event.
    pub version: Option<Version>,
}

impl Event {
    /// Reads the lines of a block.
    pub(super) fn parse(block: &[u8], version_field: &str) -> Result<Self, Error> {
        let malformed = |reason| MalformedSnafu { reason };
        let (mut id, mut data, mut version) = (None, None::<String>, None);
        for line in Lines(block) {
            let Ok(line) = std::str::from_utf8(line) else {
                return malformed("not UTF-8").fail();
            };
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match name {
                "id" => id = Some(value),
                "data" => match &mut data {
                    Some(data) => {
                        data.push('\n');
                        data.push_str(value);
                    }
                    None => data = Some(value.into()),
                },
                name if name == version_field => version = Some(value.trim()),
                _ => {}
            }
        }
        let Some(id) = id else {
            return malformed("no id").fail();
        };
        let Ok(id) = id.parse() else {
            return malformed("invalid id").fail();
        };
        let Ok(version) = version.map(str::parse).transpose() else {
            return malformed("invalid version").fail();
        };
        Ok(Self { id, data: data.unwrap_or_default().into(), version })
    }

    /// Whether a block of such lines only may be left out. Unknown ones may not: they are also what a target writes that answers
    /// with no events at all.
    pub(super) fn is_ignorable(line: &[u8]) -> bool {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        matches!(name, b"" | b"event" | b"retry")
    }

    /// Whether it directly follows the event with an id.
    pub fn follows(&self, last: u64) -> bool {
        last.checked_add(1) == Some(self.id)
    }
}
