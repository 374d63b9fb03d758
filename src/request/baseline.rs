//! The baseline latency of one request, and when a server is late compared with it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use smallvec::SmallVec;

use crate::clock::micros;

/// The share of the servers that must have answered before the baseline is established.
const MIN_ANSWERED_SHARE: f64 = 0.5;
/// A server is late beyond this multiple of the baseline: servers differ by a third either way, and
/// pauses last ten times as long.
const LATE_FACTOR: f64 = 1.6;
/// A server of known speed is late beyond this multiple of its own expected time.
const KNOWN_SPEED_LATE_FACTOR: f64 = 1.25;
/// The minimum margin before a server is late, since connection and timer delays vary as much.
const MIN_LATE_MARGIN: Duration = Duration::from_millis(6);
/// The greatest slowness that is normal between servers of a service; a slower server is faulty.
const MAX_SLOWNESS: f64 = 1.6;

/// The baseline latency of one request: how long it takes at a typical server. Requests of one
/// route differ much more than servers do, so only the request's own baseline shows which server is
/// slow.
#[derive(Debug, Default)]
pub struct Baseline(AtomicU64);

impl Baseline {
    /// Sets the baseline.
    pub fn set(&self, usual: Duration) {
        self.0.store(micros(usual).max(1), Ordering::Relaxed);
    }

    /// Returns the baseline, if it is established.
    pub fn get(&self) -> Option<Duration> {
        let usual_us = self.0.load(Ordering::Relaxed);
        (usual_us > 0).then(|| Duration::from_micros(usual_us))
    }

    /// Tries to establish the baseline from the times of those of the `asked` servers that have
    /// answered. Returns it only when this call establishes it.
    pub fn try_establish(
        &self,
        times: impl Iterator<Item = Duration>,
        asked: usize,
    ) -> Option<Duration> {
        if self.get().is_some() {
            return None;
        }
        let mut times: SmallVec<[Duration; 128]> = times.collect();
        if times.is_empty() || (times.len() as f64) < asked as f64 * MIN_ANSWERED_SHARE {
            return None;
        }
        times.sort_unstable();
        // Of the half that has answered, the slowest third is closest to the median of all servers.
        let baseline = times[times.len() * 5 / 6];
        self.set(baseline);
        Some(baseline)
    }
}

/// Returns how long after sending a server is late, given the request's baseline.
pub fn late_after(baseline: Duration) -> Duration {
    baseline.mul_f64(LATE_FACTOR).max(baseline + MIN_LATE_MARGIN)
}

/// Like [`late_after`], for a server of known slowness.
pub fn late_after_with_slowness(baseline: Duration, slowness: f64) -> Duration {
    let usual = baseline.mul_f64(slowness.clamp(1.0, MAX_SLOWNESS));
    usual.mul_f64(KNOWN_SPEED_LATE_FACTOR).max(usual + MIN_LATE_MARGIN)
}

#[cfg(test)]
mod tests;
