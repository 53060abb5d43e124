//! Metrics of the process, served in the Prometheus text format.

use std::sync::LazyLock;

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider as _},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::{build::BUILD, prelude::*};

/// Buckets of the latency histograms, which hold calls to the store of a few milliseconds and generations of seconds.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];

/// Metrics of this process.
pub static METERS: LazyLock<Meters> = LazyLock::new(Meters::new);

/// All metrics.
pub struct Meters {
    registry: Registry,
    // Dropping the provider would stop its instruments.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    request_seconds: Histogram<f64>,
    attempts: Counter<u64>,
    limited_requests: Counter<u64>,
    waiting_requests: Gauge<u64>,
    queue_refusals: Counter<u64>,
    streams: Counter<u64>,
    store_calls: Counter<u64>,
    store_seconds: Histogram<f64>,
    relays: Counter<u64>,
    peer_calls: Counter<u64>,
    feed_answers: Counter<u64>,
    runs: Counter<u64>,
    rows: Counter<u64>,
    loads: Counter<u64>,
    prompt_tokens: Counter<u64>,
    placements: Counter<u64>,
    leads: Gauge<u64>,
    targets: Gauge<u64>,
    config_version: Gauge<u64>,
    open_jobs: Gauge<u64>,
    isolated_jobs: Counter<u64>,
    idle_items: Gauge<u64>,
    cut_off: Gauge<u64>,
    tunnels: Counter<u64>,
    broken_connections: Counter<u64>,
    silent_targets: Counter<u64>,
    left_visits: Counter<u64>,
    target_ends: Counter<u64>,
    held_requests: Counter<u64>,
    held_contents: Gauge<u64>,
    refused_keys: Counter<u64>,
    cloud_calls: Counter<u64>,
    usage: Counter<u64>,
    duties: Gauge<u64>,
    scale_orders: Counter<u64>,
    scale_targets: Gauge<u64>,
    scale_slots: Gauge<u64>,
    resident_bytes: Gauge<u64>,
}

