//! Passive health tracking: estimates the state of each backend server from this host's own
//! requests.
//!
//! Health endpoints are not used, since they report false positives and false negatives. A server
//! with overdue requests is *stalled* until it answers; a server with a high failure rate gets
//! only occasional probe requests. See `docs/PLATFORM.md`, section "Choice of server".

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::clock::Monotonic;
use crate::ids::ServerId;
use crate::version::plan::RouteId;

/// A request is overdue after its expected time multiplied by this factor. Nine in ten requests
/// end within twice the usual time, while a paused server takes ten times as long as usual.
const OVERDUE_FACTOR: f64 = 2.2;
/// The shortest time after which a request is overdue: a timer and a hop to another failure domain
/// can take this long.
const MIN_OVERDUE: Duration = Duration::from_millis(12);
/// The half-life of a server's latency and failure statistics. They decay so that a server that
/// was slow is tried again.
const STATS_HALF_LIFE: Duration = Duration::from_millis(2_500);
/// The weight of a reply that is slower than the moving average.
const SLOWER_WEIGHT: f64 = 0.4;
/// The weight of a reply that is faster than the moving average.
const FASTER_WEIGHT: f64 = 0.15;
/// A reply that took this many times the usual time may show a pause of the server, which says
/// nothing about its next replies.
const OUTLIER_RATIO: f64 = 2.5;
/// An outlier counts as a reply that took this many times the usual time until another confirms it.
const UNCONFIRMED_OUTLIER_RATIO: f64 = 1.5;
/// The weight of one failure in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.3;
/// A server with a higher failure rate than this gets only probe requests.
const MAX_FAILURE_RATE: f64 = 0.55;
/// The first backoff after a failure to connect or a high failure rate; it doubles up to
/// [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);
/// How long a server gets no requests after another server answered at its address. Its registry
/// entry lapses within this time; a server that restarts under the same name is used again after
/// it.
const REPLACED_BACKOFF: Duration = Duration::from_millis(2_000);
/// How long a server is not chosen after another host declined to send to it, before that host is
/// asked again. Servers typically pause for about this long.
const DECLINED_BACKOFF: Duration = Duration::from_millis(150);
/// The initial estimate of a route's typical time, as a share of its latency target.
const INITIAL_SHARE_OF_TARGET: f64 = 0.2;
/// The relative step by which one reply moves a route's typical time.
const TYPICAL_STEP: f64 = 0.04;

/// Identifies a pending attempt.
pub type Ticket = u64;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A complete reply arrived after this time.
    Answered(Duration),
    /// The server shed it because of overload.
    Shed,
    /// The reply was malformed or an error.
    Failed,
    /// The connection could not be established.
    Unreachable,
    /// Another server answered at its address.
    Replaced,
    /// This host gave it up before a reply arrived.
    Abandoned,
    /// This host did not send it to the server, for a reason of its own.
    NotSent,
}

/// The estimated state of a server at one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerHealth {
    /// The expected time until a reply.
    pub expected: Duration,
    /// The number of this host's attempts in flight at the server.
    pub in_flight: usize,
    /// A request is overdue, and the server has not replied for longer than that request's timeout.
    pub stalled: bool,
    /// The server is in backoff, or already has its one probe request.
    pub avoided: bool,
    /// Another server answered at its address recently.
    pub replaced: bool,
    /// A host closer to the server recently declined to send to it.
    pub declined: bool,
}

impl ServerHealth {
    /// Tells whether the server is neither stalled nor avoided.
    pub const fn is_healthy(&self) -> bool {
        !self.stalled && !self.avoided
    }

    /// Tells whether the server is eligible for new requests.
    pub const fn is_eligible(&self) -> bool {
        self.is_healthy() && !self.replaced && !self.declined
    }
}

#[derive(Debug, Clone, Copy)]
struct PendingAttempt {
    ticket: Ticket,
    sent_at: Monotonic,
    overdue_at: Monotonic,
}

#[derive(Debug, Clone)]
struct ServerStats {
    pending: SmallVec<[PendingAttempt; 4]>,
    last_reply_at: Monotonic,
    slowness: f64,
    /// When the last outlier was received, if no usual reply has followed it.
    outlier_at: Option<Monotonic>,
    failure_rate: f64,
    decayed_at: Monotonic,
    backoff_until: Monotonic,
    backoff: Duration,
    declined_until: Monotonic,
    replaced_until: Monotonic,
    last_used_at: Monotonic,
}

impl ServerStats {
    fn new(now: Monotonic) -> Self {
        Self {
            pending: SmallVec::new(),
            last_reply_at: Monotonic::ZERO,
            slowness: 1.0,
            outlier_at: None,
            failure_rate: 0.0,
            decayed_at: now,
            backoff_until: Monotonic::ZERO,
            backoff: INITIAL_BACKOFF,
            declined_until: Monotonic::ZERO,
            replaced_until: Monotonic::ZERO,
            last_used_at: now,
        }
    }

