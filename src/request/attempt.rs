//! Makes one attempt at one backend server.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::{Stream, StreamExt};
use smallvec::SmallVec;
use tokio::time::timeout;

use crate::clock::Monotonic;
use crate::connection::exchange::{BackendProtocol, Call, Exchange, ExchangeResult, Reply};
use crate::connection::server_pool::{ASSUMED_ALIVE_FOR, ConnectionPermit};
use crate::ids::{ConfigVersion, ServerId, ServiceId};
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::position::PlanOrder;
use crate::process::quarantine::{Fingerprint, RunId};
use crate::process::servers::passive_health::{AttemptEnd, PassiveHealth, ServerHealth, Ticket};
use crate::process::servers::reachability::Failure;
use crate::process::servers::registry::{LiveServer, ServerRecord};
use crate::process::servers::server_paths::others_are_reachable;
use crate::process::tier::Tier;
use crate::request::baseline::Baseline;
use crate::request::server_choice::{Candidate, Purpose, pick};
use crate::request::shard_run::ShardRun;
use crate::version::config::stable_hash;
use crate::version::plan::{Idempotency, Route, Target};

/// Timeout for opening a connection: a live server accepts within a few milliseconds, a lost host
/// never answers.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A server that no longer knows a connection resets it as soon as data arrives: within one round
/// trip between failure domains and some processing time.
const STALE_RESET_WITHIN: Duration = Duration::from_millis(8);
/// A server whose expected time exceeds the typical time by this factor is declined unless the call
/// insists, so that the calling host can choose another one.
const DECLINE_FACTOR: f64 = 2.5;
/// Timeout for the connection that shows whether a server has crashed.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// After a crash, a request is sent again only after this time, so that other hosts can report that
/// the same request has crashed servers there.
pub const CRASH_SETTLE_TIME: Duration = Duration::from_millis(15);
/// The seed of the hash that identifies a run.
const RUN_ID_SEED: u64 = 0x7175_6574_7a61_6c06;
/// Random variation of the cost when servers are compared, as a share.
const JITTER: f64 = 0.1;

/// How long remaining attempts may run after the answer is returned. Aborting them would close
/// their connections, and their replies show which servers have recovered.
const REMAINING_TIMEOUT: Duration = Duration::from_millis(350);

/// A request in progress, shared by all its attempts.
#[derive(Debug)]
pub struct Job {
    /// The call to the backend server.
    pub call: Call,
    /// The route that matched the request.
    pub route: Arc<Route>,
    /// The time by which the request must end.
    pub deadline: Monotonic,
    /// The time by which an answer meets the latency target.
    pub soft_deadline: Monotonic,
    /// The typical time of one attempt for requests of this route.
    pub typical: Duration,
    /// The baseline latency of this request, once it is established.
    pub baseline: Baseline,
    /// Identifies the request by its content.
    pub fingerprint: Fingerprint,
    /// Whether the request is a suspect whose run was announced to the other hosts.
    pub in_trial: AtomicBool,
    /// The place of the plan that the request is pinned to.
    pub plan: PlanOrder,
    /// Who sent the request to this host.
    pub origin: Origin,
}

/// Who sent a request to this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// A host that can't serve it, after up to `attempts_made` servers may have run it.
    Host {
        /// The number of these servers.
        attempts_made: u32,
    },
}

impl Job {
    /// Returns the number of servers that may have run the request before it came to this host.
    pub const fn attempts_made(&self) -> u32 {
        match self.origin {
            Origin::Caller => 0,
            Origin::Host { attempts_made } => attempts_made,
        }
    }

    /// Tells whether the request may be sent once more, after a server may have crashed because of
    /// it. A suspect's next run must be the only one among all hosts.
    pub fn may_send_again<B: BackendProtocol>(&self, tier: &Tier<B>) -> bool {
        let now = tier.now();
        let allowed = {
            let quarantine = tier.suspects.quarantine();
            if !quarantine.is_suspect(self.fingerprint) {
                return true;
            }
            if self.in_trial.load(Ordering::Relaxed) {
                !quarantine.is_quarantined(now, self.fingerprint)
            } else {
                quarantine.check(now, self.fingerprint).is_ok()
            }
        };
        if allowed {
            self.begin_trial(tier);
        }
        allowed
    }

