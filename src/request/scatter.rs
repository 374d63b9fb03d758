//! A request that one server of each shard answers together.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hyper::body::Bytes;
use smallvec::SmallVec;
use smol_str::SmolStr;

use super::attempt::{Job, attempt, choose, failure_of, patience};
use super::pick::Purpose;
use super::records::TopRecords;
use super::shard_run::{Next, ShardRun};
use crate::clock::Monotonic;
use crate::connection::exchange::{BackendProtocol, Reply, Signature};
use crate::ids::{ServerId, ServiceId};
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::process::servers::registry::LiveServer;
use crate::process::tier::Tier;
use crate::version::plan::GatherRule;

/// Attempts that still run when the answer is given may end within this time: closing their
/// connections would cost new ones, and their replies show which servers speak again.
const LINGER: Duration = Duration::from_millis(350);
/// Once this share of the shards is in, their times show the pace of the request.
const PACE_SHARE: f64 = 0.5;
/// A server is late for this request beyond this many times the pace: servers differ by a third
/// either way, and pauses last ten times as long.
const LATE_FACTOR: f64 = 1.6;
/// No server is late by less than this, since connections and timers vary as much.
const MIN_LATE: Duration = Duration::from_millis(6);
/// How soon a late shard without a fit server is looked at again.
const RECHECK_LATE: Duration = Duration::from_millis(8);
/// The most missing shards that a log line names.
const MAX_NAMED: usize = 4;

/// The answer of several shards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gathered {
    /// The signatures of the parts that are in.
    pub signatures: Vec<Signature>,
    /// The number of shards that are left out.
    pub missing: usize,
    /// The greatest records of the parts, greatest first.
    pub records: Bytes,
}

type Ended = (usize, ServerId, Outcome<Reply>);

/// The shards of one request and the parts that are in.
struct Scatter<'a, B: BackendProtocol> {
    tier: &'a Arc<Tier<B>>,
    job: &'a Arc<Job>,
    shards: &'a [ServiceId],
    runs: Vec<ShardRun>,
    firsts: Vec<Option<First>>,
    signatures: Vec<Signature>,
    records: TopRecords,
    extra: u32,
}

/// The first attempt at a shard.
#[derive(Debug, Clone)]
struct First {
    server: ServerId,
    sent_at: Monotonic,
    took: Option<Duration>,
}

/// Sends a request to all shards of a route and gathers what comes in time.
///
/// The answer is given when every shard is in, when nothing more can come, or at the latency
/// target once the floor is met; below the floor it waits until the floor or the deadline.
pub async fn scatter<B: BackendProtocol>(
    tier: &Arc<Tier<B>>,
    job: &Arc<Job>,
    rule: &GatherRule,
) -> Outcome<Gathered> {
    let needed = rule.parts_needed();
    let mut scatter = Scatter {
        tier,
        job,
        shards: &rule.shards,
        runs: vec![ShardRun::default(); rule.shards.len()],
        firsts: vec![None; rule.shards.len()],
        signatures: Vec::with_capacity(rule.shards.len()),
        records: TopRecords::new(rule.record_count),
        extra: 0,
    };
    if scatter.reachable() < needed {
        return Outcome::NotRun(NotRunReason::Unreachable);
    }
    let mut running = FuturesUnordered::new();
    let started = |sent: Option<(usize, Arc<LiveServer>, Duration)>| {
        sent.map(|(shard, server, expected)| {
            send(tier.clone(), job.clone(), shard, server, expected)
        })
    };
    for shard in 0..rule.shards.len() {
        running.extend(started(scatter.start(shard, Purpose::Needed)));
    }
    let answer_at = tier.clock.instant(job.answer_at);
    let deadline = tier.clock.instant(job.deadline);
    loop {
        let parts = scatter.signatures.len();
        let enough = parts >= needed;
        if parts == rule.shards.len() || (enough && tier.now() >= job.answer_at) {
            break;
        }
        if scatter.hopeful() < needed || (enough && scatter.hopeful() == parts) {
            break;
        }
        let act_at = scatter.act_at().map(|at| tier.clock.instant(at));
        tokio::select! {
            biased;
            Some((shard, server, outcome)) = running.next() => {
                if scatter.on_end(shard, &server, outcome) == Next::Again {
                    running.extend(started(scatter.start(shard, Purpose::Needed)));
                }
            }
            () = sleep_until(act_at) => {
                for shard in scatter.due() {
                    scatter.note_overdue(shard);
                    let purpose = scatter.purpose(shard);
                    running.extend(started(scatter.start(shard, purpose)));
                }
            }
            () = tokio::time::sleep_until(answer_at), if enough => {}
            () = tokio::time::sleep_until(deadline) => break,
        }
    }
    if !running.is_empty() {
        tokio::spawn(async move {
            let all = async { while running.next().await.is_some() {} };
            let _ = tokio::time::timeout(LINGER, all).await;
        });
    }
    scatter.finish(needed)
}

