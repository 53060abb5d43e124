//! Checks of the fields of the settings.

use std::{fs, net::SocketAddr, path::PathBuf};

use http::Uri;

use super::{Fault, Limits, Log, Timeouts, raw};
use crate::{core, prelude::*};

/// Checks fields and collects all faults, so that they are reported together.
#[derive(Default)]
pub struct Check {
    pub faults: Vec<Fault>,
}

impl Check {
    pub fn fault(&mut self, path: &str, text: impl Into<Box<str>>) {
        self.faults.push(Fault { path: path.into(), text: text.into() });
    }

    pub fn name(&mut self, path: &str, text: String) -> Box<str> {
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_".contains(c);
        if text.is_empty() || text.len() > 64 || !text.chars().all(plain) {
            self.fault(path, "must be 1 to 64 letters, digits, '-' or '_'");
        }
        text.into()
    }

    pub fn address(&mut self, path: &str, text: &str) -> SocketAddr {
        text.parse().unwrap_or_else(|_| {
            self.fault(path, "must be an IP address and port");
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    pub fn url(&mut self, path: &str, text: &str) -> Uri {
        let uri: Uri = text.parse().unwrap_or_default();
        if uri.scheme_str() != Some("http")
            || uri.authority().is_none_or(|it| it.port_u16().is_none())
        {
            self.fault(path, "must be an http URL with IP address and port");
        }
        uri
    }

    /// Reads a secret that is given either in place or as the path of a file.
    pub fn secret(&mut self, path: &str, text: Option<String>, file: Option<PathBuf>) -> Box<str> {
        let secret = match (text, file) {
            (Some(text), None) => text,
            (None, Some(file)) => match fs::read_to_string(&file) {
                Ok(text) => text.trim_end().to_owned(),
                Err(error) => {
                    self.fault(
                        &format!("{path}_file"),
                        format!("could not read the file: {error}"),
                    );
                    return "".into();
                }
            },
            _ => {
                self.fault(path, format!("exactly one of {path} and {path}_file is required"));
                return "".into();
            }
        };
        // The peer token is part of the hello frame of a link, which has at most 4,096 bytes.
        if secret.len() < 8 || secret.len() > 1024 {
            self.fault(path, "must have 8 to 1024 characters");
        }
        secret.into()
    }

    /// Returns the value or its default and checks its bounds.
    fn number(&mut self, path: &str, value: Option<u64>, default: u64, min: u64, max: u64) -> u64 {
        let value = value.unwrap_or(default);
        if value < min || value > max {
            self.fault(path, format!("must be {min} to {max}"));
        }
        value
    }

    /// Checks a duration in milliseconds; the maximum is one day.
    pub fn time(&mut self, path: &str, value: Option<u64>, default: Duration) -> Duration {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(self.number(path, value, default, 1, 86_400_000))
    }

    pub fn log(&mut self, raw: raw::Log) -> Log {
        let level = raw.level.as_deref().unwrap_or("info").parse().unwrap_or_else(|_| {
            self.fault("log.level", "must be off, error, warn, info, debug or trace");
            log::LevelFilter::Info
        });
        Log { level, file: raw.file }
    }

    pub fn limits(&mut self, raw: &raw::Limits) -> Limits {
        const MIB: u64 = 1024 * 1024;
        let default = Limits::default();
        let mut size = |path: &str, value, default: usize, min, max| {
            usize::try_from(self.number(path, value, default as u64, min, max))
                .unwrap_or(usize::MAX)
        };
        let max_body_bytes = size(
            "limits.max_body_bytes",
            raw.max_body_bytes,
            default.max_body_bytes,
            1024,
            64 * MIB,
        );
        let max_answer_bytes = size(
            "limits.max_answer_bytes",
            raw.max_answer_bytes,
            default.max_answer_bytes,
            1024,
            256 * MIB,
        );
        let max_bodies_bytes = size(
            "limits.max_bodies_bytes",
            raw.max_bodies_bytes,
            default.max_bodies_bytes,
            1024,
            4096 * MIB,
        );
        let max_connections = size(
            "limits.max_connections",
            raw.max_connections,
            default.max_connections,
            1,
            100_000,
        );
        let max_events =
            size("limits.max_events", raw.max_events, default.max_events, 16, 1_000_000);
        if max_bodies_bytes < max_body_bytes {
            self.fault("limits.max_bodies_bytes", "must not be below max_body_bytes");
        }
        Limits {
            max_body_bytes,
            max_bodies_bytes,
            max_answer_bytes,
            max_connections,
            max_events,
            header_timeout: self.time(
                "limits.header_timeout_ms",
                raw.header_timeout_ms,
                default.header_timeout,
            ),
            body_timeout: self.time(
                "limits.body_timeout_ms",
                raw.body_timeout_ms,
                default.body_timeout,
            ),
            write_timeout: self.time(
                "limits.write_timeout_ms",
                raw.write_timeout_ms,
                default.write_timeout,
            ),
            admin_timeout: self.time(
                "limits.admin_timeout_ms",
                raw.admin_timeout_ms,
                default.admin_timeout,
            ),
        }
    }

    pub fn timeouts(&mut self, raw: &raw::Timings) -> Timeouts {
        let default = Timeouts::default();
        Timeouts {
            connect: self.time(
                "timings.connect_timeout_ms",
                raw.connect_timeout_ms,
                default.connect,
            ),
            chunk: self.time("timings.chunk_timeout_ms", raw.chunk_timeout_ms, default.chunk),
            poll: self.time("timings.poll_timeout_ms", raw.poll_timeout_ms, default.poll),
            directory: self.time(
                "timings.directory_timeout_ms",
                raw.directory_timeout_ms,
                default.directory,
            ),
            flush: self.time("timings.flush_limit_ms", raw.flush_limit_ms, default.flush),
        }
    }

    pub fn core(&mut self, raw: &raw::Timings) -> core::Settings {
        let default = core::Settings::default();
        let settings = core::Settings {
            gossip_interval: self.time(
                "timings.gossip_interval_ms",
                raw.gossip_interval_ms,
                default.gossip_interval,
            ),
            zone_interval: self.time(
                "timings.zone_interval_ms",
                raw.zone_interval_ms,
                default.zone_interval,
            ),
            suspect_after: self.time(
                "timings.suspect_after_ms",
                raw.suspect_after_ms,
                default.suspect_after,
            ),
            dead_after: self.time("timings.dead_after_ms", raw.dead_after_ms, default.dead_after),
            poll_interval: self.time(
                "timings.poll_interval_ms",
                raw.poll_interval_ms,
                default.poll_interval,
            ),
            listing_interval: self.time(
                "timings.listing_interval_ms",
                raw.listing_interval_ms,
                default.listing_interval,
            ),
            config_wait: self.time(
                "timings.config_wait_ms",
                raw.config_wait_ms,
                default.config_wait,
            ),
            lease_ttl: self.time("timings.lease_ttl_ms", raw.lease_ttl_ms, default.lease_ttl),
            lease_margin: self.time(
                "timings.lease_margin_ms",
                raw.lease_margin_ms,
                default.lease_margin,
            ),
            store_timeout: self.time(
                "timings.store_timeout_ms",
                raw.store_timeout_ms,
                default.store_timeout,
            ),
            key_validity: self.time(
                "timings.key_validity_ms",
                raw.key_validity_ms,
                default.key_validity,
            ),
            key_retention: self.time(
                "timings.key_retention_ms",
                raw.key_retention_ms,
                default.key_retention,
            ),
            sample_timeout: self.time(
                "timings.sample_timeout_ms",
                raw.sample_timeout_ms,
                default.sample_timeout,
            ),
            bulk_call_timeout: self.time(
                "timings.bulk_call_timeout_ms",
                raw.bulk_call_timeout_ms,
                default.bulk_call_timeout,
            ),
            key_answer_bytes: usize::try_from(self.number(
                "timings.key_answer_bytes",
                raw.key_answer_bytes,
                default.key_answer_bytes as u64,
                0,
                1024 * 1024 * 1024,
            ))
            .unwrap_or(usize::MAX),
            drain_limit: self.time(
                "timings.drain_limit_ms",
                raw.drain_limit_ms,
                default.drain_limit,
            ),
            gossip_budget_bytes: u32::try_from(self.number(
                "timings.gossip_budget_bytes",
                raw.gossip_budget_bytes,
                default.gossip_budget_bytes.into(),
                1200,
                10_000_000,
            ))
            .unwrap_or(u32::MAX),
            key_limit: usize::try_from(self.number(
                "timings.key_limit",
                raw.key_limit,
                default.key_limit as u64,
                1,
                10_000_000,
            ))
            .unwrap_or(usize::MAX),
            ..default
        };
        if settings.dead_after <= settings.suspect_after {
            self.fault("timings.dead_after_ms", "must be above suspect_after_ms");
        }
        if settings.lease_margin >= settings.lease_ttl {
            self.fault("timings.lease_margin_ms", "must be below lease_ttl_ms");
        }
        settings
    }
}