    /// Announces the run of the request to the other hosts if it is a suspect.
    pub fn begin_trial<B: BackendProtocol>(&self, tier: &Tier<B>) {
        if tier.suspects.begin_trial(tier.now(), self.fingerprint) {
            self.in_trial.store(true, Ordering::Relaxed);
        }
    }

    /// Returns what identifies a run of this request at a server. A crash is attributed to a run. The
    /// first attempts at all shards are one run, since the servers may have crashed together for
    /// another reason; each run of a suspect stands for itself.
    fn run_id(&self, server: &ServerId) -> RunId {
        let request = stable_hash(RUN_ID_SEED, self.call.request_id.as_bytes());
        let is_gather = matches!(self.route.target, Target::Gather(_));
        if is_gather && !self.in_trial.load(Ordering::Relaxed) {
            return request;
        }
        stable_hash(request, server.as_bytes())
    }
}

/// Why no server can be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoServer {
    /// None is available.
    Unavailable,
    /// All that are available are at their rate limit; the first has room again after this time.
    RateLimited(Duration),
}

/// How requests reach servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// This host sends to all servers itself.
    Direct,
    /// This host sends to servers that it is connected to, and uses relays with this plan, if there
    /// are any, for the others.
    Relays(ConfigVersion),
}

impl Path {
    /// Returns how long the rate limit of a server forbids requests on this path. Counts the request
    /// as one that the limit prevented.
    fn rate_limit_wait<B: BackendProtocol>(
        self,
        tier: &Tier<B>,
        server: &ServerRecord,
    ) -> Option<Duration> {
        if !tier.rate_limits().knows(&server.id) {
            return None;
        }
        let relayed = match self {
            Self::Direct => false,
            Self::Relays(version) => {
                let domain = tier.domain_index(&server.domain);
                !tier.sends_directly(server)
                    && tier.choose_relay(domain, &server.service, version).is_some()
            }
        };
        let wait = tier.rate_limit_wait(&server.id, !relayed)?;
        tier.on_rate_limited(server, !relayed);
        Some(wait)
    }

    /// Tells whether the rate limit of a server allows a request on this path.
    pub fn is_within_limit<B: BackendProtocol>(
        self,
        tier: &Tier<B>,
        server: &ServerRecord,
    ) -> bool {
        self.rate_limit_wait(tier, server).is_none()
    }
}

/// Chooses the server for the next attempt at a service.
///
/// # Errors
///
/// Returns the reason if there is none.
pub fn choose_server<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    service: &ServiceId,
    run: &ShardRun,
    purpose: Purpose,
    path: Path,
) -> Result<(Arc<LiveServer>, ServerHealth), NoServer> {
    let servers = tier.servers.load();
    let all = servers.of(service);
    let mut candidates = candidates(tier, job, all, |id| !run.allows(id, job.route.attempts));
    pick_among(tier, job, all, &mut candidates, purpose, path)
}

/// Chooses a server in this host's own failure domain for a request of another host.
///
/// # Errors
///
/// Returns the reason if that host should try elsewhere.
pub fn choose_near_server<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    service: &ServiceId,
    purpose: Purpose,
) -> Result<(Arc<LiveServer>, ServerHealth), NoServer> {
    let servers = tier.servers.load();
    let near = |server: &&Arc<LiveServer>| server.record.domain == tier.settings.domain;
    let all: SmallVec<[Arc<LiveServer>; 4]> =
        servers.of(service).iter().filter(near).cloned().collect();
    let mut candidates = candidates(tier, job, &all, |_| false);
    let (server, health) = pick_among(tier, job, &all, &mut candidates, purpose, Path::Direct)?;
    let slow = health.expected > job.typical.mul_f64(DECLINE_FACTOR);
    if slow && purpose == Purpose::Hedge {
        return Err(NoServer::Unavailable);
    }
    Ok((server, health))
}

fn candidates<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    servers: &[Arc<LiveServer>],
    tried: impl Fn(&ServerId) -> bool,
) -> SmallVec<[Candidate; 4]> {
    let now = tier.now();
    let unreachable = tier.unreachable_domains();
    let passive_health = tier.passive_health();
    let candidate = |server: &Arc<LiveServer>| {
        let record = &server.record;
        let health = passive_health.health(now, &record.id, record.slots, job.typical);
        let room = tier.pool.has_capacity(&record.id, tier.connection_share(record));
        Candidate {
            health,
            near: record.domain == tier.settings.domain,
            tried: tried(&record.id),
            blocked: health.replaced
                || !room
                || !tier.route_allows_domain(&job.route, &record.domain)
                || unreachable.contains(&tier.domain_index(&record.domain))
                || !tier.has_cold_token(server),
        }
    };
    servers.iter().map(candidate).collect()
}

