//! Sends requests to the backend servers of the seats that this host holds.
//!
//! First attempts, retries and hedges all pass the same admission check, which reads the latest
//! operational state and lease directly before a request is written; see `docs/ARCHITECTURE.md`.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use super::concurrency_limit::Warmth;
use super::gate::{Gate, Permit};
use super::server_queue::{ServerQueue, Ticket};
use super::warmth_estimate::WarmthEstimate;
use crate::clock::{Monotonic, micros, millis};
use crate::connection::backend::{BackendConnection, RunRequest};
use crate::connection::query::Row;
use crate::ids::{AttemptId, HostId, ServerId};
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::process::context::Context;
use crate::version::operational::ServerEntry;

/// How long to wait for a reply after the deadline that was sent to the server.
const REPLY_GRACE: Duration = Duration::from_millis(1_000);
/// How long [`Owner::run`] waits for the outcome of a sent request after its deadline.
const OUTCOME_GRACE: Duration = Duration::from_millis(10);
/// How often a queue is rechecked while sending waits for a confirmation after a pause of this
/// process.
const PAUSE_RECHECK: Duration = Duration::from_millis(20);
/// How long a server that reported draining gets no new requests.
const DRAIN_BACKOFF: Duration = Duration::from_secs(2);
/// Idle connections kept in addition to one per slot, so that one is available for a cancellation.
const SPARE_CONNECTIONS: usize = 1;

/// A coordinator's request to one shard.
#[derive(Debug)]
pub(crate) struct ShardJob {
    pub(crate) server: ServerId,
    pub(crate) request: RunRequest,
    pub(crate) deadline: Monotonic,
}

/// The outcome of a [`ShardJob`], with hints for the choice of the next replica.
#[derive(Debug)]
pub(crate) struct ShardResult {
    pub(crate) outcome: Outcome<Vec<Row>>,
    pub(crate) expected: Duration,
    pub(crate) warm: bool,
}

type OutcomeReceiver = oneshot::Receiver<Outcome<Vec<Row>>>;

#[derive(Debug)]
struct Job {
    request: RunRequest,
    deadline: Monotonic,
    cancel: CancellationToken,
    done: oneshot::Sender<Outcome<Vec<Row>>>,
}

#[derive(Debug)]
struct SentAttempt {
    attempt: AttemptId,
    idempotent: bool,
    cancel: CancellationToken,
}

#[derive(Debug)]
struct OwnedServer {
    id: ServerId,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    queue: ServerQueue<Job>,
    warmth_estimate: WarmthEstimate,
    idle: Vec<BackendConnection>,
    sent_attempts: Vec<SentAttempt>,
    draining_until: Monotonic,
}

/// The queues and connections of the backend servers that this host owns.
#[derive(Debug)]
pub(crate) struct Owner {
    context: Arc<Context>,
    servers: Mutex<HashMap<ServerId, Arc<OwnedServer>>>,
}

impl Owner {
    pub(crate) fn new(context: Arc<Context>) -> Arc<Self> {
        Arc::new(Self { context, servers: Mutex::new(HashMap::new()) })
    }

    /// Returns how many requests are in flight at the servers of a seat.
    pub(crate) fn in_flight(&self, seat: &HostId) -> u32 {
        let operational = self.context.operational.load();
        let servers = self.servers.lock().expect("no holder of the lock panics");
        servers
            .values()
            .filter(|s| operational.server(&s.id).is_some_and(|entry| entry.seat == *seat))
            .map(|s| s.lock().queue.in_flight())
            .sum()
    }

    /// Discards the warmth estimates and idle connections of a seat's servers; a new owner starts
    /// without any.
    pub(crate) fn forget(&self, seat: &HostId) {
        let operational = self.context.operational.load();
        let servers = self.servers.lock().expect("no holder of the lock panics");
        for server in servers.values() {
            if operational.server(&server.id).is_some_and(|entry| entry.seat == *seat) {
                let mut state = server.lock();
                state.warmth_estimate.forget();
                state.idle.clear();
            }
        }
    }

