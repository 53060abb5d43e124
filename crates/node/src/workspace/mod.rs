//! Workspaces: the tenants to which callers' API keys belong.
//!
//! The load pattern: every call carries a key, so the look-up is on the path of every request and must not depend on the
//! number of keys. Keys are known by their digests only. A [`Directory`] finds the workspace of a key, and [`admit`]
//! decides by it and by the age of the configuration whether a call is served. Nothing here does input or output.

mod admission;
mod age;
mod directory;
mod key;

pub use admission::{Caller, Refusal, admit, is_visible};
pub use age::{Bounds, Knowledge, Upkeep};
pub use directory::{Ambiguity, Directory, Entry, Workspace};
pub use key::{ApiKey, Credential, MalformedKey};
