//! The metrics of a host, recorded with OpenTelemetry and served on a scrape endpoint.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

const LATENCY_BOUNDS_MS: [f64; 12] =
    [1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 92.0, 150.0, 300.0, 600.0, 1_500.0, 5_000.0];

/// The metric instruments of one host.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    latency: Histogram<f64>,
    shards_missing: Counter<u64>,
    attempts: Counter<u64>,
    cold_turns: Counter<u64>,
    pauses: Counter<u64>,
    config_versions: Counter<u64>,
    seat_changes: Counter<u64>,
    epoch_changes: Counter<u64>,
    plan_series: Counter<u64>,
    rate_limit_changes: Counter<u64>,
    rate_limited: Counter<u64>,
    rate_limited_servers: Gauge<u64>,
    cold_limited: Counter<u64>,
    knows_fleet: Gauge<u64>,
    quarantines: Counter<u64>,
    quarantined_requests: Gauge<u64>,
    cut_offs: Counter<u64>,
    reads_platform: Gauge<u64>,
    source_failures: Counter<u64>,
    forwarded: Counter<u64>,
    clients_turned_away: Counter<u64>,
    client_memory: Gauge<u64>,
    client_connections: Gauge<u64>,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry has no conflicting collector");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("quetzalpoint");
        Self {
            requests: meter
                .u64_counter("requests")
                .with_description("Requests of callers by service and outcome")
                .build(),
            latency: meter
                .f64_histogram("request_latency_ms")
                .with_description("Time from admission to answer in milliseconds")
                .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
                .build(),
            shards_missing: meter
                .u64_counter("shards_missing")
                .with_description("Shards that answers do not cover, by service")
                .build(),
            attempts: meter
                .u64_counter("attempts")
                .with_description("Attempts at shards by kind: first, retry or hedge")
                .build(),
            cold_turns: meter
                .u64_counter("cold_turns")
                .with_description("Times that a backend server was found cold")
                .build(),
            pauses: meter
                .u64_counter("pauses")
                .with_description("Times that this process did not run for a while")
                .build(),
            config_versions: meter
                .u64_counter("config_versions")
                .with_description("Configuration versions adopted")
                .build(),
            seat_changes: meter
                .u64_counter("seat_changes")
                .with_description("Seats taken or given up")
                .build(),
            epoch_changes: meter
                .u64_counter("platform_epoch_changes")
                .with_description("Times that the platform was restored from an older state")
                .build(),
            plan_series: meter
                .u64_counter("plan_series_started")
                .with_description("Times that a lower plan version was adopted, as the platform has lost the higher one")
                .build(),
            rate_limit_changes: meter
                .u64_counter("rate_limit_changes")
                .with_description("Times that a backend server's rate limit changed")
                .build(),
            rate_limited: meter
                .u64_counter("rate_limited")
                .with_description("Times that a server was not used because of its rate limit, by service")
                .build(),
            rate_limited_servers: meter
                .u64_gauge("rate_limited_servers")
                .with_description("Backend servers with a rate limit in force")
                .build(),
            cold_limited: meter
                .u64_counter("cold_limited")
                .with_description("Times that a server was not used because it is cold, by service")
                .build(),
            knows_fleet: meter
                .u64_gauge("knows_fleet")
                .with_description("1 if this host knows which other hosts are up, 0 otherwise")
                .build(),
            quarantines: meter
                .u64_counter("quarantines")
                .with_description("Times that a request was quarantined because servers crash that run it")
                .build(),
            quarantined_requests: meter
                .u64_gauge("quarantined_requests")
                .with_description("Requests in quarantine, by their content")
                .build(),
            cut_offs: meter
                .u64_counter("cut_offs")
                .with_description("Times that this host lost its paths to all backend servers")
                .build(),
            reads_platform: meter
                .u64_gauge("reads_platform")
                .with_description("1 while this host reads the platform, else 0")
                .build(),
            source_failures: meter
                .u64_counter("platform_failed_calls")
                .with_description("Calls to the platform that failed")
                .build(),
            forwarded: meter
                .u64_counter("forwarded")
                .with_description("Requests forwarded to other hosts, by outcome")
                .build(),
            clients_turned_away: meter
                .u64_counter("clients_turned_away")
                .with_description("Clients that were refused or closed, by kind of client and cause")
                .build(),
            client_memory: meter
                .u64_gauge("client_memory_bytes")
                .with_description("Memory that clients hold, by what for: request or reply")
                .build(),
            client_connections: meter
                .u64_gauge("client_connections")
                .with_description("Connections of clients, by kind of client")
                .build(),
            registry,
            _provider: provider,
        }
    }

    pub(crate) fn request(&self, service: &str, outcome: &'static str, took_ms: f64) {
        let labels =
            [KeyValue::new("service", service.to_owned()), KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
        self.latency.record(took_ms, &labels[..1]);
    }

    pub(crate) fn missing(&self, service: &str, count: u64) {
        self.shards_missing.add(count, &[KeyValue::new("service", service.to_owned())]);
    }

    pub(crate) fn attempts(&self, kind: &'static str, count: u64) {
        self.attempts.add(count, &[KeyValue::new("kind", kind)]);
    }

    pub(crate) fn on_server_cold(&self) {
        self.cold_turns.add(1, &[]);
    }

    pub(crate) fn pause(&self) {
        self.pauses.add(1, &[]);
    }

    pub(crate) fn config_version(&self) {
        self.config_versions.add(1, &[]);
    }

    pub(crate) fn seat_change(&self) {
        self.seat_changes.add(1, &[]);
    }

    pub(crate) fn epoch_change(&self) {
        self.epoch_changes.add(1, &[]);
    }

    pub(crate) fn plan_series_started(&self) {
        self.plan_series.add(1, &[]);
    }

    pub(crate) fn rate_limit_change(&self) {
        self.rate_limit_changes.add(1, &[]);
    }

    pub(crate) fn rate_limited(&self, service: &str) {
        self.rate_limited.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    pub(crate) fn rate_limited_servers(&self, count: u64) {
        self.rate_limited_servers.record(count, &[]);
    }

    pub(crate) fn cold_limited(&self, service: &str) {
        self.cold_limited.add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    pub(crate) fn knows_fleet(&self, known: bool) {
        self.knows_fleet.record(known.into(), &[]);
    }

    pub(crate) fn quarantine(&self) {
        self.quarantines.add(1, &[]);
    }

    pub(crate) fn quarantined_requests(&self, count: u64) {
        self.quarantined_requests.record(count, &[]);
    }

    pub(crate) fn cut_off(&self) {
        self.cut_offs.add(1, &[]);
    }

    pub(crate) fn reads_platform(&self, reads: bool) {
        self.reads_platform.record(reads.into(), &[]);
    }

    pub(crate) fn source_failure(&self) {
        self.source_failures.add(1, &[]);
    }

    pub(crate) fn forwarded(&self, outcome: &'static str) {
        self.forwarded.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub(crate) fn client_turned_away(&self, client: &'static str, cause: &'static str) {
        let labels = [KeyValue::new("client", client), KeyValue::new("cause", cause)];
        self.clients_turned_away.add(1, &labels);
    }

    pub(crate) fn client_memory(&self, of: &'static str, bytes: u64) {
        self.client_memory.record(bytes, &[KeyValue::new("of", of)]);
    }

    pub(crate) fn client_connections(&self, client: &'static str, count: u64) {
        self.client_connections.record(count, &[KeyValue::new("client", client)]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
