//! The statistics of a run and their printed table.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::caller_log::{CallerLog, SentRequest};
use super::invariants::Violations;
use crate::clock::{micros, millis};
use crate::derive::data;
use crate::ids::ServiceId;
use crate::standin::run_counts::Totals;
use crate::version::config::Kind;

const MAX_LATENCY_US: u64 = 120_000_000;
const PERMILLE: u64 = 1_000;

data! {
    /// The statistics of one service.
    #[derive(Default)]
    pub struct ServiceStats {
        /// Requests sent; each resend counts.
        pub sent: u64,
        /// Replies with the outcome `answered`, with full or partial coverage.
        pub answered: u64,
        /// Replies with the outcome `not_run`.
        pub refused: u64,
        /// Replies with the outcome `unknown`.
        pub unknown: u64,
        /// Requests without a reply.
        pub lost: u64,
        /// Replies with a coverage that arrived after the deadline.
        pub late: u64,
        /// Median latency of replies with a coverage, in microseconds.
        pub p50_us: u64,
        /// 99th percentile of this latency, in microseconds.
        pub p99_us: u64,
        /// 99.9th percentile of this latency, in microseconds.
        pub p999_us: u64,
        /// Mean share of shards covered, in millionths; a request without an answer counts as zero.
        pub coverage_ppm: u64,
        /// Lowest share of shards covered by an answer, in thousandths.
        pub worst_coverage_permille: u64,
        /// Answers with partial coverage.
        pub partial: u64,
    }

    /// The statistics of a whole run.
    pub struct Report {
        /// The name of the deployment.
        pub deployment: String,
        /// The names of the scenarios, joined by `+`.
        pub scenario: String,
        /// The name of the policy.
        pub policy: String,
        /// The seed.
        pub seed: u64,
        /// How long the load lasted, in seconds.
        pub seconds: u64,
        /// The statistics by service.
        pub services: BTreeMap<ServiceId, ServiceStats>,
        /// Runs at servers beyond one per answered shard, in thousandths of the answered shards.
        pub extra_load_permille: i64,
        /// Runs beyond the first of a shard of a request, in thousandths of the answered shards.
        pub repeats_permille: u64,
        /// Requests that servers refused as overloaded.
        pub sheds: u64,
        /// Connections that exceeded a server's limit.
        pub connection_overloads: u64,
        /// Longest time until a configuration was in force at all hosts, in milliseconds.
        pub slowest_in_force_ms: u64,
        /// Violated invariants.
        pub violations: Violations,
    }
}

/// Parameters of the run that a report is about.
#[derive(Debug, Clone)]
pub struct RunParameters {
    /// The name of the deployment.
    pub deployment: String,
    /// The names of the scenarios, joined by `+`.
    pub scenario: String,
    /// The name of the policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// How long the load lasted.
    pub duration: Duration,
}

impl Report {
    /// Computes the statistics of a run.
    pub fn new(
        parameters: RunParameters,
        log: &CallerLog,
        totals: Totals,
        slowest_in_force: Duration,
        violations: Violations,
    ) -> Self {
        let mut by_service: BTreeMap<ServiceId, Vec<&SentRequest>> = BTreeMap::new();
        for sent in &log.requests {
            by_service.entry(sent.service.clone()).or_default().push(sent);
        }
        let answered: u64 = log.requests.iter().map(shards_answered).sum();
        let repeats = (totals.repeats * PERMILLE).checked_div(answered).unwrap_or(0);
        let runs_permille =
            (totals.runs * PERMILLE).checked_div(answered).unwrap_or(0).cast_signed();
        Self {
            deployment: parameters.deployment,
            scenario: parameters.scenario,
            policy: parameters.policy,
            seed: parameters.seed,
            seconds: parameters.duration.as_secs(),
            services: by_service
                .iter()
                .map(|(id, requests)| (id.clone(), service_stats(requests)))
                .collect(),
            extra_load_permille: runs_permille - PERMILLE.cast_signed(),
            repeats_permille: repeats,
            sheds: totals.sheds,
            connection_overloads: totals.connection_overloads,
            slowest_in_force_ms: millis(slowest_in_force),
            violations,
        }
    }
}

