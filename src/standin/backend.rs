//! A stand-in for a backend server: slots, connections, cold start, shedding, draining,
//! cancellation, deadlines and bad replies.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use smol_str::format_smolstr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use super::data::shard_rows;
use super::http_server::{Reply, accept, body_json, json, not_found, raw_json, serve};
use super::run_counts::RunCounts;
use crate::connection::backend::{Cancel, Instance, Refusal, RefusalReason, RunReply, RunRequest};
use crate::error::{Error, Result};
use crate::ids::{AttemptId, IndexVersion, InstanceId};
use crate::version::config::{Server, ServerLimits};

/// Completed requests after which a cold server is warm.
const WARM_AFTER_REQUESTS: u32 = 24;
/// Factor on the service time of a cold server.
const COLD_SERVICE_TIME_FACTOR: f64 = 4.0;
/// How long a server that was overloaded while cold refuses every request.
const OVERLOAD_RECOVERY_TIME: Duration = Duration::from_millis(300);
/// Slow requests per thousand, and the factor on their service time.
const SLOW_PERMILLE: u32 = 10;
const SLOW_SERVICE_TIME_FACTOR: f64 = 6.0;

/// The fault that a server injects into its replies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[non_exhaustive]
pub enum Fault {
    /// Replies are correct.
    #[default]
    None,
    /// Only the first half of the reply is sent.
    Truncated,
    /// The reply names another attempt.
    OtherAttempt,
    /// The reply names another index version.
    OtherVersion,
    /// The reply is larger than any valid one.
    TooLarge,
    /// The rows are those of another shard.
    OtherShard,
    /// The body contains the reply twice.
    Duplicated,
    /// No reply is sent.
    Silent,
}

#[derive(Debug)]
struct State {
    instance: InstanceId,
    connections_closed: CancellationToken,
    up: bool,
    completed: u32,
    in_flight: u32,
    connections: u32,
    overloaded_until: Option<tokio::time::Instant>,
    draining: bool,
    versions: HashSet<IndexVersion>,
    slow_factor: f64,
    fault: Fault,
    running: HashMap<AttemptId, CancellationToken>,
    rng: SmallRng,
}

/// A running stand-in of a backend server.
#[derive(Debug)]
pub struct BackendServer {
    server: Server,
    limits: ServerLimits,
    run_counts: Arc<RunCounts>,
    slots: Semaphore,
    incarnations: AtomicU64,
    state: Mutex<State>,
    stopped: CancellationToken,
}

/// Counts a request as in flight until it is dropped.
struct InFlight<'a>(&'a BackendServer, AttemptId);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.in_flight -= 1;
        state.running.remove(&self.1);
    }
}

impl BackendServer {
    /// Starts a cold server on its configured address.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Address`] if the server can't listen on the address.
    pub async fn start(
        server: Server,
        limits: ServerLimits,
        versions: impl IntoIterator<Item = IndexVersion>,
        seed: u64,
        run_counts: Arc<RunCounts>,
    ) -> Result<Arc<Self>> {
        let addr = server.addr;
        let listener =
            TcpListener::bind(addr).await.map_err(|source| Error::Address { addr, source })?;
        let state = State {
            instance: format_smolstr!("{}#1", server.id),
            connections_closed: CancellationToken::new(),
            up: true,
            completed: 0,
            in_flight: 0,
            connections: 0,
            overloaded_until: None,
            draining: false,
            versions: versions.into_iter().collect(),
            slow_factor: 1.0,
            fault: Fault::None,
            running: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
        };
        let backend = Arc::new(Self {
            slots: Semaphore::new(limits.slots as usize),
            incarnations: AtomicU64::new(1),
            stopped: CancellationToken::new(),
            state: Mutex::new(state),
            server,
            limits,
            run_counts,
        });
        tokio::spawn(backend.clone().accept(listener));
        Ok(backend)
    }

    /// Returns the configuration of the server.
    pub const fn server(&self) -> &Server {
        &self.server
    }

    /// Simulates a crash: closes every connection and accepts none until a restart.
    pub fn crash(&self) {
        let mut state = self.lock();
        state.up = false;
        state.connections_closed.cancel();
    }

    /// Stops the stand-in for good.
    pub fn stop(&self) {
        self.stopped.cancel();
        self.crash();
    }

    /// Restarts the server as a new, cold instance; a running instance crashes first.
    pub fn restart(&self) {
        let mut state = self.lock();
        state.connections_closed.cancel();
        state.connections_closed = CancellationToken::new();
        state.up = true;
        state.completed = 0;
        state.draining = false;
        let incarnation = self.incarnations.fetch_add(1, Ordering::Relaxed) + 1;
        state.instance = format_smolstr!("{}#{incarnation}", self.server.id);
    }

    /// Starts or ends draining; a draining server refuses every request.
    pub fn set_draining(&self, draining: bool) {
        self.lock().draining = draining;
    }

    /// Sets a factor on the service time of every request.
    pub fn set_slow_factor(&self, factor: f64) {
        self.lock().slow_factor = factor;
    }

