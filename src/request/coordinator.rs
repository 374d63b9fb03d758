//! Scatters a query over its shards and gathers the answer.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::RngExt;
use smallvec::SmallVec;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::choose::{Candidate, Choice, choose, choose_hedge};
use super::gather::Gather;
use super::keeper::Keeper;
use super::query::{Answer, Query};
use crate::clock::{Monotonic, micros, millis};
use crate::connection::peer::{Batch, BatchId, BatchItem, Order, Part, PeerClient, ShardReport};
use crate::connection::peer_pool::CallError;
use crate::ids::{HostId, ServerId, ServiceId, ShardId};
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::process::batches::{Batches, COLLECT_WAIT};
use crate::process::budget::Budget;
use crate::process::context::Context;
use crate::process::hints::Hints;
use crate::process::latency::LatencyTracker;
use crate::version::config::{Kind, Preference, Server, Service, Shard};
use crate::version::operational::Operational;
use crate::version::placement;

/// The part of a deadline that is left for the reply to travel, as a divisor, and its upper bound.
const REPLY_SHARE: u32 = 10;
const MAX_REPLY_MARGIN: Duration = Duration::from_millis(10);
/// Extra attempts for each thousand first ones; together they stay within 5%.
const HEDGE_PERMILLE: u64 = 30;
const RETRY_PERMILLE: u64 = 20;
const HEDGE_BURST: u64 = 20;
const RETRY_BURST: u64 = 100;
/// The quantile of shard latency after which a shard counts as late.
const LATE_QUANTILE: f64 = 0.985;
/// The hedge delay is between these many times the usual time.
const MIN_HEDGE_FACTOR: u32 = 2;
const MAX_HEDGE_FACTOR: u32 = 5;
/// The hedge delay while there are too few samples.
const START_HEDGE_FACTOR: u32 = 4;
/// An early answer waits this many hedge delays.
const EARLY_FACTOR: u32 = 2;
/// Attempts at one shard.
const MAX_ATTEMPTS: usize = 6;
const FIRST_BACKOFF: Duration = Duration::from_millis(10);
/// How much longer than its deadline a call between hosts is awaited.
const CALL_GRACE: Duration = Duration::from_millis(10);
/// How much later than expected an owner may answer before work goes elsewhere.
const LATE_ALLOWANCE: Duration = Duration::from_millis(50);
/// How long to wait before looking for a keeper again.
const KEEPER_RETRY: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct Budgets {
    hedge: Budget,
    retry: Budget,
}

/// Runs the requests of callers at this host.
#[derive(Debug)]
pub(crate) struct Coordinator {
    context: Arc<Context>,
    batches: Arc<Batches>,
    keeper: Arc<Keeper>,
    hints: Arc<Mutex<Hints>>,
    latencies: Mutex<HashMap<ServiceId, LatencyTracker>>,
    budgets: Mutex<HashMap<ServiceId, Budgets>>,
}

enum Event {
    Late { items: Vec<BatchItem> },
    Part { sent_at: Monotonic, part: Part },
    Failed { items: Vec<BatchItem>, outcome: Outcome<()> },
}

/// Where an attempt at a shard went.
struct SentAttempt {
    owner: HostId,
    batch: BatchId,
    server: ServerId,
}

/// One run of a query on one pinned version.
struct Run<'a> {
    coordinator: &'a Coordinator,
    pinned: &'a Operational,
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
}

impl Coordinator {
    pub(crate) fn new(
        context: Arc<Context>,
        batches: Arc<Batches>,
        keeper: Arc<Keeper>,
        hints: Arc<Mutex<Hints>>,
    ) -> Arc<Self> {
        let (latencies, budgets) = (Mutex::default(), Mutex::default());
        Arc::new(Self { context, batches, keeper, hints, latencies, budgets })
    }