/// Picks a server that is not at its rate limit. Servers that would have been picked but for their
/// limit are counted, since the hosts share a limit by their demand.
fn pick_among<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    servers: &[Arc<LiveServer>],
    candidates: &mut [Candidate],
    purpose: Purpose,
    path: Path,
) -> Result<(Arc<LiveServer>, ServerHealth), NoServer> {
    let jitter: SmallVec<[f64; 4]> =
        servers.iter().map(|_| JITTER.mul_add(rand::random::<f64>(), 1.0)).collect();
    let mut shortest_wait: Option<Duration> = None;
    while let Some(n) = pick(candidates, purpose, job.route.latency_target, |n| jitter[n]) {
        let Some(wait) = path.rate_limit_wait(tier, &servers[n].record) else {
            return Ok((servers[n].clone(), candidates[n].health));
        };
        shortest_wait = Some(shortest_wait.map_or(wait, |shortest| shortest.min(wait)));
        candidates[n].blocked = true;
    }
    Err(shortest_wait.map_or(NoServer::Unavailable, NoServer::RateLimited))
}

/// Records how an attempt ended, also when its future is dropped.
struct AttemptGuard<'a, B: BackendProtocol> {
    tier: &'a Tier<B>,
    server: &'a LiveServer,
    ticket: Ticket,
    job: &'a Job,
    end: AttemptEnd,
}

impl<B: BackendProtocol> Drop for AttemptGuard<'_, B> {
    fn drop(&mut self) {
        let now = self.tier.now();
        let id = &self.server.record.id;
        let avoided = self.tier.passive_health().on_end(
            now,
            id,
            self.ticket,
            self.job.baseline.get(),
            self.end,
        );
        if avoided {
            if matches!(
                self.end,
                AttemptEnd::Abandoned | AttemptEnd::Unreachable | AttemptEnd::Replaced
            ) {
                self.tier.pool.invalidate(now, id);
            }
            tracing::info!(
                server = %id, service = %self.server.record.service, end = ?self.end,
                "server avoided for a while"
            );
        }
    }
}

/// Sends the request to a server and waits for the reply, which may be an error response.
///
/// The registry is checked immediately before the request is sent, so that a server that is
/// draining or taken out receives nothing.
pub async fn attempt<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    server: &LiveServer,
    expected: Duration,
) -> Outcome<Reply> {
    let began_at = tier.now();
    let id = &server.record.id;
    let ticket = tier.passive_health().on_sent(began_at, id, expected);
    let mut guard = AttemptGuard { tier, server, ticket, job, end: AttemptEnd::Abandoned };
    let overdue_after = PassiveHealth::overdue_after(expected);
    let outcome = run(tier, job, server, overdue_after, &mut guard).await;
    let took = tier.now().saturating_sub(began_at);
    guard.end = match &outcome {
        Outcome::Answered(reply) if reply.is_success() || reply.status < 500 => {
            AttemptEnd::Answered(took)
        }
        Outcome::Answered(_) | Outcome::Unknown(_) => AttemptEnd::Failed,
        Outcome::NotRun(NotRunReason::Shed) => AttemptEnd::Shed,
        Outcome::NotRun(NotRunReason::Unreachable) => AttemptEnd::Unreachable,
        Outcome::NotRun(NotRunReason::ServerLeaving) => AttemptEnd::Replaced,
        Outcome::NotRun(_) => AttemptEnd::NotSent,
    };
    outcome
}

