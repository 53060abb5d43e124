//! Errors that end the process of a stand-in.

use std::{io, net::SocketAddr};

use snafu::Snafu;

#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    #[snafu(display("could not listen on {address}: {source}"))]
    Listen { address: SocketAddr, source: io::Error },
    #[snafu(display("could not install the signal handlers: {source}"))]
    Signal { source: io::Error },
    #[snafu(display("could not print the listening address: {source}"))]
    Print { source: io::Error },
    #[snafu(display("could not control the stand-in at {url}: {message}"))]
    Control { url: Box<str>, message: Box<str> },
}

pub type Result<T> = std::result::Result<T, Error>;
