//! Serves a request that one server answers.

use std::sync::Arc;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use smol_str::format_smolstr;

use super::attempt::{
    CRASH_SETTLE_TIME, Job, NoServer, Path, attempt, choose_server, failure_of, overdue_after,
};
use super::server_choice::Purpose;
use super::shard_run::{Next, ShardRun};
use super::timer::sleep_until;
use crate::connection::exchange::{BackendProtocol, Reply};
use crate::ids::ServiceId;
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::process::tier::Tier;
use crate::version::plan::Idempotency;

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
    let attempts = job.route.attempts;
    let began_at = tier.now();
    job.baseline.set(job.typical);
    let mut run = ShardRun::default();
    let mut running = FuturesUnordered::new();
    let mut server_failure: Option<Reply> = None;
    let deadline = tier.clock.instant(job.deadline);
    let mut purpose = Some(Purpose::Needed);
    loop {
        if let Some(purpose) = purpose.take() {
            let now = tier.now();
            let chosen = choose_server(tier, job, service, &run, purpose, Path::Direct);
            if matches!(chosen, Err(NoServer::RateLimited(_))) {
                run.on_rate_limited();
            }
            let first = run.send_count() == 0;
            let granted = chosen
                .ok()
                .filter(|_| first || job.may_send_again(tier))
                .filter(|_| take_from_budget(tier, service, &run));
            match granted {
                Some((server, health)) => {
                    run.on_sent(&server.record.id, now + overdue_after(&health));
                    if !idempotent {
                        run.cancel_check();
                    }
                    running.push(send(tier.clone(), job.clone(), server, health.expected));
                }
                None if running.is_empty() => break,
                None => run.cancel_check(),
            }
        }
        let next_check_at = run.next_check_at().map(|at| tier.clock.instant(at));
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
                let next = run.on_failure(tier.now(), &server, failure, attempts);
                if !may_run_again {
                    break;
                }
                if next == Next::Retry && tier.quarantine().is_suspect(job.fingerprint) {
                    run.schedule_check(tier.now() + CRASH_SETTLE_TIME);
                } else if next == Next::Retry {
                    purpose = Some(Purpose::Needed);
                } else if run.is_exhausted() {
                    break;
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

/// Takes an extra attempt out of the budget and tells whether it is allowed. The first attempt is
/// free, and so is the second if the first did not reach its server.
fn take_from_budget<B: BackendProtocol>(
    tier: &Tier<B>,
    service: &ServiceId,
    run: &ShardRun,
) -> bool {
    let now = tier.now();
    let sharing = tier.fleet.load().known_hosts;
    let mut extra = tier.extra();
    if run.send_count() == 0 {
        extra.on_first(now, service);
        return true;
    }
    let nothing_arrived = matches!(run.failure(), Some(Outcome::NotRun(NotRunReason::Unreachable)))
        && run.send_count() == 1;
    nothing_arrived || extra.try_spend(now, service, sharing)
}

async fn send<B: BackendProtocol>(
    tier: Arc<Tier<B>>,
    job: Arc<Job>,
    server: Arc<crate::process::servers::registry::LiveServer>,
    expected: std::time::Duration,
) -> (crate::ids::ServerId, Outcome<Reply>) {
    let outcome = attempt(&tier, &job, &server, expected).await;
    (server.record.id.clone(), outcome)
}