impl<B: BackendProtocol> Scatter<'_, B> {
    /// Returns how many shards have a server that may get work.
    fn reachable(&self) -> usize {
        let servers = self.tier.servers.load();
        self.shards.iter().filter(|shard| !servers.of(shard).is_empty()).count()
    }

    /// Returns how many shards are in or may still come in.
    fn hopeful(&self) -> usize {
        self.runs.iter().filter(|run| !run.is_over()).count()
    }

    fn act_at(&self) -> Option<Monotonic> {
        self.runs.iter().filter_map(ShardRun::act_at).min()
    }

    fn due(&self) -> SmallVec<[usize; 8]> {
        let now = self.tier.now();
        let due = |n: &usize| self.runs[*n].act_at().is_some_and(|at| at <= now);
        (0..self.runs.len()).filter(due).collect()
    }

    /// Notes that the server of a shard is late, so that other requests go elsewhere at once.
    fn note_overdue(&self, shard: usize) {
        if let Some(first) = &self.firsts[shard]
            && self.runs[shard].offers() == 1
            && self.runs[shard].is_running()
        {
            self.tier.beliefs().on_overdue(self.tier.now(), &first.server);
        }
    }

    fn purpose(&self, shard: usize) -> Purpose {
        if self.runs[shard].is_running() { Purpose::Hedge } else { Purpose::Needed }
    }

    /// Notes the next attempt at a shard and returns where it goes, if there is a server for it
    /// and the budget allows it.
    fn start(
        &mut self,
        shard: usize,
        purpose: Purpose,
    ) -> Option<(usize, Arc<LiveServer>, Duration)> {
        let now = self.tier.now();
        let service = &self.shards[shard];
        let run = &mut self.runs[shard];
        if !run.may_send(self.job.route.attempts) {
            run.on_no_more();
            return None;
        }
        let Some((server, standing)) = choose(self.tier, self.job, service, run, purpose) else {
            if run.is_running() {
                run.look_again(now + RECHECK_LATE);
            } else {
                run.on_no_server(now);
            }
            return None;
        };
        if run.offers() == 0 {
            self.tier.extra().on_first(now, service);
        } else {
            let sharing = self.tier.fleet.load().sharing;
            if !self.tier.extra().try_spend(now, service, sharing) {
                run.on_no_more();
                return None;
            }
            self.extra += 1;
        }
        if run.offers() == 0 {
            let server = server.record.id.clone();
            self.firsts[shard] = Some(First { server, sent_at: now, took: None });
        }
        run.on_sent(&server.record.id, now + patience(&standing));
        Some((shard, server, standing.expected))
    }

    fn on_end(&mut self, shard: usize, server: &ServerId, outcome: Outcome<Reply>) -> Next {
        let run = &mut self.runs[shard];
        if run.is_answered() {
            return Next::Wait;
        }
        if let Outcome::Answered(reply) = &outcome
            && reply.is_success()
            && let Some(signature) = &reply.signature
            && !self.signatures.contains(signature)
        {
            run.on_answer();
            self.signatures.push(signature.clone());
            self.records.add(&reply.body);
            self.on_time(shard, server);
            return Next::Wait;
        }
        run.on_failure(self.tier.now(), server, failure_of(&outcome), self.job.route.attempts)
    }

    /// Takes in the time of an answer; when the pace of the request shows by it, the shards that
    /// are late by that pace are looked at early.
    fn on_time(&mut self, shard: usize, server: &ServerId) {
        let now = self.tier.now();
        if let Some(first) = self.firsts[shard].as_mut().filter(|first| first.server == *server) {
            first.took = Some(now.saturating_sub(first.sent_at));
        }
        if self.job.pace.get().is_some() {
            return;
        }
        let mut times: SmallVec<[Duration; 128]> =
            self.firsts.iter().flatten().filter_map(|first| first.took).collect();
        if (times.len() as f64) < self.shards.len() as f64 * PACE_SHARE {
            return;
        }
        times.sort_unstable();
        // Of the half that is in, the slowest third is nearest to the median of all.
        let pace = times[times.len() * 5 / 6];
        self.job.pace.set(pace);
        let target = self.job.route.latency_target;
        let mut beliefs = self.tier.beliefs();
        beliefs.on_request(&self.job.route.id, pace, target);
        let late_after = pace.mul_f64(LATE_FACTOR).max(pace + MIN_LATE);
        for (run, first) in self.runs.iter_mut().zip(&self.firsts) {
            let Some(first) = first else { continue };
            if let Some(took) = first.took {
                beliefs.on_speed(now, &first.server, took, pace);
            } else if run.offers() == 1 && run.is_running() {
                run.look_again(first.sent_at + late_after);
            }
        }
    }

    fn finish(self, needed: usize) -> Outcome<Gathered> {
        let parts = self.signatures.len();
        let missing = self.shards.len() - parts;
        self.log(missing);
        self.tier.metrics.missing(&self.job.route.id, missing as u64);
        self.tier.metrics.attempts("extra", u64::from(self.extra));
        if parts >= needed {
            let records = self.records.into_bytes();
            return Outcome::Answered(Gathered { signatures: self.signatures, missing, records });
        }
        let ran = parts > 0 || self.runs.iter().any(ShardRun::may_have_run);
        let reasons =
            || self.runs.iter().filter(|run| !run.is_answered()).map(ShardRun::unanswered);
        if ran {
            let unknown = reasons().find_map(|outcome| match outcome {
                Outcome::Unknown(reason) => Some(reason),
                Outcome::NotRun(_) | Outcome::Answered(()) => None,
            });
            return Outcome::Unknown(unknown.unwrap_or(UnknownReason::TimedOut));
        }
        let not_run = reasons().find_map(|outcome| match outcome {
            Outcome::NotRun(reason) => Some(reason),
            Outcome::Unknown(_) | Outcome::Answered(()) => None,
        });
        Outcome::NotRun(not_run.unwrap_or(NotRunReason::Unreachable))
    }

    fn log(&self, missing: usize) {
        if missing == 0 && self.extra == 0 {
            return;
        }
        let named = (0..self.runs.len()).filter(|n| !self.runs[*n].is_answered()).take(MAX_NAMED);
        let missing_shards: SmallVec<[(SmolStr, Outcome<()>); MAX_NAMED]> =
            named.map(|n| (self.shards[n].clone(), self.runs[n].unanswered())).collect();
        tracing::info!(
            request = %self.job.call.request_id, route = %self.job.route.id,
            shards = self.shards.len(), missing, extra = self.extra,
            servers_revision = self.tier.servers.load().revision,
            missing_shards = ?missing_shards, "gathered in part or with extra attempts"
        );
    }
}

async fn send<B: BackendProtocol>(
    tier: Arc<Tier<B>>,
    job: Arc<Job>,
    shard: usize,
    server: Arc<LiveServer>,
    expected: Duration,
) -> Ended {
    let outcome = attempt(&tier, &job, &server, expected).await;
    (shard, server.record.id.clone(), outcome)
}

async fn sleep_until(at: Option<tokio::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