impl Meters {
    fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build();
        let provider = match exporter {
            Ok(exporter) => SdkMeterProvider::builder().with_reader(exporter).build(),
            Err(error) => {
                log::error!(reason:% = error; "could not export metrics");
                SdkMeterProvider::default()
            }
        };
        let meter = provider.meter("lagoonyard");
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let seconds = |name: &'static str, text: &'static str| {
            let bounds = LATENCY_BUCKETS_S.to_vec();
            meter.f64_histogram(name).with_description(text).with_boundaries(bounds).build()
        };
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        gauge("lagoonyard_build", "Build of this program; the value is 1")
            .record(1, &[KeyValue::new("build", &**BUILD)]);
        Self {
            requests: counter("lagoonyard_requests", "Answered requests by kind and outcome"),
            request_seconds: seconds("lagoonyard_request_seconds", "Time to an answer by kind"),
            attempts: counter("lagoonyard_attempts", "Attempts on targets by outcome"),
            limited_requests: counter(
                "lagoonyard_limited_requests",
                "Requests for targets that name a limit, by outcome",
            ),
            waiting_requests: gauge(
                "lagoonyard_waiting_requests",
                "Requests of workspaces that wait for a target with room, by service",
            ),
            queue_refusals: counter(
                "lagoonyard_queue_refusals",
                "Requests of workspaces that were refused for lack of room, by cause",
            ),
            streams: counter(
                "lagoonyard_streams",
                "Callers' streams by how they ended, and those that went on at another target",
            ),
            store_calls: counter("lagoonyard_store_calls", "Calls of the store by outcome"),
            store_seconds: seconds("lagoonyard_store_seconds", "Time of a store call"),
            relays: counter("lagoonyard_relayed_calls", "Calls through other hosts by outcome"),
            feed_answers: counter(
                "lagoonyard_feed_answers",
                "Answers of the zone's reader by outcome",
            ),
            peer_calls: counter("lagoonyard_peer_calls", "Requests to other hosts by outcome"),
            runs: counter("lagoonyard_item_runs", "Ended runs of job items by outcome"),
            rows: counter("lagoonyard_rows_kept", "Results written to the store"),
            loads: counter("lagoonyard_loads", "Orders to load a version by outcome"),
            prompt_tokens: counter(
                "lagoonyard_prompt_tokens",
                "Tokens of items' prompts sent to engines, by whether the engine was expected to hold them",
            ),
            placements: counter(
                "lagoonyard_prompt_placements",
                "Items with named prompts, by whether what engines hold changed the choice of the engine",
            ),
            leads: gauge("lagoonyard_leads", "Whether this host leads, by service"),
            targets: gauge("lagoonyard_targets", "Registered targets"),
            config_version: gauge("lagoonyard_config_version", "Version in force"),
            open_jobs: gauge("lagoonyard_open_jobs", "Open jobs of this leader"),
            isolated_jobs: counter(
                "lagoonyard_isolated_jobs",
                "Jobs that this host has set aside, as it panics on them",
            ),
            idle_items: gauge(
                "lagoonyard_idle_items",
                "Items that have been at no engine for 2 s or more, by reason",
            ),
            cut_off: gauge("lagoonyard_cut_off", "Whether this host reaches no target directly"),
            tunnels: counter(
                "lagoonyard_tunnels",
                "Connections to targets through other hosts, by role of this host and outcome",
            ),
            broken_connections: counter(
                "lagoonyard_broken_connections",
                "Connections that broke under a request, by whether the target had ended",
            ),
            silent_targets: counter(
                "lagoonyard_silent_targets",
                "Looks at targets that did not answer a request, by whether the target had ended",
            ),
            left_visits: counter(
                "lagoonyard_left_visits",
                "Requests that were at a target without an answer when they ended, by whether the target ended after that",
            ),
            target_ends: counter(
                "lagoonyard_target_ends",
                "Ends of targets under a request, by what they count against its content",
            ),
            held_requests: counter(
                "lagoonyard_held_requests",
                "Requests under whose content targets ended, refused or sent as a trial",
            ),
            held_contents: gauge(
                "lagoonyard_held_contents",
                "Contents that are kept from targets as targets ended under them",
            ),
            refused_keys: counter(
                "lagoonyard_refused_keys",
                "Calls refused by their API key, by reason",
            ),
            cloud_calls: counter(
                "lagoonyard_cloud_calls",
                "Calls of the platform's API by call and outcome",
            ),
            usage: counter(
                "lagoonyard_usage",
                "Requests of workspaces that were reported, or that could not be, by outcome",
            ),
            duties: gauge("lagoonyard_duties", "Whether this host holds a duty, by duty"),
            scale_orders: counter(
                "lagoonyard_scale_orders",
                "Orders for a number of targets by service, reason and outcome",
            ),
            scale_targets: gauge(
                "lagoonyard_scale_targets",
                "Targets of a scaled service by zone and kind, wanted and ready",
            ),
            scale_slots: gauge(
                "lagoonyard_scale_slots",
                "Slots of a scaled service that are ready, that open steps need and that recurring ones need",
            ),
            resident_bytes: gauge("lagoonyard_resident_bytes", "Resident memory"),
            registry,
            _provider: provider,
        }
    }

    /// Records a response to a caller.
    pub fn request(&self, kind: &'static str, outcome: &'static str, took: Duration) {
        let kind = KeyValue::new("kind", kind);
        self.request_seconds.record(took.as_secs_f64(), std::slice::from_ref(&kind));
        self.requests.add(1, &[kind, KeyValue::new("outcome", outcome)]);
    }

    /// Records the outcome of an attempt on a target.
    pub fn attempt(&self, outcome: &'static str) {
        self.attempts.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records how a caller's stream ended, or that it went on at another target.
    pub fn stream(&self, outcome: &'static str) {
        self.streams.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records whether a request was sent to a target that names a limit.
    pub fn limited_request(&self, outcome: &'static str) {
        self.limited_requests.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the number of requests that wait for a target of a service with room.
    pub fn waiting_requests(&self, service: &str, count: usize) {
        let service = KeyValue::new("service", service.to_owned());
        self.waiting_requests.record(count as u64, &[service]);
    }

    /// Records that a request was refused for lack of room.
    pub fn queue_refusal(&self, cause: &'static str) {
        self.queue_refusals.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Records the outcome of a call to the store.
    pub fn store_call(&self, call: &'static str, outcome: &'static str, took: Duration) {
        let call = KeyValue::new("call", call);
        self.store_seconds.record(took.as_secs_f64(), std::slice::from_ref(&call));
        self.store_calls.add(1, &[call, KeyValue::new("outcome", outcome)]);
    }

    /// Records the outcome of a call to the store through another host.
    pub fn relayed_call(&self, outcome: &'static str) {
        self.relays.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the outcome of a request to another host.
    pub fn peer_call(&self, outcome: &'static str) {
        self.peer_calls.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records an answer of the zone's reader.
    pub fn feed(&self, outcome: &'static str) {
        self.feed_answers.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the outcome of a run of a job item.
    pub fn run(&self, outcome: &'static str) {
        self.runs.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records results written to the store.
    pub fn rows_written(&self, count: usize) {
        self.rows.add(count as u64, &[]);
    }

    /// Records the outcome of an order to load a version of the weights.
    pub fn weight_load(&self, outcome: &'static str) {
        self.loads.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records an item's prompt that was sent to an engine, and whether the engine was chosen for what it holds.
    pub fn prompt(&self, tokens: u64, cached: u64, chosen_by_cache: bool) {
        if tokens == 0 {
            return;
        }
        let missing = tokens.saturating_sub(cached);
        self.prompt_tokens.add(cached, &[KeyValue::new("state", "cached")]);
        self.prompt_tokens.add(missing, &[KeyValue::new("state", "missing")]);
        let choice = if chosen_by_cache { "changed" } else { "unchanged" };
        self.placements.add(1, &[KeyValue::new("choice", choice)]);
    }

    /// Records whether this host is the leader of a service.
    pub fn leads(&self, service: &str, leads: bool) {
        self.leads.record(u64::from(leads), &[KeyValue::new("service", service.to_owned())]);
    }

    /// Records the number of targets and the version of the configuration in a published view.
    pub fn view(&self, targets: usize, config_version: u64) {
        self.targets.record(targets as u64, &[]);
        self.config_version.record(config_version, &[]);
    }

    /// Records the number of open jobs of a service that this host leads.
    pub fn open_jobs(&self, service: &str, count: usize) {
        self.open_jobs.record(count as u64, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts a job that is set aside.
    pub fn isolated_job(&self) {
        self.isolated_jobs.add(1, &[]);
    }

    /// Records the number of items that are at no engine for one reason.
    pub fn idle_items(&self, reason: &'static str, count: u64) {
        self.idle_items.record(count, &[KeyValue::new("reason", reason)]);
    }

    /// Records whether this host is cut off from all targets.
    pub fn cut_off(&self, cut_off: bool) {
        self.cut_off.record(u64::from(cut_off), &[]);
    }

    /// Records a connection to a target through another host, or for one.
    pub fn tunnel(&self, role: &'static str, outcome: &'static str) {
        self.tunnels.add(1, &[KeyValue::new("role", role), KeyValue::new("outcome", outcome)]);
    }

    /// Records a connection that broke under a request, with what was found of its target.
    pub fn broken_connection(&self, finding: &'static str) {
        self.broken_connections.add(1, &[KeyValue::new("finding", finding)]);
    }

    /// Records what was found of a target that did not answer a request for a time.
    pub fn silent_target(&self, finding: &'static str) {
        self.silent_targets.add(1, &[KeyValue::new("finding", finding)]);
    }

    /// Records what became of a target after a request had left it without an answer.
    pub fn left_visit(&self, finding: &'static str) {
        self.left_visits.add(1, &[KeyValue::new("finding", finding)]);
    }

    /// Records an end of a target under a request, with what it counts against its content.
    pub fn target_end(&self, effect: &'static str) {
        self.target_ends.add(1, &[KeyValue::new("effect", effect)]);
    }

    /// Records what became of a request whose content is held.
    pub fn held_request(&self, outcome: &'static str) {
        self.held_requests.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the number of contents that are held.
    pub fn held_contents(&self, count: usize) {
        self.held_contents.record(count as u64, &[]);
    }

    /// Records a call that was refused by its API key.
    pub fn refused_key(&self, reason: &'static str) {
        self.refused_keys.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Records the outcome of a call of the platform's API.
    pub fn cloud_call(&self, call: &'static str, outcome: &'static str) {
        self.cloud_calls.add(1, &[KeyValue::new("call", call), KeyValue::new("outcome", outcome)]);
    }

    /// Records requests of workspaces by what became of their report.
    pub fn usage(&self, outcome: &'static str, requests: u64) {
        self.usage.add(requests, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records whether this host holds a duty at the platform.
    pub fn holds_duty(&self, duty: &'static str, holds: bool) {
        self.duties.record(u64::from(holds), &[KeyValue::new("duty", duty)]);
    }

    /// Records the outcome of an order for a number of targets.
    pub fn scale_order(&self, service: &str, reason: &'static str, outcome: &'static str) {
        let service = KeyValue::new("service", service.to_owned());
        let (reason, outcome) =
            (KeyValue::new("reason", reason), KeyValue::new("outcome", outcome));
        self.scale_orders.add(1, &[service, reason, outcome]);
    }

    /// Records how many targets of a zone and kind are wanted or ready.
    pub fn scale_targets(
        &self,
        service: &str,
        (zone, kind): (&str, &'static str),
        state: &'static str,
        count: u32,
    ) {
        let service = KeyValue::new("service", service.to_owned());
        let (zone, kind) = (KeyValue::new("zone", zone.to_owned()), KeyValue::new("kind", kind));
        let state = KeyValue::new("state", state);
        self.scale_targets.record(count.into(), &[service, zone, kind, state]);
    }

    /// Records slots that a scaled service has or needs.
    pub fn scale_slots(&self, service: &str, basis: &'static str, slots: f64) {
        let service = KeyValue::new("service", service.to_owned());
        self.scale_slots.record(slots.ceil() as u64, &[service, KeyValue::new("basis", basis)]);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        if let Some(bytes) = resident_bytes() {
            self.resident_bytes.record(bytes, &[]);
        }
        match TextEncoder::new().encode_to_string(&self.registry.gather()) {
            Ok(text) => text,
            Err(error) => {
                log::warn!(reason:% = error; "could not encode metrics");
                String::new()
            }
        }
    }
}

/// Resident memory of the process, assuming pages of 4 KiB; `None` if it cannot be read.
fn resident_bytes() -> Option<u64> {
    const PAGE_BYTES: u64 = 4096;
    let statm = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}