    /// Runs one shard's job until its outcome is known or its deadline has passed.
    pub(crate) async fn run(
        self: &Arc<Self>,
        job: ShardJob,
        cancel: CancellationToken,
    ) -> ShardResult {
        let deadline = job.deadline;
        let Some(server) = self.server(&job.server) else {
            return ShardResult {
                outcome: Outcome::NotRun(NotRunReason::ServerLeaving),
                expected: Duration::ZERO,
                warm: false,
            };
        };
        let outcome = match self.enqueue(&server, job, cancel.clone()) {
            Ok((ticket, done)) => {
                self.dispatch(&server);
                self.await_outcome(&server, ticket, done, deadline, cancel).await
            }
            Err(reason) => Outcome::NotRun(reason),
        };
        let state = server.lock();
        let permit = self.permit(&server, &state);
        let concurrency_limit = permit.as_ref().map_or(0, |permit| permit.concurrency_limit);
        ShardResult {
            outcome,
            expected: state.queue.expected(self.context.clock.now(), concurrency_limit),
            warm: permit.is_ok_and(|permit| permit.warm),
        }
    }

    fn server(&self, id: &ServerId) -> Option<Arc<OwnedServer>> {
        let mut servers = self.servers.lock().expect("no holder of the lock panics");
        if let Some(server) = servers.get(id) {
            return Some(server.clone());
        }
        let operational = self.context.operational.load();
        let entry = operational.server(id)?;
        let typical = Duration::from_millis(entry.limits.typical_ms);
        let state = State {
            queue: ServerQueue::new(typical, self.context.policy.admission),
            warmth_estimate: WarmthEstimate::default(),
            idle: Vec::new(),
            sent_attempts: Vec::new(),
            draining_until: Monotonic::ZERO,
        };
        let server = Arc::new(OwnedServer { id: id.clone(), state: Mutex::new(state) });
        servers.insert(id.clone(), server.clone());
        Some(server)
    }

    fn enqueue(
        &self,
        server: &OwnedServer,
        job: ShardJob,
        cancel: CancellationToken,
    ) -> Result<(Ticket, OutcomeReceiver), NotRunReason> {
        let now = self.context.clock.now();
        let mut state = server.lock();
        let permit = self.permit(server, &state)?;
        let (done, outcome) = oneshot::channel();
        let ShardJob { request, deadline, .. } = job;
        let priority = permit.entry.priority;
        let job = Job { request, deadline, cancel, done };
        let ticket = state.queue.push(now, priority, deadline, permit.concurrency_limit, job)?;
        Ok((ticket, outcome))
    }

    async fn await_outcome(
        &self,
        server: &OwnedServer,
        ticket: Ticket,
        mut done: OutcomeReceiver,
        deadline: Monotonic,
        cancel: CancellationToken,
    ) -> Outcome<Vec<Row>> {
        let until = self.context.clock.instant(deadline);
        let reason_if_queued = tokio::select! {
            outcome = &mut done => return outcome.unwrap_or(Outcome::Unknown(UnknownReason::ConnectionLost)),
            () = cancel.cancelled() => NotRunReason::Cancelled,
            () = tokio::time::sleep_until(until) => NotRunReason::DeadlineTooClose,
        };
        if server.lock().queue.remove(ticket).is_some() {
            return Outcome::NotRun(reason_if_queued);
        }
        match tokio::time::timeout(OUTCOME_GRACE, done).await {
            Ok(Ok(outcome)) => outcome,
            _ => Outcome::Unknown(UnknownReason::TimedOut),
        }
    }

    /// Returns how many requests may be in flight at a server now, and until when they may be sent.
    fn permit(&self, server: &OwnedServer, state: &State) -> Result<Permit, NotRunReason> {
        let warmth = if self.context.policy.cold_ramp {
            state.warmth_estimate.warmth()
        } else {
            Warmth::Warm
        };
        let decide = |gate: Gate| gate.permit(&server.id, warmth, state.draining_until);
        self.context.with_gate(decide)
    }

    /// Sends queued requests up to the limit; refuses all of them if nothing may be sent.
    fn dispatch(self: &Arc<Self>, server: &Arc<OwnedServer>) {
        loop {
            let mut state = server.lock();
            if self.context.must_wait() {
                self.dispatch_later(server);
                return;
            }
            let refused = match self.permit(server, &state) {
                Ok(permit) if permit.concurrency_limit > 0 => {
                    let Some((ticket, job)) = state.queue.pop(permit.concurrency_limit) else {
                        return;
                    };
                    drop(state);
                    tokio::spawn(self.clone().attempt(server.clone(), ticket, job));
                    continue;
                }
                Ok(_) => NotRunReason::NoPermission,
                Err(reason) => reason,
            };
            for job in state.queue.drain() {
                let _ = job.done.send(Outcome::NotRun(refused));
            }
            return;
        }
    }

    fn dispatch_later(self: &Arc<Self>, server: &Arc<OwnedServer>) {
        let (owner, server) = (self.clone(), server.clone());
        tokio::spawn(async move {
            tokio::time::sleep(PAUSE_RECHECK).await;
            let waiting = server.lock().queue.queued() > 0;
            if waiting {
                owner.dispatch(&server);
            }
        });
    }

