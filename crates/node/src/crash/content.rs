//! Identity of what a target is asked to do.

use std::{fmt, num::ParseIntError, str::FromStr};

use xxhash_rust::xxh3::Xxh3;

/// XXH3-128 of method, host, path with query, and body of a request. Ids and other headers do not count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Content(u128);

impl Content {
    pub fn new(method: &str, host: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in [method.as_bytes(), host.as_bytes(), path.as_bytes(), body] {
            // With the lengths, no two lists of parts have the same bytes.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest128())
    }

    /// Bytes in messages, in big-endian order.
    pub fn to_bytes(self) -> [u8; 16] {
        self.0.to_be_bytes()
    }
}

impl TryFrom<&[u8]> for Content {
    type Error = std::array::TryFromSliceError;

    fn try_from(bytes: &[u8]) -> Result<Self, Self::Error> {
        bytes.try_into().map(|bytes| Self(u128::from_be_bytes(bytes)))
    }
}

impl FromStr for Content {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl fmt::Display for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
