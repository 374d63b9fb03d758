//! Generates load on a fleet through its callers' interface, reproducibly from a seed.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use smol_str::{SmolStr, format_smolstr};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::caller_log::{CallerLog, SentRequest};
use super::fleet::Fleet;
use crate::connection::caller::{Caller, NoReply};
use crate::connection::caller_api::Reply;
use crate::connection::query::QueryBody;
use crate::ids::{RequestId, ServiceId};
use crate::version::config::Kind;

/// One-way network delay between a caller and an entry host.
const CALLER_ONE_WAY_DELAY: Duration = Duration::from_millis(3);
/// Simulated callers; each caches its own list of entry hosts.
const CALLER_COUNT: usize = 16;
/// The most resends of one non-idempotent request.
const MAX_RESENDS: u32 = 2;
const RESEND_DELAY: Duration = Duration::from_millis(150);

/// Returns the base rate for each kind of service, in requests per second.
const fn base_rate(kind: Kind) -> f64 {
    match kind {
        Kind::Listing | Kind::Lookup => 25.0,
        Kind::Fetch => 40.0,
        Kind::Submit => 20.0,
    }
}

/// A stream of requests to one service.
#[derive(Debug, Clone)]
struct RequestStream {
    service: ServiceId,
    kind: Kind,
    deadline: Duration,
}

/// Generates the load on one fleet.
#[derive(Debug)]
pub struct LoadGenerator {
    callers: Vec<Arc<Caller>>,
    log: Arc<Mutex<CallerLog>>,
    started: Instant,
    seed: u64,
    load_factor: f64,
}

impl LoadGenerator {
    /// Creates the callers of a fleet; `load_factor` multiplies the base rates.
    pub fn new(fleet: &Fleet, seed: u64, load_factor: f64) -> Self {
        let seeds = fleet.caller_addrs();
        let callers = (0..CALLER_COUNT)
            .map(|n| {
                let mut addrs = seeds.clone();
                addrs.rotate_left(n % seeds.len());
                Arc::new(Caller::new(addrs))
            })
            .collect();
        Self { callers, log: Arc::default(), started: Instant::now(), seed, load_factor }
    }

    /// Sends requests for a duration, waits for the last reply and returns the log of all callers.
    pub async fn run(&self, fleet: &Fleet, duration: Duration) -> CallerLog {
        let end_at = self.started + duration;
        let mut streams = JoinSet::new();
        for (service, n) in fleet.config().services.iter().zip(0_u64..) {
            let stream = RequestStream {
                service: service.id.clone(),
                kind: service.kind,
                deadline: Duration::from_millis(service.deadline_ms),
            };
            streams.spawn(run_stream(
                self.callers.clone(),
                self.log.clone(),
                stream,
                self.started,
                end_at,
                self.seed.wrapping_add(n << 32),
                base_rate(service.kind) * self.load_factor,
            ));
        }
        streams.join_all().await;
        std::mem::take(&mut self.log.lock().expect("no holder of the lock panics"))
    }
}

/// Sends the requests of one stream at exponentially distributed intervals (a Poisson process).
async fn run_stream(
    callers: Vec<Arc<Caller>>,
    log: Arc<Mutex<CallerLog>>,
    stream: RequestStream,
    started: Instant,
    end_at: Instant,
    seed: u64,
    rate: f64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut requests = JoinSet::new();
    let mut next_at = Instant::now();
    for n in 0_u64.. {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        next_at += Duration::from_secs_f64(-uniform.ln() / rate);
        if next_at >= end_at {
            break;
        }
        tokio::time::sleep_until(next_at).await;
        let caller = callers[rng.random_range(0..callers.len())].clone();
        let other = callers[rng.random_range(0..callers.len())].clone();
        let request = format_smolstr!("{}-{seed}-{n}", stream.service);
        requests.spawn(send_with_resends(
            [caller, other],
            log.clone(),
            stream.clone(),
            request,
            started,
        ));
        while requests.try_join_next().is_some() {}
    }
    requests.join_all().await;
}

/// Sends one request, and resends a non-idempotent one while the result allows it.
async fn send_with_resends(
    callers: [Arc<Caller>; 2],
    log: Arc<Mutex<CallerLog>>,
    stream: RequestStream,
    request: RequestId,
    started: Instant,
) {
    let mut resend = false;
    for attempt in 0..=MAX_RESENDS {
        let caller = &callers[attempt as usize % 2];
        let sent_at = Instant::now();
        let result = send(caller, &stream, &request, resend).await;
        let sent = SentRequest {
            service: stream.service.clone(),
            kind: stream.kind,
            request: request.clone(),
            term: term(&request),
            key: key(&request),
            deadline: stream.deadline,
            sent_at: sent_at.duration_since(started),
            took: sent_at.elapsed(),
            result: result.clone(),
        };
        log.lock().expect("no holder of the lock panics").requests.push(sent);
        let outcome = result.as_ref().map(|reply| reply.outcome.as_str());
        let resend_allowed = match outcome {
            Ok("not_run") | Err(NoReply::NotSent) => true,
            Ok("unknown") | Err(NoReply::Lost) => {
                resend = true;
                true
            }
            _ => false,
        };
        if stream.kind != Kind::Submit || !resend_allowed {
            return;
        }
        if result.is_err() {
            caller.clear_entry_hosts().await;
        }
        tokio::time::sleep(RESEND_DELAY).await;
    }
}

/// Sends a request once, with simulated network delay before and after.
async fn send(
    caller: &Caller,
    stream: &RequestStream,
    request: &RequestId,
    resend: bool,
) -> Result<Reply, NoReply> {
    let left = stream.deadline.saturating_sub(CALLER_ONE_WAY_DELAY * 2);
    let body = QueryBody {
        request_id: request.clone(),
        deadline_ms: u64::try_from(left.as_millis()).ok(),
        term: SmolStr::new(term(request)),
        key: SmolStr::new(key(request)),
        limit: None,
        resend,
    };
    tokio::time::sleep(CALLER_ONE_WAY_DELAY).await;
    let result = caller.query(&stream.service, &body, stream.deadline).await;
    tokio::time::sleep(CALLER_ONE_WAY_DELAY).await;
    result
}

fn term(request: &RequestId) -> String {
    format!("t-{request}")
}

fn key(request: &RequestId) -> String {
    format!("k-{request}")
}