async fn run<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    server: &LiveServer,
    overdue_after: Duration,
    guard: &mut AttemptGuard<'_, B>,
) -> Outcome<Reply> {
    let record = &server.record;
    let id = &record.id;
    // A non-idempotent request only uses a connection that was active recently: after a reset on a
    // stale one it would be unknown whether the request ran.
    let idle_for = match job.route.repeat {
        Idempotency::Idempotent => Duration::MAX,
        Idempotency::NonIdempotent => ASSUMED_ALIVE_FOR,
    };
    let request = &job.call.request_id;
    let mut idle = tier.pool.take(tier.now(), id, record.addr, idle_for, request);
    // Whether the request was written to a connection that was lost, so that it may have run.
    let mut lost = false;
    loop {
        let reused = idle.is_some();
        let (mut link, mut slot) = match idle.take() {
            Some(taken) => taken,
            None => match open(tier, job, server).await {
                Ok(opened) => opened,
                Err(_) if lost => {
                    // The connection was lost because the server has gone, not because it was idle.
                    on_connection_lost(tier, job, record).await;
                    return Outcome::Unknown(UnknownReason::ConnectionLost);
                }
                Err(reason) => return Outcome::NotRun(reason),
            },
        };
        let not_run = |reason| match lost {
            true => Outcome::Unknown(UnknownReason::ConnectionLost),
            false => Outcome::NotRun(reason),
        };
        if !tier.servers.load().may_send(id) {
            guard.end = AttemptEnd::NotSent;
            return not_run(NotRunReason::Draining);
        }
        let began_at = tier.now();
        let left = job.deadline.saturating_sub(began_at);
        if left.is_zero() {
            return not_run(NotRunReason::DeadlineTooClose);
        }
        if !tier.try_take_cold_token(server) {
            return not_run(NotRunReason::NoPermission);
        }
        if !tier.try_take_rate_token(id) {
            return not_run(NotRunReason::RateLimited);
        }
        let running = RunningGuard::new(tier, id, job.fingerprint);
        // Bytes that arrive slowly would keep an attempt alive that nobody waits for, for example at
        // a relay whose calling host is lost.
        let time_limit = left + REMAINING_TIMEOUT;
        let exchanged = tokio::select! {
            exchanged = timeout(time_limit, link.exchange(&job.call, id, left)) => exchanged,
            () = path_lost(tier, job, record, overdue_after) => {
                return Outcome::Unknown(UnknownReason::ConnectionLost);
            }
        };
        let exchanged = match exchanged {
            Ok(exchanged) => exchanged,
            Err(_) => return Outcome::Unknown(UnknownReason::TimedOut),
        };
        if let Some(statement) = link.rate_statement() {
            tier.on_rate_statement(id, began_at, statement);
        }
        if !matches!(exchanged, ExchangeResult::Unsent | ExchangeResult::Lost(_)) {
            tier.on_domain_answered(tier.domain_index(&record.domain));
            tier.on_server_reached(&record.service);
        }
        if !matches!(&exchanged, ExchangeResult::Reply(reply) if reply.is_success()) {
            slot.record_carried(request);
        }
        if let Some(may_idle) = link.keep_alive_time() {
            slot.return_to_pool(tier.now(), link, began_at, may_idle);
        }
        return match exchanged {
            ExchangeResult::Reply(reply) => {
                // Other shards may still crash their servers.
                if !matches!(job.route.target, Target::Gather(_)) {
                    tier.suspects.on_answered(tier.now(), id, job.fingerprint);
                }
                Outcome::Answered(reply)
            }
            ExchangeResult::Shed => not_run(NotRunReason::Shed),
            ExchangeResult::WrongServer => not_run(NotRunReason::ServerLeaving),
            ExchangeResult::Unsent if reused => continue,
            ExchangeResult::Lost(UnknownReason::ConnectionLost)
                if reused && may_resend_after_reset(tier, job, record, began_at) =>
            {
                tier.pool.invalidate(tier.now(), id);
                lost = true;
                continue;
            }
            ExchangeResult::Lost(UnknownReason::ConnectionLost) => {
                on_connection_lost(tier, job, record).await;
                drop(running);
                Outcome::Unknown(UnknownReason::ConnectionLost)
            }
            ExchangeResult::Unsent => not_run(NotRunReason::Unreachable),
            ExchangeResult::Lost(reason) => Outcome::Unknown(reason),
        };
    }
}

/// Waits until an idempotent request is overdue and no server of its service can be reached, so that
/// its reply will not arrive either. Any other request waits for a reply all the same.
async fn path_lost<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    record: &ServerRecord,
    overdue_after: Duration,
) {
    if job.route.repeat == Idempotency::NonIdempotent {
        std::future::pending().await
    }
    tokio::time::sleep(overdue_after).await;
    tier.server_paths.unreachable(&record.service).await;
}

/// Counts a request as running at a server until it is dropped.
struct RunningGuard<'a, B: BackendProtocol> {
    tier: &'a Tier<B>,
    server: &'a ServerId,
    fingerprint: Fingerprint,
}

