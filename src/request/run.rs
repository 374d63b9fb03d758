//! Runs a query on one pinned version: attempts, hedges, retries and the answer.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rand::RngExt;
use smallvec::SmallVec;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::batch_call::{BatchCall, Event};
use super::gather::Gather;
use super::replica_choice::{Choice, choose, choose_hedge, hedging_helps};
use super::shared_state::SharedState;
use crate::clock::{Monotonic, millis};
use crate::connection::peer::{Batch, BatchId, BatchItem, Part, PeerClient, ShardReport};
use crate::connection::query::{Answer, Query};
use crate::ids::{HostId, ServerId, ShardId};
use crate::outcome::{NotRunReason, Outcome};
use crate::process::servers::hints::Candidate;
use crate::version::config::{Kind, Preference, Server, Service, Shard};
use crate::version::operational::OperationalState;

/// A partial answer that meets the coverage floor is returned after this many hedge delays.
const EARLY_ANSWER_FACTOR: u32 = 2;
/// The maximum number of attempts at one shard.
const MAX_ATTEMPTS: usize = 6;
const FIRST_BACKOFF: Duration = Duration::from_millis(10);
/// Timeout for sending a cancellation to an owner.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(100);

/// The owner, batch and server of a sent attempt.
pub(super) struct SentAttempt {
    owner: HostId,
    batch: BatchId,
    server: ServerId,
}

/// One run of a query on one pinned version.
pub(super) struct Run<'a> {
    shared: &'a SharedState,
    pinned: &'a OperationalState,
    service: &'a Service,
    query: &'a Query,
    shards: BTreeMap<ShardId, &'a Shard>,
    deadline: Monotonic,
    hedge_delay: Duration,
    gather: Gather,
    retries: Vec<(Monotonic, ShardId)>,
    calls: JoinSet<()>,
    sent: HashMap<ShardId, SmallVec<[SentAttempt; 2]>>,
    events: mpsc::UnboundedSender<Event>,
    inbox: mpsc::UnboundedReceiver<Event>,
}

impl<'a> Run<'a> {
    /// Creates a run on the given shards of a pinned version.
    pub(super) fn new(
        shared: &'a SharedState,
        pinned: &'a OperationalState,
        service: &'a Service,
        query: &'a Query,
        shards: BTreeMap<ShardId, &'a Shard>,
        deadline: Monotonic,
    ) -> Self {
        let limit = (service.kind == Kind::Listing).then_some(query.limit as usize);
        let (events, inbox) = mpsc::unbounded_channel();
        Self {
            shared,
            gather: Gather::new(service.index_version, shards.keys().copied(), limit),
            hedge_delay: shared.hedge_delay(service),
            retries: Vec::new(),
            calls: JoinSet::new(),
            sent: HashMap::new(),
            pinned,
            service,
            query,
            shards,
            deadline,
            events,
            inbox,
        }
    }
}

