//! Relays requests of other hosts to the servers in this failure domain and returns the parts.
//!
//! Replies are batched into few frames, with the records merged to the number that the answer can
//! hold, so that one message between failure domains carries many parts. See `docs/PLATFORM.md`,
//! section "Relays".

use std::collections::HashMap;
use std::io;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use smallvec::SmallVec;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};
use tokio_util::codec::FramedRead;
use tokio_util::sync::CancellationToken;

use super::attempt::{
    Job, NoServer, Origin, attempt, choose_near_server, failure_of, finish_remaining,
};
use super::baseline::{Baseline, late_after};
use super::forward;
use super::records::TopRecords;
use super::server_choice::Purpose;
use super::timer::sleep_until;
use crate::clock::{Monotonic, micros, millis};
use crate::connection::client_server::{End, WaitLimits, Waits, accept_client, listen};
use crate::connection::client_stream::ClientStream;
use crate::connection::exchange::{BackendProtocol, Call, Reply};
use crate::connection::peer_frame::{
    CallId, ForwardCall, Frame, FrameDecoder, RelayCall, RelayFailure, RelayParts, ShardIndex,
    decode, write,
};
use crate::ids::ServerId;
use crate::outcome::{NotRunReason, Outcome};
use crate::process::clients::{
    Cause, ClientConnection, ClientKind, Clients, Phase, RegisteredConnection,
};
use crate::process::configuration::fact_exchange;
use crate::process::servers::passive_health::PassiveHealth;
use crate::process::tier::Tier;
use crate::version::plan::{GatherRule, Target};

/// The maximum number of frames queued for one host.
const MAX_QUEUED_FRAMES: usize = 512;
/// The time for one frame to arrive or to be read by the other host.
const FRAME_TIMEOUT: Duration = Duration::from_secs(10);
/// A host may have nothing to send for long; it opens another connection when it has.
const WAIT_LIMITS: WaitLimits =
    WaitLimits { head_timeout: FRAME_TIMEOUT, idle_timeout: Duration::from_secs(600) };
/// After the first frame, parts that arrive within this time are returned together.
const COALESCE_DELAY: Duration = Duration::from_millis(4);

/// The wait that is reported for a request that lost a server's last token to another one.
const RATE_TOKEN_LOST_WAIT: Duration = Duration::from_millis(20);

/// Serves calls of other hosts until this host stops.
///
/// # Errors
///
/// Returns the error of the operating system if the port can't be bound.
pub async fn serve<B: BackendProtocol>(
    tier: Arc<Tier<B>>,
    clients: Arc<Clients>,
) -> io::Result<()> {
    let listener = listen((tier.settings.ip, tier.settings.peer_port).into())?;
    let stopped = tier.shutdown.stopped.clone();
    while let Some((stream, registered)) =
        accept_client(&listener, &clients, ClientKind::Host, &stopped).await
    {
        tokio::spawn(connection(tier.clone(), stream, registered));
    }
    Ok(())
}

async fn connection<B: BackendProtocol>(
    tier: Arc<Tier<B>>,
    stream: TcpStream,
    registered: RegisteredConnection,
) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "can't set TCP_NODELAY on a host's connection");
    }
    let clients = registered.clients();
    let client = registered.connection().clone();
    let (reader, mut writer) = stream.into_split();
    let decoder = FrameDecoder::within(clients.requests.clone());
    let mut stream = FramedRead::new(ClientStream::new(reader, client.clone()), decoder);
    let (frames, mut outgoing) = mpsc::channel::<Frame>(MAX_QUEUED_FRAMES);
    let running = Running { calls: Arc::default(), client: client.clone() };
    let send = async {
        while let Some(frame) = outgoing.recv().await {
            match timeout(FRAME_TIMEOUT, write(&mut writer, &frame)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return,
                Err(_) => {
                    registered.on_turned_away(Cause::UnreadAnswer);
                    return;
                }
            }
        }
    };
    let receive = async {
        while let Some(received) = stream.next().await {
            let bytes = match received {
                Ok(bytes) => bytes,
                Err(error) => {
                    if error.kind() == io::ErrorKind::OutOfMemory {
                        registered.on_turned_away(Cause::Frame);
                        clients.relieve_requests();
                    }
                    return;
                }
            };
            running.update_phase(!stream.read_buffer().is_empty());
            match decode(&bytes) {
                Some(Frame::Call(call)) => start(&tier, clients, call, &frames, &running),
                Some(Frame::Cancel(id)) => running.cancel(id),
                Some(Frame::Pull(known)) => {
                    let facts = fact_exchange::facts_after(&tier, known);
                    // The facts are dropped if the host's queue is full; the host pulls again.
                    let _ = frames.try_send(Frame::Facts(facts));
                }
                Some(Frame::Facts(facts)) => fact_exchange::on_pushed(&tier, facts),
                Some(Frame::Forward(call)) => {
                    start_forwarded(&tier, clients, call, &frames, &running);
                }
                Some(Frame::Parts(_) | Frame::Forwarded(_)) | None => {
                    tracing::warn!("unexpected frame from a host; closing its connection");
                    return;
                }
            }
        }
    };
    tokio::select! {
        biased;
        () = receive => {}
        () = send => {}
        end = Waits::new(&client, WAIT_LIMITS) => match end {
            End::TimedOut(_) => registered.on_turned_away(Cause::Frame),
            End::Displaced => registered.on_turned_away(Cause::Displaced),
            End::Idle | End::Finished(_) => {}
        },
        () = tier.shutdown.stopped.cancelled() => {}
    }
    // The calling host has disconnected, so its calls are cancelled.
    running.cancel_all();
}

