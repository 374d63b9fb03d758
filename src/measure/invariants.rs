//! Checks from the records of callers and backend servers whether the invariants held.

use std::collections::HashSet;

use super::caller_log::{CallerLog, SentRequest};
use super::fleet::Fleet;
use crate::connection::caller::NoReply;
use crate::connection::caller_api::Reply;
use crate::connection::coverage::Coverage;
use crate::connection::query::{Row, merge_rows};
use crate::derive::data;
use crate::ids::{IndexVersion, ShardId};
use crate::standin::data::{shard_rows, version_of};
use crate::version::config::Kind;

data! {
    /// Violations of each invariant in the list of `docs/ARCHITECTURE.md`.
    #[derive(Default)]
    pub struct Violations {
        /// An answer contained rows of another index version than it stated.
        pub snapshot: u64,
        /// An answer's coverage did not match its rows.
        pub coverage: u64,
        /// A cold server received requests beyond its limit.
        pub cold_start: u64,
        /// A server out of service or leaving received new requests after the grace period.
        pub after_out: u64,
        /// A caller received the answer to another request, or an error for a valid one.
        pub own_answer: u64,
        /// A request ran although its replies said `not_run`.
        pub not_run: u64,
        /// A non-idempotent request ran more than once, or was answered without a run.
        pub at_most_once: u64,
        /// A caller got no reply although no host was killed or paused.
        pub cut_off: u64,
        /// A configuration reverted at a host, or was not in force at all hosts in time.
        pub configuration: u64,
    }
}

impl Violations {
    /// Returns the number of violations of all invariants.
    pub const fn total(&self) -> u64 {
        self.snapshot
            + self.coverage
            + self.cold_start
            + self.after_out
            + self.own_answer
            + self.not_run
            + self.at_most_once
            + self.cut_off
            + self.configuration
    }

    /// Returns the name and the count of each invariant.
    pub const fn lines(&self) -> [(&'static str, u64); 9] {
        [
            ("snapshot", self.snapshot),
            ("coverage", self.coverage),
            ("cold_start", self.cold_start),
            ("after_out", self.after_out),
            ("own_answer", self.own_answer),
            ("not_run", self.not_run),
            ("at_most_once", self.at_most_once),
            ("cut_off", self.cut_off),
            ("configuration", self.configuration),
        ]
    }
}

/// Facts about a run that the check needs in addition to the records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunConditions {
    /// Hosts were killed or paused, so that callers may lose connections.
    pub hosts_failed: bool,
    /// How often a host was seen with an older version in force than before.
    pub reverted: u64,
}

/// Checks all invariants of a run and returns the violations.
pub fn check_invariants(fleet: &Fleet, log: &CallerLog, conditions: RunConditions) -> Violations {
    let totals = fleet.run_counts.totals();
    let (_, late) = fleet.in_force_stats();
    let mut violations = Violations {
        cold_start: totals.cold_overloads,
        after_out: totals.after_out,
        at_most_once: fleet.run_counts.duplicate_submits(),
        configuration: late + conditions.reverted,
        ..Violations::default()
    };
    for sent in &log.requests {
        match &sent.result {
            Ok(reply) => check_reply(fleet, sent, reply, &mut violations),
            Err(NoReply::Refused(_)) => violations.own_answer += 1,
            Err(NoReply::Lost | NoReply::NotSent) if !conditions.hosts_failed => {
                violations.cut_off += 1;
                tracing::warn!(
                    request = %sent.request, result = ?sent.result,
                    "no reply although no host failed"
                );
            }
            Err(_) => {}
        }
    }
    check_submits(fleet, log, &mut violations);
    violations
}

fn check_reply(fleet: &Fleet, sent: &SentRequest, reply: &Reply, violations: &mut Violations) {
    if reply.request_id != sent.request {
        violations.own_answer += 1;
    }
    let (Some(version), Some(coverage)) = (reply.index_version, &reply.coverage) else {
        return;
    };
    if reply.rows.iter().any(|row| version_of(row) != Some(version)) {
        violations.snapshot += 1;
        tracing::warn!(request = %sent.request, version, "rows of another index version");
        return;
    }
    let expected = expected_rows(fleet, sent, version, coverage);
    match expected {
        Some(rows) if rows == reply.rows => {}
        Some(rows) if rows_match_request(sent, &reply.rows) => {
            violations.coverage += 1;
            tracing::warn!(
                request = %sent.request, expected = rows.len(), got = reply.rows.len(),
                ?coverage, "coverage does not match the rows"
            );
        }
        Some(_) => violations.own_answer += 1,
        None => {
            violations.coverage += 1;
            tracing::warn!(request = %sent.request, ?coverage, version, "invalid coverage");
        }
    }
}

/// Returns the rows that an answer with this coverage must contain, or `None` if the coverage is
/// invalid.
fn expected_rows(
    fleet: &Fleet,
    sent: &SentRequest,
    version: IndexVersion,
    coverage: &Coverage,
) -> Option<Vec<Row>> {
    let shards = fleet.shard_count(&sent.service, version)?;
    let config = fleet.config();
    let service = config.service(&sent.service)?;
    let limit = service.row_limit;
    let rows = |shard| shard_rows(sent.kind, shard, version, &sent.term, &sent.key, limit);
    match sent.kind {
        Kind::Listing | Kind::Lookup => {
            let missing = missing_shards(coverage)?;
            if coverage.shards != shards || coverage.answered + count(&missing) != shards {
                return None;
            }
            let all = (0..shards).filter(|shard| !missing.contains(shard)).flat_map(rows);
            let max_rows = if sent.kind == Kind::Listing { limit as usize } else { usize::MAX };
            Some(merge_rows(all.collect(), max_rows))
        }
        Kind::Fetch | Kind::Submit => (coverage.shards == 1).then(|| rows(0)),
    }
}

/// Parses the missing shards; returns `None` if a range is malformed.
fn missing_shards(coverage: &Coverage) -> Option<HashSet<ShardId>> {
    let mut shards = HashSet::new();
    for missing in &coverage.missing {
        for range in missing.shards.split(',') {
            let (first, last) = range.split_once('-').unwrap_or((range, range));
            shards.extend(first.parse::<ShardId>().ok()?..=last.parse().ok()?);
        }
    }
    Some(shards)
}

fn count(shards: &HashSet<ShardId>) -> u32 {
    u32::try_from(shards.len()).unwrap_or(u32::MAX)
}

/// Returns whether all rows belong to the request, by its unique term or key.
fn rows_match_request(sent: &SentRequest, rows: &[Row]) -> bool {
    let wanted = match sent.kind {
        Kind::Listing | Kind::Lookup => &sent.term,
        Kind::Fetch | Kind::Submit => &sent.key,
    };
    rows.iter().all(|row| row.text.ends_with(wanted.as_str()))
}

fn check_submits(fleet: &Fleet, log: &CallerLog, violations: &mut Violations) {
    for (request, sends) in log.submits() {
        let executions = fleet.run_counts.executions(request);
        let outcomes: Vec<&str> = sends
            .iter()
            .filter_map(|s| s.result.as_ref().ok().map(|reply| reply.outcome.as_str()))
            .collect();
        let all_replied = outcomes.len() == sends.len();
        if outcomes.contains(&"answered") && executions == 0 {
            violations.at_most_once += 1;
        }
        if all_replied && outcomes.iter().all(|o| *o == "not_run") && executions > 0 {
            violations.not_run += 1;
            tracing::warn!(%request, "request ran although all replies said not_run");
        }
    }
}