    fn decay(&mut self, now: Monotonic) {
        let (slowness, failure_rate) = self.decayed(now);
        self.slowness = slowness;
        self.failure_rate = failure_rate;
        self.decayed_at = now;
    }

    fn decayed(&self, now: Monotonic) -> (f64, f64) {
        let half_lives =
            now.saturating_sub(self.decayed_at).as_secs_f64() / STATS_HALF_LIFE.as_secs_f64();
        let keep = 0.5_f64.powf(half_lives);
        ((self.slowness - 1.0).mul_add(keep, 1.0), self.failure_rate * keep)
    }

    fn is_stalled(&self, now: Monotonic) -> bool {
        self.pending.iter().any(|attempt| {
            let timeout = attempt.overdue_at.saturating_sub(attempt.sent_at);
            now > attempt.overdue_at && now.saturating_sub(self.last_reply_at) > timeout
        })
    }

    /// Updates the moving average of the slowness with a request that was sent at `sent_at`.
    ///
    /// A server that pauses delays all requests that it has, and is then as fast as before.
    /// Therefore an outlier counts in full only if the request was sent after the outlier before it
    /// arrived, with no usual reply in between: then the server is slow, not paused.
    fn update_slowness(
        &mut self,
        now: Monotonic,
        sent_at: Monotonic,
        took: Duration,
        usual: Duration,
    ) {
        let ratio = (took.as_secs_f64() / usual.as_secs_f64().max(1e-6)).clamp(0.2, 20.0);
        let of_same_pause = self.outlier_at.is_some_and(|outlier_at| sent_at <= outlier_at);
        if of_same_pause && ratio > self.slowness {
            return;
        }
        let confirmed = self.outlier_at.is_some();
        let is_outlier = ratio >= OUTLIER_RATIO;
        self.outlier_at = is_outlier.then_some(now);
        let ratio = if is_outlier && !confirmed { UNCONFIRMED_OUTLIER_RATIO } else { ratio };
        self.average_slowness(ratio);
    }

    fn average_slowness(&mut self, ratio: f64) {
        let weight = if ratio > self.slowness { SLOWER_WEIGHT } else { FASTER_WEIGHT };
        self.slowness += (ratio - self.slowness) * weight;
    }

    fn start_backoff(&mut self, now: Monotonic) {
        self.backoff_until = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}

/// The statistics that one host keeps of all backend servers and routes.
#[derive(Debug, Default)]
pub struct PassiveHealth {
    servers: HashMap<ServerId, ServerStats>,
    typical: HashMap<RouteId, Duration>,
    next_ticket: Ticket,
}

impl PassiveHealth {
    /// Returns the typical time of a route's attempts.
    pub fn typical(&self, route: &str, latency_target: Duration) -> Duration {
        let initial = || latency_target.mul_f64(INITIAL_SHARE_OF_TARGET);
        self.typical.get(route).copied().unwrap_or_else(initial)
    }

    /// Returns a server's latency as a multiple of the usual time, if it was used before.
    pub fn slowness(&self, now: Monotonic, server: &str) -> Option<f64> {
        self.servers.get(server).map(|stats| stats.decayed(now).0)
    }

    /// Returns the time after which an attempt is overdue.
    pub fn overdue_after(expected: Duration) -> Duration {
        expected.mul_f64(OVERDUE_FACTOR).max(MIN_OVERDUE)
    }

    /// Returns the estimated state of a server that processes up to `slots` requests at a time.
    pub fn health(
        &self,
        now: Monotonic,
        server: &str,
        slots: u32,
        typical: Duration,
    ) -> ServerHealth {
        let Some(stats) = self.servers.get(server) else {
            return ServerHealth {
                expected: typical,
                in_flight: 0,
                stalled: false,
                avoided: false,
                replaced: false,
                declined: false,
            };
        };
        let (slowness, failure_rate) = stats.decayed(now);
        let in_flight = stats.pending.len();
        let rounds = ((in_flight + 1) as f64 / f64::from(slots.max(1))).max(1.0);
        let stalled = stats.is_stalled(now);
        let probe_in_flight = failure_rate > MAX_FAILURE_RATE && in_flight > 0;
        ServerHealth {
            expected: typical.mul_f64(slowness * rounds * 4.0_f64.mul_add(failure_rate, 1.0)),
            in_flight,
            stalled,
            avoided: now < stats.backoff_until || probe_in_flight,
            replaced: now < stats.replaced_until,
            declined: now < stats.declined_until,
        }
    }

    /// Records an attempt that was sent and whose reply is expected after `expected`.
    pub fn on_sent(&mut self, now: Monotonic, server: &ServerId, expected: Duration) -> Ticket {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        if !self.servers.contains_key(server) {
            self.servers.insert(server.clone(), ServerStats::new(now));
        }
        let stats = self.servers.get_mut(server).expect("it was inserted above");
        let overdue_at = now + Self::overdue_after(expected);
        stats.pending.push(PendingAttempt { ticket, sent_at: now, overdue_at });
        stats.last_used_at = now;
        ticket
    }