/// The calls of one host that are in progress.
#[derive(Debug, Clone)]
struct Running {
    calls: Arc<Mutex<HashMap<CallId, CancellationToken>>>,
    client: Arc<ClientConnection>,
}

impl Running {
    fn lock(&self) -> MutexGuard<'_, HashMap<CallId, CancellationToken>> {
        self.calls.lock().expect("no holder of the lock panics")
    }

    fn begin(&self, id: CallId) -> CancellationToken {
        let token = CancellationToken::new();
        self.lock().insert(id, token.clone());
        self.client.set_phase(Phase::Serving);
        token
    }

    fn end(&self, id: CallId) {
        let mut calls = self.lock();
        calls.remove(&id);
        if calls.is_empty() && self.client.phase() == Phase::Serving {
            self.client.set_phase(Phase::Idle(Instant::now()));
        }
    }

    fn cancel(&self, id: CallId) {
        if let Some(call) = self.lock().remove(&id) {
            call.cancel();
        }
    }

    fn cancel_all(&self) {
        self.lock().values().for_each(CancellationToken::cancel);
    }

    /// Records what the connection waits for after a frame.
    fn update_phase(&self, has_next: bool) {
        let now = Instant::now();
        self.client.set_phase(match (self.lock().is_empty(), has_next) {
            (false, _) => Phase::Serving,
            (true, true) => Phase::Head(now),
            (true, false) => Phase::Idle(now),
        });
    }
}

fn start<B: BackendProtocol>(
    tier: &Arc<Tier<B>>,
    clients: &Arc<Clients>,
    call: RelayCall,
    frames: &mpsc::Sender<Frame>,
    running: &Running,
) {
    let (id, token) = (call.id, running.begin(call.id));
    let (tier, frames, running) = (tier.clone(), frames.clone(), running.clone());
    let clients = clients.clone();
    tokio::spawn(async move {
        RelayedCall::run(tier, &clients, call, frames, token).await;
        running.end(id);
    });
}

fn start_forwarded<B: BackendProtocol>(
    tier: &Arc<Tier<B>>,
    clients: &Arc<Clients>,
    call: ForwardCall,
    frames: &mpsc::Sender<Frame>,
    running: &Running,
) {
    let (id, token) = (call.id, running.begin(call.id));
    let (tier, frames, running) = (tier.clone(), frames.clone(), running.clone());
    let clients = clients.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = forward::serve(&tier, &clients, call, &frames) => {}
            () = token.cancelled() => {}
        }
        running.end(id);
    });
}

/// A relayed call in progress.
struct RelayedCall {
    id: CallId,
    began_at: Monotonic,
    keep: usize,
    frames: mpsc::Sender<Frame>,
    next: RelayParts,
    records: TopRecords,
}

