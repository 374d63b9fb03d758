//! What must hold, in terms of what the servers and callers of the world see.

use std::collections::HashMap;

use crate::clock::Monotonic;
use crate::connection::query::Answer;
use crate::ids::{ConfigVersion, DomainId, HostId, RequestId, ServerId};
use crate::outcome::Outcome;
use crate::standin::data::version_of;
use crate::version::config::Config;

/// How long after operators took a failure domain out work may still arrive there.
const OUT_GRACE: Monotonic = Monotonic::from_secs(3);
/// Rows that each shard answers a lookup with.
const ROWS_PER_SHARD: u32 = 2;

/// Records events and names the first broken invariant.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    executions: HashMap<RequestId, u32>,
    outcomes: HashMap<RequestId, Vec<Outcome<()>>>,
    sendings: HashMap<RequestId, usize>,
    highest: ConfigVersion,
    out_since: HashMap<DomainId, Monotonic>,
    cut_until: HashMap<HostId, Monotonic>,
    versions: HashMap<(HostId, u64), u64>,
    broken: Option<String>,
}

impl Oracle {
    pub(crate) fn broken(&self) -> Option<&String> {
        self.broken.as_ref()
    }

    fn fail(&mut self, why: String) {
        self.broken.get_or_insert(why);
    }

    pub(crate) fn on_sending(&mut self, request: &RequestId) {
        *self.sendings.entry(request.clone()).or_default() += 1;
    }

    /// An order has its effect.
    pub(crate) fn on_execution(&mut self, request: &RequestId) {
        let count = self.executions.entry(request.clone()).or_default();
        *count += 1;
        if *count > 1 {
            self.fail(format!("order {request} ran twice"));
        }
    }

    /// A caller hears of its order.
    pub(crate) fn on_outcome(&mut self, request: &RequestId, outcome: Outcome<()>) {
        self.outcomes.entry(request.clone()).or_default().push(outcome);
    }

    /// Work arrives at a server.
    pub(crate) fn on_arrival(
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
            self.fail(format!("{server} is cold and has {in_flight} of {limit} from {from}"));
        }
        let out = self.out_since.get(domain).is_some_and(|since| now > *since + OUT_GRACE);
        let reachable = self.cut_until.get(from).is_none_or(|until| now > *until + OUT_GRACE);
        if out && reachable {
            self.fail(format!("{server} in {domain}, which is out, got work from {from}"));
        }
    }

    /// A host takes a version; the highest that any host has taken says what is out.
    pub(crate) fn on_adopted(&mut self, now: Monotonic, config: &Config) {
        if config.version < self.highest {
            return;
        }
        self.highest = config.version;
        for domain in &config.fleet.domains {
            if domain.out {
                self.out_since.entry(domain.id.clone()).or_insert(now);
            } else {
                self.out_since.remove(&domain.id);
            }
        }
    }

    /// A host can't learn of new versions now.
    pub(crate) fn on_cut(&mut self, now: Monotonic, host: &HostId) {
        self.cut_until.insert(host.clone(), now);
    }

    pub(crate) fn on_version(&mut self, host: &HostId, life: u64, version: u64) {
        let known = self.versions.entry((host.clone(), life)).or_default();
        if version < *known {
            let why = format!("{host} went from version {known} back to {version}");
            self.fail(why);
        } else {
            *known = version;
        }
    }

    pub(crate) fn on_holders(&mut self, seat: &HostId, holders: &[HostId]) {
        if holders.len() > 1 {
            self.fail(format!("seat {seat} is held by {holders:?}"));
        }
    }

    /// A caller gets an answer to its query over so many shards.
    pub(crate) fn on_answer(&mut self, answer: &Answer, shards: u32) {
        if answer.rows.iter().any(|row| version_of(row) != Some(answer.index_version)) {
            self.fail(format!("rows of another version than {}", answer.index_version));
        }
        let coverage = &answer.coverage;
        let missing: u32 = coverage.missing.iter().map(|m| m.count).sum();
        let rows = u32::try_from(answer.rows.len()).unwrap_or(u32::MAX);
        let true_sum = coverage.shards == shards && coverage.answered + missing == shards;
        if !true_sum || rows != coverage.answered * ROWS_PER_SHARD {
            self.fail(format!("{rows} rows under the coverage {coverage:?} of {shards} shards"));
        }
    }

    /// Everything has come to rest.
    pub(crate) fn at_rest(&mut self) {
        let outcomes = std::mem::take(&mut self.outcomes);
        for (request, outcomes) in outcomes {
            let executions = self.executions.get(&request).copied().unwrap_or(0);
            let all_heard = self.sendings.get(&request) == Some(&outcomes.len());
            if all_heard && outcomes.iter().all(Outcome::is_not_run) && executions > 0 {
                self.fail(format!("order {request} ran although it was said not to have run"));
            }
            if outcomes.contains(&Outcome::Answered(())) && executions == 0 {
                self.fail(format!("order {request} was answered and did not run"));
            }
        }
    }
}
