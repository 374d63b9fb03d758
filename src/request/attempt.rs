//! One attempt at one backend server.

use std::sync::Arc;
use std::time::Duration;

use futures::{Stream, StreamExt};
use smallvec::SmallVec;

use crate::clock::Monotonic;
use crate::connection::exchange::{BackendProtocol, Call, Exchange, Exchanged, Reply};
use crate::connection::server_pool::{SURELY_ALIVE, Slot};
use crate::ids::{ServerId, ServiceId};
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::process::servers::belief::{AttemptEnd, Beliefs, Standing, Ticket};
use crate::process::servers::registry::{LiveServer, ServerRecord};
use crate::process::tier::Tier;
use crate::request::pace::Pace;
use crate::request::pick::{Candidate, Purpose, pick};
use crate::request::shard_run::ShardRun;
use crate::version::plan::{Repeat, Route};

/// A connection that is not open after this is given up: it takes servers some milliseconds, and
/// hosts that are gone never answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A server resets a connection that it has forgotten as soon as something arrives: after two ways
/// between failure domains and some processing.
const FORGOTTEN_WITHIN: Duration = Duration::from_millis(8);
/// A server that takes this many times the usual time is better left to hosts that know no other.
const DECLINE_FACTOR: f64 = 2.5;
/// How much the choice between equal servers varies.
const JITTER: f64 = 0.1;

/// Attempts that still run when the answer is given may end within this time: closing their
/// connections would cost new ones, and their replies show which servers speak again.
const LINGER: Duration = Duration::from_millis(350);

/// A request on its way, as all its attempts share it.
#[derive(Debug)]
pub struct Job {
    /// What is passed on.
    pub call: Call,
    /// The route that took it.
    pub route: Arc<Route>,
    /// When it must be over.
    pub deadline: Monotonic,
    /// When an answer has its full worth at last.
    pub answer_at: Monotonic,
    /// The usual time of an attempt at any request of the route.
    pub typical: Duration,
    /// How long this request takes at a usual server, once that shows.
    pub pace: Pace,
}

/// Chooses the server for the next attempt at a service.
pub fn choose<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    service: &ServiceId,
    run: &ShardRun,
    purpose: Purpose,
) -> Option<(Arc<LiveServer>, Standing)> {
    let servers = tier.servers.load();
    let all = servers.of(service);
    let candidates = candidates(tier, job, all, |id| !run.allows(id, job.route.attempts));
    pick_among(job, all, &candidates, purpose)
}

/// Chooses a server of this host's own failure domain for a request of another host, or none where
/// that host had better look elsewhere.
pub fn choose_near<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    service: &ServiceId,
    purpose: Purpose,
) -> Option<(Arc<LiveServer>, Standing)> {
    let servers = tier.servers.load();
    let near = |server: &&Arc<LiveServer>| server.record.domain == tier.settings.domain;
    let all: SmallVec<[Arc<LiveServer>; 4]> =
        servers.of(service).iter().filter(near).cloned().collect();
    let candidates = candidates(tier, job, &all, |_| false);
    let (server, standing) = pick_among(job, &all, &candidates, purpose)?;
    let slow = standing.expected > job.typical.mul_f64(DECLINE_FACTOR);
    (purpose == Purpose::Needed || !slow).then_some((server, standing))
}

fn candidates<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    servers: &[Arc<LiveServer>],
    tried: impl Fn(&ServerId) -> bool,
) -> SmallVec<[Candidate; 4]> {
    let now = tier.now();
    let beliefs = tier.beliefs();
    let candidate = |server: &Arc<LiveServer>| {
        let record = &server.record;
        let standing = beliefs.standing(now, &record.id, record.slots, job.typical);
        let room = tier.pool.has_room(&record.id, tier.connection_share(record));
        Candidate {
            standing,
            near: record.domain == tier.settings.domain,
            tried: tried(&record.id),
            full: standing.replaced
                || !room
                || !tier.may_run_in(&job.route, &record.domain)
                || !tier.may_send_cold(server),
        }
    };
    servers.iter().map(candidate).collect()
}

fn pick_among(
    job: &Job,
    servers: &[Arc<LiveServer>],
    candidates: &[Candidate],
    purpose: Purpose,
) -> Option<(Arc<LiveServer>, Standing)> {
    let jitter: SmallVec<[f64; 4]> =
        servers.iter().map(|_| JITTER.mul_add(rand::random::<f64>(), 1.0)).collect();
    let n = pick(candidates, purpose, job.route.latency_target, |n| jitter[n])?;
    Some((servers[n].clone(), candidates[n].standing))
}

/// Notes how an attempt ended, also when its future is dropped.
struct Watch<'a, B: BackendProtocol> {
    tier: &'a Tier<B>,
    server: &'a LiveServer,
    ticket: Ticket,
    job: &'a Job,
    end: AttemptEnd,
}

impl<B: BackendProtocol> Drop for Watch<'_, B> {
    fn drop(&mut self) {
        let now = self.tier.now();
        let id = &self.server.record.id;
        let avoided =
            self.tier.beliefs().on_end(now, id, self.ticket, self.job.pace.get(), self.end);
        if avoided {
            if matches!(
                self.end,
                AttemptEnd::Abandoned | AttemptEnd::Unreachable | AttemptEnd::Replaced
            ) {
                self.tier.pool.distrust(now, id);
            }
            tracing::info!(
                server = %id, service = %self.server.record.service, end = ?self.end,
                "server avoided for a while"
            );
        }
    }
}

