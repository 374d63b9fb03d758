//! Detects that this process was paused.
//!
//! State from before a pause may be out of date, so sending is suspended after one until a peer or
//! the platform confirms the configuration, or a timeout shows that none is reachable.

use std::time::Duration;

use crate::clock::Monotonic;

/// A longer gap between two ticks counts as a pause.
pub const PAUSE_THRESHOLD: Duration = Duration::from_millis(400);
/// How long sending waits for a confirmation before it resumes without one.
pub const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Detects pauses of the process from its ticks and suspends sending after them.
#[derive(Debug, Clone, Copy)]
pub struct PauseGuard {
    last_tick: Monotonic,
    unconfirmed_since: Option<Monotonic>,
}

impl PauseGuard {
    /// Creates a guard whose last tick is `now`.
    pub const fn new(now: Monotonic) -> Self {
        Self { last_tick: now, unconfirmed_since: None }
    }

    /// Records a tick; returns the gap since the last one if it was a pause.
    pub fn tick(&mut self, now: Monotonic) -> Option<Duration> {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap > PAUSE_THRESHOLD {
            self.unconfirmed_since = Some(now);
            return Some(gap);
        }
        if self.unconfirmed_since.is_some_and(|since| now >= since + CONFIRMATION_TIMEOUT) {
            self.unconfirmed_since = None;
        }
        None
    }

    /// Records that a peer or the platform confirmed the configuration in force. `requested_at` is
    /// the time of the request: a reply to a request from before the pause doesn't count, because
    /// it may be as old as the pause.
    pub fn on_confirmed(&mut self, requested_at: Monotonic) {
        if self.unconfirmed_since.is_some_and(|since| requested_at >= since) {
            self.unconfirmed_since = None;
        }
    }

    /// Returns whether sending must wait.
    pub fn must_wait(&self, now: Monotonic) -> bool {
        self.unconfirmed_since.is_some() || now.saturating_sub(self.last_tick) > PAUSE_THRESHOLD
    }
}

#[cfg(test)]
mod tests;
