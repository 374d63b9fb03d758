//! Gathers the parts of one query into an answer with accurate coverage.

use std::collections::{BTreeMap, HashSet};

use smallvec::SmallVec;
use smol_str::{SmolStr, ToSmolStr};

use crate::connection::coverage::Coverage;
use crate::connection::peer::Part;
use crate::connection::query::{Answer, Row, merge_rows};
use crate::flaw::flawed;
use crate::ids::{IndexVersion, ServerId, ShardId};
use crate::outcome::{NotRunReason, Outcome, UnknownReason};

#[derive(Debug, Default)]
struct ShardState {
    answered: bool,
    tried: SmallVec<[ServerId; 4]>,
    running: SmallVec<[ServerId; 2]>,
    failure: Option<Outcome<()>>,
}

/// The shard states and rows of one query on one index version.
#[derive(Debug)]
pub struct Gather {
    index_version: IndexVersion,
    limit: Option<usize>,
    shards: BTreeMap<ShardId, ShardState>,
    rows: Vec<Row>,
}

impl Gather {
    /// Creates the state with all shards unanswered; `limit` bounds the rows of the whole answer.
    pub fn new(
        index_version: IndexVersion,
        shards: impl IntoIterator<Item = ShardId>,
        limit: Option<usize>,
    ) -> Self {
        let shards = shards.into_iter().map(|id| (id, ShardState::default())).collect();
        Self { index_version, limit, shards, rows: Vec::new() }
    }

    /// Records a sent attempt.
    pub fn on_sent(&mut self, shard: ShardId, server: &ServerId) {
        if let Some(state) = self.shards.get_mut(&shard) {
            state.tried.push(server.clone());
            state.running.push(server.clone());
        }
    }

    /// Adds a part. Returns the shards that now have neither an answer nor a running attempt.
    ///
    /// A shard counts once, however often it is answered, and only the part that answered it first
    /// contributes its rows. A limit on merged rows loses no row of other shards, because every row
    /// that it cuts off ranks below rows that are already held.
    pub fn on_part(&mut self, part: Part) -> Vec<ShardId> {
        let mut newly_answered = HashSet::new();
        let mut unresolved = Vec::new();
        for report in part.ended {
            let Some(state) = self.shards.get_mut(&report.shard) else {
                continue;
            };
            let Some(at) = state.running.iter().position(|server| *server == report.server) else {
                continue;
            };
            state.running.remove(at);
            if state.answered {
                continue;
            }
            if matches!(report.outcome, Outcome::Answered(())) || flawed!(FailedShardCounted) {
                state.answered = true;
                newly_answered.insert(report.shard);
            } else {
                state.failure = Some(report.outcome);
                if state.running.is_empty() {
                    unresolved.push(report.shard);
                }
            }
        }
        self.rows.extend(part.rows.into_iter().filter(|row| newly_answered.contains(&row.shard)));
        if let Some(limit) = self.limit {
            self.rows = merge_rows(std::mem::take(&mut self.rows), limit);
        }
        unresolved
    }

    /// Returns the servers tried for a shard, oldest first.
    pub fn tried(&self, shard: ShardId) -> &[ServerId] {
        self.shards.get(&shard).map_or(&[], |state| &state.tried)
    }

    /// Returns why a shard's last attempt failed.
    pub fn failure(&self, shard: ShardId) -> Option<&Outcome<()>> {
        self.shards.get(&shard)?.failure.as_ref()
    }

    /// Returns the servers with a running attempt at a shard.
    pub fn running(&self, shard: ShardId) -> &[ServerId] {
        self.shards.get(&shard).map_or(&[], |state| &state.running)
    }

    /// Returns the unanswered shards whose first and only attempt is still running.
    pub fn first_attempts(&self) -> Vec<ShardId> {
        let once = |state: &ShardState| state.tried.len() == 1 && state.running.len() == 1;
        self.shards.iter().filter(|(_, s)| !s.answered && once(s)).map(|(id, _)| *id).collect()
    }

    /// Tells whether a shard is answered.
    pub fn is_answered(&self, shard: ShardId) -> bool {
        self.shards.get(&shard).is_some_and(|state| state.answered)
    }

    /// Tells whether every shard is answered.
    pub fn is_complete(&self) -> bool {
        self.shards.values().all(|state| state.answered)
    }

    /// Tells whether no attempt is running.
    pub fn is_idle(&self) -> bool {
        self.shards.values().all(|state| state.answered || state.running.is_empty())
    }

    /// Tells whether any shard failed because its index version is gone.
    pub fn version_gone(&self) -> bool {
        let gone = Some(Outcome::NotRun(NotRunReason::VersionGone));
        self.shards.values().any(|state| !state.answered && state.failure == gone)
    }

    /// Returns the coverage so far; a shard with a running attempt counts as timed out.
    pub fn coverage(&self) -> Coverage {
        let missing = self
            .shards
            .iter()
            .filter(|(_, state)| !state.answered)
            .map(|(shard, state)| (*shard, reason(state)));
        Coverage::new(u32::try_from(self.shards.len()).unwrap_or(u32::MAX), missing)
    }

    /// Returns the answer from the parts received, or the reason that there is none.
    pub fn finish(self) -> Outcome<Answer> {
        let coverage = self.coverage();
        if coverage.answered > 0 || self.shards.is_empty() {
            let limit = self.limit.unwrap_or(usize::MAX);
            let rows = merge_rows(self.rows, limit);
            return Outcome::Answered(Answer { index_version: self.index_version, coverage, rows });
        }
        let unknown = self.shards.values().find_map(|state| match &state.failure {
            _ if !state.running.is_empty() => Some(UnknownReason::TimedOut),
            Some(Outcome::Unknown(reason)) => Some(*reason),
            _ => None,
        });
        if let Some(reason) = unknown {
            return Outcome::Unknown(reason);
        }
        let not_run = self.shards.values().find_map(|state| match &state.failure {
            Some(Outcome::NotRun(reason)) => Some(*reason),
            _ => None,
        });
        Outcome::NotRun(not_run.unwrap_or(NotRunReason::DeadlineTooClose))
    }
}

fn reason(state: &ShardState) -> SmolStr {
    match &state.failure {
        _ if !state.running.is_empty() => UnknownReason::TimedOut.to_smolstr(),
        Some(Outcome::NotRun(reason)) => reason.to_smolstr(),
        Some(Outcome::Unknown(reason)) => reason.to_smolstr(),
        Some(Outcome::Answered(())) | None => NotRunReason::DeadlineTooClose.to_smolstr(),
    }
}

#[cfg(test)]
mod tests;
