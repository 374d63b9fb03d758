//! Forwards whole requests to another host when this one can't reach the servers, and serves those of
//! other hosts.
//!
//! The other host treats a forwarded request like one of its own callers: its plan, registry, limits
//! and budgets decide. It never forwards it again. See `docs/PLATFORM.md`, section "Hosts without paths
//! to servers".

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use hyper::StatusCode;
use hyper::body::Bytes;
use rand::seq::IndexedRandom;
use smallvec::SmallVec;
use tokio::sync::mpsc;
use tokio::time::timeout_at;

use super::attempt::{Job, Origin};
use super::baseline::Baseline;
use super::entry::{Answer, log_end, run};
use super::scatter::Gathered;
use crate::clock::millis;
use crate::connection::exchange::{BackendProtocol, Reply};
use crate::connection::peer_frame::{
    ForwardAnswer, ForwardCall, ForwardReply, ForwardedRequest, Frame, decode_headers,
    encode_headers,
};
use crate::ids::ServiceId;
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::process::clients::Clients;
use crate::process::membership::members::{Heartbeat, Phase};
use crate::process::tier::Tier;

/// The number of hosts that are asked to serve one request.
pub const MAX_HOSTS_ASKED: usize = 2;
/// The longest request body that is forwarded.
const MAX_BODY_BYTES: usize = 2 << 20;
/// The longest piece of a reply body in one frame.
const PIECE_BYTES: usize = 1 << 20;
/// The number of requests that a host serves for others at a time, for each hundredth of a core.
const FORWARDED_PER_WEIGHT: u32 = 4;

/// The hosts that were asked to serve a request.
pub type AskedHosts = SmallVec<[Ipv4Addr; MAX_HOSTS_ASKED]>;

/// Chooses a host to serve a request, at random by spare capacity: one that can reach servers, has
/// the same plan or a newer one, and is where the route allows its requests.
pub fn choose_host<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    asked: &AskedHosts,
) -> Option<Ipv4Addr> {
    let may_forward = job.origin == Origin::Caller && job.call.body.len() <= MAX_BODY_BYTES;
    if !may_forward || asked.len() >= MAX_HOSTS_ASKED {
        return None;
    }
    let now = tier.now();
    let fleet = tier.fleet.load();
    let suspicion = tier.peer_health.suspicion();
    let unreachable = tier.unreachable_domains();
    let fit = |host: &&Heartbeat| {
        let domain = tier.settings.domains.keys().nth(usize::from(host.domain));
        host.phase == Phase::Ready
            && host.load.is_some()
            && host.plan_order() >= job.plan
            && !asked.contains(&host.ip)
            && !suspicion.is_suspect(now, &host.ip)
            && !unreachable.contains(&host.domain)
            && domain.is_some_and(|domain| tier.route_allows_domain(&job.route, domain))
    };
    let spare = |host: &Heartbeat| {
        let running = f64::from(host.load.unwrap_or_default());
        let forwarded = tier.peers.in_flight(host.ip) as f64;
        f64::from(host.weight.max(1)) / (1.0 + running + forwarded)
    };
    let hosts: Vec<(Ipv4Addr, f64)> =
        fleet.up.iter().filter(fit).map(|host| (host.ip, spare(host))).collect();
    hosts.choose_weighted(&mut rand::rng(), |host| host.1).ok().map(|host| host.0)
}

/// Forwards a request and waits for the answer. `attempts_made` is the number of servers that may
/// have run it already.
pub async fn forward<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    host: Ipv4Addr,
    service: Option<&ServiceId>,
    attempts_made: u32,
) -> Outcome<Answer> {
    let sent_at = tier.now();
    let left_ms =
        |until: Duration| u32::try_from(millis(until.saturating_sub(sent_at))).unwrap_or(u32::MAX);
    let call = ForwardCall {
        id: 0,
        plan: job.plan,
        service: service.cloned(),
        attempts_made,
        left_ms: left_ms(job.deadline),
        target_left_ms: left_ms(job.soft_deadline),
        request: ForwardedRequest::from(&job.call),
    };
    let outcome = send(tier, job, host, call).await;
    let name = match &outcome {
        Outcome::Answered(_) => "answered",
        Outcome::NotRun(_) => "not_run",
        Outcome::Unknown(_) => "unknown",
    };
    tier.metrics.forwarded(name);
    tracing::info!(
        request = %job.call.request_id, route = %job.route.id, %host, outcome = name,
        took_ms = millis(tier.now().saturating_sub(sent_at)), "request forwarded to another host"
    );
    outcome
}

async fn send<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    host: Ipv4Addr,
    call: ForwardCall,
) -> Outcome<Answer> {
    let sent_at = tier.now();
    let deadline = tier.clock.instant(job.deadline);
    let Some(mut pending) = tier.peers.forward(host, tier.settings.peer_port, call) else {
        return Outcome::NotRun(NotRunReason::Overloaded);
    };
    let mut body = SmallVec::<[Bytes; 1]>::new();
    let mut head = None;
    loop {
        let reply = timeout_at(deadline, pending.next()).await;
        let lost = match &reply {
            Ok(Some(_)) => None,
            Ok(None) => Some(UnknownReason::ConnectionLost),
            Err(_) => Some(UnknownReason::TimedOut),
        };
        if let Some(reason) = lost {
            tier.on_host_overdue(host, sent_at);
            return match pending.may_have_arrived() {
                true => Outcome::Unknown(reason),
                false => Outcome::NotRun(NotRunReason::Unreachable),
            };
        }
        let Ok(Some(reply)) = reply else { continue };
        tier.on_host_answered(host);
        body.push(reply.body);
        let head = head.get_or_insert(reply.outcome);
        if !reply.more {
            pending.done();
            let answer = std::mem::replace(head, Outcome::Unknown(UnknownReason::BadReply));
            return decode_answer(answer, join(body));
        }
    }
}

