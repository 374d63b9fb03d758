//! Serves a caller's request, from admission to the answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use smol_str::format_smolstr;

use super::attempt::{Job, Origin};
use super::baseline::Baseline;
use super::forward::{AskedHosts, choose_host, forward};
use super::scatter::{Gathered, scatter};
use super::single::single;
use crate::clock::{Monotonic, millis};
use crate::connection::exchange::{BackendProtocol, Call, Reply};
use crate::ids::{ConfigVersion, ServiceId};
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::position::PlanOrder;
use crate::process::membership::members::Phase;
use crate::process::quarantine::Refusal;
use crate::process::tier::Tier;
use crate::version::plan::{GatherRule, Plan, Route, Target};

/// Time subtracted from the latency target, which counts from the moment the caller starts to
/// connect: two or three transits between caller and host, timer delays and merging. A few missing
/// parts cost little, but an answer that is slightly late loses nearly all its value.
const REPLY_MARGIN: Duration = Duration::from_millis(14);
/// A further margin for the work that grows with the request, as a share of the latency target.
const REPLY_MARGIN_SHARE: f64 = 0.03;
/// The answer is sent this long before the deadline, so that it arrives in time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(25);
/// The minimum `retry_after` after a refusal for lack of capacity: the time of a few typical
/// requests.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(150);
/// The minimum `retry_after` when servers are unknown or lost: lost servers are replaced, and
/// registry entries restored, within about two seconds.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(600);
/// The minimum `retry_after` of a host that can't reach the servers, while other hosts may.
const CUT_OFF_RETRY_AFTER: Duration = Duration::from_millis(5);
/// Random time added to the latter two, so that callers do not retry together.
const RETRY_AFTER_JITTER: Duration = Duration::from_millis(300);

/// A caller's request.
#[derive(Debug)]
pub struct Request {
    /// The call to pass to a backend server.
    pub call: Call,
    /// How long the caller waits, if it sent a deadline.
    pub timeout: Option<Duration>,
    /// When the head of the request arrived, from which the caller's time counts.
    pub received_at: Monotonic,
}

/// The answer to a caller.
#[derive(Debug)]
pub enum Answer {
    /// The unchanged reply of one server.
    Forwarded(Reply),
    /// The merged parts of several shards.
    Gathered(Gathered),
    /// No route matches the request.
    NoRoute,
}

/// The outcome of a request and when a refused caller should retry.
#[derive(Debug)]
pub struct Served {
    /// The outcome.
    pub outcome: Outcome<Answer>,
    /// How long a refused caller should wait before it retries.
    pub retry_after: Duration,
}

impl Served {
    /// Returns the outcome for a caller that another host may serve at once.
    fn elsewhere(outcome: Outcome<Answer>) -> Self {
        Self { outcome, retry_after: CUT_OFF_RETRY_AFTER.mul_f64(1.0 + rand::random::<f64>()) }
    }

    /// Returns the refusal of a request for which this host has no room.
    pub fn overloaded() -> Self {
        Self::of(Outcome::NotRun(NotRunReason::Overloaded))
    }

    fn of(outcome: Outcome<Answer>) -> Self {
        let least = match outcome {
            Outcome::NotRun(NotRunReason::Unreachable | NotRunReason::NotReady) => {
                UNREACHABLE_RETRY_AFTER
            }
            Outcome::NotRun(_) | Outcome::Answered(_) | Outcome::Unknown(_) => OVERLOAD_RETRY_AFTER,
        };
        Self { outcome, retry_after: least + RETRY_AFTER_JITTER.mul_f64(rand::random()) }
    }
}

/// Returns by when the body of a request must be complete, or the answer if the request would be
/// refused anyway. `timeout` is how long the caller waits.
///
/// # Errors
///
/// Returns the refusal.
pub fn body_deadline<B: BackendProtocol>(
    tier: &Tier<B>,
    call: &Call,
    timeout: Option<Duration>,
    received_at: Monotonic,
) -> Result<Monotonic, Box<Served>> {
    let plan = tier.plan.load();
    let route = find_route(tier, &plan, call)?;
    let deadline = received_at + timeout.unwrap_or(route.timeout).min(route.timeout);
    if !tier.shutdown.admits(received_at, deadline) {
        return Err(Box::new(Served::elsewhere(Outcome::NotRun(NotRunReason::NotReady))));
    }
    Ok(deadline)
}