    /// Runs a request to its outcome, at the latest shortly before its deadline.
    pub(crate) async fn run(&self, query: Query, deadline: Monotonic) -> Outcome<Answer> {
        let now = self.context.clock.now();
        let left = deadline.saturating_sub(now);
        let deadline = deadline.saturating_sub((left / REPLY_SHARE).min(MAX_REPLY_MARGIN));
        let pinned = self.context.operational.load_full();
        let Some(service) = pinned.config.service(&query.service) else {
            return Outcome::NotRun(NotRunReason::BadRequest);
        };
        if service.kind == Kind::Submit {
            return self.submit(query, deadline).await;
        }
        let outcome = self.run_on(&pinned, service, &query, deadline).await;
        let (outcome, version_gone) = outcome;
        let newest = self.context.operational.load_full();
        let moved = newest.config.service(&query.service).filter(|s| {
            version_gone && s.index_version != service.index_version && s.kind == service.kind
        });
        match moved {
            Some(moved) if self.context.clock.now() < deadline => {
                tracing::info!(
                    request = %query.request_id, service = %query.service,
                    from = service.index_version, to = moved.index_version,
                    "the pinned index version is gone; restarting once"
                );
                self.run_on(&newest, moved, &query, deadline).await.0
            }
            _ => outcome,
        }
    }

    async fn run_on(
        &self,
        pinned: &Operational,
        service: &Service,
        query: &Query,
        deadline: Monotonic,
    ) -> (Outcome<Answer>, bool) {
        let shards: BTreeMap<ShardId, &Shard> = match service.kind {
            Kind::Fetch | Kind::Submit => {
                service.shard_of(&query.key).into_iter().map(|s| (s.id, s)).collect()
            }
            Kind::Listing | Kind::Lookup => service.shards.iter().map(|s| (s.id, s)).collect(),
        };
        let limit = (service.kind == Kind::Listing).then_some(query.limit as usize);
        let (events, inbox) = mpsc::unbounded_channel();
        let run = Run {
            coordinator: self,
            gather: Gather::new(service.index_version, shards.keys().copied(), limit),
            hedge_delay: self.hedge_delay(service),
            retries: Vec::new(),
            calls: JoinSet::new(),
            sent: HashMap::new(),
            pinned,
            service,
            query,
            shards,
            deadline,
            events,
        };
        run.finish(inbox).await
    }

    fn hedge_delay(&self, service: &Service) -> Duration {
        let typical = Duration::from_millis(service.limits.typical_ms);
        let latencies = self.latencies.lock().expect("no holder of the lock panics");
        let tracked = latencies.get(&service.id).and_then(|t| t.quantile(LATE_QUANTILE));
        let (least, most) = (typical * MIN_HEDGE_FACTOR, typical * MAX_HEDGE_FACTOR);
        tracked.map_or(typical * START_HEDGE_FACTOR, |late| late.clamp(least, most))
    }

    fn record_latency(&self, service: &ServiceId, took: Duration) {
        let mut latencies = self.latencies.lock().expect("no holder of the lock panics");
        latencies.entry(service.clone()).or_default().record(took);
    }

    fn with_budgets<T>(&self, service: &ServiceId, f: impl FnOnce(&mut Budgets) -> T) -> T {
        let mut budgets = self.budgets.lock().expect("no holder of the lock panics");
        f(budgets.entry(service.clone()).or_insert_with(|| Budgets {
            hedge: Budget::new(HEDGE_PERMILLE, HEDGE_BURST),
            retry: Budget::new(RETRY_PERMILLE, RETRY_BURST),
        }))
    }

    /// Sends a non-idempotent request to its keeper; nothing is repeated once it may have run.
    async fn submit(&self, query: Query, deadline: Monotonic) -> Outcome<Answer> {
        loop {
            let config = self.context.operational.load().config.clone();
            let Some(seat) = placement::keeper_seat(&config, &query.request_id) else {
                return Outcome::NotRun(NotRunReason::NotReady);
            };
            let keeper = self.context.holder(&seat);
            let outcome = if keeper == self.context.me {
                self.keeper.submit(query.clone(), deadline).await
            } else {
                self.submit_to(&keeper, query.clone(), deadline).await
            };
            tracing::info!(
                request = %query.request_id, service = %query.service, %seat, %keeper,
                not_run = outcome.is_not_run(), "sent to its keeper"
            );
            let moving = matches!(
                outcome,
                Outcome::NotRun(
                    NotRunReason::NotOwner | NotRunReason::Unreachable | NotRunReason::NotReady
                )
            );
            if !moving || self.context.clock.now() + KEEPER_RETRY >= deadline {
                return outcome;
            }
            tokio::time::sleep(KEEPER_RETRY).await;
        }
    }

