//! A request that one server of each shard answers together.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hyper::body::Bytes;
use smallvec::SmallVec;
use smol_str::SmolStr;

use super::attempt::{Job, attempt, choose, failure_of, linger, patience};
use super::pace::{late_after, late_after_at};
use super::parts::Parts;
use super::pick::Purpose;
use super::shard_run::{Next, ShardRun};
use super::timer::sleep_until;
use super::way::{Event, First, Group, Planned, Way, group_far, start_relay};
use crate::clock::{Monotonic, micros};
use crate::connection::exchange::{BackendProtocol, Reply, Signature};
use crate::connection::peer_frame::RelayParts;
use crate::ids::{ServerId, ServiceId};
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::process::servers::registry::LiveServer;
use crate::process::tier::Tier;
use crate::version::plan::GatherRule;

/// What a relay may take beyond the servers that it asks: two ways between failure domains and its
/// own processing.
const RELAY_GRACE: Duration = Duration::from_millis(8);
/// A relay that has returned nothing by then is taken to be silent.
const RELAY_SILENCE: Duration = Duration::from_millis(60);
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

/// The shards of one request and the parts that are in.
struct Scatter<'a, B: BackendProtocol> {
    tier: &'a Arc<Tier<B>>,
    job: &'a Arc<Job>,
    shards: &'a [ServiceId],
    version: u64,
    runs: Vec<ShardRun>,
    firsts: Vec<Option<First>>,
    groups: Vec<Group>,
    parts: Parts,
    record_count: usize,
    extra: u32,
    /// A relay has another plan by now, so that no relay is asked any more.
    direct_only: bool,
}

/// Sends a request to all shards of a route and gathers what comes in time.
///
/// The answer is given when every shard is in, when nothing more can come, or at the latency
/// target once the floor is met; below the floor it waits until the floor or the deadline.
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
        firsts: vec![None; rule.shards.len()],
        groups: Vec::new(),
        parts: Parts::default(),
        record_count: rule.record_count,
        extra: 0,
        direct_only: false,
    };
    if scatter.reachable() < needed {
        return Outcome::NotRun(NotRunReason::Unreachable);
    }
    let first: Vec<Planned> =
        (0..rule.shards.len()).filter_map(|n| scatter.start(n, Purpose::Needed)).collect();
    let mut running: FuturesUnordered<_> = scatter.send(first).into_iter().map(wait).collect();
    let answer_at = tier.clock.instant(job.answer_at);
    let deadline = tier.clock.instant(job.deadline);
    loop {
        let parts = scatter.parts.covered();
        let enough = parts >= needed;
        if parts == rule.shards.len() || (enough && tier.now() >= job.answer_at) {
            break;
        }
        let hopeful = scatter.hopeful();
        if hopeful < needed || (enough && hopeful == parts) {
            break;
        }
        let act_at = scatter.act_at().map(|at| tier.clock.instant(at));
        tokio::select! {
            biased;
            Some(event) = running.next() => {
                let (sends, again) = scatter.on_event(event);
                running.extend(scatter.send(sends).into_iter().chain(again).map(wait));
            }
            () = sleep_until(act_at) => {
                let sends = scatter.on_due();
                running.extend(scatter.send(sends).into_iter().map(wait));
            }
            () = tokio::time::sleep_until(answer_at), if enough => {}
            () = tokio::time::sleep_until(deadline) => break,
        }
    }
    if !running.is_empty() {
        tokio::spawn(linger(running));
    }
    scatter.finish(needed)
}

async fn wait<B: BackendProtocol>(way: Way<B>) -> Event {
    match way {
        Way::Direct { tier, job, shard, server, expected } => {
            let outcome = attempt(&tier, &job, &server, expected).await;
            Event::Direct(shard, server.record.id.clone(), outcome)
        }
        Way::Relay { group, mut call } => {
            let parts = call.next().await;
            Event::Relayed(group, call, parts)
        }
    }
}