    async fn attempt(self: Arc<Self>, server: Arc<OwnedServer>, ticket: Ticket, job: Job) {
        match self.connection(&server).await {
            Some(connection) => self.send(&server, connection, ticket, job).await,
            None => {
                let mut state = server.lock();
                state.warmth_estimate.forget();
                state.queue.finish(self.context.clock.now(), None);
                drop(state);
                let _ = job.done.send(Outcome::NotRun(NotRunReason::Unreachable));
            }
        }
        self.dispatch(&server);
    }

    /// Returns an idle connection or opens a new one.
    async fn connection(&self, server: &OwnedServer) -> Option<BackendConnection> {
        if let Some(connection) = server.lock().take_idle() {
            return Some(connection);
        }
        let operational = self.context.operational.load_full();
        let entry = operational.gate(&server.id).ok()?;
        if !self.context.network_faults.transmit(&self.context.domain, &entry.domain).await {
            return None;
        }
        let connection = BackendConnection::open(entry.addr, self.context.clock).await?;
        let mut state = server.lock();
        if state.warmth_estimate.on_instance(connection.instance()) {
            tracing::info!(
                server = %server.id, instance = %connection.instance(),
                "new instance of the backend server, which counts as cold"
            );
            self.context.metrics.on_server_cold();
            state.idle.clear();
            state.sent_attempts.clear();
        }
        Some(connection)
    }

    async fn send(
        &self,
        server: &OwnedServer,
        mut connection: BackendConnection,
        ticket: Ticket,
        mut job: Job,
    ) {
        let Some(permit) = self.admit(server, &connection, &job) else {
            self.requeue_or_refuse(server, connection, ticket, job);
            return;
        };
        let now = self.context.clock.now();
        let end = if permit.warm { job.deadline } else { job.deadline.min(permit.valid_until) };
        job.request.deadline_ms = millis(end.saturating_sub(now));
        let valid_until = permit.valid_until.min(job.deadline);
        tracing::debug!(
            request = %job.request.request_id, shard = job.request.shard, server = %server.id,
            attempt = job.request.attempt, deadline_ms = job.request.deadline_ms, "sent"
        );
        let exchange = self.exchange(&permit.entry, &mut connection, &job.request, valid_until);
        let limit = self.context.clock.instant(end + REPLY_GRACE);
        let cancelled = self.forward_cancel(server, &job);
        let result = tokio::select! {
            result = exchange => Some(result),
            () = async { cancelled.await; std::future::pending().await } => None,
            () = tokio::time::sleep_until(limit) => None,
        };
        let took = self.context.clock.now().saturating_sub(now);
        let (outcome, reusable) = match result {
            Some(exchange) => (exchange.outcome, exchange.reusable),
            None => (Outcome::Unknown(UnknownReason::TimedOut), false),
        };
        self.record_outcome(server, &permit.entry, &job, &outcome, took);
        if reusable {
            server.lock().return_connection(connection, permit.entry.limits.slots);
        }
        let _ = job.done.send(outcome);
    }

    /// Repeats all checks directly before the write; returns `None` if the request must not be sent
    /// now.
    fn admit(
        &self,
        server: &OwnedServer,
        connection: &BackendConnection,
        job: &Job,
    ) -> Option<Permit> {
        let mut state = server.lock();
        let permit = self.permit(server, &state).ok()?;
        let same_instance = state.warmth_estimate.instance() == Some(connection.instance());
        let below_limit = state.sent_attempts.len() < permit.concurrency_limit as usize;
        let wanted = !job.cancel.is_cancelled();
        let meets_deadline = state.queue.meets_deadline(self.context.clock.now(), job.deadline);
        if !(same_instance && below_limit && wanted && meets_deadline) || self.context.must_wait() {
            return None;
        }
        state.sent_attempts.push(SentAttempt {
            attempt: job.request.attempt,
            idempotent: job.request.kind.is_idempotent(),
            cancel: job.cancel.clone(),
        });
        Some(permit)
    }

