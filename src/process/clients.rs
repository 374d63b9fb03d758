//! What the clients of a process hold together, and whose connection ends when there is no room.
//!
//! All limits follow from the memory and the descriptors of the machine. Connections of clients are
//! registered here with what each of them waits for. When there is no room for another one, the
//! connection ends that has waited longest for its client: an ordinary client never makes a host
//! wait for long. See `docs/OPERATIONS.md`, section "Clients that are refused".

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::Waker;
use std::time::Duration;

use tokio::time::Instant;

use super::budgets::memory_budget::{Demand, MemoryBudget, Reservation};
use super::metrics::Metrics;
use super::tier::Tier;
use crate::connection::exchange::{BackendProtocol, Call};

/// File descriptors that are reserved for files and the runtime.
const RESERVED_DESCRIPTORS: usize = 300;
/// The shares of the memory that requests and replies may take. The rest is for the process itself
/// and for connections that wait to be accepted.
const REQUEST_MEMORY_SHARE: f64 = 0.375;
const REPLY_MEMORY_SHARE: f64 = 0.25;
/// The shares of the other descriptors. The rest is for connections to servers and other hosts.
const CALLER_SHARE: f64 = 0.4375;
const HOST_SHARE: f64 = 0.125;
const LOOKUP_SHARE: f64 = 0.0625;
const STATUS_SHARE: f64 = 0.015_625;
const REFUSED_SHARE: f64 = 0.031_25;
/// The minimum for each of these, so that a small machine serves at all.
const MIN_CONNECTIONS: usize = 4;

/// The size of the receive buffer that a listener asks for. The system may use twice as much.
pub const RECEIVE_BUFFER_BYTES: u32 = 32 << 10;
/// The memory of a connection that waits for its client: its buffers, its task and its registration.
const CONNECTION_BYTES: usize = 24 << 10;
/// The memory of a request in progress: buffers of its connection to a server, its tasks, and what
/// the system receives from the caller while nobody reads it.
pub const REQUEST_BYTES: usize = (32 << 10) + 2 * RECEIVE_BUFFER_BYTES as usize;
/// A client for which a host has waited for less than this is not made to leave.
const MIN_WAIT: Duration = Duration::from_millis(200);
/// How long a request waits for the memory of those that were made to leave.
const ROOM_WAIT: Duration = Duration::from_millis(100);

/// What a process may use of its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineLimits {
    /// The memory in bytes.
    pub memory_bytes: usize,
    /// The number of file descriptors.
    pub descriptors: usize,
}

impl Default for MachineLimits {
    /// Returns the limits that hold where the settings state none.
    fn default() -> Self {
        Self { memory_bytes: 260 << 20, descriptors: 4_096 }
    }
}

/// Who connects to a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ClientKind {
    /// A caller.
    Caller,
    /// A client that looks up hosts.
    Lookup,
    /// A client that asks for the readiness of this host.
    Readiness,
    /// A client that reads the metrics.
    Metrics,
    /// Another host.
    Host,
}

impl ClientKind {
    /// Returns the name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Lookup => "lookup",
            Self::Readiness => "readiness",
            Self::Metrics => "metrics",
            Self::Host => "host",
        }
    }
}

/// What the clients of a process may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// The memory of requests and connections, in bytes.
    pub request_bytes: usize,
    /// The memory of replies and answers, in bytes.
    pub reply_bytes: usize,
    callers: usize,
    lookups: usize,
    status_clients: usize,
    hosts: usize,
    refused: usize,
}

impl ClientLimits {
    /// Returns the limits on a machine.
    pub fn new(machine: MachineLimits) -> Self {
        let memory = |share: f64| (machine.memory_bytes as f64 * share) as usize;
        let descriptors = machine.descriptors.saturating_sub(RESERVED_DESCRIPTORS) as f64;
        let connections = |share: f64| ((descriptors * share) as usize).max(MIN_CONNECTIONS);
        Self {
            request_bytes: memory(REQUEST_MEMORY_SHARE),
            reply_bytes: memory(REPLY_MEMORY_SHARE),
            callers: connections(CALLER_SHARE),
            lookups: connections(LOOKUP_SHARE),
            status_clients: connections(STATUS_SHARE),
            hosts: connections(HOST_SHARE),
            refused: connections(REFUSED_SHARE),
        }
    }

