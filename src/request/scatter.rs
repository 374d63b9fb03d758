//! Scatters a request over one server of each shard and gathers the parts of the answer.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hyper::body::Bytes;
use smallvec::SmallVec;
use smol_str::SmolStr;

use super::attempt::{
    CRASH_SETTLE_TIME, Job, NoServer, Path, attempt, choose_server, failure_of, finish_remaining,
    overdue_after,
};
use super::baseline::{late_after, late_after_with_slowness};
use super::dispatch::{
    Event, FirstAttempt, InFlight, PlannedAttempt, RelayGroup, call_relay, group_by_domain,
};
use super::parts::Parts;
use super::server_choice::Purpose;
use super::shard_run::{Next, ShardRun};
use super::timer::sleep_until;
use crate::clock::{Monotonic, micros};
use crate::connection::exchange::{BackendProtocol, Reply, Signature};
use crate::connection::peer_frame::RelayParts;
use crate::ids::{ServerId, ServiceId};
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::process::servers::registry::LiveServer;
use crate::process::tier::Tier;
use crate::version::plan::GatherRule;

/// Time allowed to a relayed call beyond the attempts themselves: one round trip between failure
/// domains and the relay's own processing.
const RELAY_GRACE: Duration = Duration::from_millis(8);
/// A relay that has returned nothing within this time is suspected.
const RELAY_SILENCE_TIMEOUT: Duration = Duration::from_millis(60);
/// Time until the next check of a late shard that has no eligible server.
const LATE_RECHECK_INTERVAL: Duration = Duration::from_millis(8);
/// The maximum number of missing shards that a log line lists.
const MAX_LOGGED_SHARDS: usize = 4;

/// The merged answer of several shards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gathered {
    /// The signatures of the received parts.
    pub signatures: Vec<Signature>,
    /// The number of shards without a part.
    pub missing: usize,
    /// The top records of all parts, in descending order.
    pub records: Bytes,
}

/// The state of one scatter-gather request.
struct Scatter<'a, B: BackendProtocol> {
    tier: &'a Arc<Tier<B>>,
    job: &'a Arc<Job>,
    shards: &'a [ServiceId],
    version: u64,
    runs: Vec<ShardRun>,
    first_attempts: Vec<Option<FirstAttempt>>,
    groups: Vec<RelayGroup>,
    parts: Parts,
    record_count: usize,
    extra: u32,
    /// Set once a relay has reported another plan version; all later attempts go directly.
    direct_only: bool,
    /// The number of shards whose servers may have crashed because of this request.
    crashes: u32,
}

/// Sends a request to all shards of a route and gathers their parts.
///
/// Returns when every shard has answered, when no further part can arrive, or at the soft deadline
/// once the coverage floor is met. Below the floor it waits until the floor is met or the deadline
/// passes.
pub async fn scatter<B: BackendProtocol>(
    tier: &Arc<Tier<B>>,
    job: &Arc<Job>,
    rule: &GatherRule,
    version: u64,
) -> Outcome<Gathered> {
    let needed = rule.parts_needed();
    let mut scatter = Scatter {
        tier,
        job,
        shards: &rule.shards,
        version,
        runs: vec![ShardRun::default(); rule.shards.len()],
        first_attempts: vec![None; rule.shards.len()],
        groups: Vec::new(),
        parts: Parts::default(),
        record_count: rule.record_count,
        extra: 0,
        direct_only: false,
        crashes: 0,
    };
    let (reachable, within_limits) = scatter.reachable();
    if reachable < needed {
        return Outcome::NotRun(NotRunReason::Unreachable);
    }
    if within_limits < needed {
        return Outcome::NotRun(NotRunReason::RateLimited);
    }
    let first: Vec<PlannedAttempt> =
        (0..rule.shards.len()).filter_map(|n| scatter.start(n, Purpose::Needed)).collect();
    let mut running: FuturesUnordered<_> = scatter.send(first).into_iter().map(wait).collect();
    let soft_deadline = tier.clock.instant(job.soft_deadline);
    let deadline = tier.clock.instant(job.deadline);
    let cut_off = tier.server_paths.newly_cut_off();
    tokio::pin!(cut_off);
    loop {
        let parts = scatter.parts.covered();
        let enough = parts >= needed;
        if parts == rule.shards.len() || (enough && tier.now() >= job.soft_deadline) {
            break;
        }
        let attainable = scatter.attainable();
        if attainable < needed || (enough && attainable == parts) {
            break;
        }
        let next_check_at = scatter.next_check_at().map(|at| tier.clock.instant(at));
        tokio::select! {
            biased;
            Some(event) = running.next() => {
                let (sends, again) = scatter.on_event(event);
                running.extend(scatter.send(sends).into_iter().chain(again).map(wait));
            }
            () = sleep_until(next_check_at) => {
                let sends = scatter.on_check();
                running.extend(scatter.send(sends).into_iter().map(wait));
            }
            () = cut_off.as_mut(), if !enough => {
                // What was sent directly is not answered any more; another host may still gather all.
                return scatter.give_up();
            }
            () = tokio::time::sleep_until(soft_deadline), if enough => {}
            () = tokio::time::sleep_until(deadline) => break,
        }
    }
    if !running.is_empty() {
        tokio::spawn(finish_remaining(running));
    }
    scatter.finish(needed)
}