/// Sends the request to a server and waits for the reply, which may be a failure of the server's.
///
/// The gate is read just before the request is handed over, so that a server that is draining or
/// taken out by then gets nothing.
pub async fn attempt<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    server: &LiveServer,
    expected: Duration,
) -> Outcome<Reply> {
    let began_at = tier.now();
    let id = &server.record.id;
    let ticket = tier.beliefs().on_sent(began_at, id, expected);
    let mut watch = Watch { tier, server, ticket, job, end: AttemptEnd::Abandoned };
    let outcome = run(tier, job, server, &mut watch).await;
    let took = tier.now().saturating_sub(began_at);
    watch.end = match &outcome {
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
    watch: &mut Watch<'_, B>,
) -> Outcome<Reply> {
    let record = &server.record;
    let id = &record.id;
    // A request that may run once goes only over a connection that surely lives, because a reset
    // on a stale one would leave open whether it ran.
    let idle_for = match job.route.repeat {
        Repeat::Idempotent => Duration::MAX,
        Repeat::NonIdempotent => SURELY_ALIVE,
    };
    let mut idle = tier.pool.take(tier.now(), id, idle_for);
    loop {
        let reused = idle.is_some();
        let (mut link, slot) = match idle.take() {
            Some(link) => (link, Slot::of_taken(&tier.pool, id)),
            None => match open(tier, job, server).await {
                Ok(opened) => opened,
                Err(reason) => return Outcome::NotRun(reason),
            },
        };
        if !tier.servers.load().may_send(id) {
            watch.end = AttemptEnd::NotSent;
            return Outcome::NotRun(NotRunReason::Draining);
        }
        let began_at = tier.now();
        let left = job.deadline.saturating_sub(began_at);
        if left.is_zero() {
            return Outcome::NotRun(NotRunReason::DeadlineTooClose);
        }
        if !tier.try_send_cold(server) {
            return Outcome::NotRun(NotRunReason::NoPermission);
        }
        let exchanged = link.exchange(&job.call, id, left).await;
        if let Some(may_idle) = link.may_idle() {
            slot.give_back(tier.now(), link, began_at, may_idle);
        }
        return match exchanged {
            Exchanged::Reply(reply) => Outcome::Answered(reply),
            Exchanged::Shed => Outcome::NotRun(NotRunReason::Shed),
            Exchanged::WrongServer => Outcome::NotRun(NotRunReason::ServerLeaving),
            Exchanged::Unsent if reused => continue,
            Exchanged::Lost(UnknownReason::ConnectionLost)
                if reused && is_forgotten(tier, job, record, began_at) =>
            {
                tier.pool.distrust(tier.now(), id);
                continue;
            }
            Exchanged::Unsent => Outcome::NotRun(NotRunReason::Unreachable),
            Exchanged::Lost(reason) => Outcome::Unknown(reason),
        };
    }
}

/// Tells whether a kept connection was reset because the server had forgotten it, in which case an
/// idempotent request is sent over a new one; it counts as an attempt beyond the first, since it
/// may have arrived.
fn is_forgotten<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    record: &ServerRecord,
    began_at: Monotonic,
) -> bool {
    let now = tier.now();
    let at_once = now.saturating_sub(began_at) < FORGOTTEN_WITHIN;
    let idempotent = job.route.repeat == Repeat::Idempotent;
    let sharing = tier.fleet.load().sharing;
    at_once && idempotent && tier.extra().try_spend(now, &record.service, sharing)
}

async fn open<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    server: &LiveServer,
) -> Result<(B::Link, Slot<B::Link>), NotRunReason> {
    let record = &server.record;
    let Some(slot) = tier.pool.reserve(&record.id, tier.connection_share(record)) else {
        return Err(NotRunReason::Overloaded);
    };
    let left = job.deadline.saturating_sub(tier.now()).min(CONNECT_TIMEOUT);
    match tokio::time::timeout(left, tier.backend.connect(record.addr)).await {
        Ok(Ok(link)) => Ok((link, slot)),
        Ok(Err(error)) => {
            tracing::debug!(server = %record.id, addr = %record.addr, %error, "no connection");
            Err(NotRunReason::Unreachable)
        }
        Err(_) => Err(NotRunReason::Unreachable),
    }
}

/// Lets attempts whose results are not wanted any more end for a while.
pub async fn linger(mut running: impl Stream + Unpin) {
    let all = async { while running.next().await.is_some() {} };
    // What still runs after it is dropped, which closes its connection.
    let _ = tokio::time::timeout(LINGER, all).await;
}

/// Returns how long an attempt may take before another one is worth trying.
pub fn patience(standing: &Standing) -> Duration {
    Beliefs::patience(standing.expected)
}

/// Forgets the reply of an outcome that is none for this purpose.
pub fn failure_of(outcome: &Outcome<Reply>) -> Outcome<()> {
    match outcome {
        Outcome::Answered(_) => Outcome::Unknown(UnknownReason::BadReply),
        Outcome::NotRun(reason) => Outcome::NotRun(*reason),
        Outcome::Unknown(reason) => Outcome::Unknown(*reason),
    }
}
