//! Errors that end a stand-in.

use std::{io, net::SocketAddr};

use snafu::Snafu;

/// Why a stand-in could not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    #[snafu(display("could not listen on {address}: {source}"))]
    Listen { address: SocketAddr, source: io::Error },
    #[snafu(display("could not wait for signals: {source}"))]
    Signal { source: io::Error },
    #[snafu(display("could not print the address: {source}"))]
    Print { source: io::Error },
    #[snafu(display("could not control the stand-in at {url}: {message}"))]
    Control { url: Box<str>, message: Box<str> },
}

/// Result of running a stand-in.
pub type Result<T> = std::result::Result<T, Error>;
