//! The oracle: invariants over the events that simulated servers, callers and hosts observe.

use std::collections::HashMap;

use crate::clock::Monotonic;
use crate::connection::query::Answer;
use crate::ids::{ConfigVersion, DomainId, HostId, RequestId, ServerId};
use crate::outcome::Outcome;
use crate::standin::data::version_of;
use crate::version::config::Config;

/// How long requests may still arrive in a failure domain after operators take it out.
const OUT_GRACE: Monotonic = Monotonic::from_secs(3);
/// Rows with which each shard answers a lookup.
const ROWS_PER_SHARD: u32 = 2;

/// Records events and keeps the first violated invariant.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    executions: HashMap<RequestId, u32>,
    outcomes: HashMap<RequestId, Vec<Outcome<()>>>,
    times_sent: HashMap<RequestId, usize>,
    highest_version: ConfigVersion,
    out_since: HashMap<DomainId, Monotonic>,
    isolated_until: HashMap<HostId, Monotonic>,
    versions: HashMap<(HostId, u64), u64>,
    violation: Option<String>,
}

impl Oracle {
    pub(crate) fn violation(&self) -> Option<&String> {
        self.violation.as_ref()
    }

    fn report_violation(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }

    pub(crate) fn on_order_sent(&mut self, request: &RequestId) {
        *self.times_sent.entry(request.clone()).or_default() += 1;
    }

    /// Records that a server runs an order.
    pub(crate) fn on_order_run(&mut self, request: &RequestId) {
        let count = self.executions.entry(request.clone()).or_default();
        *count += 1;
        if *count > 1 {
            self.report_violation(format!("order {request} ran twice"));
        }
    }

    /// Records that a caller receives the outcome of its order.
    pub(crate) fn on_order_outcome(&mut self, request: &RequestId, outcome: Outcome<()>) {
        self.outcomes.entry(request.clone()).or_default().push(outcome);
    }

    /// Checks a request that arrives at a server; `cold` is a cold server's number of requests in
    /// flight and its limit.
    pub(crate) fn on_request(
        &mut self,
        now: Monotonic,
        from: &HostId,
        server: &ServerId,
        domain: &DomainId,
        cold: Option<(u32, u32)>,
    ) {
        if let Some((in_flight, limit)) = cold
            && in_flight > limit
        {
            self.report_violation(format!(
                "{server} is cold and has {in_flight} in flight, limit {limit}, last from {from}"
            ));
        }
        let out = self.out_since.get(domain).is_some_and(|since| now > *since + OUT_GRACE);
        let reachable = self.isolated_until.get(from).is_none_or(|until| now > *until + OUT_GRACE);
        if out && reachable {
            self.report_violation(format!(
                "{server} in {domain}, which is out, got a request from {from}"
            ));
        }
    }

    /// Records that a host adopts a configuration; the highest version that any host has adopted
    /// determines which failure domains are out.
    pub(crate) fn on_config_adopted(&mut self, now: Monotonic, config: &Config) {
        if config.version < self.highest_version {
            return;
        }
        self.highest_version = config.version;
        for domain in &config.fleet.domains {
            if domain.out {
                self.out_since.entry(domain.id.clone()).or_insert(now);
            } else {
                self.out_since.remove(&domain.id);
            }
        }
    }

    /// Records that a host can't learn of new versions at this time.
    pub(crate) fn on_isolated(&mut self, now: Monotonic, host: &HostId) {
        self.isolated_until.insert(host.clone(), now);
    }

    pub(crate) fn on_config_version(&mut self, host: &HostId, incarnation: u64, version: u64) {
        let known = self.versions.entry((host.clone(), incarnation)).or_default();
        if version < *known {
            let violation = format!("{host} went from version {known} back to {version}");
            self.report_violation(violation);
        } else {
            *known = version;
        }
    }

    pub(crate) fn on_seat_holders(&mut self, seat: &HostId, holders: &[HostId]) {
        if holders.len() > 1 {
            self.report_violation(format!("seat {seat} is held by {holders:?}"));
        }
    }

    /// Checks the answer to a query over `shards` shards.
    pub(crate) fn on_answer(&mut self, answer: &Answer, shards: u32) {
        if answer.rows.iter().any(|row| version_of(row) != Some(answer.index_version)) {
            self.report_violation(format!("rows of another version than {}", answer.index_version));
        }
        let coverage = &answer.coverage;
        let missing: u32 = coverage.missing.iter().map(|m| m.count).sum();
        let rows = u32::try_from(answer.rows.len()).unwrap_or(u32::MAX);
        let sum_matches = coverage.shards == shards && coverage.answered + missing == shards;
        if !sum_matches || rows != coverage.answered * ROWS_PER_SHARD {
            self.report_violation(format!(
                "{rows} rows under the coverage {coverage:?} of {shards} shards"
            ));
        }
    }

    /// Checks the outcomes of all orders at the end of a run.
    pub(crate) fn check_outcomes(&mut self) {
        let outcomes = std::mem::take(&mut self.outcomes);
        for (request, outcomes) in outcomes {
            let executions = self.executions.get(&request).copied().unwrap_or(0);
            let all_outcomes_known = self.times_sent.get(&request) == Some(&outcomes.len());
            if all_outcomes_known && outcomes.iter().all(Outcome::is_not_run) && executions > 0 {
                self.report_violation(format!(
                    "order {request} ran although it was reported as not run"
                ));
            }
            if outcomes.contains(&Outcome::Answered(())) && executions == 0 {
                self.report_violation(format!("order {request} was answered but did not run"));
            }
        }
    }
}
