//! Serves a request that one server answers.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::Either;
use futures::stream::FuturesUnordered;
use smol_str::format_smolstr;

use super::attempt::{
    CRASH_SETTLE_TIME, Job, NoServer, Path, attempt, choose_server, failure_of, overdue_after,
};
use super::entry::Answer;
use super::forward::{AskedHosts, choose_host, forward, host_id};
use super::server_choice::Purpose;
use super::shard_run::{Next, ShardRun};
use super::timer::sleep_until;
use crate::clock::Monotonic;
use crate::connection::exchange::{BackendProtocol, Reply};
use crate::ids::{ServerId, ServiceId};
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::process::servers::passive_health::ServerHealth;
use crate::process::servers::registry::LiveServer;
use crate::process::servers::server_paths::CHECK_TIME;
use crate::process::tier::Tier;
use crate::version::plan::Idempotency;

/// How often it is checked whether other servers answer while an overdue request waits.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Sends a request to one server of a service, with retries and hedges as the route allows.
///
/// An idempotent request is retried after any failure and hedged when overdue; a non-idempotent one
/// is retried only if it provably did not run.
pub async fn single<B: BackendProtocol>(
    tier: &Arc<Tier<B>>,
    job: &Arc<Job>,
    service: &ServiceId,
) -> Outcome<Reply> {
    let idempotent = job.route.repeat == Idempotency::Idempotent;
    let attempts = job.route.attempts.saturating_sub(job.attempts_made());
    let began_at = tier.now();
    job.baseline.set(job.typical);
    let mut run = ShardRun::default();
    let mut running = FuturesUnordered::new();
    let mut server_failure: Option<Reply> = None;
    let deadline = tier.clock.instant(job.deadline);
    let mut purpose = Some(Purpose::Needed);
    let mut asked = AskedHosts::new();
    // The server that was sent to last, since when an answer of any server is awaited, and when
    // that is checked next.
    let mut awaited: Option<(ServerId, Monotonic, Monotonic)> = None;
    loop {
        if let Some(purpose) = purpose.take() {
            let now = tier.now();
            let chosen = choose_receiver(tier, job, service, &run, purpose, &asked);
            match chosen {
                Err(NoServer::RateLimited(_)) => run.on_rate_limited(),
                Err(NoServer::Unavailable) if run.send_count() == 0 => run.on_no_server(now),
                Err(NoServer::Unavailable) | Ok(_) => {}
            }
            let first = run.send_count() == 0;
            let granted = chosen
                .ok()
                .filter(|_| first || job.may_send_again(tier))
                .filter(|receiver| take_from_budget(tier, job, service, &run, receiver));
            match granted {
                Some(Receiver::Server(server, health)) => {
                    let id = server.record.id.clone();
                    let overdue_at = now + overdue_after(&health);
                    run.on_sent(&id, overdue_at);
                    awaited = Some((id, now, overdue_at));
                    if !idempotent {
                        run.cancel_check();
                    }
                    let sent = send(tier.clone(), job.clone(), server, health.expected);
                    running.push(Either::Left(sent));
                }
                Some(Receiver::Host(host)) => {
                    asked.push(host);
                    let attempts_made = run.may_have_reached();
                    run.on_sent(&host_id(host), job.deadline);
                    run.cancel_check();
                    let (tier, job, service) = (tier.clone(), job.clone(), service.clone());
                    running.push(Either::Right(send_to_host(
                        tier,
                        job,
                        host,
                        service,
                        attempts_made,
                    )));
                }
                None if running.is_empty() => break,
                None => run.cancel_check(),
            }
        }
        let next_check_at = run.next_check_at().map(|at| tier.clock.instant(at));
        let silent_at = awaited.as_ref().map(|(_, _, at)| tier.clock.instant(*at));
        tokio::select! {
            biased;
            Some((server, outcome)) = running.next() => {
                let failed = match outcome {
                    Outcome::Answered(reply) if reply.status < 500 || !idempotent => {
                        let took = tier.now().saturating_sub(began_at);
                        let target = job.route.latency_target;
                        tier.passive_health().update_typical(&job.route.id, took, target);
                        return Outcome::Answered(reply);
                    }
                    outcome => outcome,
                };
                let failure = failure_of(&failed);
                // The server's own error status, which the failure alone doesn't show.
                let status = match &failed {
                    Outcome::Answered(reply) => Some(reply.status),
                    Outcome::NotRun(_) | Outcome::Unknown(_) => None,
                };
                tracing::info!(
                    request = %job.call.request_id, route = %job.route.id, server = %server,
                    fingerprint = %format_smolstr!("{:016x}", job.fingerprint), failure = ?failure, status, "attempt failed"
                );
                if let Outcome::Answered(reply) = failed {
                    server_failure = Some(reply);
                }
                let may_run_again = idempotent || matches!(failure, Outcome::NotRun(_));
                let path_lost = failure == Outcome::Unknown(UnknownReason::ConnectionLost)
                    && tier.server_paths.is_unreachable(service)
                    && !asked.iter().any(|host| host_id(*host) == server);
                let next = if path_lost {
                    run.on_path_lost(&server, attempts)
                } else {
                    run.on_failure(tier.now(), &server, failure, attempts)
                };
                if !may_run_again {
                    break;
                }
                awaited = None;
                if next == Next::Retry && tier.suspects.quarantine().is_suspect(job.fingerprint) {
                    run.schedule_check(tier.now() + CRASH_SETTLE_TIME);
                } else if next == Next::Retry {
                    purpose = Some(Purpose::Needed);
                } else if run.is_exhausted() {
                    break;
                }
            }
            () = sleep_until(silent_at) => {
                let now = tier.now();
                if let Some((server, since, check_at)) = &mut awaited {
                    *check_at = now + SILENCE_CHECK_INTERVAL;
                    let since = std::mem::replace(since, now);
                    let in_doubt = tier.server_paths.on_silence(now, service, server, since);
                    if in_doubt && run.next_check_at().is_some() {
                        // A hedge at a server that can't be reached either would use up an attempt.
                        run.schedule_check(now + CHECK_TIME);
                    }
                }
            }
            () = sleep_until(next_check_at) => {
                purpose = Some(if run.is_running() { Purpose::Hedge } else { Purpose::Needed });
                if !run.may_send(attempts) {
                    run.cancel_check();
                    purpose = None;
                }
            }
            () = tokio::time::sleep_until(deadline) => break,
        }
    }
    match (server_failure, run.unanswered()) {
        (Some(reply), _) => Outcome::Answered(reply),
        (None, Outcome::NotRun(reason)) => Outcome::NotRun(reason),
        (None, Outcome::Unknown(reason)) => Outcome::Unknown(reason),
        (None, Outcome::Answered(())) => Outcome::Unknown(UnknownReason::BadReply),
    }
}