/// Returns the route of a request, or the answer to one that has none.
fn find_route<'a, B: BackendProtocol>(
    tier: &Tier<B>,
    plan: &'a Plan,
    call: &Call,
) -> Result<&'a Arc<Route>, Box<Served>> {
    if plan.version == 0 {
        return Err(Box::new(Served::of(Outcome::NotRun(NotRunReason::NotReady))));
    }
    let path = call.path.split('?').next().unwrap_or_default();
    plan.route(&call.host, path).ok_or_else(|| {
        let outdated = tier.plan_may_be_outdated();
        tracing::info!(
            request = %call.request_id, host = %call.host, path,
            version = plan.version, outdated, "no route matches the request"
        );
        let outcome = match outdated {
            true => Outcome::NotRun(NotRunReason::NotReady),
            false => Outcome::Answered(Answer::NoRoute),
        };
        Box::new(Served::of(outcome))
    })
}

/// Serves one request; dropping the future cancels all its work.
pub async fn serve<B: BackendProtocol>(tier: &Arc<Tier<B>>, request: Request) -> Served {
    let _running = tier.track_running();
    let plan = tier.plan.load_full();
    let began_at = request.received_at;
    let route = match find_route(tier, &plan, &request.call) {
        Ok(route) => route,
        Err(refused) => return *refused,
    };
    let job = Arc::new(job(tier, route.clone(), request, began_at, plan.order()));
    if !tier.shutdown.admits(began_at, job.deadline) {
        let outcome = Outcome::NotRun(NotRunReason::NotReady);
        log_end(tier, &job, &outcome, began_at, plan.version);
        return Served::elsewhere(outcome);
    }
    let admission = tier.suspects.quarantine().check(began_at, job.fingerprint);
    if let Err(Refusal { retry_after }) = admission {
        let outcome = Outcome::NotRun(NotRunReason::Quarantined);
        log_end(tier, &job, &outcome, began_at, plan.version);
        return Served { outcome, retry_after };
    }
    job.begin_trial(tier);
    let outcome = tokio::select! {
        outcome = run(tier, &job, None, plan.version) => outcome,
        () = tier.shutdown.answer_now.cancelled() => Outcome::Unknown(UnknownReason::TimedOut),
    };
    if job.in_trial.load(Ordering::Relaxed) {
        tier.suspects.quarantine().end_trial(job.fingerprint);
    }
    log_end(tier, &job, &outcome, began_at, plan.version);
    if matches!(outcome, Outcome::NotRun(NotRunReason::Unreachable)) && tier.is_cut_off() {
        return Served::elsewhere(outcome);
    }
    if matches!(outcome, Outcome::NotRun(NotRunReason::RateLimited)) {
        let retry_after = tier.rate_limited_retry_after(&job.route);
        return Served { outcome, retry_after };
    }
    Served::of(outcome)
}

/// Runs an admitted request. `chosen` is the service that another host has chosen for it.
pub(super) async fn run<B: BackendProtocol>(
    tier: &Arc<Tier<B>>,
    job: &Arc<Job>,
    chosen: Option<ServiceId>,
    version: ConfigVersion,
) -> Outcome<Answer> {
    match &job.route.target {
        Target::Service(service) => single(tier, job, service).await.map(Answer::Forwarded),
        Target::Split(parts) => {
            let chosen = chosen.filter(|chosen| parts.iter().any(|(part, _)| part == chosen));
            let next = || tier.split().next_service(&job.route.id, parts);
            match chosen.or_else(next) {
                Some(service) => single(tier, job, &service).await.map(Answer::Forwarded),
                None => Outcome::NotRun(NotRunReason::NotReady),
            }
        }
        Target::Gather(rule) => gather(tier, job, rule, version).await,
    }
}

