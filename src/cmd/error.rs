//! Why a command failed, and the exit code that says so.

use std::{io, path::PathBuf};

use snafu::Snafu;

use crate::{code::Kind, prelude::*};

/// Failure of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    #[snafu(display("could not {what}: {code} {message}{}", list(details)))]
    Refused { what: Box<str>, code: Code, message: Box<str>, details: Vec<Box<str>> },
    #[snafu(display("could not {what}: no host can be reached ({})", hosts.join(", ")))]
    Unavailable { what: Box<str>, hosts: Vec<Box<str>> },
    #[snafu(display("could not {what}: outcome unknown, {hint}"))]
    Unknown { what: Box<str>, hint: Box<str> },
    #[snafu(display("could not take the file {}: {code} {}{}", path.display(), code.text(), list(faults)))]
    Invalid { path: PathBuf, code: Code, faults: Vec<Box<str>> },
    #[snafu(display("could not see revision {revision} on all hosts in time{}", list(lagging)))]
    Lagging { revision: Revision, lagging: Vec<Box<str>> },
    #[snafu(display("could not read {}: {source}", path.display()))]
    Read { path: PathBuf, source: io::Error },
    #[snafu(display("could not write {}: {source}", path.display()))]
    Write { path: PathBuf, source: io::Error },
    #[snafu(display("could not print the result: {source}"))]
    Print { source: io::Error },
    #[snafu(display("could not {what}: {message}"))]
    Answer { what: Box<str>, message: Box<str> },
    #[snafu(display("could not {what}: the service answered {status}"))]
    Status { what: Box<str>, status: u16 },
    #[snafu(display("could not use the address {address:?}"))]
    Address { address: Box<str> },
}

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Exit code of the process.
    pub fn exit(&self) -> u8 {
        match self {
            Self::Invalid { .. } => 3,
            Self::Refused { code, .. } => exit(*code),
            Self::Unavailable { .. } => 5,
            Self::Unknown { .. } => 6,
            Self::Address { .. } => 2,
            Self::Lagging { .. }
            | Self::Read { .. }
            | Self::Write { .. }
            | Self::Print { .. }
            | Self::Answer { .. }
            | Self::Status { .. } => 1,
        }
    }
}

fn exit(code: Code) -> u8 {
    match (code, code.kind()) {
        (Code::FileMalformed | Code::FileInvalid, _) => 3,
        (Code::RevisionConflict | Code::StoreBehind, _) => 4,
        (_, Kind::NotRun) => 5,
        (_, Kind::OutcomeUnknown) => 6,
        (_, Kind::Refused | Kind::Incomplete | Kind::Internal) => 1,
    }
}

/// Details one a line, or nothing.
fn list(lines: &[Box<str>]) -> String {
    lines.iter().map(|line| format!("\n  {line}")).collect()
}
