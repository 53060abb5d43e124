//! Metrics of one host, exported in the Prometheus text format.

use std::collections::BTreeMap;

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider as _},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use serde_json::Value;

use crate::{
    code::Kind,
    core::{World, burn, target},
    prelude::*,
};

/// Bucket bounds of the latency histogram in seconds. Refusals take less than 1 ms, generations up to minutes.
const LATENCY_BOUNDS_S: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0, 30.0, 120.0];

/// Bucket bounds of the tick histogram in seconds. A tick above 1 ms delays every decision.
const TICK_BOUNDS_S: [f64; 8] =
    [0.000_01, 0.000_05, 0.000_1, 0.000_25, 0.000_5, 0.001, 0.005, 0.05];

/// Instruments of one host.
pub struct Metrics {
    registry: Registry,
    // Dropping the provider stops its instruments.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    latency: Histogram<f64>,
    tick: Histogram<f64>,
    peer_bytes: Counter<u64>,
    in_flight: Gauge<u64>,
    queued: Gauge<u64>,
    events: Gauge<u64>,
    revision: Gauge<u64>,
    hosts: Gauge<u64>,
    targets: Gauge<u64>,
    samples: Counter<u64>,
    burn: Gauge<f64>,
    idle: Gauge<f64>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    pub fn new() -> Self {
        let registry = Registry::new();
        let builder = SdkMeterProvider::builder();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build();
        let provider = match exporter {
            Ok(exporter) => builder.with_reader(exporter).build(),
            Err(error) => {
                log::error!("could not export metrics: {error}");
                builder.build()
            }
        };
        let meter = provider.meter("lagoonyard");
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        Self {
            requests: meter
                .u64_counter("lagoonyard_requests")
                .with_description("Answered requests by route, code and kind")
                .build(),
            latency: meter
                .f64_histogram("lagoonyard_latency_seconds")
                .with_boundaries(LATENCY_BOUNDS_S.to_vec())
                .with_description("Time from a request's head to the end of its answer, by route")
                .build(),
            tick: meter
                .f64_histogram("lagoonyard_tick_seconds")
                .with_boundaries(TICK_BOUNDS_S.to_vec())
                .with_description("Time of one tick of the control core")
                .build(),
            peer_bytes: meter
                .u64_counter("lagoonyard_peer_bytes")
                .with_description("Bytes sent to peers")
                .build(),
            samples: meter
                .u64_counter("lagoonyard_samples")
                .with_description("Samples delivered by trainer")
                .build(),
            burn: meter
                .f64_gauge("lagoonyard_burn")
                .with_description(
                    "Speed at which the error budget is used, by yard, objective and window",
                )
                .build(),
            idle: meter
                .f64_gauge("lagoonyard_trainer_idle_share")
                .with_description(
                    "Share of its time that a trainer waited for batches of this host",
                )
                .build(),
            in_flight: gauge("lagoonyard_in_flight", "Attempts running on targets"),
            queued: gauge("lagoonyard_queued", "Requests without a running attempt"),
            events: gauge("lagoonyard_events_waiting", "Events that wait for the control thread"),
            revision: gauge("lagoonyard_revision", "Revision of the configuration in force"),
            hosts: gauge("lagoonyard_hosts", "Live hosts of the zone"),
            targets: gauge("lagoonyard_targets", "Targets by state"),
            registry,
            _provider: provider,
        }
    }

    /// Counts a request and records its latency; `code` is `None` if it succeeded.
    pub fn record_request(&self, route: &'static str, code: Option<Code>, took: Duration) {
        let (number, kind) = match code {
            Some(code) => (code.to_string(), kind_label(code.kind())),
            None => ("ok".into(), "done"),
        };
        let route = KeyValue::new("route", route);
        self.latency.record(took.as_secs_f64(), std::slice::from_ref(&route));
        self.requests.add(1, &[route, KeyValue::new("code", number), KeyValue::new("kind", kind)]);
    }

    pub fn record_samples(&self, trainer: &TrainerId, samples: usize) {
        let trainer = KeyValue::new("trainer", trainer.to_string());
        self.samples.add(samples as u64, &[trainer]);
    }

    pub fn record_peer_bytes(&self, bytes: usize) {
        self.peer_bytes.add(bytes as u64, &[]);
    }

    pub fn record_tick(&self, took: Duration) {
        self.tick.record(took.as_secs_f64(), &[]);
    }

    /// Records gauges of the core's tables.
    pub fn observe(&self, world: &World, events_waiting: usize) {
        let in_flight = world.requests.rows.values().filter(|row| row.attempt.is_some()).count();
        let queued = world.requests.rows.len() - in_flight;
        self.in_flight.record(in_flight as u64, &[]);
        self.queued.record(queued as u64, &[]);
        self.events.record(events_waiting as u64, &[]);
        self.revision.record(world.config.revision, &[]);
        self.hosts.record(world.hosts.live_hosts(&world.hosts.zone).len() as u64, &[]);
        let mut states =
            BTreeMap::from([("new", 0), ("live", 0), ("quarantined", 0), ("leaving", 0)]);
        for row in world.targets.rows.values() {
            *states.entry(state_label(row.state)).or_default() += 1;
        }
        for (state, count) in states {
            self.targets.record(count, &[KeyValue::new("state", state)]);
        }
    }

    /// Records the service-level report, which is more expensive to compute than `observe`.
    pub fn observe_burn(&self, world: &World) {
        let report = burn::report(world);
        let entries = |value: &Value| value.as_object().cloned().unwrap_or_default();
        for (yard, objectives) in entries(&report["yards"]) {
            for (objective, content) in entries(&objectives) {
                for (window, counts) in entries(&content["windows"]) {
                    let labels = [
                        KeyValue::new("yard", yard.clone()),
                        KeyValue::new("objective", objective.clone()),
                        KeyValue::new("window", window),
                    ];
                    self.burn.record(counts["burn"].as_f64().unwrap_or_default(), &labels);
                }
            }
        }
        for (trainer, totals) in entries(&report["trainers"]) {
            let share = totals["idle_share"].as_f64().unwrap_or_default();
            self.idle.record(share, &[KeyValue::new("trainer", trainer)]);
        }
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_else(|error| {
            log::error!("could not encode metrics: {error}");
            String::new()
        })
    }
}

fn kind_label(kind: Kind) -> &'static str {
    match kind {
        Kind::NotRun => "not_run",
        Kind::OutcomeUnknown => "outcome_unknown",
        Kind::Refused => "refused",
        Kind::Incomplete => "incomplete",
        Kind::Internal => "internal",
    }
}

fn state_label(state: target::State) -> &'static str {
    match state {
        target::State::Unknown => "new",
        target::State::Live => "live",
        target::State::Quarantined => "quarantined",
        target::State::Leaving => "leaving",
    }
}