impl<B: BackendProtocol> Scatter<'_, B> {
    /// Returns how many shards have a server that may get work.
    fn reachable(&self) -> usize {
        let servers = self.tier.servers.load();
        let fit =
            |server: &Arc<LiveServer>| self.tier.may_run_in(&self.job.route, &server.record.domain);
        self.shards.iter().filter(|shard| servers.of(shard).iter().any(fit)).count()
    }

    /// Returns how many shards are in or may still come in.
    fn hopeful(&self) -> usize {
        self.runs.iter().filter(|run| !run.is_over()).count()
    }

    fn act_at(&self) -> Option<Monotonic> {
        self.runs.iter().filter_map(ShardRun::act_at).min()
    }

    /// Returns further attempts at shards that wanted another look by now.
    fn on_due(&mut self) -> Vec<Planned> {
        let now = self.tier.now();
        let due = |n: &usize| self.runs[*n].act_at().is_some_and(|at| at <= now);
        let due: SmallVec<[usize; 8]> = (0..self.runs.len()).filter(due).collect();
        self.note_silent_relays(now);
        let mut sends = Vec::new();
        for shard in due {
            let running = self.runs[shard].is_running();
            if running {
                self.note_overdue(now, shard);
            }
            let purpose = if running { Purpose::Hedge } else { Purpose::Needed };
            sends.extend(self.start(shard, purpose));
        }
        sends
    }

    /// Notes that the server of a shard is late, so that other requests go elsewhere at once.
    fn note_overdue(&self, now: Monotonic, shard: usize) {
        if let Some(first) = &self.firsts[shard]
            && !first.relayed
            && self.runs[shard].offers() == 1
        {
            self.tier.beliefs().on_overdue(now, &first.server);
        }
    }

    fn note_silent_relays(&mut self, now: Monotonic) {
        let pace = self.job.pace.get().unwrap_or(self.job.typical);
        let silence = RELAY_SILENCE.max(pace * 3);
        for group in &mut self.groups {
            if !group.heard && !group.suspected && now >= group.sent_at + silence {
                group.suspected = true;
                self.tier.on_host_late(group.host, group.sent_at);
            }
        }
    }

    /// Notes the next attempt at a shard and returns where it goes, if there is a server for it
    /// and the budget allows it.
    fn start(&mut self, shard: usize, purpose: Purpose) -> Option<Planned> {
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
        } else if run.is_extra() {
            let sharing = self.tier.fleet.load().sharing;
            if !self.tier.extra().try_spend(now, service, sharing) {
                run.on_no_more();
                return None;
            }
            self.extra += 1;
        }
        Some(Planned { shard, server, standing })
    }

    /// Notes attempts and starts them: directly to servers that this host sends to itself, by one
    /// relay for each failure domain that has one otherwise.
    fn send(&mut self, sends: Vec<Planned>) -> Vec<Way<B>> {
        let now = self.tier.now();
        let mut ways = Vec::with_capacity(sends.len());
        let (near, far): (Vec<Planned>, Vec<Planned>) =
            sends.into_iter().partition(|send| self.tier.sends_itself(&send.server.record));
        let pick_first = |shard: usize| self.runs[shard].offers() == 0;
        let far = group_far(self.tier, self.job, self.shards, far, pick_first);
        for ((domain, insists), sends) in far {
            let service = sends.first().map_or("", |send| self.shards[send.shard].as_str());
            let relay = self.tier.relay_in(domain, service, self.version);
            let relay = relay.filter(|_| !self.direct_only);
            let call = relay.and_then(|host| {
                start_relay(self.tier, self.job, host, self.version, &sends, insists)
            });
            let Some(call) = call else {
                for send in sends {
                    self.note_sent(now, &send, false);
                    ways.push(self.direct(send));
                }
                continue;
            };
            for send in &sends {
                self.note_sent(now, send, true);
            }
            let group = self.groups.len();
            self.groups.push(Group::new(call.host, now, sends));
            ways.push(Way::Relay { group, call });
        }
        for send in near {
            self.note_sent(now, &send, false);
            ways.push(self.direct(send));
        }
        ways
    }

    fn direct(&self, send: Planned) -> Way<B> {
        Way::Direct {
            tier: self.tier.clone(),
            job: self.job.clone(),
            shard: send.shard,
            server: send.server,
            expected: send.standing.expected,
        }
    }

    fn note_sent(&mut self, now: Monotonic, send: &Planned, relayed: bool) {
        let run = &mut self.runs[send.shard];
        let server = send.server.record.id.clone();
        let grace = if relayed { RELAY_GRACE } else { Duration::ZERO };
        if run.offers() == 0 {
            let server = server.clone();
            self.firsts[send.shard] = Some(First { server, sent_at: now, relayed, took: None });
        }
        tracing::debug!(
            request = %self.job.call.request_id, shard = send.shard, server = %server, relayed,
            offer = run.offers(), expected_us = micros(send.standing.expected), "sent"
        );
        run.on_sent(&server, now + patience(&send.standing) + grace);
    }

    /// Takes in an event; returns further attempts, and the relayed call if more may come of it.
    fn on_event(&mut self, event: Event) -> (Vec<Planned>, Option<Way<B>>) {
        match event {
            Event::Direct(shard, server, outcome) => {
                (self.on_direct(shard, &server, outcome).into_iter().collect(), None)
            }
            Event::Relayed(group, mut call, Some(parts)) => {
                self.tier.suspicion().on_heard(self.tier.now(), &call.host);
                let sends = self.on_parts(group, parts);
                if self.groups[group].open.is_empty() {
                    call.done();
                    return (sends, None);
                }
                (sends, Some(Way::Relay { group, call }))
            }
            Event::Relayed(group, call, None) => {
                self.tier.on_host_late(call.host, self.groups[group].sent_at);
                let open = std::mem::take(&mut self.groups[group].open);
                let lost = Outcome::Unknown(UnknownReason::ConnectionLost);
                let failed = |(shard, server)| self.on_failure(shard, &server, lost.clone());
                (open.into_iter().filter_map(failed).collect(), None)
            }
        }
    }

    fn on_direct(
        &mut self,
        shard: usize,
        server: &ServerId,
        outcome: Outcome<Reply>,
    ) -> Option<Planned> {
        if let Outcome::Answered(reply) = &outcome
            && reply.is_success()
            && let Some(signature) = &reply.signature
        {
            if !self.runs[shard].is_answered() {
                self.runs[shard].on_answer();
                self.parts.add([(shard, signature.clone())], reply.body.clone());
                tracing::debug!(request = %self.job.call.request_id, shard, %server, "part is in");
                self.on_time(shard, server, None);
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
    ) -> Option<Planned> {
        let run = &mut self.runs[shard];
        if run.is_answered() {
            return None;
        }
        match run.on_failure(self.tier.now(), server, failure, self.job.route.attempts) {
            Next::Again => self.start(shard, Purpose::Needed),
            Next::Wait => None,
        }
    }

    fn on_parts(&mut self, group: usize, frame: RelayParts) -> Vec<Planned> {
        let now = self.tier.now();
        self.groups[group].heard = true;
        tracing::debug!(
            request = %self.job.call.request_id, relay = %self.groups[group].host,
            parts = frame.parts.len(), failed = frame.failed.len(), late = frame.late,
            pace_us = frame.pace_us, elapsed_us = frame.elapsed_us, "relay returned"
        );
        let mut signed: SmallVec<[(usize, Signature); 16]> = SmallVec::new();
        let elapsed = Duration::from_micros(u64::from(frame.elapsed_us));
        let pace = Duration::from_micros(u64::from(frame.pace_us));
        let way = now.saturating_sub(self.groups[group].sent_at).saturating_sub(elapsed);
        for (shard, signature) in frame.parts {
            let shard = usize::from(shard);
            let Some(server) = self.groups[group].close(shard) else { continue };
            signed.push((shard, signature));
            if !self.runs[shard].is_answered() {
                self.runs[shard].on_answer();
                let usual = if pace.is_zero() { elapsed } else { pace };
                self.on_time(shard, &server, Some(usual + way));
            }
        }
        self.parts.add(signed, frame.records.into());
        for (shard, _) in self.groups[group].open.iter().filter(|_| frame.late) {
            if self.runs[*shard].offers() == 1 {
                self.runs[*shard].look_again(now);
            }
        }
        let mut sends = Vec::new();
        for failure in frame.failed {
            let shard = usize::from(failure.shard);
            let Some(server) = self.groups[group].close(shard) else { continue };
            match failure.outcome {
                Outcome::NotRun(NotRunReason::VersionGone) => self.direct_only = true,
                _ if failure.server.is_none() => {
                    self.tier.beliefs().on_declined(now, &server);
                }
                _ => {}
            }
            sends.extend(self.on_failure(shard, &server, failure.outcome));
        }
        sends
    }

    /// Takes in the time of an answer; when the pace of the request shows by it, the shards that
    /// are late by that pace are looked at early.
    fn on_time(&mut self, shard: usize, server: &ServerId, took: Option<Duration>) {
        let now = self.tier.now();
        if let Some(first) = self.firsts[shard].as_mut().filter(|first| first.server == *server) {
            first.took = Some(took.unwrap_or_else(|| now.saturating_sub(first.sent_at)));
        }
        let times = self.firsts.iter().flatten().filter_map(|first| first.took);
        let Some(pace) = self.job.pace.show(times, self.shards.len()) else { return };
        let mut beliefs = self.tier.beliefs();
        beliefs.on_request(&self.job.route.id, pace, self.job.route.latency_target);
        for (run, first) in self.runs.iter_mut().zip(&self.firsts) {
            let Some(first) = first else { continue };
            let grace = if first.relayed { RELAY_GRACE } else { Duration::ZERO };
            match first.took {
                Some(took) if !first.relayed => beliefs.on_speed(now, &first.server, took, pace),
                Some(_) => {}
                None if run.offers() == 1 && run.is_running() => {
                    let late_after = match beliefs.slowness(now, &first.server) {
                        Some(slowness) if !first.relayed => late_after_at(pace, slowness),
                        Some(_) | None => late_after(pace),
                    };
                    run.look_again(first.sent_at + late_after + grace);
                }
                None => {}
            }
        }
    }

    fn finish(self, needed: usize) -> Outcome<Gathered> {
        let covered = self.parts.covered();
        let missing = self.shards.len() - covered;
        self.log(missing);
        self.tier.metrics.missing(&self.job.route.id, missing as u64);
        self.tier.metrics.attempts("extra", u64::from(self.extra));
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
        let named = (0..self.runs.len()).filter(|n| !self.runs[*n].is_answered()).take(MAX_NAMED);
        let missing_shards: SmallVec<[(SmolStr, Outcome<()>); MAX_NAMED]> =
            named.map(|n| (self.shards[n].clone(), self.runs[n].unanswered())).collect();
        tracing::info!(
            request = %self.job.call.request_id, route = %self.job.route.id,
            shards = self.shards.len(), missing, extra = self.extra, relays = self.groups.len(),
            servers_revision = self.tier.servers.load().revision,
            missing_shards = ?missing_shards, "gathered in part or with extra attempts"
        );
    }
}
