//! The failure cases. Each starts its own cluster, injects its faults and returns an error if a check fails.

mod config;
mod input;
mod once;
mod samples;
mod stop;
mod streams;
mod weights;

use crate::Result;

/// Set that a case belongs to. The short set runs with every change, `faultrun --short` leaves out the long one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Set {
    Short,
    Long,
}

/// Failure case with its name on the command line.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub name: &'static str,
    pub set: Set,
    pub run: fn() -> Result<()>,
}

const fn case(name: &'static str, set: Set, run: fn() -> Result<()>) -> Case {
    Case { name, set, run }
}

pub const CASES: [Case; 21] = [
    case("once_two_hosts", Set::Short, once::two_hosts),
    case("once_issuer_killed", Set::Short, once::issuer_killed),
    case("once_issuer_frozen", Set::Short, once::issuer_frozen),
    case("once_service_killed", Set::Short, once::service_killed),
    case("once_link_cut", Set::Short, once::link_cut),
    case("once_store_down", Set::Short, once::store_down),
    case("stream_engine_killed", Set::Short, streams::engine_killed),
    case("stream_engine_truncates", Set::Short, streams::engine_truncates),
    case("stream_engine_frozen", Set::Short, streams::engine_frozen),
    case("graceful_stop", Set::Short, stop::graceful_stop),
    case("config_race", Set::Short, config::race),
    case("config_lost_answer", Set::Short, config::lost_answer),
    case("config_store_down_after", Set::Short, config::store_down_after),
    case("config_restart_without_store", Set::Short, config::restart_without_store),
    case("config_rewind", Set::Short, config::rewind),
    case("samples_owner_killed", Set::Long, samples::owner_killed),
    case("samples_owner_frozen", Set::Long, samples::owner_frozen),
    case("weights_store_refuses", Set::Short, weights::store_refuses),
    case("weights_store_hangs", Set::Long, weights::store_hangs),
    case("weights_holder_frozen", Set::Long, weights::holder_frozen),
    case("bad_input", Set::Short, input::bad_input),
];
