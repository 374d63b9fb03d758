//! Drains a host before it shuts down.

use std::time::Duration;

use super::tier::Tier;
use crate::connection::exchange::BackendProtocol;

/// The share of the grace period in which new requests are still accepted. Callers that keep a
/// directory answer for three times its lifetime still reach the host, and their requests can
/// finish before the grace period ends.
const ACCEPT_SHARE: f64 = 0.55;
/// The share of the grace period after which running requests are no longer waited for.
const DRAIN_SHARE: f64 = 0.93;
/// How often the number of running requests is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Drains the host: callers are no longer directed to it from now on, requests that still arrive
/// are accepted for part of the grace period, then running requests are finished. Returns within
/// `grace`, when the process may exit.
pub async fn drain<B: BackendProtocol>(tier: &Tier<B>, grace: Duration) {
    let began_at = tier.now();
    tracing::info!(running = tier.running(), grace_ms = grace.as_millis() as u64, "leaving");
    tier.leaving.cancel();
    tokio::time::sleep(grace.mul_f64(ACCEPT_SHARE)).await;
    tier.stop_accepting.cancel();
    let finish_by = began_at + grace.mul_f64(DRAIN_SHARE);
    while tier.running() > 0 && tier.now() < finish_by {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    // Leaves time to write the last answers to the network before the process exits.
    tokio::time::sleep(POLL_INTERVAL).await;
    tracing::info!(running = tier.running(), "left");
    tier.stopped.cancel();
}