    async fn submit_to(&self, host: &HostId, query: Query, deadline: Monotonic) -> Outcome<Answer> {
        let unreachable = Outcome::NotRun(NotRunReason::Unreachable);
        if self.context.is_suspect(host) {
            return unreachable;
        }
        let Some(to) = self.context.address(host) else {
            return unreachable;
        };
        let Some(deadline_us) = self.context.peers.deadline_at(&to, deadline).await else {
            return unreachable;
        };
        let sent_at = self.context.clock.now();
        let timeout = deadline.saturating_sub(sent_at) + CALL_GRACE;
        let order = Order { query, deadline_us };
        let call = |client: PeerClient, ctx| async move { client.submit(ctx, order).await };
        match self.context.peers.call(&to, timeout, call).await {
            Ok(outcome) => {
                self.context.heard(host);
                outcome
            }
            Err(CallError::NotSent) => unreachable,
            Err(CallError::Lost) => {
                self.context.late(host, sent_at);
                Outcome::Unknown(UnknownReason::ConnectionLost)
            }
        }
    }
}

impl Run<'_> {
    /// Drives the query until it is answered, settled or out of time.
    async fn finish(
        mut self,
        mut inbox: mpsc::UnboundedReceiver<Event>,
    ) -> (Outcome<Answer>, bool) {
        let started = self.now();
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        self.coordinator.with_budgets(&self.service.id, |b| {
            b.hedge.deposit(started, shards.len() as u64);
            b.retry.deposit(started, shards.len() as u64);
        });
        self.send(&shards, "first");
        let mut hedge_at = Some(started + self.hedge_delay);
        while !self.is_done(started) {
            let wake = self.next_wake(started, hedge_at);
            let until = self.coordinator.context.clock.instant(wake);
            tokio::select! {
                Some(event) = inbox.recv() => self.on_event(event),
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
        self.coordinator.context.clock.now()
    }

    fn is_done(&self, started: Monotonic) -> bool {
        let now = self.now();
        let settled = self.gather.is_idle() && self.retries.is_empty();
        let late = self.service.preference == Preference::Latency
            && now >= started + self.hedge_delay * EARLY_FACTOR
            && self.gather.coverage().permille() >= self.service.floor_permille.max(1);
        self.gather.is_complete() || settled || late || now >= self.deadline
    }

    fn next_wake(&self, started: Monotonic, hedge_at: Option<Monotonic>) -> Monotonic {
        let early = (self.service.preference == Preference::Latency)
            .then_some(started + self.hedge_delay * EARLY_FACTOR)
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
        self.take_hints(now, &part, reported);
        let ended: Vec<ShardId> = part.ended.iter().map(|r| r.shard).collect();
        let open = self.gather.on_part(part);
        for shard in ended {
            if self.gather.is_answered(shard) {
                self.cancel_losers(shard);
            }
        }
        for shard in open {
            self.plan_retry(now, shard);
        }
    }

    /// Records what each answered shard took, less the time that its reply was held back for
    /// others of its batch.
    fn record_latencies(&self, took: Duration, part: &Part) {
        let answered = part.ended.iter().filter(|r| matches!(r.outcome, Outcome::Answered(())));
        for report in answered {
            let held = Duration::from_micros(part.held_us.saturating_sub(report.took_us));
            self.coordinator.record_latency(&self.service.id, took.saturating_sub(held));
        }
    }

    fn take_hints(&self, now: Monotonic, part: &Part, reported: bool) {
        let mut hints = self.coordinator.hints.lock().expect("no holder of the lock panics");
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
            self.coordinator.with_budgets(&self.service.id, |b| {
                b.hedge.on_overload(now);
                b.retry.on_overload(now);
            });
        }
    }

    /// Asks the shards of a host that does not answer again at other hosts.
    fn fail_over(&mut self, now: Monotonic, items: &[BatchItem]) {
        for item in items {
            let waiting = !self.gather.is_answered(item.shard);
            if waiting && self.gather.tried(item.shard).len() == 1 && self.spend_retry(now) {
                self.retries.push((now, item.shard));
            }
        }
    }

    /// Takes one retry out of the budget, where there is one.
    fn spend_retry(&self, now: Monotonic) -> bool {
        !self.coordinator.context.policy.retry_budget
            || self.coordinator.with_budgets(&self.service.id, |b| b.retry.try_spend(now))
    }

    /// Plans the next attempt at a shard, if its failure and the budget allow one.
    fn plan_retry(&mut self, now: Monotonic, shard: ShardId) {
        let tried = self.gather.tried(shard).len();
        let Some(failure) = self.gather.failure(shard) else {
            return;
        };
        let touched = matches!(
            failure,
            Outcome::Unknown(_) | Outcome::NotRun(NotRunReason::Shed | NotRunReason::VersionGone)
        );
        let hopeless =
            matches!(failure, Outcome::NotRun(NotRunReason::VersionGone | NotRunReason::Cancelled));
        if hopeless || tried >= MAX_ATTEMPTS {
            return;
        }
        if touched && !self.spend_retry(now) {
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

    /// Asks late shards again at another warm replica, within the budget.
    fn hedge(&mut self) {
        if !self.coordinator.context.policy.hedging {
            return;
        }
        let now = self.now();
        for shard in self.gather.first_attempts() {
            let candidates = self.candidates(shard);
            let Some(n) = choose_hedge(&candidates) else {
                continue;
            };
            if !self.coordinator.with_budgets(&self.service.id, |b| b.hedge.try_spend(now)) {
                return;
            }
            let server = self.shards[&shard].servers[n].clone();
            self.send_to(vec![(shard, server)], "hedge");
        }
    }

    fn candidates(&self, shard: ShardId) -> Vec<Candidate> {
        let now = self.now();
        let typical = Duration::from_millis(self.service.limits.typical_ms);
        let newest = self.coordinator.context.operational.load();
        let hints = self.coordinator.hints.lock().expect("no holder of the lock panics");
        let tried = self.gather.tried(shard);
        let servers = self.shards.get(&shard).map_or(&[][..], |s| &s.servers);
        let candidate = |server: &Server| {
            let open = self.is_open(&newest, &server.id);
            hints.candidate(now, &server.id, typical, open, tried.contains(&server.id))
        };
        servers.iter().map(candidate).collect()
    }

    /// Tells whether a server may get work and its owner answers.
    fn is_open(&self, newest: &Operational, server: &ServerId) -> bool {
        let context = &self.coordinator.context;
        newest.gate(server).is_ok_and(|entry| !context.is_suspect(&context.holder(&entry.seat)))
    }

    /// Chooses a replica for each shard and sends; a shard without one keeps its reason.
    fn send(&mut self, shards: &[ShardId], kind: &'static str) {
        let two_choices = self.coordinator.context.policy.two_choices;
        let choice = if two_choices { Choice::TwoChoices } else { Choice::Random };
        let mut chosen = Vec::with_capacity(shards.len());
        for shard in shards {
            let mut candidates = self.candidates(*shard);
            if !candidates.iter().any(|c| c.usable) {
                // All refused a moment ago; the owners decide, not the memory of it.
                candidates.iter_mut().for_each(|c| c.usable = true);
            }
            if let Some(n) = choose(&candidates, choice, &mut rand::rng()) {
                chosen.push((*shard, self.shards[shard].servers[n].clone()));
            }
        }
        self.send_to(chosen, kind);
    }

    /// Sends attempts to the owners of their servers, one batch for each owner.
    fn send_to(&mut self, chosen: Vec<(ShardId, Server)>, kind: &'static str) {
        let context = &self.coordinator.context;
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
            self.coordinator
                .hints
                .lock()
                .expect("no holder of the lock panics")
                .on_sent(&server.id);
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
            context: self.coordinator.context.clone(),
            batches: self.coordinator.batches.clone(),
            owner,
            deadline: self.deadline,
            sent_at: self.now(),
            events: self.events.clone(),
        };
        self.calls.spawn(call.run(batch));
    }

    /// Stops the attempts at a shard that another one answered first.
    fn cancel_losers(&mut self, shard: ShardId) {
        let running = self.gather.running(shard);
        let Some(sent) = self.sent.get(&shard) else {
            return;
        };
        for loser in sent.iter().filter(|attempt| running.contains(&attempt.server)) {
            let context = self.coordinator.context.clone();
            if loser.owner == context.me {
                self.coordinator.batches.cancel(loser.batch, &[shard]);
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
                let _ = context.peers.call(&to, MAX_REPLY_MARGIN * 10, call).await;
            });
        }
    }

    /// Gives up what still runs; dropping the calls stops it at the owners.
    fn abandon(&mut self) {
        self.calls.abort_all();
        let mut hints = self.coordinator.hints.lock().expect("no holder of the lock panics");
        for shard in self.shards.keys() {
            for server in self.gather.running(*shard) {
                hints.on_abandoned(server);
            }
        }
    }
}