/// What a request is sent to.
#[derive(Debug)]
enum Receiver {
    /// A server of the service.
    Server(Arc<LiveServer>, ServerHealth),
    /// A host that can reach the servers, while this one can't.
    Host(Ipv4Addr),
}

/// Chooses a server or, if none can be reached from here, another host.
fn choose_receiver<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    service: &ServiceId,
    run: &ShardRun,
    purpose: Purpose,
    asked: &AskedHosts,
) -> Result<Receiver, NoServer> {
    let host = || choose_host(tier, job, asked).map(Receiver::Host);
    if tier.server_paths.is_unreachable(service) {
        if let Some(host) = host() {
            return Ok(host);
        }
        if tier.server_paths.is_cut_off() {
            return Err(NoServer::Unavailable);
        }
    }
    match choose_server(tier, job, service, run, purpose, Path::Direct) {
        Ok((server, health)) => Ok(Receiver::Server(server, health)),
        Err(NoServer::Unavailable)
            if run.failure() == Some(&Outcome::NotRun(NotRunReason::Unreachable)) =>
        {
            host().ok_or(NoServer::Unavailable)
        }
        Err(reason) => Err(reason),
    }
}

/// Takes an extra attempt out of the budget and tells whether it is allowed. The first attempt is
/// free, and so is the second if the first did not reach its server. The first attempt of a request
/// that is forwarded counts at the host that makes it.
fn take_from_budget<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    service: &ServiceId,
    run: &ShardRun,
    receiver: &Receiver,
) -> bool {
    let now = tier.now();
    let sharing = tier.fleet.load().sharing_hosts();
    let mut extra = tier.extra();
    if run.send_count() == 0 {
        // The sender has taken the attempt of a forwarded request out of its budget.
        if matches!(receiver, Receiver::Server(..)) && job.attempts_made() == 0 {
            extra.on_first(now, service);
        }
        return true;
    }
    let nothing_arrived = matches!(run.failure(), Some(Outcome::NotRun(NotRunReason::Unreachable)))
        && run.send_count() == 1;
    nothing_arrived || extra.try_spend(now, service, sharing)
}

async fn send<B: BackendProtocol>(
    tier: Arc<Tier<B>>,
    job: Arc<Job>,
    server: Arc<LiveServer>,
    expected: Duration,
) -> (ServerId, Outcome<Reply>) {
    let outcome = attempt(&tier, &job, &server, expected).await;
    (server.record.id.clone(), outcome)
}

async fn send_to_host<B: BackendProtocol>(
    tier: Arc<Tier<B>>,
    job: Arc<Job>,
    host: Ipv4Addr,
    service: ServiceId,
    attempts_made: u32,
) -> (ServerId, Outcome<Reply>) {
    let outcome = match forward(&tier, &job, host, Some(&service), attempts_made).await {
        Outcome::Answered(Answer::Forwarded(reply)) => Outcome::Answered(reply),
        Outcome::Answered(_) => Outcome::Unknown(UnknownReason::BadReply),
        Outcome::NotRun(reason) => Outcome::NotRun(reason),
        Outcome::Unknown(reason) => Outcome::Unknown(reason),
    };
    (host_id(host), outcome)
}
