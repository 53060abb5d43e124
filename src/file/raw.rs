//! Raw form of the declarative file, as serde reads it.