    /// Puts a request that was not sent back into the queue, or refuses it.
    fn requeue_or_refuse(
        &self,
        server: &OwnedServer,
        connection: BackendConnection,
        ticket: Ticket,
        job: Job,
    ) {
        let mut state = server.lock();
        let permit = self.permit(server, &state);
        let refused = match &permit {
            Err(reason) => Some(*reason),
            Ok(_) if job.cancel.is_cancelled() => Some(NotRunReason::Cancelled),
            Ok(_) if !state.queue.meets_deadline(self.context.clock.now(), job.deadline) => {
                Some(NotRunReason::DeadlineTooClose)
            }
            Ok(_) => None,
        };
        if let Ok(permit) = permit {
            state.return_connection(connection, permit.entry.limits.slots);
        }
        match refused {
            Some(reason) => {
                state.queue.finish(self.context.clock.now(), None);
                let _ = job.done.send(Outcome::NotRun(reason));
            }
            None => state.queue.restore(ticket, job),
        }
    }

    async fn exchange(
        &self,
        entry: &ServerEntry,
        connection: &mut BackendConnection,
        request: &RunRequest,
        valid_until: Monotonic,
    ) -> crate::connection::backend::RunResult {
        let (local, remote) = (&self.context.domain, &entry.domain);
        if !self.context.network_faults.transmit(local, remote).await {
            return std::future::pending().await;
        }
        let exchange = connection.run(request, valid_until).await;
        if !self.context.network_faults.transmit(remote, local).await {
            return std::future::pending().await;
        }
        exchange
    }

    /// Waits until an attempt is cancelled, then sends the cancellation to the server.
    async fn forward_cancel(&self, server: &OwnedServer, job: &Job) {
        job.cancel.cancelled().await;
        let idle = server.lock().take_idle();
        if let Some(mut connection) = idle
            && connection.cancel(job.request.attempt).await
        {
            server.lock().idle.push(connection);
        }
    }

    /// Updates the server's state from the outcome of an attempt.
    fn record_outcome(
        &self,
        server: &OwnedServer,
        entry: &ServerEntry,
        job: &Job,
        outcome: &Outcome<Vec<Row>>,
        took: Duration,
    ) {
        if !matches!(outcome, Outcome::Answered(_)) {
            tracing::debug!(
                request = %job.request.request_id, shard = job.request.shard, server = %server.id,
                attempt = job.request.attempt, deadline_ms = job.request.deadline_ms,
                took_us = micros(took), cancelled = job.cancel.is_cancelled(),
                not_run = outcome.is_not_run(), "attempt ended without an answer"
            );
        }
        let mut state = server.lock();
        state.sent_attempts.retain(|sent| sent.attempt != job.request.attempt);
        let ran = matches!(outcome, Outcome::Answered(_));
        let late = *outcome == Outcome::Unknown(UnknownReason::TimedOut);
        let at_least = (ran || late).then_some(took);
        state.queue.finish(self.context.clock.now(), at_least);
        match outcome {
            Outcome::NotRun(NotRunReason::Shed) => state.warmth_estimate.on_shed(),
            Outcome::NotRun(NotRunReason::Draining) => {
                state.draining_until = self.context.clock.now() + DRAIN_BACKOFF;
            }
            Outcome::Unknown(UnknownReason::ConnectionLost) => state.idle.clear(),
            _ => {}
        }
        let turned_cold = if job.cancel.is_cancelled() {
            state.warmth_estimate.on_cancelled(took, &entry.limits)
        } else if ran || late {
            state.warmth_estimate.on_reply(took, &entry.limits)
        } else {
            false
        };
        if turned_cold {
            tracing::info!(server = %server.id, took_us = micros(took), "backend server counts as cold after slow replies");
            self.context.metrics.on_server_cold();
            self.cancel_surplus(server, &state);
        }
    }

    /// Cancels the newest idempotent attempts of a server that turned cold, down to its limit.
    fn cancel_surplus(&self, server: &OwnedServer, state: &State) {
        let allowed =
            self.permit(server, state).map_or(0, |permit| permit.concurrency_limit as usize);
        for sent in state.sent_attempts.iter().skip(allowed).filter(|sent| sent.idempotent) {
            tracing::info!(
                server = %server.id, attempt = sent.attempt,
                "attempt beyond the limit of a cold server cancelled"
            );
            sent.cancel.cancel();
        }
    }
}

impl OwnedServer {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl State {
    fn take_idle(&mut self) -> Option<BackendConnection> {
        let instance = self.warmth_estimate.instance().cloned();
        self.idle.retain(|c| !c.is_closed() && Some(c.instance()) == instance.as_ref());
        self.idle.pop()
    }

    fn return_connection(&mut self, connection: BackendConnection, slots: u32) {
        let same_instance = self.warmth_estimate.instance() == Some(connection.instance());
        if same_instance && self.idle.len() < slots as usize + SPARE_CONNECTIONS {
            self.idle.push(connection);
        }
    }
}