/// Gathers the parts of an answer, or lets another host do so if this one can't reach enough servers.
async fn gather<B: BackendProtocol>(
    tier: &Arc<Tier<B>>,
    job: &Arc<Job>,
    rule: &GatherRule,
    version: ConfigVersion,
) -> Outcome<Answer> {
    let mut asked = AskedHosts::new();
    let mut outcome = Outcome::NotRun(NotRunReason::Unreachable);
    let is_cut_off = tier.server_paths.is_cut_off();
    // Hosts of a build that does not serve whole requests for others still relay their parts.
    let has_relays = || tier.fleet.load().up.iter().any(|host| host.phase == Phase::Ready);
    let by_relays =
        || job.origin == Origin::Caller && choose_host(tier, job, &asked).is_none() && has_relays();
    if !is_cut_off || by_relays() {
        outcome = scatter(tier, job, rule, version).await.map(Answer::Gathered);
        let is_lost = matches!(
            outcome,
            Outcome::NotRun(NotRunReason::Unreachable)
                | Outcome::Unknown(UnknownReason::ConnectionLost)
        );
        if !is_lost || !tier.is_cut_off() {
            return outcome;
        }
    }
    let mut may_have_run = false;
    loop {
        match outcome {
            Outcome::NotRun(
                NotRunReason::Unreachable
                | NotRunReason::Overloaded
                | NotRunReason::NotReady
                | NotRunReason::VersionGone,
            ) => {}
            Outcome::Unknown(UnknownReason::ConnectionLost) => may_have_run = true,
            Outcome::NotRun(_) | Outcome::Unknown(_) | Outcome::Answered(_) => break,
        }
        let Some(host) = choose_host(tier, job, &asked) else { break };
        if may_have_run && !take_repeat_from_budget(tier, rule) {
            break;
        }
        asked.push(host);
        outcome = forward(tier, job, host, None, 0).await;
    }
    if may_have_run && outcome.is_not_run() {
        return Outcome::Unknown(UnknownReason::ConnectionLost);
    }
    outcome
}

/// Takes an extra attempt at each shard out of the budget, since servers may have run the request;
/// returns whether all were available.
fn take_repeat_from_budget<B: BackendProtocol>(tier: &Tier<B>, rule: &GatherRule) -> bool {
    let (now, sharing) = (tier.now(), tier.fleet.load().sharing_hosts());
    let mut extra = tier.extra();
    rule.shards.iter().all(|shard| extra.try_spend(now, shard, sharing))
}

fn job<B: BackendProtocol>(
    tier: &Tier<B>,
    route: Arc<Route>,
    request: Request,
    began_at: Monotonic,
    plan: PlanOrder,
) -> Job {
    let timeout = request.timeout.unwrap_or(route.timeout).min(route.timeout);
    let used = |left| tier.usual_timeouts().used(&route.id, left);
    let used = request.timeout.map_or(Duration::ZERO, used);
    let target = route.latency_target;
    let target_left = if used < target { target - used } else { target };
    let typical = tier.passive_health().typical(&route.id, target);
    Job {
        fingerprint: request.call.fingerprint(),
        in_trial: AtomicBool::new(false),
        call: request.call,
        deadline: began_at + timeout.saturating_sub(DEADLINE_MARGIN.min(timeout / 4)),
        soft_deadline: began_at + target_left.saturating_sub(reply_margin(target)),
        typical,
        baseline: Baseline::default(),
        plan,
        origin: Origin::Caller,
        route,
    }
}

/// Returns how long before the latency target the answer is sent.
fn reply_margin(target: Duration) -> Duration {
    REPLY_MARGIN + target.mul_f64(REPLY_MARGIN_SHARE)
}

pub(super) fn log_end<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    outcome: &Outcome<Answer>,
    began_at: Monotonic,
    version: u64,
) {
    let took = tier.now().saturating_sub(began_at);
    let name = match outcome {
        Outcome::Answered(_) => "answered",
        Outcome::NotRun(_) => "not_run",
        Outcome::Unknown(_) => "unknown",
    };
    tier.metrics.request(&job.route.id, name, took.as_secs_f64() * 1e3);
    // The time until the latency target, which counts from the moment the caller began to connect.
    let allowed =
        job.soft_deadline.saturating_sub(began_at) + reply_margin(job.route.latency_target);
    let why = match outcome {
        Outcome::Answered(_) if took <= allowed => return,
        Outcome::Answered(_) => "late".into(),
        Outcome::NotRun(reason) => format_smolstr!("{reason}"),
        Outcome::Unknown(reason) => format_smolstr!("{reason}"),
    };
    let position = tier.servers.load().position;
    tracing::info!(
        request = %job.call.request_id, route = %job.route.id, outcome = name, why = %why,
        fingerprint = %format_smolstr!("{:016x}", job.fingerprint),
        took_ms = millis(took), allowed_ms = millis(allowed), version,
        servers_epoch = position.epoch, servers_revision = position.revision,
        "request ended"
    );
}
