//! Detects that this process did not run for a while.
//!
//! What a host believed before a pause may be out of date, so nothing is sent after one until a
//! peer or the platform has been heard again, or it is clear that none can be.

use std::time::Duration;

use crate::clock::Monotonic;

/// A gap between two ticks that counts as a pause.
pub const PAUSE_GAP: Duration = Duration::from_millis(400);
/// How long to wait for word from outside before going on without it.
pub const ISOLATED_AFTER: Duration = Duration::from_millis(1_000);

/// Watches the ticks of a process.
#[derive(Debug, Clone, Copy)]
pub struct PauseGuard {
    last_tick: Monotonic,
    waking_since: Option<Monotonic>,
}

impl PauseGuard {
    /// Starts with a tick.
    pub const fn new(now: Monotonic) -> Self {
        Self { last_tick: now, waking_since: None }
    }

    /// Takes in a tick; returns the gap where it was a pause.
    pub fn tick(&mut self, now: Monotonic) -> Option<Duration> {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap > PAUSE_GAP {
            self.waking_since = Some(now);
            return Some(gap);
        }
        if self.waking_since.is_some_and(|since| now >= since + ISOLATED_AFTER) {
            self.waking_since = None;
        }
        None
    }

    /// Takes in word from outside that confirms the configuration in force; `asked_at` is when
    /// it was asked for, because a reply to an earlier question may be as old as the pause.
    pub fn on_confirmed(&mut self, asked_at: Monotonic) {
        if self.waking_since.is_some_and(|since| asked_at >= since) {
            self.waking_since = None;
        }
    }

    /// Tells whether sending must wait.
    pub fn must_wait(&self, now: Monotonic) -> bool {
        self.waking_since.is_some() || now.saturating_sub(self.last_tick) > PAUSE_GAP
    }
}

#[cfg(test)]
mod tests;
