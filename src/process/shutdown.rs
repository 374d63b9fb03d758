//! Drains a host before it shuts down.
//!
//! Everything that the host has accepted gets an answer. It therefore refuses late requests that it
//! might not finish, ends those that are still running with an answer of its own, and waits until
//! the answers are written.

use std::sync::OnceLock;
use std::time::Duration;

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::tier::Tier;
use crate::clock::Monotonic;
use crate::connection::exchange::BackendProtocol;

/// The share of the grace period in which all new requests are accepted. Callers that keep a
/// directory answer for three times its lifetime still reach the host.
const ACCEPT_ALL_SHARE: f64 = 0.45;
/// The share of the grace period in which new requests are accepted that end before
/// [`ANSWER_SHARE`].
const ACCEPT_SHARE: f64 = 0.55;
/// The share of the grace period after which running requests are ended.
const ANSWER_SHARE: f64 = 0.92;
/// The share of the grace period after which the process exits, whatever callers have read.
const EXIT_SHARE: f64 = 0.96;
/// How often the number of running requests is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The times of a shutdown that has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Schedule {
    accept_all_until: Monotonic,
    accept_until: Monotonic,
    answer_until: Monotonic,
    exit_at: Monotonic,
}

impl Schedule {
    fn new(began_at: Monotonic, grace: Duration) -> Self {
        let after = |share| began_at + grace.mul_f64(share);
        Self {
            accept_all_until: after(ACCEPT_ALL_SHARE),
            accept_until: after(ACCEPT_SHARE),
            answer_until: after(ANSWER_SHARE),
            exit_at: after(EXIT_SHARE),
        }
    }
}

/// The stages of a host's shutdown.
#[derive(Debug, Default)]
pub struct Shutdown {
    /// Cancelled once callers must no longer be directed to this host.
    pub leaving: CancellationToken,
    /// Cancelled once the host accepts no new requests.
    pub stop_accepting: CancellationToken,
    /// Cancelled once running requests are ended.
    pub answer_now: CancellationToken,
    /// Cancelled once the host stops.
    pub stopped: CancellationToken,
    /// The connections of callers.
    pub connections: TaskTracker,
    schedule: OnceLock<Schedule>,
}

impl Shutdown {
    fn begin(&self, now: Monotonic, grace: Duration) -> Schedule {
        self.leaving.cancel();
        *self.schedule.get_or_init(|| Schedule::new(now, grace))
    }

    /// Returns whether a request that ends by its deadline may be accepted.
    pub fn admits(&self, now: Monotonic, deadline: Monotonic) -> bool {
        let in_time = |schedule: &Schedule| {
            now < schedule.accept_all_until || deadline <= schedule.answer_until
        };
        !self.stop_accepting.is_cancelled() && self.schedule.get().is_none_or(in_time)
    }
}

/// Drains the host: callers are no longer directed to it from now on, requests that still arrive
/// are accepted for part of the grace period, then running requests are finished and their answers
/// written. Returns within `grace`, when the process may exit.
pub async fn drain<B: BackendProtocol>(tier: &Tier<B>, grace: Duration) {
    let shutdown = &tier.shutdown;
    let schedule = shutdown.begin(tier.now(), grace);
    tracing::info!(running = tier.running(), grace_ms = grace.as_millis() as u64, "leaving");
    sleep_until(tier, schedule.accept_until).await;
    shutdown.stop_accepting.cancel();
    shutdown.connections.close();
    let is_busy = || tier.running() > 0 || !shutdown.connections.is_empty();
    while is_busy() && tier.now() < schedule.answer_until {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let unfinished = tier.running();
    shutdown.answer_now.cancel();
    while is_busy() && tier.now() < schedule.exit_at {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    // Leaves time to write the last answers to other hosts before the process exits.
    tokio::time::sleep(POLL_INTERVAL).await;
    tracing::info!(unfinished, open_connections = shutdown.connections.len(), "left");
    shutdown.stopped.cancel();
}

async fn sleep_until<B: BackendProtocol>(tier: &Tier<B>, at: Monotonic) {
    tokio::time::sleep(at.saturating_sub(tier.now())).await;
}

#[cfg(test)]
mod tests;
