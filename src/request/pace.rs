//! How long one request takes at a usual server, and when a server is late for it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use smallvec::SmallVec;

use crate::clock::micros;

/// Once this share of the servers that were asked has answered, their times show the pace.
const PACE_SHARE: f64 = 0.5;
/// A server is late for a request beyond this many times the pace: servers differ by a third
/// either way, and pauses last ten times as long.
const LATE_FACTOR: f64 = 1.6;
/// A server whose speed is known is late beyond this many times its own time.
const KNOWN_LATE_FACTOR: f64 = 1.25;
/// No server is late by less than this, since connections and timers vary as much.
const MIN_LATE: Duration = Duration::from_millis(6);
/// Servers of a service differ by no more than this; what is slower is in trouble.
const MAX_SLOWNESS: f64 = 1.6;

/// How long one request takes at a usual server; requests of one route differ much more than
/// servers do, so only this tells which server is slow.
#[derive(Debug, Default)]
pub struct Pace(AtomicU64);

impl Pace {
    /// Notes the pace.
    pub fn set(&self, usual: Duration) {
        self.0.store(micros(usual).max(1), Ordering::Relaxed);
    }

    /// Returns the pace, if it shows by now.
    pub fn get(&self) -> Option<Duration> {
        let usual_us = self.0.load(Ordering::Relaxed);
        (usual_us > 0).then(|| Duration::from_micros(usual_us))
    }

    /// Takes the pace from the times of those of `asked` servers that have answered. Returns it
    /// where it shows by them and did not before.
    pub fn show(&self, times: impl Iterator<Item = Duration>, asked: usize) -> Option<Duration> {
        if self.get().is_some() {
            return None;
        }
        let mut times: SmallVec<[Duration; 128]> = times.collect();
        if times.is_empty() || (times.len() as f64) < asked as f64 * PACE_SHARE {
            return None;
        }
        times.sort_unstable();
        // Of the half that is in, the slowest third is nearest to the median of all.
        let pace = times[times.len() * 5 / 6];
        self.set(pace);
        Some(pace)
    }
}

/// Returns how long after the sending a server is late for a request of this pace.
pub fn late_after(pace: Duration) -> Duration {
    pace.mul_f64(LATE_FACTOR).max(pace + MIN_LATE)
}

/// Returns the same for a server of a known slowness.
pub fn late_after_at(pace: Duration, slowness: f64) -> Duration {
    let usual = pace.mul_f64(slowness.clamp(1.0, MAX_SLOWNESS));
    usual.mul_f64(KNOWN_LATE_FACTOR).max(usual + MIN_LATE)
}

#[cfg(test)]
mod tests;
