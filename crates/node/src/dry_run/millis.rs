//! Durations as milliseconds with decimals.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::prelude::*;

const MILLIS_PER_SECOND: f64 = 1e3;

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * MILLIS_PER_SECOND
}

fn duration(millis: f64) -> Duration {
    Duration::try_from_secs_f64(millis / MILLIS_PER_SECOND).unwrap_or(Duration::MAX)
}

pub fn serialize<S: Serializer>(time: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    millis(*time).serialize(serializer)
}

pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    f64::deserialize(deserializer).map(duration)
}

/// The same for times that may be missing.
pub mod option {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use crate::prelude::*;

    pub fn serialize<S: Serializer>(
        time: &Option<Duration>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        time.map(super::millis).serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Duration>, D::Error> {
        Ok(Option::<f64>::deserialize(deserializer)?.map(super::duration))
    }
}