    /// Sets the fault that is injected into replies.
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Sets the index versions that the server holds.
    pub fn set_versions(&self, versions: impl IntoIterator<Item = IndexVersion>) {
        self.lock().versions = versions.into_iter().collect();
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.lock().in_flight
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        while let Some(stream) = accept(&listener, &self.stopped).await {
            let closed = {
                let mut state = self.lock();
                if !state.up {
                    continue;
                }
                if state.connections >= self.limits.connections {
                    self.run_counts.on_connection_overload();
                    continue;
                }
                state.connections += 1;
                state.connections_closed.clone()
            };
            tokio::spawn(self.clone().serve_connection(stream, closed));
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream, closed: CancellationToken) {
        let connect_time = Duration::from_millis(self.limits.connect_ms);
        tokio::time::sleep(connect_time).await;
        serve(stream, closed, |request| self.handle(request)).await;
        self.lock().connections -= 1;
    }

    async fn handle(&self, request: Request<Incoming>) -> Reply {
        match request.uri().path() {
            "/v1/instance" => {
                json(StatusCode::OK, &Instance { instance: self.lock().instance.clone() })
            }
            "/v1/run" => match body_json::<RunRequest>(request).await {
                Some(request) => self.run(request).await,
                None => json(StatusCode::BAD_REQUEST, &"the request can't be read"),
            },
            "/v1/cancel" => {
                if let Some(Cancel { attempt }) = body_json(request).await
                    && let Some(token) = self.lock().running.get(&attempt)
                {
                    token.cancel();
                }
                json(StatusCode::OK, &"noted")
            }
            _ => not_found(),
        }
    }

    async fn run(&self, request: RunRequest) -> Reply {
        self.run_counts.on_arrival(&self.server.id);
        let attempt = request.attempt;
        let cancel = CancellationToken::new();
        let _in_flight = match self.admit(&request, &cancel) {
            Ok(in_flight) => in_flight,
            Err(reason) => return refuse(attempt, reason, true),
        };
        let deadline = Duration::from_millis(request.deadline_ms);
        let submit = !request.kind.is_idempotent();
        let work = async {
            let _slot = self.slots.acquire().await.expect("the semaphore is never closed");
            self.run_counts.on_run(&request.request_id, request.shard, submit);
            tokio::time::sleep(self.service_time()).await;
            self.lock().completed += 1;
        };
        tokio::select! {
            () = work => self.reply(&request).await,
            () = tokio::time::sleep(deadline) => refuse(attempt, RefusalReason::Expired, false),
            () = cancel.cancelled() => refuse(attempt, RefusalReason::Cancelled, false),
        }
    }

    fn admit(
        &self,
        request: &RunRequest,
        cancel: &CancellationToken,
    ) -> Result<InFlight<'_>, RefusalReason> {
        let mut state = self.lock();
        let now = tokio::time::Instant::now();
        if state.draining {
            return Err(RefusalReason::Draining);
        }
        if !state.versions.contains(&request.index_version) {
            return Err(RefusalReason::VersionGone);
        }
        if state.overloaded_until.is_some_and(|until| now < until) {
            self.run_counts.on_shed();
            return Err(RefusalReason::Shed);
        }
        if state.completed < WARM_AFTER_REQUESTS && state.in_flight >= self.limits.cold_start_limit
        {
            self.run_counts.on_cold_overload();
            state.overloaded_until = Some(now + OVERLOAD_RECOVERY_TIME);
            state.completed = 0;
            return Err(RefusalReason::Shed);
        }
        if state.in_flight >= self.limits.slots * 2 {
            self.run_counts.on_shed();
            return Err(RefusalReason::Shed);
        }
        state.in_flight += 1;
        state.running.insert(request.attempt, cancel.clone());
        Ok(InFlight(self, request.attempt))
    }

    fn service_time(&self) -> Duration {
        let mut state = self.lock();
        let cold = state.completed < WARM_AFTER_REQUESTS;
        let spread = state.rng.random_range(0.4..1.2);
        let slow = state.rng.random_range(0..1_000) < SLOW_PERMILLE;
        let mut factor = spread * state.slow_factor;
        if cold {
            factor *= COLD_SERVICE_TIME_FACTOR;
        }
        if slow {
            factor *= SLOW_SERVICE_TIME_FACTOR;
        }
        Duration::from_millis(self.limits.typical_ms).mul_f64(factor)
    }

    async fn reply(&self, request: &RunRequest) -> Reply {
        let rows = |shard, version| {
            let (term, key) = (&request.term, &request.key);
            shard_rows(request.kind, shard, version, term, key, request.limit)
        };
        let mut reply = RunReply {
            attempt: request.attempt,
            shard: request.shard,
            index_version: request.index_version,
            rows: rows(request.shard, request.index_version),
        };
        let fault = self.lock().fault;
        match fault {
            Fault::None | Fault::Truncated | Fault::Duplicated => {}
            Fault::OtherAttempt => reply.attempt ^= 1,
            Fault::OtherVersion => reply.index_version += 1,
            Fault::OtherShard => reply.rows = rows(request.shard + 1, request.index_version),
            Fault::TooLarge => reply.rows[0].text = "x".repeat(5 << 20).into(),
            Fault::Silent => std::future::pending().await,
        }
        let mut bytes = serde_json::to_vec(&reply).expect("plain data always serializes");
        match fault {
            Fault::Truncated => bytes.truncate(bytes.len() / 2),
            Fault::Duplicated => bytes.extend_from_within(..),
            _ => {}
        }
        raw_json(StatusCode::OK, bytes)
    }
}

fn refuse(attempt: AttemptId, reason: RefusalReason, not_run: bool) -> Reply {
    json(StatusCode::SERVICE_UNAVAILABLE, &Refusal { attempt, reason, not_run })
}