impl RelayedCall {
    async fn run<B: BackendProtocol>(
        tier: Arc<Tier<B>>,
        clients: &Clients,
        call: RelayCall,
        frames: mpsc::Sender<Frame>,
        cancelled: CancellationToken,
    ) {
        let began_at = tier.now();
        let plan = tier.plan.load_full();
        let route = plan.route_named(&call.route).filter(|_| plan.version == call.version);
        let rule = route.and_then(|route| match &route.target {
            Target::Gather(rule) => Some(rule),
            Target::Service(_) | Target::Split(_) => None,
        });
        let keep = rule.map_or(0, |rule| rule.record_count);
        let mut relayed = Self {
            id: call.id,
            began_at,
            keep,
            frames,
            next: empty_parts(call.id),
            records: TopRecords::new(keep),
        };
        let mut request = call.request.into_call();
        let quarantined = |request: &Call| {
            tier.suspects.quarantine().is_quarantined(began_at, request.fingerprint())
        };
        let memory = request.as_mut().and_then(|request| clients.reserve_relayed(request));
        let has_no_room = request.is_some() && memory.is_none();
        if has_no_room || request.as_ref().is_some_and(quarantined) {
            for shard in &call.shards {
                relayed.decline(*shard, Purpose::Needed);
            }
            relayed.flush(&tier, None).await;
            return;
        }
        let (Some(route), Some(rule), Some(request)) = (route, rule, request) else {
            // Nothing is sent under a different plan; the calling host sends the requests itself.
            let gone = |shard| RelayFailure {
                shard,
                server: None,
                outcome: Outcome::NotRun(NotRunReason::VersionGone),
            };
            relayed.next.failed.extend(call.shards.iter().copied().map(gone));
            relayed.flush(&tier, None).await;
            return;
        };
        let deadline = began_at + Duration::from_millis(u64::from(call.left_ms));
        let fingerprint = request.fingerprint();
        let in_trial = tier.suspects.quarantine().is_suspect(fingerprint);
        let job = Arc::new(Job {
            fingerprint,
            in_trial: AtomicBool::new(in_trial),
            call: request,
            deadline,
            soft_deadline: deadline,
            typical: tier.passive_health().typical(&route.id, route.latency_target),
            baseline: Baseline::default(),
            plan: plan.order(),
            origin: Origin::Host { attempts_made: 0 },
            route: route.clone(),
        });
        if call.pace_us > 0 {
            job.baseline.set(Duration::from_micros(u64::from(call.pace_us)));
        }
        let purpose = if call.insists { Purpose::Needed } else { Purpose::Hedge };
        relayed.gather(&tier, &job, rule, &call.shards, purpose, &cancelled).await;
    }

    async fn gather<B: BackendProtocol>(
        &mut self,
        tier: &Arc<Tier<B>>,
        job: &Arc<Job>,
        rule: &GatherRule,
        shards: &[ShardIndex],
        purpose: Purpose,
        cancelled: &CancellationToken,
    ) {
        let mut running = FuturesUnordered::new();
        let mut pending: SmallVec<[(ShardIndex, ServerId); 16]> = SmallVec::new();
        for shard in shards {
            let service = rule.shards.get(usize::from(*shard));
            let chosen = service.map(|service| choose_near_server(tier, job, service, purpose));
            match chosen {
                Some(Ok((server, health))) => {
                    pending.push((*shard, server.record.id.clone()));
                    let (tier, job, shard) = (tier.clone(), job.clone(), *shard);
                    running.push(async move {
                        let outcome = attempt(&tier, &job, &server, health.expected).await;
                        (shard, server.record.id.clone(), outcome)
                    });
                }
                Some(Err(NoServer::RateLimited(wait))) => {
                    self.decline(*shard, purpose);
                    self.next.rate_limited.push((*shard, wait_ms(wait)));
                }
                Some(Err(NoServer::Unavailable)) | None => self.decline(*shard, purpose),
            }
        }
        let sent = running.len();
        let mut times: Vec<(ServerId, Duration)> = Vec::with_capacity(sent);
        // Declined shards are reported at once, the others when their replies arrive or are late.
        let mut flush_at = (!self.next.failed.is_empty()).then_some(self.began_at);
        let first_late_after = job
            .baseline
            .get()
            .map_or_else(|| PassiveHealth::overdue_after(job.typical), late_after);
        let mut late_at = Some(self.began_at + first_late_after);
        loop {
            if running.is_empty() {
                self.flush(tier, job.baseline.get()).await;
                return;
            }
            let flush = [flush_at, late_at].into_iter().flatten().min();
            tokio::select! {
                biased;
                Some((shard, server, outcome)) = running.next() => {
                    let now = tier.now();
                    pending.retain(|(waiting, _)| *waiting != shard);
                    if self.on_attempt_end(shard, &server, &outcome) {
                        times.push((server, now.saturating_sub(self.began_at)));
                        record_baseline(tier, job, &times, sent);
                    } else {
                        flush_at = Some(now);
                    }
                    if late_at.is_none() {
                        flush_at = flush_at.or(Some(now + COALESCE_DELAY));
                    } else if let Some(baseline) = job.baseline.get() {
                        late_at = Some(self.began_at + late_after(baseline));
                    }
                }
                () = sleep_until(flush.map(|at| tier.clock.instant(at))) => {
                    let now = tier.now();
                    if late_at.is_some_and(|at| at <= now) {
                        late_at = None;
                        self.next.late = true;
                        let mut passive_health = tier.passive_health();
                        pending
                            .iter()
                            .for_each(|(_, server)| passive_health.on_overdue(now, server));
                    }
                    self.flush(tier, job.baseline.get()).await;
                    flush_at = None;
                }
                () = cancelled.cancelled() => break,
            }
        }
        finish_remaining(running).await;
    }

