use crate::{
    events::{Error, error::MalformedSnafu, line::Lines},
    prelude::*,
};

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    pub id: u64,
    /// Its lines of data, joined by line feeds. `None` if it has none: in the format, it then only sets the last id.
    pub data: Option<Box<str>>,
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
        Ok(Self { id, data: data.map(Into::into), version })
    }

    /// Whether a line belongs to an event. All others may be left out.
    pub(super) fn has_line(line: &[u8], version_field: &str) -> bool {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        name == b"id" || name == b"data" || name == version_field.as_bytes()
    }

    /// Whether it directly follows the event with an id.
    pub fn follows(&self, last: u64) -> bool {
        last.checked_add(1) == Some(self.id)
    }
}