fn join(mut pieces: SmallVec<[Bytes; 1]>) -> Bytes {
    if pieces.len() > 1 { pieces.concat().into() } else { pieces.pop().unwrap_or_default() }
}

fn decode_answer(outcome: Outcome<ForwardAnswer>, body: Bytes) -> Outcome<Answer> {
    match outcome {
        Outcome::Answered(ForwardAnswer::Reply { status, headers, signature }) => {
            // No answer to a caller can have another status.
            match decode_headers(headers).filter(|_| StatusCode::from_u16(status).is_ok()) {
                Some(headers) => {
                    Outcome::Answered(Answer::Forwarded(Reply { status, headers, body, signature }))
                }
                None => Outcome::Unknown(UnknownReason::BadReply),
            }
        }
        Outcome::Answered(ForwardAnswer::Gathered { signatures, missing }) => {
            Outcome::Answered(Answer::Gathered(Gathered {
                signatures,
                missing: missing as usize,
                records: body,
            }))
        }
        Outcome::NotRun(reason) => Outcome::NotRun(reason),
        Outcome::Unknown(reason) => Outcome::Unknown(reason),
    }
}

/// Serves a request that another host forwarded, and sends the answer in pieces that fit into frames.
pub async fn serve<B: BackendProtocol>(
    tier: &Arc<Tier<B>>,
    clients: &Clients,
    call: ForwardCall,
    frames: &mpsc::Sender<Frame>,
) {
    let id = call.id;
    let outcome = serve_outcome(tier, clients, call).await;
    let (outcome, body) = encode_answer(outcome);
    let mut pieces: Vec<Bytes> = Vec::new();
    let mut rest = body;
    while rest.len() > PIECE_BYTES {
        pieces.push(rest.split_to(PIECE_BYTES));
    }
    pieces.push(rest);
    let last = pieces.len() - 1;
    for (n, piece) in pieces.into_iter().enumerate() {
        let reply = ForwardReply { id, outcome: outcome.clone(), body: piece, more: n < last };
        // The pieces are dropped if the calling host has disconnected.
        let _ = frames.send(Frame::Forwarded(reply)).await;
    }
}

async fn serve_outcome<B: BackendProtocol>(
    tier: &Arc<Tier<B>>,
    clients: &Clients,
    call: ForwardCall,
) -> Outcome<Answer> {
    let began_at = tier.now();
    if tier.shutdown.stop_accepting.is_cancelled() {
        return Outcome::NotRun(NotRunReason::NotReady);
    }
    if tier.running() >= u32::from(tier.settings.weight) * FORWARDED_PER_WEIGHT {
        return Outcome::NotRun(NotRunReason::Overloaded);
    }
    let _running = tier.track_running();
    let plan = tier.plan.load_full();
    let Some(mut request) = call.request.into_call() else {
        return Outcome::NotRun(NotRunReason::BadRequest);
    };
    let Some(_memory) = clients.reserve_relayed(&mut request) else {
        return Outcome::NotRun(NotRunReason::Overloaded);
    };
    let path = request.path.split('?').next().unwrap_or_default();
    let route = plan.route(&request.host, path).filter(|_| plan.order() >= call.plan);
    let Some(route) = route.cloned() else {
        return Outcome::NotRun(NotRunReason::VersionGone);
    };
    let fingerprint = request.fingerprint();
    if tier.suspects.quarantine().is_quarantined(began_at, fingerprint) {
        return Outcome::NotRun(NotRunReason::Quarantined);
    }
    let in_trial = tier.suspects.quarantine().is_suspect(fingerprint);
    let after = |ms: u32| began_at + Duration::from_millis(u64::from(ms));
    let job = Arc::new(Job {
        fingerprint,
        in_trial: AtomicBool::new(in_trial),
        call: request,
        deadline: after(call.left_ms),
        soft_deadline: after(call.target_left_ms),
        typical: tier.passive_health().typical(&route.id, route.latency_target),
        baseline: Baseline::default(),
        plan: plan.order(),
        origin: Origin::Host { attempts_made: call.attempts_made },
        route,
    });
    let outcome = run(tier, &job, call.service, plan.version).await;
    log_end(tier, &job, &outcome, began_at, plan.version);
    outcome
}

fn encode_answer(outcome: Outcome<Answer>) -> (Outcome<ForwardAnswer>, Bytes) {
    match outcome {
        Outcome::Answered(Answer::Forwarded(reply)) => {
            let Reply { status, headers, body, signature } = reply;
            let headers = encode_headers(&headers);
            (Outcome::Answered(ForwardAnswer::Reply { status, headers, signature }), body)
        }
        Outcome::Answered(Answer::Gathered(gathered)) => {
            let Gathered { signatures, missing, records } = gathered;
            let missing = u32::try_from(missing).unwrap_or(u32::MAX);
            (Outcome::Answered(ForwardAnswer::Gathered { signatures, missing }), records)
        }
        Outcome::Answered(Answer::NoRoute) => {
            (Outcome::NotRun(NotRunReason::VersionGone), Bytes::new())
        }
        Outcome::NotRun(reason) => (Outcome::NotRun(reason), Bytes::new()),
        Outcome::Unknown(reason) => (Outcome::Unknown(reason), Bytes::new()),
    }
}

/// Identifies a host among the servers that a request was sent to.
pub fn host_id(host: Ipv4Addr) -> crate::ids::ServerId {
    smol_str::format_smolstr!("host {host}")
}

#[cfg(test)]
mod tests;
