use snafu::Snafu;

/// Reason why a stream cannot be continued.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    #[snafu(display("could not read an event: {reason}"))]
    Malformed { reason: &'static str },
    #[snafu(display("could not append event {found} after event {last}"))]
    Gap { last: u64, found: u64 },
}