    /// Records the end of an attempt. Returns whether it produced a part.
    fn on_attempt_end(
        &mut self,
        shard: ShardIndex,
        server: &ServerId,
        outcome: &Outcome<Reply>,
    ) -> bool {
        if let Outcome::Answered(reply) = outcome
            && reply.is_success()
            && let Some(signature) = &reply.signature
        {
            self.next.parts.push((shard, signature.clone()));
            self.records.add(&reply.body);
            return true;
        }
        if matches!(outcome, Outcome::NotRun(NotRunReason::RateLimited)) {
            self.decline(shard, Purpose::Needed);
            self.next.rate_limited.push((shard, wait_ms(RATE_TOKEN_LOST_WAIT)));
            return false;
        }
        let server = Some(server.clone());
        self.next.failed.push(RelayFailure { shard, server, outcome: failure_of(outcome) });
        false
    }

    /// Reports a shard as not sent: the calling host should try elsewhere, or this host is at its
    /// limit.
    fn decline(&mut self, shard: ShardIndex, purpose: Purpose) {
        let outcome = Outcome::NotRun(match purpose {
            Purpose::Hedge => NotRunReason::NotOwner,
            Purpose::Needed => NotRunReason::Overloaded,
        });
        self.next.failed.push(RelayFailure { shard, server: None, outcome });
    }

    async fn flush<B: BackendProtocol>(&mut self, tier: &Tier<B>, baseline: Option<Duration>) {
        if self.next.parts.is_empty() && self.next.failed.is_empty() && !self.next.late {
            return;
        }
        let micros = |time| u32::try_from(micros(time)).unwrap_or(u32::MAX);
        let mut parts = std::mem::replace(&mut self.next, empty_parts(self.id));
        let records = std::mem::replace(&mut self.records, TopRecords::new(self.keep));
        parts.records = records.into_bytes().to_vec();
        parts.pace_us = baseline.map_or(0, micros);
        parts.elapsed_us = micros(tier.now().saturating_sub(self.began_at));
        // The parts are dropped if the calling host has disconnected.
        let _ = self.frames.send(Frame::Parts(parts)).await;
    }
}

fn wait_ms(wait: Duration) -> u32 {
    u32::try_from(millis(wait)).unwrap_or(u32::MAX)
}

fn empty_parts(id: CallId) -> RelayParts {
    RelayParts {
        id,
        pace_us: 0,
        elapsed_us: 0,
        parts: Vec::new(),
        records: Vec::new(),
        late: false,
        failed: Vec::new(),
        rate_limited: Vec::new(),
    }
}

/// Establishes the request's baseline once enough parts have arrived, and records the speed of
/// their servers.
fn record_baseline<B: BackendProtocol>(
    tier: &Tier<B>,
    job: &Job,
    times: &[(ServerId, Duration)],
    sent: usize,
) {
    let Some(baseline) = job.baseline.try_establish(times.iter().map(|(_, took)| *took), sent)
    else {
        return;
    };
    let now = tier.now();
    let mut passive_health = tier.passive_health();
    passive_health.update_typical(&job.route.id, baseline, job.route.latency_target);
    for (server, took) in times {
        passive_health.on_reply_time(now, server, *took, baseline);
    }
}