impl Run<'_> {
    /// Runs the query until it is answered, an early answer is due, no attempt can still succeed,
    /// or the deadline passes. Also returns whether the pinned index version is gone.
    pub(super) async fn finish(mut self) -> (Outcome<Answer>, bool) {
        let started = self.now();
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        self.shared.with_budgets(&self.service.id, |b| {
            b.hedge.deposit(started, shards.len() as u64);
            b.retry.deposit(started, shards.len() as u64);
        });
        self.send(&shards, "first");
        let mut hedge_at = Some(started + self.hedge_delay);
        while !self.is_done(started) {
            let wake_at = self.next_wake_at(started, hedge_at);
            let until = self.shared.context.clock.instant(wake_at);
            tokio::select! {
                Some(event) = self.inbox.recv() => self.on_event(event),
                () = tokio::time::sleep_until(until) => {}
            }
            let now = self.now();
            if hedge_at.is_some_and(|at| now >= at) {
                hedge_at = None;
                self.hedge();
            }
            self.retry_due(now);
        }
        self.abandon();
        let version_gone = self.gather.version_gone();
        (self.gather.finish(), version_gone)
    }

    fn now(&self) -> Monotonic {
        self.shared.context.clock.now()
    }

    fn is_done(&self, started: Monotonic) -> bool {
        let now = self.now();
        let settled = self.gather.is_idle() && self.retries.is_empty();
        let early_answer_due = self.service.preference == Preference::Latency
            && now >= started + self.hedge_delay * EARLY_ANSWER_FACTOR
            && self.gather.coverage().permille() >= self.service.floor_permille.max(1);
        self.gather.is_complete() || settled || early_answer_due || now >= self.deadline
    }

    fn next_wake_at(&self, started: Monotonic, hedge_at: Option<Monotonic>) -> Monotonic {
        let early = (self.service.preference == Preference::Latency)
            .then_some(started + self.hedge_delay * EARLY_ANSWER_FACTOR)
            .filter(|at| *at > self.now());
        let retry = self.retries.iter().map(|(at, _)| *at).min();
        [Some(self.deadline), hedge_at, early, retry]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or_default()
    }

    fn on_event(&mut self, event: Event) {
        let now = self.now();
        let (part, reported) = match event {
            Event::Late { items } => {
                self.fail_over(now, &items);
                return;
            }
            Event::Part { sent_at, part } => {
                self.record_latencies(now.saturating_sub(sent_at), &part);
                (part, true)
            }
            Event::Failed { items, outcome } => {
                let ended = items.into_iter().map(|item| ShardReport {
                    shard: item.shard,
                    server: item.server,
                    outcome: outcome.clone(),
                    expected_us: 0,
                    warm: false,
                    took_us: 0,
                });
                (Part { ended: ended.collect(), rows: Vec::new(), pending: 0, held_us: 0 }, false)
            }
        };
        self.update_hints(now, &part, reported);
        let ended: Vec<ShardId> = part.ended.iter().map(|r| r.shard).collect();
        let unresolved = self.gather.on_part(part);
        for shard in ended {
            if self.gather.is_answered(shard) {
                self.cancel_losers(shard);
            }
        }
        for shard in unresolved {
            self.plan_retry(now, shard);
        }
    }

    /// Records the latency of each answered shard, without the time that its reply was held back
    /// for others of its batch.
    fn record_latencies(&self, took: Duration, part: &Part) {
        let answered = part.ended.iter().filter(|r| matches!(r.outcome, Outcome::Answered(())));
        for report in answered {
            let held = Duration::from_micros(part.held_us.saturating_sub(report.took_us));
            self.shared.record_latency(&self.service.id, took.saturating_sub(held));
        }
    }

    fn update_hints(&self, now: Monotonic, part: &Part, reported: bool) {
        let mut hints = self.shared.hints.lock().expect("no holder of the lock panics");
        let mut overloaded = false;
        for report in &part.ended {
            let expected = Duration::from_micros(report.expected_us);
            let hint = reported.then_some((expected, report.warm));
            hints.on_ended(now, &report.server, &report.outcome, hint);
            overloaded |= matches!(
                report.outcome,
                Outcome::NotRun(NotRunReason::Overloaded | NotRunReason::DeadlineTooClose)
            );
        }
        drop(hints);
        if overloaded {
            self.shared.with_budgets(&self.service.id, |b| {
                b.hedge.on_overload(now);
                b.retry.on_overload(now);
            });
        }
    }

    /// Retries the shards of an unresponsive host elsewhere.
    fn fail_over(&mut self, now: Monotonic, items: &[BatchItem]) {
        for item in items {
            let waiting = !self.gather.is_answered(item.shard);
            if waiting && self.gather.tried(item.shard).len() == 1 && self.spend_retry(now) {
                self.retries.push((now, item.shard));
            }
        }
    }

    /// Tells whether a retry is allowed, and takes it out of the budget if retries are limited.
    fn spend_retry(&self, now: Monotonic) -> bool {
        !self.shared.context.policy.retry_budget
            || self.shared.with_budgets(&self.service.id, |b| b.retry.try_spend(now))
    }

    /// Schedules the next attempt at a shard, if its failure and the budget allow one.
    fn plan_retry(&mut self, now: Monotonic, shard: ShardId) {
        let tried = self.gather.tried(shard).len();
        let Some(failure) = self.gather.failure(shard) else {
            return;
        };
        let consumes_budget = matches!(
            failure,
            Outcome::Unknown(_) | Outcome::NotRun(NotRunReason::Shed | NotRunReason::VersionGone)
        );
        let final_failure =
            matches!(failure, Outcome::NotRun(NotRunReason::VersionGone | NotRunReason::Cancelled));
        if final_failure || tried >= MAX_ATTEMPTS {
            return;
        }
        if consumes_budget && !self.spend_retry(now) {
            return;
        }
        let replicas = self.shards.get(&shard).map_or(0, |s| s.servers.len());
        let rounds = u32::try_from(tried / replicas.max(1)).unwrap_or(u32::MAX);
        let backoff =
            if rounds == 0 { Duration::ZERO } else { FIRST_BACKOFF * (1 << rounds.min(6)) };
        self.retries.push((now + backoff, shard));
    }

    fn retry_due(&mut self, now: Monotonic) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.retries).into_iter().partition(|(at, _)| *at <= now);
        self.retries = later;
        let shards: Vec<ShardId> = due.into_iter().map(|(_, shard)| shard).collect();
        if !shards.is_empty() {
            self.send(&shards, "retry");
        }
    }

    /// Hedges late shards at other warm replicas, within the budget.
    fn hedge(&mut self) {
        if !self.shared.context.policy.hedging {
            return;
        }
        let now = self.now();
        let late = self.gather.first_attempts();
        if !hedging_helps(late.len(), self.shards.len()) {
            return;
        }
        for shard in late {
            let candidates = self.candidates(shard);
            let Some(n) = choose_hedge(&candidates) else {
                continue;
            };
            if !self.shared.with_budgets(&self.service.id, |b| b.hedge.try_spend(now)) {
                return;
            }
            let server = self.shards[&shard].servers[n].clone();
            self.send_to(vec![(shard, server)], "hedge");
        }
    }

    fn candidates(&self, shard: ShardId) -> Vec<Candidate> {
        let now = self.now();
        let typical = Duration::from_millis(self.service.limits.typical_ms);
        let hints = self.shared.hints.lock().expect("no holder of the lock panics");
        let tried = self.gather.tried(shard);
        let servers = self.shards.get(&shard).map_or(&[][..], |s| &s.servers);
        let candidate = |server: &Server| {
            let open = self.shared.context.is_available(&server.id);
            hints.candidate(now, &server.id, typical, open, tried.contains(&server.id))
        };
        servers.iter().map(candidate).collect()
    }

    /// Chooses a replica for each shard and sends the attempts. A shard without a replica keeps its
    /// last failure.
    fn send(&mut self, shards: &[ShardId], kind: &'static str) {
        let two_choices = self.shared.context.policy.two_choices;
        let choice = if two_choices { Choice::TwoChoices } else { Choice::Random };
        let mut chosen = Vec::with_capacity(shards.len());
        for shard in shards {
            let mut candidates = self.candidates(*shard);
            if !candidates.iter().any(|c| c.usable) {
                // All replicas refused recently; the hint may be outdated, so the owners decide.
                candidates.iter_mut().for_each(|c| c.usable = true);
            }
            if let Some(n) = choose(&candidates, choice, &mut rand::rng()) {
                chosen.push((*shard, self.shards[shard].servers[n].clone()));
            }
        }
        self.send_to(chosen, kind);
    }

    /// Sends attempts to the owners of their servers, one batch per owner.
    fn send_to(&mut self, chosen: Vec<(ShardId, Server)>, kind: &'static str) {
        let context = &self.shared.context;
        context.metrics.attempts(kind, chosen.len() as u64);
        let newest = context.operational.load();
        let mut by_owner: BTreeMap<HostId, Vec<BatchItem>> = BTreeMap::new();
        for (shard, server) in chosen {
            let entry = newest.server(&server.id).or_else(|| self.pinned.server(&server.id));
            let Some(seat) = entry.map(|entry| entry.seat.clone()) else {
                continue;
            };
            let owner = context.holder(&seat);
            let attempt = rand::rng().random();
            tracing::info!(
                request = %self.query.request_id, shard, server = %server.id, %owner, kind,
                attempt, "routed"
            );
            self.gather.on_sent(shard, &server.id);
            self.shared.hints.lock().expect("no holder of the lock panics").on_sent(&server.id);
            let item = BatchItem { attempt, shard, server: server.id };
            by_owner.entry(owner).or_default().push(item);
        }
        for (owner, items) in by_owner {
            let id = rand::rng().random();
            for item in &items {
                let sent = self.sent.entry(item.shard).or_default();
                sent.push(SentAttempt {
                    owner: owner.clone(),
                    batch: id,
                    server: item.server.clone(),
                });
            }
            self.call(owner, id, items);
        }
    }

    fn call(&mut self, owner: HostId, id: BatchId, items: Vec<BatchItem>) {
        let batch = Batch {
            id,
            query: self.query.clone(),
            kind: self.service.kind,
            index_version: self.service.index_version,
            deadline_us: 0,
            flush_ms: millis(self.hedge_delay * 3 / 4),
            items,
        };
        let call = BatchCall {
            context: self.shared.context.clone(),
            batches: self.shared.batches.clone(),
            owner,
            deadline: self.deadline,
            sent_at: self.now(),
            events: self.events.clone(),
        };
        self.calls.spawn(call.run(batch));
    }

    /// Cancels the attempts at a shard that another attempt answered first.
    fn cancel_losers(&mut self, shard: ShardId) {
        let running = self.gather.running(shard);
        let Some(sent) = self.sent.get(&shard) else {
            return;
        };
        for loser in sent.iter().filter(|attempt| running.contains(&attempt.server)) {
            let context = self.shared.context.clone();
            if loser.owner == context.me {
                self.shared.batches.cancel(loser.batch, &[shard]);
                continue;
            }
            let (owner, id) = (loser.owner.clone(), loser.batch);
            tokio::spawn(async move {
                let Some(to) = context.address(&owner) else {
                    return;
                };
                let call = |client: PeerClient, ctx| async move {
                    client.cancel(ctx, id, vec![shard]).await
                };
                let _ = context.peers.call(&to, CANCEL_TIMEOUT, call).await;
            });
        }
    }

    /// Abandons the attempts that still run; dropping the calls cancels them at the owners.
    fn abandon(&mut self) {
        self.calls.abort_all();
        let mut hints = self.shared.hints.lock().expect("no holder of the lock panics");
        for shard in self.shards.keys() {
            for server in self.gather.running(*shard) {
                hints.on_abandoned(server);
            }
        }
    }
}
