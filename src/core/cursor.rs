//! Cursor of a trainer's stream.
//!
//! The cursor is the only durable state of a stream. The trainer keeps it and sends it with each pull. Every prompt
//! index below `next` that is not in `skipped` has been delivered in a batch before `batch`.

use std::{collections::BTreeSet, fmt};

use snafu::Snafu;
use xxhash_rust::xxh3::xxh3_64;

/// Most prompt indices below `next` that are not delivered. At up to 4 characters each, a cursor stays below 5 KB.
pub const SKIPPED_MAX: usize = 1024;

const TEXT_MAX_BYTES: usize = 32 * 1024;
/// Keeps index arithmetic far from overflow.
const NUMBER_MAX: u64 = 1 << 56;
const FORMAT: &str = "1";

/// Position in a trainer's stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cursor {
    /// Hash of the trainer's name.
    trainer: u32,
    batch: u64,
    next: u64,
    skipped: BTreeSet<u64>,
    epoch: u64,
}

/// Why a cursor could not be parsed.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    #[snafu(display("could not read the cursor: malformed"))]
    Malformed,
    #[snafu(display("could not read the cursor: its checksum does not match"))]
    Checksum,
    #[snafu(display("could not read the cursor: it belongs to another trainer"))]
    OtherTrainer,
}

impl Cursor {
    /// Cursor of a trainer that has consumed nothing.
    pub fn start(trainer: &str) -> Self {
        Self { trainer: hash(trainer), ..Self::default() }
    }

    /// Parses a trainer's cursor. An empty text is the start.
    pub fn parse(text: &str, trainer: &str) -> Result<Self, Error> {
        if text.is_empty() {
            return Ok(Self::start(trainer));
        }
        let cursor = Self::try_from(text)?;
        if cursor.trainer != hash(trainer) {
            return Err(Error::OtherTrainer);
        }
        Ok(cursor)
    }

    /// Number of the next batch.
    pub fn batch(&self) -> u64 {
        self.batch
    }

    /// Number of takeovers by another owner.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether the prompt of this index has been delivered.
    pub fn consumed(&self, index: u64) -> bool {
        index < self.next && !self.skipped.contains(&index)
    }

    /// Indices that are not delivered, in ascending order and without end.
    pub fn undelivered(&self) -> impl Iterator<Item = u64> + '_ {
        self.skipped.iter().copied().chain(self.next..)
    }

    /// Cursor after a batch with these prompts; `dropped` prompts count as delivered.
    ///
    /// `None` if more than `SKIPPED_MAX` indices below the new `next` would stay undelivered.
    pub fn advance(
        &self,
        taken: &BTreeSet<u64>,
        dropped: &BTreeSet<u64>,
        epoch: u64,
    ) -> Option<Self> {
        let next = taken.last().map_or(self.next, |&last| self.next.max(last + 1));
        let skipped: BTreeSet<u64> = self
            .undelivered()
            .take_while(|&index| index < next)
            .filter(|index| !taken.contains(index) && !dropped.contains(index))
            .take(SKIPPED_MAX + 1)
            .collect();
        (skipped.len() <= SKIPPED_MAX).then_some(Self {
            trainer: self.trainer,
            batch: self.batch + 1,
            next,
            skipped,
            epoch,
        })
    }
}

impl fmt::Display for Cursor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let skipped: Vec<String> =
            self.skipped.iter().map(|index| format!("{:x}", self.next - index)).collect();
        let body = format!(
            "{FORMAT}.{:x}.{:x}.{:x}.{:x}.{}",
            self.trainer,
            self.batch,
            self.next,
            self.epoch,
            skipped.join("-")
        );
        write!(f, "{body}.{:x}", hash(&body))
    }
}

impl TryFrom<&str> for Cursor {
    type Error = Error;

    fn try_from(text: &str) -> Result<Self, Error> {
        if text.len() > TEXT_MAX_BYTES {
            return Err(Error::Malformed);
        }
        let (body, sum) = text.rsplit_once('.').ok_or(Error::Malformed)?;
        if sum != format!("{:x}", hash(body)) {
            return Err(Error::Checksum);
        }
        let parts: Vec<&str> = body.split('.').collect();
        let [FORMAT, trainer, batch, next, epoch, gaps] = parts[..] else {
            return Err(Error::Malformed);
        };
        let next = number(next)?;
        let mut skipped = BTreeSet::new();
        for gap in gaps.split('-').filter(|gap| !gap.is_empty()) {
            let gap = number(gap)?;
            if gap == 0 || gap > next || !skipped.insert(next - gap) || skipped.len() > SKIPPED_MAX
            {
                return Err(Error::Malformed);
            }
        }
        Ok(Self {
            trainer: u32::try_from(number(trainer)?).map_err(|_| Error::Malformed)?,
            batch: number(batch)?,
            next,
            skipped,
            epoch: number(epoch)?,
        })
    }
}

fn number(text: &str) -> Result<u64, Error> {
    match u64::from_str_radix(text, 16) {
        Ok(number) if number <= NUMBER_MAX => Ok(number),
        _ => Err(Error::Malformed),
    }
}

fn hash(text: &str) -> u32 {
    (xxh3_64(text.as_bytes()) >> 32) as u32
}

impl From<&Cursor> for Box<str> {
    fn from(cursor: &Cursor) -> Self {
        cursor.to_string().into()
    }
}
