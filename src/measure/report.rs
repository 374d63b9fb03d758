//! The figures of a run.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::caller_log::{CallerLog, Sending};
use super::judge::Violations;
use crate::clock::{micros, millis};
use crate::derive::data;
use crate::ids::ServiceId;
use crate::standin::journal::Totals;
use crate::version::config::Kind;

const MAX_LATENCY_US: u64 = 120_000_000;
const PERMILLE: u64 = 1_000;

data! {
    /// The figures of one service.
    #[derive(Default)]
    pub struct ServiceFigures {
        /// Sendings.
        pub sent: u64,
        /// Answered in time, in full or in part.
        pub answered: u64,
        /// Said not to have run.
        pub refused: u64,
        /// Said to be unknown.
        pub unknown: u64,
        /// Without a reply.
        pub lost: u64,
        /// Answered after the deadline.
        pub late: u64,
        /// Latency of answers in microseconds.
        pub p50_us: u64,
        /// The same, exceeded by one in a hundred.
        pub p99_us: u64,
        /// The same, exceeded by one in a thousand.
        pub p999_us: u64,
        /// The mean share of shards covered, in millionths; a sending without answer has none.
        pub coverage_ppm: u64,
        /// The least share covered by an answer, in thousandths.
        pub worst_coverage_permille: u64,
        /// Answers that cover less than all.
        pub partial: u64,
    }

    /// The figures of a whole run.
    pub struct Report {
        /// The deployment.
        pub deployment: String,
        /// The scenarios.
        pub scenario: String,
        /// The policy.
        pub policy: String,
        /// The seed.
        pub seed: u64,
        /// How long the load lasted.
        pub seconds: u64,
        /// The figures by service.
        pub services: BTreeMap<ServiceId, ServiceFigures>,
        /// Requests that ran at servers beyond one for each shard answered, in thousandths.
        pub extra_load_permille: i64,
        /// Runs beyond the first of one shard of one request, in thousandths of the shards answered.
        pub repeats_permille: u64,
        /// Requests that servers refused for load.
        pub sheds: u64,
        /// Connections beyond a server's limit.
        pub connection_overloads: u64,
        /// The longest time until a configuration was in force everywhere.
        pub slowest_in_force_ms: u64,
        /// Broken invariants.
        pub violations: Violations,
    }
}

/// What a report is about.
#[derive(Debug, Clone)]
pub struct Subject {
    /// The deployment.
    pub deployment: String,
    /// The scenarios.
    pub scenario: String,
    /// The policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// How long the load lasted.
    pub time: Duration,
}

impl Report {
    /// Works the figures out.
    pub fn new(
        subject: Subject,
        log: &CallerLog,
        totals: Totals,
        slowest_in_force: Duration,
        violations: Violations,
    ) -> Self {
        let mut by_service: BTreeMap<ServiceId, Vec<&Sending>> = BTreeMap::new();
        for sending in &log.sendings {
            by_service.entry(sending.service.clone()).or_default().push(sending);
        }
        let answered: u64 = log.sendings.iter().map(shards_answered).sum();
        let repeats = (totals.repeats * PERMILLE).checked_div(answered).unwrap_or(0);
        let extra = (totals.runs * PERMILLE).checked_div(answered).unwrap_or(0).cast_signed();
        Self {
            deployment: subject.deployment,
            scenario: subject.scenario,
            policy: subject.policy,
            seed: subject.seed,
            seconds: subject.time.as_secs(),
            services: by_service.iter().map(|(id, list)| (id.clone(), figures(list))).collect(),
            extra_load_permille: extra - PERMILLE.cast_signed(),
            repeats_permille: repeats,
            sheds: totals.sheds,
            connection_overloads: totals.connection_overloads,
            slowest_in_force_ms: millis(slowest_in_force),
            violations,
        }
    }
}

fn shards_answered(sending: &Sending) -> u64 {
    let reply = sending.result.as_ref().ok();
    reply.and_then(|r| r.coverage.as_ref()).map_or(0, |coverage| u64::from(coverage.answered))
}

fn figures(sendings: &[&Sending]) -> ServiceFigures {
    let mut figures = ServiceFigures {
        sent: sendings.len() as u64,
        worst_coverage_permille: PERMILLE,
        ..ServiceFigures::default()
    };
    let mut latency: Histogram<u32> =
        Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid");
    let mut covered_ppm = 0;
    for sending in sendings {
        let Ok(reply) = &sending.result else {
            figures.lost += 1;
            continue;
        };
        match reply.outcome.as_str() {
            "answered" => figures.answered += 1,
            "not_run" => figures.refused += 1,
            _ => figures.unknown += 1,
        }
        let Some(coverage) = &reply.coverage else {
            continue;
        };
        latency.saturating_record(micros(sending.took).max(1));
        figures.late += u64::from(sending.took > sending.deadline);
        figures.partial += u64::from(coverage.answered < coverage.shards);
        covered_ppm += u64::from(coverage.answered) * 1_000_000 / u64::from(coverage.shards.max(1));
        let permille = u64::from(coverage.permille());
        figures.worst_coverage_permille = figures.worst_coverage_permille.min(permille);
    }
    if sendings.first().is_some_and(|s| s.kind == Kind::Submit) {
        // A caller sends an order again, so its share is of those that ended well.
        figures.worst_coverage_permille = PERMILLE;
    }
    figures.p50_us = latency.value_at_quantile(0.5);
    figures.p99_us = latency.value_at_quantile(0.99);
    figures.p999_us = latency.value_at_quantile(0.999);
    figures.coverage_ppm = covered_ppm / figures.sent.max(1);
    figures
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

fn tenths(value: u64, unit: u64) -> String {
    format!("{}.{}", value / unit, value % unit * 10 / unit)
}

fn hundredths(value: u64, unit: u64) -> String {
    format!("{}.{:02}", value / unit, value % unit * 100 / unit)
}
