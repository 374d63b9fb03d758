//! Offers load to a fleet as its callers do, from a fixed seed.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use smol_str::{SmolStr, format_smolstr};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::caller_log::{CallerLog, Sending};
use super::fleet::Fleet;
use crate::connection::caller::{Caller, NoReply};
use crate::connection::caller_api::Reply;
use crate::connection::query::QueryBody;
use crate::ids::{RequestId, ServiceId};
use crate::version::config::Kind;

/// The one-way delay between a caller and an entry host.
const CALLER_ONE_WAY: Duration = Duration::from_millis(3);
/// Callers that keep address answers of their own.
const CALLERS: usize = 16;
/// The most that is sent again.
const MAX_RESENDS: u32 = 2;
const RESEND_AFTER: Duration = Duration::from_millis(150);

/// Requests a second for each kind of service.
const fn rate(kind: Kind) -> f64 {
    match kind {
        Kind::Listing | Kind::Lookup => 25.0,
        Kind::Fetch => 40.0,
        Kind::Submit => 20.0,
    }
}

/// One stream of requests to one service.
#[derive(Debug, Clone)]
struct Stream {
    service: ServiceId,
    kind: Kind,
    deadline: Duration,
}

/// The load on one fleet.
#[derive(Debug)]
pub struct Load {
    callers: Vec<Arc<Caller>>,
    log: Arc<Mutex<CallerLog>>,
    started: Instant,
    seed: u64,
    factor: f64,
}

impl Load {
    /// Prepares callers for a fleet; `factor` multiplies the usual rates.
    pub fn new(fleet: &Fleet, seed: u64, factor: f64) -> Self {
        let seeds = fleet.caller_addrs();
        let callers = (0..CALLERS)
            .map(|n| {
                let mut own = seeds.clone();
                own.rotate_left(n % seeds.len());
                Arc::new(Caller::new(own))
            })
            .collect();
        Self { callers, log: Arc::default(), started: Instant::now(), seed, factor }
    }

    /// Sends requests for a time and waits for the last reply.
    pub async fn run(&self, fleet: &Fleet, time: Duration) -> CallerLog {
        let until = self.started + time;
        let mut streams = JoinSet::new();
        for (service, n) in fleet.config().services.iter().zip(0_u64..) {
            let stream = Stream {
                service: service.id.clone(),
                kind: service.kind,
                deadline: Duration::from_millis(service.deadline_ms),
            };
            streams.spawn(offer(
                self.callers.clone(),
                self.log.clone(),
                stream,
                self.started,
                until,
                self.seed.wrapping_add(n << 32),
                rate(service.kind) * self.factor,
            ));
        }
        streams.join_all().await;
        std::mem::take(&mut self.log.lock().expect("no holder of the lock panics"))
    }
}

/// Sends the requests of one stream at random intervals.
async fn offer(
    callers: Vec<Arc<Caller>>,
    log: Arc<Mutex<CallerLog>>,
    stream: Stream,
    started: Instant,
    until: Instant,
    seed: u64,
    rate: f64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut requests = JoinSet::new();
    let mut next = Instant::now();
    for n in 0_u64.. {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        next += Duration::from_secs_f64(-uniform.ln() / rate);
        if next >= until {
            break;
        }
        tokio::time::sleep_until(next).await;
        let caller = callers[rng.random_range(0..callers.len())].clone();
        let other = callers[rng.random_range(0..callers.len())].clone();
        let request = format_smolstr!("{}-{seed}-{n}", stream.service);
        requests.spawn(send_until_settled(
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

/// Sends one request; a non-idempotent one again where that is allowed.
async fn send_until_settled(
    callers: [Arc<Caller>; 2],
    log: Arc<Mutex<CallerLog>>,
    stream: Stream,
    request: RequestId,
    started: Instant,
) {
    let mut resend = false;
    for attempt in 0..=MAX_RESENDS {
        let caller = &callers[attempt as usize % 2];
        let sent_at = Instant::now();
        let result = send(caller, &stream, &request, resend).await;
        let sending = Sending {
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
        log.lock().expect("no holder of the lock panics").sendings.push(sending);
        let outcome = result.as_ref().map(|reply| reply.outcome.as_str());
        let again = match outcome {
            Ok("not_run") | Err(NoReply::NotSent) => true,
            Ok("unknown") | Err(NoReply::Lost) => {
                resend = true;
                true
            }
            _ => false,
        };
        if stream.kind != Kind::Submit || !again {
            return;
        }
        if result.is_err() {
            caller.clear_entry_hosts().await;
        }
        tokio::time::sleep(RESEND_AFTER).await;
    }
}

async fn send(
    caller: &Caller,
    stream: &Stream,
    request: &RequestId,
    resend: bool,
) -> Result<Reply, NoReply> {
    let left = stream.deadline.saturating_sub(CALLER_ONE_WAY * 2);
    let body = QueryBody {
        request_id: request.clone(),
        deadline_ms: u64::try_from(left.as_millis()).ok(),
        term: SmolStr::new(term(request)),
        key: SmolStr::new(key(request)),
        limit: None,
        resend,
    };
    tokio::time::sleep(CALLER_ONE_WAY).await;
    let result = caller.query(&stream.service, &body, stream.deadline).await;
    tokio::time::sleep(CALLER_ONE_WAY).await;
    result
}

fn term(request: &RequestId) -> String {
    format!("t-{request}")
}

fn key(request: &RequestId) -> String {
    format!("k-{request}")
}
