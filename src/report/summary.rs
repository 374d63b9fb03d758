//! Summarizes the logs of a whole run: why requests were refused, unknown, late or incomplete.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;
use smol_str::{SmolStr, format_smolstr};

use super::line::{Log, LogLine};

/// Upper bound of the latency histograms, in milliseconds; a longer time counts as this.
const MAX_LATENCY_MS: u64 = 600_000;
/// The most servers listed.
const MAX_SERVERS: usize = 10;

/// Latency of the requests with one outcome, reason and route.
#[derive(Debug)]
struct OutcomeStats {
    took_ms: Histogram<u32>,
}

/// Missing shards and extra attempts of the requests of one route.
#[derive(Debug, Default)]
struct GatherStats {
    requests: u64,
    shards: f64,
    missing: f64,
    extra: f64,
}

/// A summary of the lines of logs.
#[derive(Debug, Default)]
pub struct Summary {
    lines: usize,
    malformed: usize,
    origins: usize,
    outcomes: BTreeMap<[SmolStr; 3], OutcomeStats>,
    gathered: BTreeMap<SmolStr, GatherStats>,
    failures: BTreeMap<SmolStr, u64>,
    servers: BTreeMap<SmolStr, u64>,
    other: BTreeMap<(SmolStr, SmolStr), u64>,
}

impl Summary {
    /// Summarizes all lines of a log.
    pub fn from_log(log: &Log) -> Self {
        let mut origins: Vec<&SmolStr> = log.lines.iter().map(|line| &line.origin).collect();
        origins.sort_unstable();
        origins.dedup();
        let mut summary = Self {
            lines: log.lines.len(),
            malformed: log.malformed,
            origins: origins.len(),
            ..Self::default()
        };
        log.lines.iter().for_each(|line| summary.add(line));
        summary
    }

    fn add(&mut self, line: &LogLine) {
        match line.message.as_str() {
            "request ended" => {
                let kind = [line.text("outcome"), line.text("why"), line.text("route")];
                let stats = self.outcomes.entry(kind).or_insert_with(|| OutcomeStats {
                    took_ms: Histogram::new_with_max(MAX_LATENCY_MS, 3)
                        .expect("the bounds are valid"),
                });
                stats.took_ms.saturating_record(line.number("took_ms").unwrap_or(0.0) as u64);
            }
            "gathered in part or with extra attempts" => {
                let gathered = self.gathered.entry(line.text("route")).or_default();
                gathered.requests += 1;
                gathered.shards += line.number("shards").unwrap_or(0.0);
                gathered.missing += line.number("missing").unwrap_or(0.0);
                gathered.extra += line.number("extra").unwrap_or(0.0);
            }
            "attempt failed" => {
                *self.failures.entry(line.text("failure")).or_default() += 1;
                *self.servers.entry(line.text("server")).or_default() += 1;
            }
            "server avoided for a while" => {
                let end = line.text("end");
                let end = end.split('(').next().unwrap_or_default();
                let what = format_smolstr!("server avoided: {end}");
                *self.other.entry((line.level.clone(), what)).or_default() += 1;
            }
            _ => {
                let what = (line.level.clone(), line.message.clone());
                *self.other.entry(what).or_default() += 1;
            }
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { lines, malformed, origins, .. } = self;
        writeln!(f, "{lines} lines of {origins} origins, {malformed} not readable")?;
        writeln!(f, "\nrequests that were not answered in time        count   p50 ms   p99 ms")?;
        for ([outcome, why, route], stats) in &self.outcomes {
            let what = format!("{outcome} {why} on {route}");
            let at = |share| stats.took_ms.value_at_quantile(share);
            let count = stats.took_ms.len();
            writeln!(f, "{what:<45} {count:>7} {:>8} {:>8}", at(0.5), at(0.99))?;
        }
        writeln!(f, "\ngathered in part or with extra attempts        count  missing  extra")?;
        for (route, g) in &self.gathered {
            let missing = g.missing / g.shards.max(1.0) * 100.0;
            let extra = g.extra / g.requests as f64;
            writeln!(f, "{route:<45} {:>7} {missing:>7.1}% {extra:>6.1}", g.requests)?;
        }
        writeln!(f, "\nattempts that failed")?;
        for (failure, count) in &self.failures {
            writeln!(f, "{failure:<45} {count:>7}")?;
        }
        let mut servers: Vec<_> = self.servers.iter().collect();
        servers.sort_by_key(|(name, count)| (std::cmp::Reverse(**count), *name));
        for (server, count) in servers.into_iter().take(MAX_SERVERS) {
            writeln!(f, "  at {server:<42} {count:>7}")?;
        }
        writeln!(f, "\nother lines")?;
        for ((level, message), count) in &self.other {
            writeln!(f, "{level:<5} {message:<60.60} {count:>7}")?;
        }
        Ok(())
    }
}
