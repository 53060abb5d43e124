//! Errors of the declarative file.

use snafu::Snafu;

use crate::prelude::*;

/// Reason why a file is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    #[snafu(display("{}: could not read the file as JSON: {message}", Code::FileMalformed))]
    Malformed { message: Box<str> },
    #[snafu(display("{}: file has {} faults: {}", Code::FileInvalid, faults.len(), faults.join("; ")))]
    Invalid { faults: Vec<Box<str>> },
}

impl Error {
    pub fn code(&self) -> Code {
        match self {
            Self::Malformed { .. } => Code::FileMalformed,
            Self::Invalid { .. } => Code::FileInvalid,
        }
    }

    /// List of the faults, each with its JSON path.
    pub fn faults(&self) -> Vec<Box<str>> {
        match self {
            Self::Malformed { message } => vec![message.clone()],
            Self::Invalid { faults } => faults.clone(),
        }
    }
}