    /// Marks the oldest pending attempt as overdue, because other servers have already answered the
    /// same request.
    pub fn on_overdue(&mut self, now: Monotonic, server: &str) {
        if let Some(stats) = self.servers.get_mut(server)
            && let Some(oldest) = stats.pending.first_mut()
        {
            oldest.overdue_at = oldest.overdue_at.min(now);
        }
    }

    /// Records that another host, which knows the server better, declined to send to it.
    pub fn on_declined(&mut self, now: Monotonic, server: &ServerId) {
        let stats = self.servers.entry(server.clone()).or_insert_with(|| ServerStats::new(now));
        stats.declined_until = now + DECLINED_BACKOFF;
    }

    /// Updates the server's slowness with the time of a reply and the usual time of the request.
    pub fn on_reply_time(&mut self, now: Monotonic, server: &str, took: Duration, usual: Duration) {
        if let Some(stats) = self.servers.get_mut(server) {
            stats.decay(now);
            stats.update_slowness(now, now.saturating_sub(took), took, usual);
        }
    }

    /// Records the end of an attempt; returns whether the server is avoided because of it.
    /// `usual` is how long this request usually takes at a server, if known.
    pub fn on_end(
        &mut self,
        now: Monotonic,
        server: &str,
        ticket: Ticket,
        usual: Option<Duration>,
        end: AttemptEnd,
    ) -> bool {
        let Some(stats) = self.servers.get_mut(server) else {
            return false;
        };
        let sent_at = stats
            .pending
            .iter()
            .find(|attempt| attempt.ticket == ticket)
            .map(|attempt| attempt.sent_at);
        stats.pending.retain(|attempt| attempt.ticket != ticket);
        stats.decay(now);
        match end {
            AttemptEnd::Answered(took) => {
                stats.last_reply_at = now;
                stats.failure_rate *= 1.0 - FAILURE_WEIGHT;
                stats.backoff = INITIAL_BACKOFF;
                stats.backoff_until = Monotonic::ZERO;
                if let Some(usual) = usual {
                    stats.update_slowness(now, sent_at.unwrap_or(now), took, usual);
                }
                false
            }
            AttemptEnd::Shed => {
                stats.last_reply_at = now;
                Self::update_failure_rate(stats, now)
            }
            AttemptEnd::Failed => Self::update_failure_rate(stats, now),
            AttemptEnd::Unreachable => {
                stats.failure_rate += (1.0 - stats.failure_rate) * FAILURE_WEIGHT;
                stats.start_backoff(now);
                true
            }
            AttemptEnd::Replaced => {
                stats.replaced_until = now + REPLACED_BACKOFF;
                true
            }
            AttemptEnd::Abandoned => {
                let waited = now.saturating_sub(sent_at.unwrap_or(now));
                let Some(usual) = usual.filter(|usual| waited > *usual) else {
                    return false;
                };
                stats.update_slowness(now, sent_at.unwrap_or(now), waited, usual);
                let no_reply = stats.last_reply_at < sent_at.unwrap_or(now)
                    && waited > Self::overdue_after(usual) * 2;
                if no_reply {
                    stats.start_backoff(now);
                }
                no_reply
            }
            AttemptEnd::NotSent => false,
        }
    }

    /// Updates a route's typical time, an estimate of the median, with the time that a request took
    /// at a server of usual speed.
    pub fn update_typical(&mut self, route: &RouteId, took: Duration, latency_target: Duration) {
        let initial = latency_target.mul_f64(INITIAL_SHARE_OF_TARGET);
        if !self.typical.contains_key(route) {
            self.typical.insert(route.clone(), initial);
        }
        let typical = self.typical.get_mut(route).expect("it was inserted above");
        let step = 1.0 + TYPICAL_STEP;
        *typical = if took > *typical { typical.mul_f64(step) } else { typical.div_f64(step) };
        *typical = (*typical).max(Duration::from_micros(200));
    }

    /// Forgets failures, when they turn out not to be due to the servers.
    pub fn forget_failures(&mut self, now: Monotonic) {
        for stats in self.servers.values_mut() {
            stats.failure_rate = 0.0;
            stats.backoff = INITIAL_BACKOFF;
            stats.backoff_until = Monotonic::ZERO;
            stats.last_reply_at = now;
        }
    }

    /// Evicts servers that were not used for `unused_for` and have no pending attempts.
    pub fn forget_unused(&mut self, now: Monotonic, unused_for: Duration) {
        self.servers.retain(|_, stats| {
            !stats.pending.is_empty() || now.saturating_sub(stats.last_used_at) < unused_for
        });
    }

    fn update_failure_rate(stats: &mut ServerStats, now: Monotonic) -> bool {
        stats.failure_rate += (1.0 - stats.failure_rate) * FAILURE_WEIGHT;
        let too_high = stats.failure_rate > MAX_FAILURE_RATE;
        if too_high {
            stats.start_backoff(now);
        }
        too_high
    }
}

#[cfg(test)]
mod tests;