impl<'a, B: BackendProtocol> RunningGuard<'a, B> {
    fn new(tier: &'a Tier<B>, server: &'a ServerId, fingerprint: Fingerprint) -> Self {
        tier.suspects.quarantine().on_sent(server, fingerprint);
        Self { tier, server, fingerprint }
    }
}

impl<B: BackendProtocol> Drop for RunningGuard<'_, B> {
    fn drop(&mut self) {
        self.tier.suspects.quarantine().on_ended(self.server, self.fingerprint);
    }
}

/// Finds out whether a server crashed while it ran a request.
///
/// A server that only closed a connection, or is too busy to keep it, still accepts connections; one
/// that was cut off answers nothing; one that restarts for a release is no longer in service.
async fn on_connection_lost<B: BackendProtocol>(tier: &Tier<B>, job: &Job, record: &ServerRecord) {
    let tried_at = tier.now();
    let connected = timeout(CRASH_CHECK_TIMEOUT, tier.backend.connect(record.addr)).await;
    if !matches!(connected, Ok(Ok(_))) {
        tier.on_server_unreachable(record, Failure { tried_at, confirms: false });
    }
    let refused =
        matches!(&connected, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused);
    if !refused || !tier.servers.load().may_send(&record.id) {
        return;
    }
    if others_are_reachable(tier, record).await {
        tier.suspects.on_crash(tier.now(), &record.id, job.fingerprint, job.run_id(&record.id));
    }
}

/// Tells whether a reused connection failed because the server had already dropped it, so that an
/// idempotent request may be sent again on a new one. The resend is taken out of the budget of
/// extra attempts, since the first may have arrived.
fn may_resend_after_reset<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    record: &ServerRecord,
    began_at: Monotonic,
) -> bool {
    let now = tier.now();
    let reset_at_once = now.saturating_sub(began_at) < STALE_RESET_WITHIN;
    let idempotent = job.route.repeat == Idempotency::Idempotent;
    let sharing = tier.fleet.load().sharing_hosts();
    reset_at_once && idempotent && tier.extra().try_spend(now, &record.service, sharing)
}

async fn open<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    server: &LiveServer,
) -> Result<(B::Link, ConnectionPermit<B::Link>), NotRunReason> {
    let record = &server.record;
    let Some(slot) = tier.pool.reserve(&record.id, tier.connection_share(record)) else {
        return Err(NotRunReason::Overloaded);
    };
    let began_at = tier.now();
    let failure = Failure { tried_at: began_at, confirms: false };
    let left = job.deadline.saturating_sub(began_at).min(CONNECT_TIMEOUT);
    let connected = tokio::select! {
        connected = timeout(left, tier.backend.connect(record.addr)) => connected,
        () = tier.server_paths.newly_unreachable(&record.service) => {
            return Err(NotRunReason::Unreachable);
        }
    };
    match connected {
        Ok(Ok(link)) => Ok((link, slot)),
        Ok(Err(error)) => {
            tier.on_server_unreachable(record, failure);
            tracing::debug!(
                server = %record.id, addr = %record.addr, %error, "failed to connect to a server"
            );
            Err(NotRunReason::Unreachable)
        }
        Err(_) => {
            tier.on_server_unreachable(record, failure);
            tier.on_domain_silent(tier.domain_index(&record.domain), &record.id, began_at);
            Err(NotRunReason::Unreachable)
        }
    }
}

/// Lets the remaining attempts finish for a limited time and discards their results.
pub async fn finish_remaining(mut running: impl Stream + Unpin) {
    let all = async { while running.next().await.is_some() {} };
    // Dropping the attempts that still run closes their connections.
    let _ = timeout(REMAINING_TIMEOUT, all).await;
}

/// Returns the time after which an attempt is overdue and a hedge is worth trying.
pub fn overdue_after(health: &ServerHealth) -> Duration {
    PassiveHealth::overdue_after(health.expected)
}

/// Converts the outcome of an unsuccessful attempt to a failure without a reply.
pub fn failure_of(outcome: &Outcome<Reply>) -> Outcome<()> {
    match outcome {
        Outcome::Answered(_) => Outcome::Unknown(UnknownReason::BadReply),
        Outcome::NotRun(reason) => Outcome::NotRun(*reason),
        Outcome::Unknown(reason) => Outcome::Unknown(*reason),
    }
}