async fn wait<B: BackendProtocol>(in_flight: InFlight<B>) -> Event {
    match in_flight {
        InFlight::Direct { tier, job, shard, server, expected } => {
            let outcome = attempt(&tier, &job, &server, expected).await;
            Event::Direct(shard, server.record.id.clone(), outcome)
        }
        InFlight::Relay { group, mut call } => {
            let parts = call.next().await;
            Event::Relayed(group, call, parts)
        }
    }
}

impl<B: BackendProtocol> Scatter<'_, B> {
    /// Returns the number of shards with at least one server that may receive the request, and how
    /// many of them have one that is not at its rate limit.
    fn reachable(&self) -> (usize, usize) {
        let servers = self.tier.servers.load();
        let unreachable = self.tier.unreachable_domains();
        let fit = |server: &Arc<LiveServer>| {
            let domain = &server.record.domain;
            self.tier.route_allows_domain(&self.job.route, domain)
                && !unreachable.contains(&self.tier.domain_index(domain))
        };
        let mut reachable = 0;
        let mut within_limits = 0;
        for shard in self.shards {
            let mut fit = servers.of(shard).iter().filter(|server| fit(server)).peekable();
            reachable += usize::from(fit.peek().is_some());
            let path = Path::Relays(self.version);
            let within_limit = fit.any(|server| path.is_within_limit(self.tier, &server.record));
            within_limits += usize::from(within_limit);
        }
        (reachable, within_limits)
    }

    /// Returns the number of shards that have answered or may still answer.
    fn attainable(&self) -> usize {
        self.runs.iter().filter(|run| !run.is_exhausted()).count()
    }

    fn next_check_at(&self) -> Option<Monotonic> {
        self.runs.iter().filter_map(ShardRun::next_check_at).min()
    }

    /// Plans further attempts at the shards whose check time has come.
    fn on_check(&mut self) -> Vec<PlannedAttempt> {
        let now = self.tier.now();
        let due = |n: &usize| self.runs[*n].next_check_at().is_some_and(|at| at <= now);
        let due: SmallVec<[usize; 8]> = (0..self.runs.len()).filter(due).collect();
        let mut sends = self.suspect_silent_relays(now);
        for shard in due {
            if sends.iter().any(|send| send.shard == shard) {
                continue;
            }
            let running = self.runs[shard].is_running();
            if running {
                self.record_overdue(now, shard);
            }
            let purpose = if running { Purpose::Hedge } else { Purpose::Needed };
            sends.extend(self.start(shard, purpose));
        }
        sends
    }

    /// Records that the first attempt at a shard is overdue, so that other requests avoid its
    /// server.
    fn record_overdue(&self, now: Monotonic, shard: usize) {
        if let Some(first) = &self.first_attempts[shard]
            && !first.relayed
            && self.runs[shard].send_count() == 1
        {
            self.tier.passive_health().on_overdue(now, &first.server);
            let service = &self.shards[shard];
            self.tier.server_paths.on_silence(now, service, &first.server, first.sent_at);
        }
    }

    /// Suspects relays that have returned nothing in time. If their whole failure domain can't be
    /// reached, no longer waits for them and returns further attempts.
    fn suspect_silent_relays(&mut self, now: Monotonic) -> Vec<PlannedAttempt> {
        let baseline = self.job.baseline.get().unwrap_or(self.job.typical);
        let silence = RELAY_SILENCE_TIMEOUT.max(baseline * 3);
        let unreachable = self.tier.unreachable_domains();
        let mut lost: SmallVec<[(usize, ServerId); 16]> = SmallVec::new();
        for group in &mut self.groups {
            if group.responded || now < group.sent_at + silence {
                continue;
            }
            if !group.suspected {
                group.suspected = true;
                self.tier.on_host_overdue(group.host, group.sent_at);
            }
            if !group.given_up && unreachable.contains(&group.domain) {
                group.given_up = true;
                lost.extend(group.pending.iter().cloned());
            }
        }
        let timed_out = Outcome::Unknown(UnknownReason::TimedOut);
        let failed = |(shard, server)| self.on_failure(shard, &server, timed_out.clone());
        lost.into_iter().filter_map(failed).collect()
    }

    /// Chooses a server for the next attempt at a shard. Returns `None` if there is none, or if the
    /// limits or the budget forbid another attempt.
    fn start(&mut self, shard: usize, purpose: Purpose) -> Option<PlannedAttempt> {
        let now = self.tier.now();
        let service = &self.shards[shard];
        let run = &mut self.runs[shard];
        if !run.may_send(self.job.route.attempts) {
            run.cancel_check();
            return None;
        }
        let path = if self.direct_only { Path::Direct } else { Path::Relays(self.version) };
        let (server, health) = match choose_server(self.tier, self.job, service, run, purpose, path)
        {
            Ok(chosen) => chosen,
            Err(NoServer::RateLimited(wait)) if run.is_running() => {
                run.schedule_check(now + wait.max(LATE_RECHECK_INTERVAL));
                return None;
            }
            Err(NoServer::RateLimited(_)) => {
                run.on_rate_limited();
                return None;
            }
            Err(NoServer::Unavailable) if run.is_running() => {
                run.schedule_check(now + LATE_RECHECK_INTERVAL);
                return None;
            }
            Err(NoServer::Unavailable) => {
                run.on_no_server(now);
                return None;
            }
        };
        if run.send_count() > 0 && !self.job.may_send_again(self.tier) {
            run.cancel_check();
            return None;
        }
        if run.send_count() == 0 {
            self.tier.extra().on_first(now, service);
        } else if run.is_extra() {
            let sharing = self.tier.fleet.load().sharing_hosts();
            if !self.tier.extra().try_spend(now, service, sharing) {
                run.cancel_check();
                return None;
            }
            self.extra += 1;
        }
        Some(PlannedAttempt { shard, server, health })
    }

    /// Starts the attempts: directly for servers that this host may connect to itself, otherwise
    /// through one relay per failure domain that has one.
    fn send(&mut self, sends: Vec<PlannedAttempt>) -> Vec<InFlight<B>> {
        let now = self.tier.now();
        let mut in_flight = Vec::with_capacity(sends.len());
        let (near, far): (Vec<PlannedAttempt>, Vec<PlannedAttempt>) =
            sends.into_iter().partition(|send| self.tier.sends_directly(&send.server.record));
        let is_first_attempt = |shard: usize| self.runs[shard].send_count() == 0;
        let far = group_by_domain(self.tier, self.job, self.shards, far, is_first_attempt);
        for ((domain, insists), sends) in far {
            let service = sends.first().map_or("", |send| self.shards[send.shard].as_str());
            let relay = self.tier.choose_relay(domain, service, self.version);
            let relay = relay.filter(|_| !self.direct_only);
            let call = relay.and_then(|host| {
                call_relay(self.tier, self.job, host, self.version, &sends, insists)
            });
            let Some(call) = call else {
                for send in sends {
                    self.record_sent(now, &send, false);
                    in_flight.push(self.direct(send));
                }
                continue;
            };
            for send in &sends {
                self.record_sent(now, send, true);
            }
            let group = self.groups.len();
            self.groups.push(RelayGroup::new(call.host, domain, now, sends));
            in_flight.push(InFlight::Relay { group, call });
        }
        for send in near {
            self.record_sent(now, &send, false);
            in_flight.push(self.direct(send));
        }
        in_flight
    }

    fn direct(&self, send: PlannedAttempt) -> InFlight<B> {
        InFlight::Direct {
            tier: self.tier.clone(),
            job: self.job.clone(),
            shard: send.shard,
            server: send.server,
            expected: send.health.expected,
        }
    }

    fn record_sent(&mut self, now: Monotonic, send: &PlannedAttempt, relayed: bool) {
        let run = &mut self.runs[send.shard];
        let server = send.server.record.id.clone();
        let grace = if relayed { RELAY_GRACE } else { Duration::ZERO };
        if run.send_count() == 0 {
            let server = server.clone();
            self.first_attempts[send.shard] =
                Some(FirstAttempt { server, sent_at: now, relayed, took: None });
        }
        tracing::debug!(
            request = %self.job.call.request_id, shard = send.shard, server = %server, relayed,
            offer = run.send_count(), expected_us = micros(send.health.expected), "sent"
        );
        run.on_sent(&server, now + overdue_after(&send.health) + grace);
    }

    /// Handles an event. Returns further attempts, and the relayed call while shards of it are
    /// pending.
    fn on_event(&mut self, event: Event) -> (Vec<PlannedAttempt>, Option<InFlight<B>>) {
        match event {
            Event::Direct(shard, server, outcome) => {
                (self.on_direct(shard, &server, outcome).into_iter().collect(), None)
            }
            Event::Relayed(group, mut call, Some(parts)) => {
                self.tier.on_host_answered(call.host);
                let sends = self.on_parts(group, parts);
                if self.groups[group].pending.is_empty() {
                    call.done();
                    return (sends, None);
                }
                (sends, Some(InFlight::Relay { group, call }))
            }
            Event::Relayed(group, call, None) => {
                self.tier.on_host_overdue(call.host, self.groups[group].sent_at);
                let pending = std::mem::take(&mut self.groups[group].pending);
                let lost = Outcome::Unknown(UnknownReason::ConnectionLost);
                let failed = |(shard, server)| self.on_failure(shard, &server, lost.clone());
                (pending.into_iter().filter_map(failed).collect(), None)
            }
        }
    }

    fn on_direct(
        &mut self,
        shard: usize,
        server: &ServerId,
        outcome: Outcome<Reply>,
    ) -> Option<PlannedAttempt> {
        if let Outcome::Answered(reply) = &outcome
            && reply.is_success()
            && let Some(signature) = &reply.signature
        {
            if !self.runs[shard].is_answered() {
                self.runs[shard].on_answer();
                self.parts.add([(shard, signature.clone())], reply.body.clone());
                tracing::debug!(
                    request = %self.job.call.request_id, shard, %server, "part received"
                );
                self.on_response_time(shard, server, None);
            }
            return None;
        }
        self.on_failure(shard, server, failure_of(&outcome))
    }

    fn on_failure(
        &mut self,
        shard: usize,
        server: &ServerId,
        failure: Outcome<()>,
    ) -> Option<PlannedAttempt> {
        let run = &mut self.runs[shard];
        if run.is_answered() {
            return None;
        }
        if run.refund_due(server, &failure) {
            self.tier.extra().refund(self.tier.now(), &self.shards[shard]);
        }
        let crashed = failure == Outcome::Unknown(UnknownReason::ConnectionLost)
            && self.tier.suspects.quarantine().is_suspect(self.job.fingerprint);
        match run.on_failure(self.tier.now(), server, failure, self.job.route.attempts) {
            Next::Retry if crashed => {
                // One more server shows whether the request is the cause. Without this limit, it
                // could take down the remaining servers of all shards.
                self.crashes += 1;
                if self.crashes == 1 {
                    run.schedule_check(self.tier.now() + CRASH_SETTLE_TIME);
                }
                None
            }
            Next::Retry => self.start(shard, Purpose::Needed),
            Next::Wait => None,
        }
    }

    fn on_parts(&mut self, group: usize, frame: RelayParts) -> Vec<PlannedAttempt> {
        let now = self.tier.now();
        self.groups[group].responded = true;
        tracing::debug!(
            request = %self.job.call.request_id, relay = %self.groups[group].host,
            parts = frame.parts.len(), failed = frame.failed.len(), late = frame.late,
            pace_us = frame.pace_us, elapsed_us = frame.elapsed_us, "relay returned"
        );
        let mut signed: SmallVec<[(usize, Signature); 16]> = SmallVec::new();
        let elapsed = Duration::from_micros(u64::from(frame.elapsed_us));
        let baseline = Duration::from_micros(u64::from(frame.pace_us));
        let transit = now.saturating_sub(self.groups[group].sent_at).saturating_sub(elapsed);
        for (shard, signature) in frame.parts {
            let shard = usize::from(shard);
            let Some(server) = self.groups[group].on_reported(shard) else { continue };
            signed.push((shard, signature));
            if !self.runs[shard].is_answered() {
                self.runs[shard].on_answer();
                let usual = if baseline.is_zero() { elapsed } else { baseline };
                self.on_response_time(shard, &server, Some(usual + transit));
            }
        }
        self.parts.add(signed, frame.records.into());
        for (shard, _) in self.groups[group].pending.iter().filter(|_| frame.late) {
            if self.runs[*shard].send_count() == 1 {
                self.runs[*shard].schedule_check(now);
            }
        }
        let mut sends = Vec::new();
        for failure in frame.failed {
            let shard = usize::from(failure.shard);
            let Some(server) = self.groups[group].on_reported(shard) else { continue };
            let wait_ms = frame.rate_limited.iter().find(|(limited, _)| *limited == failure.shard);
            if let Some((_, wait_ms)) = wait_ms {
                let wait = Duration::from_millis(u64::from(*wait_ms));
                self.tier.rate_limits().on_relay_refusal(now, &server, wait);
                let limited = Outcome::NotRun(NotRunReason::RateLimited);
                sends.extend(self.on_failure(shard, &server, limited));
                continue;
            }
            match failure.outcome {
                Outcome::NotRun(NotRunReason::VersionGone) => self.direct_only = true,
                _ if failure.server.is_none() => {
                    self.tier.passive_health().on_declined(now, &server);
                }
                _ => {}
            }
            sends.extend(self.on_failure(shard, &server, failure.outcome));
        }
        sends
    }

    /// Records the response time of a shard. Once the times establish the request's baseline,
    /// schedules the checks of the remaining shards by it.
    fn on_response_time(&mut self, shard: usize, server: &ServerId, took: Option<Duration>) {
        let now = self.tier.now();
        if let Some(first) =
            self.first_attempts[shard].as_mut().filter(|first| first.server == *server)
        {
            first.took = Some(took.unwrap_or_else(|| now.saturating_sub(first.sent_at)));
        }
        let times = self.first_attempts.iter().flatten().filter_map(|first| first.took);
        let Some(baseline) = self.job.baseline.try_establish(times, self.shards.len()) else {
            return;
        };
        let mut passive_health = self.tier.passive_health();
        passive_health.update_typical(&self.job.route.id, baseline, self.job.route.latency_target);
        for (run, first) in self.runs.iter_mut().zip(&self.first_attempts) {
            let Some(first) = first else { continue };
            let grace = if first.relayed { RELAY_GRACE } else { Duration::ZERO };
            match first.took {
                Some(took) if !first.relayed => {
                    passive_health.on_reply_time(now, &first.server, took, baseline)
                }
                Some(_) => {}
                None if run.send_count() == 1 && run.is_running() => {
                    let late_after = match passive_health.slowness(now, &first.server) {
                        Some(slowness) if !first.relayed => {
                            late_after_with_slowness(baseline, slowness)
                        }
                        Some(_) | None => late_after(baseline),
                    };
                    run.schedule_check(first.sent_at + late_after + grace);
                }
                None => {}
            }
        }
    }

    /// Ends the request because this host can't reach the servers any more.
    fn give_up(self) -> Outcome<Gathered> {
        self.log(self.shards.len() - self.parts.covered());
        if self.parts.covered() > 0 || self.runs.iter().any(ShardRun::may_have_run) {
            return Outcome::Unknown(UnknownReason::ConnectionLost);
        }
        Outcome::NotRun(NotRunReason::Unreachable)
    }

    fn finish(self, needed: usize) -> Outcome<Gathered> {
        let covered = self.parts.covered();
        let missing = self.shards.len() - covered;
        self.log(missing);
        self.tier.metrics.missing(&self.job.route.id, missing as u64);
        self.tier.metrics.attempts("extra", u64::from(self.extra));
        let all_sent_answered =
            self.runs.iter().all(|run| run.is_answered() || !run.may_have_run());
        if covered > 0 && all_sent_answered {
            self.tier.suspects.on_answered(
                self.tier.now(),
                &SmolStr::new_static("all shards"),
                self.job.fingerprint,
            );
        }
        if covered >= needed {
            let (signatures, records) = self.parts.finish(self.record_count);
            return Outcome::Answered(Gathered { signatures, missing, records });
        }
        let ran = covered > 0 || self.runs.iter().any(ShardRun::may_have_run);
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
        let named =
            (0..self.runs.len()).filter(|n| !self.runs[*n].is_answered()).take(MAX_LOGGED_SHARDS);
        let missing_shards: SmallVec<[(SmolStr, Outcome<()>); MAX_LOGGED_SHARDS]> =
            named.map(|n| (self.shards[n].clone(), self.runs[n].unanswered())).collect();
        let position = self.tier.servers.load().position;
        tracing::info!(
            request = %self.job.call.request_id, route = %self.job.route.id,
            shards = self.shards.len(), missing, extra = self.extra, relays = self.groups.len(),
            servers_epoch = position.epoch, servers_revision = position.revision,
            missing_shards = ?missing_shards, "gathered in part or with extra attempts"
        );
    }
}