    /// Returns the maximum number of connections of a kind of client.
    pub const fn connections(&self, kind: ClientKind) -> usize {
        match kind {
            ClientKind::Caller => self.callers,
            ClientKind::Lookup => self.lookups,
            ClientKind::Readiness | ClientKind::Metrics => self.status_clients,
            ClientKind::Host => self.hosts,
        }
    }
}

/// What a connection is waiting for or doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No byte has arrived since this time, when the connection was accepted or its last answer
    /// written.
    Idle(Instant),
    /// The head of a request, or a frame, is being read since this time.
    Head(Instant),
    /// The body of a request is being read since this time.
    Body(Instant),
    /// A request is being served, which ends by its deadline.
    Serving,
}

/// Why a client was refused or its connection was closed before it had left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Cause {
    /// There was no room for the connection.
    Connections,
    /// There was no memory for the request.
    Memory,
    /// The connection had waited longest when another one needed its room.
    Displaced,
    /// The head of a request was not complete in time.
    HeadTimeout,
    /// The body of a request was not complete by its deadline.
    BodyTimeout,
    /// The answer was not read in time.
    UnreadAnswer,
    /// A frame was too long for the memory left, or not complete in time.
    Frame,
}

impl Cause {
    const fn name(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Memory => "memory",
            Self::Displaced => "displaced",
            Self::HeadTimeout => "head_timeout",
            Self::BodyTimeout => "body_timeout",
            Self::UnreadAnswer => "unread_answer",
            Self::Frame => "frame",
        }
    }
}

/// What there is no room for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shortage {
    Connections(ClientKind),
    RequestMemory,
    ReplyMemory,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    /// When the answer was handed over that the client has not read completely, and when it must
    /// have.
    unread_answer: Option<(Instant, Instant)>,
    /// Whether the system accepts no more bytes of the answer.
    is_write_blocked: bool,
    must_leave: bool,
    /// Whether a refusal was sent while the client may still be sending.
    was_refused: bool,
    waker: Option<Waker>,
}

impl State {
    /// Returns since when the host waits for the client, and the rank of the connection among those
    /// that may have to leave: the lowest rank goes first, then the longest wait.
    fn candidate(&self, now: Instant, shortage: Shortage) -> Option<(u8, Instant)> {
        if self.must_leave {
            return None;
        }
        let old = |since: Instant| now.saturating_duration_since(since) >= MIN_WAIT;
        if let Some((since, _)) = self.unread_answer {
            let rank = u8::from(shortage != Shortage::ReplyMemory);
            return (self.is_write_blocked && old(since)).then_some((rank, since));
        }
        match (shortage, self.phase) {
            (Shortage::ReplyMemory, _) | (_, Phase::Serving) => None,
            // An idle connection holds nothing but its place.
            (Shortage::Connections(_), Phase::Idle(since)) => Some((0, since)),
            (Shortage::RequestMemory, Phase::Idle(since)) => Some((1, since)),
            (Shortage::Connections(_), Phase::Head(since) | Phase::Body(since)) => {
                old(since).then_some((1, since))
            }
            (Shortage::RequestMemory, Phase::Head(since) | Phase::Body(since)) => {
                old(since).then_some((0, since))
            }
        }
    }
}

/// A registered connection of a client.
#[derive(Debug)]
pub struct ClientConnection {
    kind: ClientKind,
    state: Mutex<State>,
}