/// One batch on its way to an owner and back.
struct BatchCall {
    context: Arc<Context>,
    batches: Arc<Batches>,
    owner: HostId,
    deadline: Monotonic,
    sent_at: Monotonic,
    events: mpsc::UnboundedSender<Event>,
}

impl BatchCall {
    async fn run(self, batch: Batch) {
        let mut left = batch.items.clone();
        let result = self.exchange(batch, &mut left).await;
        if !left.is_empty() {
            let outcome = match result {
                Err(CallError::NotSent) => Outcome::NotRun(NotRunReason::Unreachable),
                Err(CallError::Lost) => Outcome::Unknown(UnknownReason::ConnectionLost),
                Ok(()) => Outcome::Unknown(UnknownReason::TimedOut),
            };
            let _ = self.events.send(Event::Failed { items: left, outcome });
        }
    }

    async fn exchange(&self, mut batch: Batch, left: &mut Vec<BatchItem>) -> Result<(), CallError> {
        let id = batch.id;
        if self.owner == self.context.me {
            batch.deadline_us = micros(self.deadline);
            let mut part = self.batches.run(batch).await;
            while self.report(part, left) {
                part = self.batches.collect(id, self.deadline).await;
            }
            return Ok(());
        }
        let to = self.context.address(&self.owner).ok_or(CallError::NotSent)?;
        let deadline_us =
            self.context.peers.deadline_at(&to, self.deadline).await.ok_or(CallError::NotSent)?;
        batch.deadline_us = deadline_us;
        let flush = Duration::from_millis(batch.flush_ms);
        let timeout = || self.deadline.saturating_sub(self.context.clock.now()) + CALL_GRACE;
        let call = |client: PeerClient, ctx| async move { client.run(ctx, batch).await };
        let allowed = flush + LATE_ALLOWANCE;
        let first = self.context.peers.call(&to, timeout(), call);
        let mut part = self.watch(first, allowed, left).await?;
        while self.report(part, left) {
            let call = |client: PeerClient, ctx| async move { client.collect(ctx, id).await };
            let next = self.context.peers.call(&to, timeout(), call);
            let next = self.watch(next, COLLECT_WAIT + LATE_ALLOWANCE, left).await;
            part = next.map_err(|_| CallError::Lost)?;
        }
        Ok(())
    }

    /// Awaits a call; says so when the owner has not answered in the time allowed.
    async fn watch(
        &self,
        call: impl Future<Output = Result<Part, CallError>>,
        allowed: Duration,
        left: &[BatchItem],
    ) -> Result<Part, CallError> {
        let sent_at = self.context.clock.now();
        let mut call = std::pin::pin!(call);
        let result = match tokio::time::timeout(allowed, call.as_mut()).await {
            Ok(result) => result,
            Err(_) => {
                self.context.late(&self.owner, sent_at);
                let _ = self.events.send(Event::Late { items: left.to_vec() });
                call.await
            }
        };
        if result.is_ok() {
            self.context.heard(&self.owner);
        }
        result
    }

    /// Hands a part on; returns whether more is to come.
    fn report(&self, part: Part, left: &mut Vec<BatchItem>) -> bool {
        left.retain(|item| !part.ended.iter().any(|report| report.shard == item.shard));
        let more = part.pending > 0 && !left.is_empty();
        let _ = self.events.send(Event::Part { sent_at: self.sent_at, part });
        more
    }
}
