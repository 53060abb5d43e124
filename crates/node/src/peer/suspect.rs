//! Messages about contents under which targets ended.

use crate::{
    clock,
    crash::{self, Content, Record},
    peer::millis,
    prelude::*,
};

/// Longest id of a target; the store takes no longer keys.
const TARGET_BYTES_MAX: usize = 200;

/// End of a target.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Strike {
    #[prost(string, tag = "1")]
    pub target: String,
    /// Start time of the instance, in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
    /// Time since the end.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
    // Tag 4 is reserved: earlier builds tell how long the target had run the content.
}

/// What a host knows of a content.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Suspect {
    #[prost(bytes = "vec", tag = "1")]
    pub content: Vec<u8>,
    /// Successes after strikes.
    #[prost(uint64, tag = "2")]
    pub clears: u64,
    /// Last event of the run that got furthest.
    #[prost(uint64, tag = "3")]
    pub furthest: u64,
    #[prost(message, repeated, tag = "4")]
    pub strikes: Vec<Strike>,
    /// Ends that gave no strike.
    #[prost(uint32, tag = "5")]
    pub passes: u32,
    /// The last of these ends.
    #[prost(message, repeated, tag = "6")]
    pub passed: Vec<Strike>,
    // Tags 7 and 8 are reserved: earlier builds tell of ends without the content.
}

/// Asks for the contents that a host knows.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SuspectsRequest {}

/// Answer to that.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Suspects {
    #[prost(message, repeated, tag = "1")]
    pub suspects: Vec<Suspect>,
}

/// Asks for the next trial of a held content.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Trial {
    #[prost(message, optional, tag = "1")]
    pub suspect: Option<Suspect>,
}

impl Suspect {
    pub fn new(content: Content, record: &Record) -> Self {
        let now = clock::now();
        let strike = |strike: &crash::Strike| Strike {
            target: strike.target.to_string(),
            started_ms: strike.started_ms,
            age_ms: millis(now.saturating_sub(strike.at)),
        };
        Self {
            content: content.to_bytes().to_vec(),
            clears: record.clears,
            furthest: record.furthest,
            passes: record.passes,
            strikes: record.strikes.iter().map(strike).collect(),
            passed: record.passed.iter().map(strike).collect(),
        }
    }
}

impl TryFrom<Suspect> for (Content, Record) {
    type Error = std::array::TryFromSliceError;

    fn try_from(suspect: Suspect) -> Result<Self, Self::Error> {
        let content = Content::try_from(suspect.content.as_slice())?;
        let now = clock::now();
        let strike = |strike: Strike| crash::Strike {
            target: strike.target.into(),
            started_ms: strike.started_ms,
            at: now.saturating_sub(Duration::from_millis(strike.age_ms)),
        };
        let sound = |ends: Vec<Strike>| {
            ends.into_iter()
                .filter(|end| end.target.len() <= TARGET_BYTES_MAX)
                .map(strike)
                .collect()
        };
        let Suspect { clears, furthest, passes, .. } = suspect;
        let record = Record::new(sound(suspect.strikes), clears, furthest, passes);
        Ok((content, record.with_passed(sound(suspect.passed))))
    }
}