impl ClientConnection {
    fn new(kind: ClientKind) -> Self {
        let state = State {
            phase: Phase::Idle(Instant::now()),
            unread_answer: None,
            is_write_blocked: false,
            must_leave: false,
            was_refused: false,
            waker: None,
        };
        Self { kind, state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Returns what the connection waits for.
    pub fn phase(&self) -> Phase {
        self.lock().phase
    }

    /// Records what the connection waits for from now on.
    pub fn set_phase(&self, phase: Phase) {
        let mut state = self.lock();
        state.phase = phase;
        // It was chosen for a wait that is over.
        state.must_leave = false;
    }

    /// Records that bytes of the client have arrived.
    pub fn on_bytes(&self) {
        let mut state = self.lock();
        if matches!(state.phase, Phase::Idle(_)) {
            state.phase = Phase::Head(Instant::now());
            state.must_leave = false;
        }
    }

    /// Records that an answer was handed over, which the client must have read within `limit`.
    pub fn on_answer(&self, limit: Duration) {
        let now = Instant::now();
        let mut state = self.lock();
        state.phase = Phase::Idle(now);
        state.unread_answer.get_or_insert((now, now + limit));
        state.must_leave = false;
    }

    /// Records whether the system accepts bytes of an answer.
    pub fn on_write(&self, is_blocked: bool) {
        self.lock().is_write_blocked = is_blocked;
    }

    /// Records that everything was written.
    pub fn on_flushed(&self) {
        let mut state = self.lock();
        state.is_write_blocked = false;
        if state.unread_answer.take().is_some() && matches!(state.phase, Phase::Idle(_)) {
            state.phase = Phase::Idle(Instant::now());
        }
    }

    /// Returns when the client must have read its answer, if it has not.
    pub fn answer_deadline(&self) -> Option<Instant> {
        self.lock().unread_answer.map(|(_, deadline)| deadline)
    }

    /// Returns whether the connection is between two requests and the last answer is written.
    pub fn is_idle(&self) -> bool {
        let state = self.lock();
        state.unread_answer.is_none() && matches!(state.phase, Phase::Idle(_))
    }

    /// Returns whether the system accepts no more bytes of an answer.
    pub fn is_write_blocked(&self) -> bool {
        self.lock().is_write_blocked
    }

    /// Records that the client is refused while it may still be sending.
    pub fn on_refusal(&self) {
        self.lock().was_refused = true;
    }

    /// Returns whether the client was refused while it may still be sending.
    pub fn was_refused(&self) -> bool {
        self.lock().was_refused
    }

    /// Returns whether the connection must make room for another one; otherwise, wakes the task
    /// once it must.
    pub fn poll_must_leave(&self, waker: &Waker) -> bool {
        let mut state = self.lock();
        if !state.must_leave && !state.waker.as_ref().is_some_and(|old| old.will_wake(waker)) {
            state.waker = Some(waker.clone());
        }
        state.must_leave
    }

    /// Returns whether the connection must make room for another one.
    pub fn must_leave(&self) -> bool {
        self.lock().must_leave
    }

    fn leave(&self) {
        let mut state = self.lock();
        state.must_leave = true;
        if let Some(waker) = &state.waker {
            waker.wake_by_ref();
        }
    }
}

type ConnectionId = u64;

#[derive(Debug, Default)]
struct Registered {
    connections: HashMap<ConnectionId, Arc<ClientConnection>>,
    counts: HashMap<ClientKind, usize>,
    next_id: ConnectionId,
}

impl Registered {
    /// Makes the connection leave that has waited longest for its client; returns whether there
    /// was one.
    fn displace(&mut self, shortage: Shortage) -> bool {
        let now = Instant::now();
        let fits = |connection: &ClientConnection| match shortage {
            Shortage::Connections(kind) => connection.kind == kind,
            // A call of another host may be on its way, and an idle connection holds little.
            Shortage::RequestMemory => connection.kind != ClientKind::Host || !connection.is_idle(),
            Shortage::ReplyMemory => true,
        };
        let candidate = |(id, connection): (&ConnectionId, &Arc<ClientConnection>)| {
            let rank = fits(connection).then(|| connection.lock().candidate(now, shortage));
            Some((rank??, *id))
        };
        let Some((_, id)) = self.connections.iter().filter_map(candidate).min() else {
            return false;
        };
        if let Some(connection) = self.connections.get(&id) {
            connection.leave();
        }
        // A connection that was displaced no longer counts, so that the newcomer has its place.
        if let Shortage::Connections(_) = shortage {
            self.remove(id);
        }
        true
    }

    fn remove(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.remove(&id)
            && let Some(count) = self.counts.get_mut(&connection.kind)
        {
            *count -= 1;
        }
    }
}

/// The clients of a process.
#[derive(Debug)]
pub struct Clients {
    /// The limits in force.
    pub limits: ClientLimits,
    /// The memory of requests and connections.
    pub requests: Arc<MemoryBudget>,
    /// The memory of replies and answers.
    pub replies: Arc<MemoryBudget>,
    registered: Mutex<Registered>,
    refused: AtomicUsize,
    turned_away: Mutex<HashMap<(ClientKind, Cause), u64>>,
    metrics: Mutex<Option<Arc<Metrics>>>,
}

impl Clients {
    /// Creates the state of a process without clients.
    pub fn new(machine: MachineLimits) -> Arc<Self> {
        let limits = ClientLimits::new(machine);
        Arc::new(Self {
            limits,
            requests: MemoryBudget::new(limits.request_bytes),
            replies: MemoryBudget::new(limits.reply_bytes),
            registered: Mutex::default(),
            refused: AtomicUsize::new(0),
            turned_away: Mutex::default(),
            metrics: Mutex::default(),
        })
    }

    /// Records into the metrics of a host from now on, and counts the answers that it gets from others.
    pub fn attach_to<B: BackendProtocol>(&self, tier: &Tier<B>) {
        self.record_into(tier.metrics.clone());
        tier.peers.count_replies(self.replies.clone());
    }

    pub(crate) fn record_into(&self, metrics: Arc<Metrics>) {
        *self.metrics.lock().expect("no holder of the lock panics") = Some(metrics);
    }

    /// Registers an accepted connection, or returns `None` if there is no room: all others are
    /// being served.
    pub fn register(self: &Arc<Self>, kind: ClientKind) -> Option<RegisteredConnection> {
        let max = self.limits.connections(kind);
        let mut registered = self.lock();
        let is_full = registered.counts.get(&kind).is_some_and(|count| *count >= max);
        if is_full && !registered.displace(Shortage::Connections(kind)) {
            return None;
        }
        let memory = match self.requests.try_reserve(CONNECTION_BYTES, Demand::Small) {
            Some(memory) => memory,
            // The displaced connection releases its memory as soon as its task runs.
            None if registered.displace(Shortage::RequestMemory) => {
                self.requests.reserve_used(CONNECTION_BYTES)
            }
            None => return None,
        };
        registered.next_id += 1;
        let id = registered.next_id;
        let connection = Arc::new(ClientConnection::new(kind));
        registered.connections.insert(id, connection.clone());
        *registered.counts.entry(kind).or_default() += 1;
        Some(RegisteredConnection { clients: self.clone(), id, connection, _memory: memory })
    }

    /// Returns the number of connections of a kind of client.
    pub fn connections(&self, kind: ClientKind) -> usize {
        self.lock().counts.get(&kind).copied().unwrap_or_default()
    }

    /// Reserves the memory of a request in progress, if need be that of a client that has kept this
    /// host waiting.
    pub async fn reserve_request(&self) -> Option<Reservation> {
        let mut reservation = self.requests.reserve_used(0);
        let reserve = || reservation.try_grow(REQUEST_BYTES, Demand::Small);
        self.make_room(reserve).await.then_some(reservation)
    }

    /// Reserves the memory of a request in progress that another host has sent, and counts its body.
    /// Returns `None` if there is no room.
    pub fn reserve_relayed(&self, request: &mut Call) -> Option<Reservation> {
        let reserved = self.requests.try_reserve(REQUEST_BYTES, Demand::Small).and_then(|memory| {
            request.body = self.requests.try_count(std::mem::take(&mut request.body))?;
            Some(memory)
        });
        if reserved.is_none() {
            self.on_turned_away(ClientKind::Host, Cause::Memory);
        }
        reserved
    }

    /// Tries to reserve memory for a request, and makes others leave until that succeeds. Returns
    /// whether it did.
    pub async fn make_room(&self, try_reserve: impl FnMut() -> bool) -> bool {
        self.displace_until(Shortage::RequestMemory, &self.requests, try_reserve).await
    }

    /// Tries to reserve memory for a reply, and makes clients leave that don't read their answers
    /// until that succeeds. Returns whether it did.
    pub async fn make_room_for_reply(&self, try_reserve: impl FnMut() -> bool) -> bool {
        self.displace_until(Shortage::ReplyMemory, &self.replies, try_reserve).await
    }

    async fn displace_until(
        &self,
        shortage: Shortage,
        budget: &MemoryBudget,
        mut try_reserve: impl FnMut() -> bool,
    ) -> bool {
        if try_reserve() {
            return true;
        }
        let until = Instant::now() + ROOM_WAIT;
        while Instant::now() < until && self.lock().displace(shortage) {
            budget.wait_for_release(until.saturating_duration_since(Instant::now())).await;
            if try_reserve() {
                return true;
            }
        }
        false
    }

    /// Makes the client leave that has not read its answer for longest; returns whether there was one.
    #[cfg(test)]
    pub(crate) fn displaces_unread_answer(&self) -> bool {
        self.lock().displace(Shortage::ReplyMemory)
    }

    /// Makes a client leave for a frame that did not fit.
    pub fn relieve_requests(&self) {
        self.lock().displace(Shortage::RequestMemory);
    }

    /// Returns a place among the connections that are kept until a refusal has arrived, if one is
    /// free.
    pub fn refuse(self: &Arc<Self>) -> Option<RefusedConnection> {
        let refused = RefusedConnection(self.clone());
        let before = self.refused.fetch_add(1, Ordering::Relaxed);
        (before < self.limits.refused).then_some(refused)
    }

    /// Counts a client that was refused, or whose connection was closed.
    pub fn on_turned_away(&self, kind: ClientKind, cause: Cause) {
        let mut turned_away = self.turned_away.lock().expect("no holder of the lock panics");
        *turned_away.entry((kind, cause)).or_default() += 1;
        if let Some(metrics) = &*self.metrics.lock().expect("no holder of the lock panics") {
            metrics.client_turned_away(kind.name(), cause.name());
        }
    }

    /// Logs how many clients were turned away since the last report, and records what they hold.
    pub fn report(&self) {
        let turned_away =
            std::mem::take(&mut *self.turned_away.lock().expect("no holder of the lock panics"));
        let (request_bytes, reply_bytes) = (self.requests.used_bytes(), self.replies.used_bytes());
        if let Some(metrics) = &*self.metrics.lock().expect("no holder of the lock panics") {
            metrics.client_memory("request", request_bytes as u64);
            metrics.client_memory("reply", reply_bytes as u64);
            for (kind, count) in &self.lock().counts {
                metrics.client_connections(kind.name(), *count as u64);
            }
        }
        for ((kind, cause), count) in turned_away {
            tracing::warn!(
                client = kind.name(),
                cause = cause.name(),
                count,
                connections = self.connections(kind),
                max_connections = self.limits.connections(kind),
                request_bytes,
                max_request_bytes = self.limits.request_bytes,
                reply_bytes,
                max_reply_bytes = self.limits.reply_bytes,
                "clients refused or closed"
            );
        }
    }

    fn lock(&self) -> MutexGuard<'_, Registered> {
        self.registered.lock().expect("no holder of the lock panics")
    }
}

/// The registration of a connection, which ends on drop.
#[derive(Debug)]
pub struct RegisteredConnection {
    clients: Arc<Clients>,
    id: ConnectionId,
    connection: Arc<ClientConnection>,
    _memory: Reservation,
}

impl RegisteredConnection {
    /// Returns the state of the connection.
    pub const fn connection(&self) -> &Arc<ClientConnection> {
        &self.connection
    }

    /// Returns all clients.
    pub const fn clients(&self) -> &Arc<Clients> {
        &self.clients
    }

    /// Counts this client as refused or closed.
    pub fn on_turned_away(&self, cause: Cause) {
        self.clients.on_turned_away(self.connection.kind, cause);
    }
}

impl Drop for RegisteredConnection {
    fn drop(&mut self) {
        self.clients.lock().remove(self.id);
    }
}

/// A connection that is kept until its refusal has arrived.
#[derive(Debug)]
pub struct RefusedConnection(Arc<Clients>);

impl Drop for RefusedConnection {
    fn drop(&mut self) {
        self.0.refused.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
