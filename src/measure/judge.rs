//! Decides from what callers and servers saw whether the invariants held.

use std::collections::HashSet;

use super::caller_log::{CallerLog, Sending};
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
    /// Broken invariants, one count for each line of the list in `docs/ARCHITECTURE.md`.
    #[derive(Default)]
    pub struct Violations {
        /// An answer held rows of more than one index version.
        pub snapshot: u64,
        /// An answer's statement of coverage was not true.
        pub coverage: u64,
        /// A cold server got more than its limit.
        pub cold_start: u64,
        /// A server that was out or leaving got new work.
        pub after_out: u64,
        /// A caller got another caller's answer.
        pub own_answer: u64,
        /// A request said not to have run had run.
        pub not_run: u64,
        /// A non-idempotent request ran more than once, or was said to have run and had not.
        pub at_most_once: u64,
        /// A request was cut off although no host was killed.
        pub cut_off: u64,
        /// A configuration reverted, or was not in force everywhere in time.
        pub configuration: u64,
    }
}

impl Violations {
    /// Returns the sum.
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

    /// Returns each count with the name of its line.
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

/// What a judge must know beside the logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Circumstances {
    /// Hosts were killed or cut off, so that callers may lose connections.
    pub hosts_failed: bool,
    /// Versions that reverted at a host.
    pub reverted: u64,
}

/// Judges a whole run.
pub fn judge(fleet: &Fleet, log: &CallerLog, circumstances: Circumstances) -> Violations {
    let totals = fleet.journal.totals();
    let (_, late) = fleet.in_force();
    let mut violations = Violations {
        cold_start: totals.cold_overloads,
        after_out: totals.after_out,
        at_most_once: fleet.journal.duplicates(),
        configuration: late + circumstances.reverted,
        ..Violations::default()
    };
    for sending in &log.sendings {
        match &sending.result {
            Ok(reply) => judge_reply(fleet, sending, reply, &mut violations),
            Err(NoReply::Refused(_)) => violations.own_answer += 1,
            Err(NoReply::Lost | NoReply::NotSent) if !circumstances.hosts_failed => {
                violations.cut_off += 1;
                tracing::warn!(request = %sending.request, result = ?sending.result, "cut off");
            }
            Err(_) => {}
        }
    }
    judge_submits(fleet, log, &mut violations);
    violations
}

fn judge_reply(fleet: &Fleet, sending: &Sending, reply: &Reply, violations: &mut Violations) {
    if reply.request_id != sending.request {
        violations.own_answer += 1;
    }
    let (Some(version), Some(coverage)) = (reply.index_version, &reply.coverage) else {
        return;
    };
    if reply.rows.iter().any(|row| version_of(row) != Some(version)) {
        violations.snapshot += 1;
        tracing::warn!(request = %sending.request, version, "rows of another index version");
        return;
    }
    let expected = expected_rows(fleet, sending, version, coverage);
    match expected {
        Some(rows) if rows == reply.rows => {}
        Some(rows) if own_rows(sending, &reply.rows) => {
            violations.coverage += 1;
            tracing::warn!(
                request = %sending.request, expected = rows.len(), got = reply.rows.len(),
                ?coverage, "coverage is not true"
            );
        }
        Some(_) => violations.own_answer += 1,
        None => {
            violations.coverage += 1;
            tracing::warn!(request = %sending.request, ?coverage, version, "unreadable coverage");
        }
    }
}

/// Returns the rows that an answer with such a coverage must hold.
fn expected_rows(
    fleet: &Fleet,
    sending: &Sending,
    version: IndexVersion,
    coverage: &Coverage,
) -> Option<Vec<Row>> {
    let shards = fleet.shard_count(&sending.service, version)?;
    let config = fleet.config();
    let service = config.service(&sending.service)?;
    let limit = service.row_limit;
    let rows = |shard| shard_rows(sending.kind, shard, version, &sending.term, &sending.key, limit);
    match sending.kind {
        Kind::Listing | Kind::Lookup => {
            let missing = missing_shards(coverage)?;
            if coverage.shards != shards || coverage.answered + count(&missing) != shards {
                return None;
            }
            let all = (0..shards).filter(|shard| !missing.contains(shard)).flat_map(rows);
            let bound = if sending.kind == Kind::Listing { limit as usize } else { usize::MAX };
            Some(merge_rows(all.collect(), bound))
        }
        Kind::Fetch | Kind::Submit => (coverage.shards == 1).then(|| rows(0)),
    }
}

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

/// Tells whether rows belong to what was asked, by its unique term or key.
fn own_rows(sending: &Sending, rows: &[Row]) -> bool {
    let wanted = match sending.kind {
        Kind::Listing | Kind::Lookup => &sending.term,
        Kind::Fetch | Kind::Submit => &sending.key,
    };
    rows.iter().all(|row| row.text.ends_with(wanted.as_str()))
}

fn judge_submits(fleet: &Fleet, log: &CallerLog, violations: &mut Violations) {
    for (request, sendings) in log.submits() {
        let executions = fleet.journal.executions(request);
        let outcomes: Vec<&str> = sendings
            .iter()
            .filter_map(|s| s.result.as_ref().ok().map(|reply| reply.outcome.as_str()))
            .collect();
        let all_replied = outcomes.len() == sendings.len();
        if outcomes.contains(&"answered") && executions == 0 {
            violations.at_most_once += 1;
        }
        if all_replied && outcomes.iter().all(|o| *o == "not_run") && executions > 0 {
            violations.not_run += 1;
            tracing::warn!(%request, "ran although it was said not to have run");
        }
    }
}
