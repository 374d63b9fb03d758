//! The way of a caller's request, from admission to answer.

use std::sync::Arc;
use std::time::Duration;

use super::attempt::Job;
use super::pace::Pace;
use super::scatter::{Gathered, scatter};
use super::single::single;
use crate::clock::{Monotonic, millis};
use crate::connection::exchange::{BackendProtocol, Call, Reply};
use crate::outcome::{NotRunReason, Outcome};
use crate::process::tier::Tier;
use crate::version::plan::{Route, Target};

/// What is taken off the latency target, which counts from the moment at which the caller began to
/// connect: two or three ways between caller and host, timers and the merging of the parts. A few
/// missing parts cost little, an answer that is late by a moment nearly all.
const WAYS: Duration = Duration::from_millis(14);
/// The same for what grows with the work, as a share of the target.
const WAYS_SHARE: f64 = 0.03;
/// The answer goes out this much before the deadline, so that it still arrives.
const END_MARGIN: Duration = Duration::from_millis(25);
/// When a caller that was refused for want of room may come back: after some usual requests.
const BUSY_RETRY_MIN: Duration = Duration::from_millis(150);
/// When a caller that was refused because servers are unknown or gone may come back: lost ones are
/// replaced, and entries are back in the registry, within about two seconds.
const GONE_RETRY_MIN: Duration = Duration::from_millis(600);
/// Both are spread by this much, so that callers do not return together.
const RETRY_SPREAD: Duration = Duration::from_millis(300);

/// A caller's request.
#[derive(Debug)]
pub struct Request {
    /// What is passed on.
    pub call: Call,
    /// How long the caller waits, if it says so.
    pub patience: Option<Duration>,
}

/// What a caller gets.
#[derive(Debug)]
pub enum Answer {
    /// The reply of one server, unchanged.
    Passed(Reply),
    /// The parts of several.
    Gathered(Gathered),
    /// No route takes the request.
    NoRoute,
}

/// What became of a request, and when a refused caller should come back.
#[derive(Debug)]
pub struct Served {
    /// The outcome.
    pub outcome: Outcome<Answer>,
    /// When to come back after a refusal.
    pub retry_after: Duration,
}

impl Served {
    fn of(outcome: Outcome<Answer>) -> Self {
        let least = match outcome {
            Outcome::NotRun(NotRunReason::Unreachable | NotRunReason::NotReady) => GONE_RETRY_MIN,
            Outcome::NotRun(_) | Outcome::Answered(_) | Outcome::Unknown(_) => BUSY_RETRY_MIN,
        };
        Self { outcome, retry_after: least + RETRY_SPREAD.mul_f64(rand::random()) }
    }
}

/// Serves one request; dropping the future ends all work on it.
pub async fn serve<B: BackendProtocol>(tier: &Arc<Tier<B>>, request: Request) -> Served {
    let _running = tier.count_running();
    let plan = tier.plan.load_full();
    let began_at = tier.now();
    if plan.version == 0 || tier.closing.is_cancelled() {
        return Served::of(Outcome::NotRun(NotRunReason::NotReady));
    }
    let path = request.call.path.split('?').next().unwrap_or_default();
    let Some(route) = plan.route(&request.call.host, path) else {
        tracing::info!(
            request = %request.call.request_id, host = %request.call.host, path,
            version = plan.version, "no route"
        );
        return Served::of(Outcome::Answered(Answer::NoRoute));
    };
    let job = Arc::new(job(tier, route.clone(), request, began_at));
    let outcome = match &job.route.target {
        Target::Service(service) => single(tier, &job, service).await.map(Answer::Passed),
        Target::Split(parts) => {
            let service = tier.split().deal(&job.route.id, parts);
            match service {
                Some(service) => single(tier, &job, &service).await.map(Answer::Passed),
                None => Outcome::NotRun(NotRunReason::NotReady),
            }
        }
        Target::Gather(rule) => scatter(tier, &job, rule, plan.version).await.map(Answer::Gathered),
    };
    log(tier, &job, &outcome, began_at, plan.version);
    Served::of(outcome)
}

fn job<B: BackendProtocol>(
    tier: &Tier<B>,
    route: Arc<Route>,
    request: Request,
    began_at: Monotonic,
) -> Job {
    let patience = request.patience.unwrap_or(route.timeout).min(route.timeout);
    // A later attempt of the caller's has less time left than the first had.
    let used = request.patience.map_or(Duration::ZERO, |left| route.timeout.saturating_sub(left));
    let target = route.latency_target;
    let target_left = if used < target { target - used } else { target };
    let typical = tier.beliefs().typical(&route.id, target);
    Job {
        call: request.call,
        deadline: began_at + patience.saturating_sub(END_MARGIN.min(patience / 4)),
        answer_at: began_at + target_left.saturating_sub(WAYS + target.mul_f64(WAYS_SHARE)),
        typical,
        pace: Pace::default(),
        route,
    }
}

fn log<B: BackendProtocol>(
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
    let why = match outcome {
        Outcome::Answered(_) if took <= job.route.latency_target => return,
        Outcome::Answered(_) => "late".into(),
        Outcome::NotRun(reason) => smol_str::format_smolstr!("{reason}"),
        Outcome::Unknown(reason) => smol_str::format_smolstr!("{reason}"),
    };
    tracing::info!(
        request = %job.call.request_id, route = %job.route.id, outcome = name, why = %why,
        took_ms = millis(took), version, servers_revision = tier.servers.load().revision,
        "request ended"
    );
}