fn shards_answered(sent: &SentRequest) -> u64 {
    let reply = sent.result.as_ref().ok();
    reply.and_then(|r| r.coverage.as_ref()).map_or(0, |coverage| u64::from(coverage.answered))
}

fn service_stats(requests: &[&SentRequest]) -> ServiceStats {
    let mut stats = ServiceStats {
        sent: requests.len() as u64,
        worst_coverage_permille: PERMILLE,
        ..ServiceStats::default()
    };
    let mut latency: Histogram<u32> =
        Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid");
    let mut covered_ppm = 0;
    for sent in requests {
        let Ok(reply) = &sent.result else {
            stats.lost += 1;
            continue;
        };
        match reply.outcome.as_str() {
            "answered" => stats.answered += 1,
            "not_run" => stats.refused += 1,
            _ => stats.unknown += 1,
        }
        let Some(coverage) = &reply.coverage else {
            continue;
        };
        latency.saturating_record(micros(sent.took).max(1));
        stats.late += u64::from(sent.took > sent.deadline);
        stats.partial += u64::from(coverage.answered < coverage.shards);
        covered_ppm += u64::from(coverage.answered) * 1_000_000 / u64::from(coverage.shards.max(1));
        let permille = u64::from(coverage.permille());
        stats.worst_coverage_permille = stats.worst_coverage_permille.min(permille);
    }
    if requests.first().is_some_and(|s| s.kind == Kind::Submit) {
        // Callers resend non-idempotent requests, so a send without an answer doesn't lower the
        // worst coverage; an answer always covers the one shard.
        stats.worst_coverage_permille = PERMILLE;
    }
    stats.p50_us = latency.value_at_quantile(0.5);
    stats.p99_us = latency.value_at_quantile(0.99);
    stats.p999_us = latency.value_at_quantile(0.999);
    stats.coverage_ppm = covered_ppm / stats.sent.max(1);
    stats
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} / {} / policy {} / seed {} / {} s",
            self.deployment, self.scenario, self.policy, self.seed, self.seconds
        )?;
        writeln!(
            f,
            "{:<16} {:>6} {:>8} {:>7} {:>7} {:>5} {:>5} {:>8} {:>8} {:>8} {:>9} {:>6}",
            "service",
            "sent",
            "answered",
            "refused",
            "unknown",
            "lost",
            "late",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "coverage",
            "worst"
        )?;
        for (id, s) in &self.services {
            writeln!(
                f,
                "{:<16} {:>6} {:>8} {:>7} {:>7} {:>5} {:>5} {:>8} {:>8} {:>8} {:>8}% {:>5}%",
                id,
                s.sent,
                s.answered,
                s.refused,
                s.unknown,
                s.lost,
                s.late,
                tenths(s.p50_us, 1_000),
                tenths(s.p99_us, 1_000),
                tenths(s.p999_us, 1_000),
                hundredths(s.coverage_ppm, 10_000),
                tenths(s.worst_coverage_permille, 10),
            )?;
        }
        writeln!(
            f,
            "extra load {}.{}% (repeats {}.{}%), sheds {}, connections over limit {}, configuration in force after {} ms",
            self.extra_load_permille / 10,
            (self.extra_load_permille % 10).abs(),
            self.repeats_permille / 10,
            self.repeats_permille % 10,
            self.sheds,
            self.connection_overloads,
            self.slowest_in_force_ms
        )?;
        write!(f, "violations {}", self.violations.total())?;
        for (name, count) in self.violations.lines().into_iter().filter(|(_, count)| *count > 0) {
            write!(f, ", {name} {count}")?;
        }
        writeln!(f)
    }
}

/// Formats `value / unit` with one decimal.
fn tenths(value: u64, unit: u64) -> String {
    format!("{}.{}", value / unit, value % unit * 10 / unit)
}

/// Formats `value / unit` with two decimals.
fn hundredths(value: u64, unit: u64) -> String {
    format!("{}.{:02}", value / unit, value % unit * 100 / unit)
}
