//! Bounds of the connections of callers.

use crate::{prelude::*, traffic::serve::Traffic};

/// Largest number of open connections at the entry address.
const CONNECTIONS_MAX: usize = 2000;
/// The same while no configuration is known, as each connection may then read the largest head of any configuration.
const UNCONFIGURED_CONNECTIONS_MAX: usize = 1000;
/// Room for a request line beside the headers that the configuration allows.
const REQUEST_LINE_BYTES: usize = 8 << 10;
/// Bounds of what a caller's connection reads ahead.
const BUFFER_BYTES_MIN: usize = 16 << 10;
const BUFFER_BYTES_MAX: usize = 64 << 10;
/// Idle timeout of callers' connections before a configuration has been read.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(15);

impl Traffic {
    /// Largest number of open connections at the entry address.
    pub(super) fn connections_max(&self) -> usize {
        let is_configured = self.view.load().config.is_some();
        if is_configured { CONNECTIONS_MAX } else { UNCONFIGURED_CONNECTIONS_MAX }
    }

    /// Largest number of bytes that a caller's connection reads ahead, which holds the largest head that a caller may send.
    pub(super) fn buffer_bytes(&self) -> usize {
        let view = self.view.load();
        // The configuration may allow as much.
        let head_bytes =
            view.config.as_ref().map_or(BUFFER_BYTES_MAX, |config| config.limits.header_bytes);
        head_bytes.saturating_add(REQUEST_LINE_BYTES).clamp(BUFFER_BYTES_MIN, BUFFER_BYTES_MAX)
    }

    /// Longest time for which a caller may send nothing, or take nothing of what is sent to it.
    pub fn idle_timeout(&self) -> Duration {
        let view = self.view.load();
        view.config.as_ref().map_or(IDLE_TIMEOUT_DEFAULT, |config| config.limits.idle_timeout)
    }
}
