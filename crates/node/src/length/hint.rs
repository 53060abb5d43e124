use snafu::Snafu;

/// Largest number of output tokens that is a hint. A text that is longer in bytes is not read.
const TOKENS_MAX: u32 = 4 << 20;

/// Number that is no estimate of a length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("could not use a length hint of {tokens} tokens: not within 1 to {TOKENS_MAX}"))]
pub struct Error {
    tokens: u64,
}

/// Trainer's estimate of the output tokens of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Hint(u32);

impl Hint {
    pub fn tokens(self) -> u32 {
        self.0
    }
}

impl TryFrom<u64> for Hint {
    type Error = Error;

    fn try_from(tokens: u64) -> Result<Self, Self::Error> {
        match u32::try_from(tokens) {
            Ok(valid @ 1..=TOKENS_MAX) => Ok(Self(valid)),
            _ => Err(Error { tokens }),
        }
    }
}
