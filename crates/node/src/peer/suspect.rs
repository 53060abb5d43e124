//! Messages about contents under which targets ended.

use crate::{
    clock,
    crash::{self, Background, Content, Record},
    peer::millis,
    prelude::*,
};

/// Longest id of a target; the store takes no longer keys.
const TARGET_BYTES_MAX: usize = 200;

/// Most ends without a content that count.
const OTHERS_MAX: usize = 4096;

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
    /// Time for which the target had run the content; 0 from hosts that do not say so.
    #[prost(uint64, tag = "4")]
    pub ran_ms: u64,
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
    /// Ends without the content that the host knows; 0 from hosts that do not say so.
    #[prost(uint64, tag = "7")]
    pub others: u64,
    /// Time for which targets of the service were up until then.
    #[prost(uint64, tag = "8")]
    pub time_ms: u64,
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
            ran_ms: millis(strike.ran),
        };
        let Background { ends, time } = record.background;
        Self {
            others: ends as u64,
            time_ms: millis(time),
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
            ran: Duration::from_millis(strike.ran_ms),
        };
        let sound = |ends: Vec<Strike>| {
            ends.into_iter()
                .filter(|end| end.target.len() <= TARGET_BYTES_MAX)
                .map(strike)
                .collect()
        };
        let Suspect { clears, furthest, passes, others, time_ms, .. } = suspect;
        let ends = usize::try_from(others).unwrap_or(usize::MAX).min(OTHERS_MAX);
        let background = Background { ends, time: Duration::from_millis(time_ms) };
        let record = Record::new(sound(suspect.strikes), clears, furthest, passes);
        Ok((content, record.with_passed(sound(suspect.passed)).with_background(background)))
    }
}
