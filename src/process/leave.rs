//! Ends a host's life in good order.

use std::time::Duration;

use super::tier::Tier;
use crate::connection::exchange::BackendProtocol;

/// Requests are taken for this part of the grace: callers that keep a directory answer three times
/// its lifetime still find the host, and what they send can end before the grace does.
const TAKE_REQUESTS_SHARE: f64 = 0.55;
/// Running requests are waited for this part of the grace.
const FINISH_SHARE: f64 = 0.93;
/// How often it is looked whether requests still run.
const RECHECK: Duration = Duration::from_millis(20);

/// Stops being given callers at once, takes requests of those that still come, then finishes
/// what runs. Returns when the process may end, within `grace`.
pub async fn leave<B: BackendProtocol>(tier: &Tier<B>, grace: Duration) {
    let began_at = tier.now();
    tracing::info!(running = tier.running(), grace_ms = grace.as_millis() as u64, "leaving");
    tier.leaving.cancel();
    tokio::time::sleep(grace.mul_f64(TAKE_REQUESTS_SHARE)).await;
    tier.closing.cancel();
    let finish_by = began_at + grace.mul_f64(FINISH_SHARE);
    while tier.running() > 0 && tier.now() < finish_by {
        tokio::time::sleep(RECHECK).await;
    }
    // The last answers are handed to the network before the process ends.
    tokio::time::sleep(RECHECK).await;
    tracing::info!(running = tier.running(), "left");
    tier.stopped.cancel();
}
