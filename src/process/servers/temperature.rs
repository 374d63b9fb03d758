//! Infers from evidence whether a backend server is cold.
//!
//! Health endpoints and host lists are not evidence; a new life, slow replies and shedding are.

use std::time::Duration;

use smallvec::SmallVec;

use super::permission::Warmth;
use crate::ids::InstanceId;
use crate::version::config::ServerLimits;

/// Replies that are looked at together.
const WINDOW: usize = 12;
/// Fast replies among them that show a warm server.
const FAST_TO_WARM: usize = 10;
/// Further fast replies for each step of the ramp.
const FAST_PER_STEP: u32 = 4;
/// A reply is fast up to this many times the usual time.
const FAST_FACTOR: u32 = 2;
/// A reply is slow beyond this many times the usual time.
const SLOW_FACTOR: u32 = 3;
/// Slow replies among the last [`SLOW_WINDOW`] that show a cold server.
const SLOW_TO_COLD: usize = 4;
const SLOW_WINDOW: usize = 5;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pace {
    Fast,
    Middling,
    Slow,
}

/// What one host has seen of one server's warmth.
#[derive(Debug, Clone)]
pub struct Temperature {
    warmth: Warmth,
    instance: Option<InstanceId>,
    paces: SmallVec<[Pace; WINDOW]>,
    fast_since_step: u32,
}

impl Default for Temperature {
    fn default() -> Self {
        Self { warmth: Warmth::Cold, instance: None, paces: SmallVec::new(), fast_since_step: 0 }
    }
}

impl Temperature {
    /// Returns what is believed now.
    pub const fn warmth(&self) -> Warmth {
        self.warmth
    }

    /// Takes in the server's life as named on a connection; a new one is cold.
    pub fn on_instance(&mut self, instance: &InstanceId) -> bool {
        let known = self.instance.as_ref() == Some(instance);
        if !known {
            self.turn_cold();
            self.instance = Some(instance.clone());
        }
        !known
    }

    /// Returns the life that the belief is about.
    pub const fn instance(&self) -> Option<&InstanceId> {
        self.instance.as_ref()
    }

    /// Takes in the time of a reply, or of a request that has had none for that long; returns
    /// `true` where it made the server cold.
    pub fn on_reply(&mut self, took: Duration, limits: &ServerLimits) -> bool {
        let typical = Duration::from_millis(limits.typical_ms);
        let pace =
            if took <= typical * FAST_FACTOR { Pace::Fast } else { Self::slower(took, typical) };
        self.on_pace(pace, limits)
    }

    /// Takes in a request that was cancelled after a time; it shows that the server was not fast,
    /// since cancelling falls on the slow ones.
    pub fn on_cancelled(&mut self, after: Duration, limits: &ServerLimits) -> bool {
        let typical = Duration::from_millis(limits.typical_ms);
        self.on_pace(Self::slower(after, typical), limits)
    }

    fn slower(took: Duration, typical: Duration) -> Pace {
        if took <= typical * SLOW_FACTOR { Pace::Middling } else { Pace::Slow }
    }

    fn on_pace(&mut self, pace: Pace, limits: &ServerLimits) -> bool {
        if self.paces.len() == WINDOW {
            self.paces.remove(0);
        }
        self.paces.push(pace);
        match self.warmth {
            Warmth::Cold => self.judge_cold(limits),
            Warmth::Ramping(trusted) => self.judge_ramp(pace, trusted, limits),
            Warmth::Warm => {}
        }
        let slow = self.paces.iter().rev().take(SLOW_WINDOW).filter(|p| **p == Pace::Slow).count();
        let turned = slow >= SLOW_TO_COLD && self.warmth != Warmth::Cold;
        if turned {
            self.turn_cold();
        }
        turned
    }

    /// Takes in that the server sheds load, which a warm one within its slots does not.
    pub fn on_shed(&mut self) {
        self.turn_cold();
    }

    /// Forgets the server's life, since nothing is known of it any more.
    pub fn forget(&mut self) {
        self.turn_cold();
        self.instance = None;
    }

    fn turn_cold(&mut self) {
        self.warmth = Warmth::Cold;
        self.paces.clear();
        self.fast_since_step = 0;
    }

    fn judge_cold(&mut self, limits: &ServerLimits) {
        let fast = self.paces.iter().filter(|p| **p == Pace::Fast).count();
        if self.paces.len() == WINDOW && fast >= FAST_TO_WARM {
            self.step_up(limits.cold_start_limit, limits);
        }
    }

    fn judge_ramp(&mut self, pace: Pace, trusted: u32, limits: &ServerLimits) {
        if pace == Pace::Fast {
            self.fast_since_step += 1;
        }
        if self.fast_since_step >= FAST_PER_STEP {
            self.step_up(trusted, limits);
        }
    }

    fn step_up(&mut self, trusted: u32, limits: &ServerLimits) {
        self.fast_since_step = 0;
        let next = trusted + 1;
        self.warmth = if next >= limits.slots { Warmth::Warm } else { Warmth::Ramping(next) };
    }
}

#[cfg(test)]
mod tests;
