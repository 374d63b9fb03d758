//! Infers from replies and connections whether a backend server is cold.
//!
//! Health endpoints and host lists are not used; new instances, slow replies and load shedding are.

use std::time::Duration;

use smallvec::SmallVec;

use super::concurrency_limit::Warmth;
use crate::ids::InstanceId;
use crate::version::config::ServerLimits;

/// The number of most recent replies that are evaluated together.
const WINDOW: usize = 12;
/// How many of them must be fast for the ramp of a cold server to start.
const MIN_FAST_FOR_RAMP: usize = 10;
/// How many further fast replies raise the limit by one.
const FAST_PER_RAMP_STEP: u32 = 4;
/// A reply is fast if it takes at most this many times the typical time.
const FAST_FACTOR: u32 = 2;
/// A reply is slow if it takes more than this many times the typical time.
const SLOW_FACTOR: u32 = 3;
/// How many of the last [`SLOW_WINDOW`] replies must be slow for a server to count as cold.
const MIN_SLOW_FOR_COLD: usize = 4;
const SLOW_WINDOW: usize = 5;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Speed {
    Fast,
    Medium,
    Slow,
}

/// One host's estimate of one server's warmth.
#[derive(Debug, Clone)]
pub struct WarmthEstimate {
    warmth: Warmth,
    instance: Option<InstanceId>,
    recent: SmallVec<[Speed; WINDOW]>,
    fast_since_step: u32,
}

impl Default for WarmthEstimate {
    fn default() -> Self {
        Self { warmth: Warmth::Cold, instance: None, recent: SmallVec::new(), fast_since_step: 0 }
    }
}

impl WarmthEstimate {
    /// Returns the current estimate.
    pub const fn warmth(&self) -> Warmth {
        self.warmth
    }

    /// Records the instance named on a connection; returns whether it is new and so counts as cold.
    pub fn on_instance(&mut self, instance: &InstanceId) -> bool {
        let known = self.instance.as_ref() == Some(instance);
        if !known {
            self.reset_to_cold();
            self.instance = Some(instance.clone());
        }
        !known
    }

    /// Returns the instance to which the estimate applies.
    pub const fn instance(&self) -> Option<&InstanceId> {
        self.instance.as_ref()
    }

    /// Records the time of a reply, or the time for which a request has had none; returns `true` if
    /// the server counts as cold because of it.
    pub fn on_reply(&mut self, took: Duration, limits: &ServerLimits) -> bool {
        let typical = Duration::from_millis(limits.typical_ms);
        let speed = if took <= typical * FAST_FACTOR {
            Speed::Fast
        } else {
            Self::medium_or_slow(took, typical)
        };
        self.on_sample(speed, limits)
    }

    /// Records a request that was cancelled after a time. It never counts as fast, since mostly
    /// slow requests are cancelled.
    pub fn on_cancelled(&mut self, after: Duration, limits: &ServerLimits) -> bool {
        let typical = Duration::from_millis(limits.typical_ms);
        self.on_sample(Self::medium_or_slow(after, typical), limits)
    }

    fn medium_or_slow(took: Duration, typical: Duration) -> Speed {
        if took <= typical * SLOW_FACTOR { Speed::Medium } else { Speed::Slow }
    }

    fn on_sample(&mut self, speed: Speed, limits: &ServerLimits) -> bool {
        if self.recent.len() == WINDOW {
            self.recent.remove(0);
        }
        self.recent.push(speed);
        match self.warmth {
            Warmth::Cold => self.start_ramp_if_fast(limits),
            Warmth::Ramping(ramp_limit) => self.advance_ramp(speed, ramp_limit, limits),
            Warmth::Warm => {}
        }
        let slow =
            self.recent.iter().rev().take(SLOW_WINDOW).filter(|p| **p == Speed::Slow).count();
        let turned_cold = slow >= MIN_SLOW_FOR_COLD && self.warmth != Warmth::Cold;
        if turned_cold {
            self.reset_to_cold();
        }
        turned_cold
    }

    /// Records that the server shed load, which a warm server within its slots does not.
    pub fn on_shed(&mut self) {
        self.reset_to_cold();
    }

    /// Discards the estimate and the instance when nothing is known of the server any more.
    pub fn forget(&mut self) {
        self.reset_to_cold();
        self.instance = None;
    }

    fn reset_to_cold(&mut self) {
        self.warmth = Warmth::Cold;
        self.recent.clear();
        self.fast_since_step = 0;
    }

    fn start_ramp_if_fast(&mut self, limits: &ServerLimits) {
        let fast = self.recent.iter().filter(|p| **p == Speed::Fast).count();
        if self.recent.len() == WINDOW && fast >= MIN_FAST_FOR_RAMP {
            self.step_up(limits.cold_start_limit, limits);
        }
    }

    fn advance_ramp(&mut self, speed: Speed, ramp_limit: u32, limits: &ServerLimits) {
        if speed == Speed::Fast {
            self.fast_since_step += 1;
        }
        if self.fast_since_step >= FAST_PER_RAMP_STEP {
            self.step_up(ramp_limit, limits);
        }
    }

    fn step_up(&mut self, ramp_limit: u32, limits: &ServerLimits) {
        self.fast_since_step = 0;
        let next = ramp_limit + 1;
        self.warmth = if next >= limits.slots { Warmth::Warm } else { Warmth::Ramping(next) };
    }
}

#[cfg(test)]
mod tests;
