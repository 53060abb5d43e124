//! API keys, which are kept as digests.

use std::fmt;

use ring::digest::{SHA256, SHA256_OUTPUT_LEN, digest};
use snafu::Snafu;

/// SHA-256 of an API key. Neither its `Debug` output nor any error tells the key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct ApiKey([u8; SHA256_OUTPUT_LEN]);

/// Text that is no API key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "could not read an API key: it is empty or has other characters than visible ASCII ones"
))]
pub struct MalformedKey;

impl TryFrom<&[u8]> for ApiKey {
    type Error = MalformedKey;

    fn try_from(text: &[u8]) -> Result<Self, Self::Error> {
        if text.is_empty() || !text.iter().all(u8::is_ascii_graphic) {
            return Err(MalformedKey);
        }
        let mut bytes = [0; SHA256_OUTPUT_LEN];
        bytes.copy_from_slice(digest(&SHA256, text).as_ref());
        Ok(Self(bytes))
    }
}

impl ApiKey {
    /// Digest of the key.
    pub fn digest(&self) -> &[u8] {
        &self.0
    }

    /// Key with a digest; `None` if the bytes are none.
    pub fn of_digest(digest: &[u8]) -> Option<Self> {
        digest.try_into().ok().map(Self)
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey")
    }
}

/// What a call brings to show its workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// No header with a key.
    #[default]
    Missing,
    /// The header is there more than once.
    Duplicated,
    /// The header's value is no API key.
    Malformed,
    /// A key, which may be unknown.
    Key(ApiKey),
}
