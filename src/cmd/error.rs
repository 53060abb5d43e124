//! Errors of the commands and their exit codes.

use std::{io, path::PathBuf};

use snafu::Snafu;

use crate::{code::Kind, prelude::*};

/// Error of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    #[snafu(display("could not {action}: {code} {message}{}", list(details)))]
    Refused { action: Box<str>, code: Code, message: Box<str>, details: Vec<Box<str>> },
    #[snafu(display("could not {action}: unreachable hosts: {}", hosts.join(", ")))]
    Unavailable { action: Box<str>, hosts: Vec<Box<str>> },
    #[snafu(display("could not {action}: outcome unknown, {hint}"))]
    OutcomeUnknown { action: Box<str>, hint: Box<str> },
    #[snafu(display("could not accept the file {}: {code} {}{}", path.display(), code.text(), list(faults)))]
    Invalid { path: PathBuf, code: Code, faults: Vec<Box<str>> },
    #[snafu(display(
        "could not confirm revision {revision} on all hosts in time{}",
        list(lagging)
    ))]
    Lagging { revision: Revision, lagging: Vec<Box<str>> },
    #[snafu(display("could not read {}: {source}", path.display()))]
    Read { path: PathBuf, source: io::Error },
    #[snafu(display("could not write {}: {source}", path.display()))]
    Write { path: PathBuf, source: io::Error },
    #[snafu(display("could not print the result: {source}"))]
    Print { source: io::Error },
    #[snafu(display("could not {action}: {message}"))]
    InvalidAnswer { action: Box<str>, message: Box<str> },
    #[snafu(display("could not {action}: the service returned status {status}"))]
    Status { action: Box<str>, status: u16 },
    #[snafu(display("could not use the address {address:?}"))]
    Address { address: Box<str> },
}

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Invalid { .. } => 3,
            Self::Refused { code, .. } => exit_code(*code),
            Self::Unavailable { .. } => 5,
            Self::OutcomeUnknown { .. } => 6,
            Self::Address { .. } => 2,
            Self::Lagging { .. }
            | Self::Read { .. }
            | Self::Write { .. }
            | Self::Print { .. }
            | Self::InvalidAnswer { .. }
            | Self::Status { .. } => 1,
        }
    }
}

fn exit_code(code: Code) -> u8 {
    match (code, code.kind()) {
        (Code::FileMalformed | Code::FileInvalid, _) => 3,
        (Code::RevisionConflict | Code::StoreBehind, _) => 4,
        (_, Kind::NotRun) => 5,
        (_, Kind::OutcomeUnknown) => 6,
        (_, Kind::Refused | Kind::Incomplete | Kind::Internal) => 1,
    }
}

/// Formats details as indented lines.
fn list(lines: &[Box<str>]) -> String {
    lines.iter().map(|line| format!("\n  {line}")).collect()
}
