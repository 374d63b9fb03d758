//! Schedules when refused callers should retry, so that they return at the rate at which servers
//! have room for them, in the order in which they were refused.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Monotonic;
use crate::version::plan::RouteId;

/// The longest time until a scheduled retry. Callers beyond it are spread over the last half of it:
/// the schedule is only an estimate, and few callers wait longer.
const MAX_DELAY: Duration = Duration::from_millis(2_000);

/// The next scheduled retry of each route.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    last: HashMap<RouteId, Monotonic>,
}

impl RetrySchedule {
    /// Returns after what time a caller refused now should retry. The first room is expected after
    /// `wait`, and then `per_s` times a second; `random` is a random number from 0 to 1.
    pub fn delay(
        &mut self,
        now: Monotonic,
        route: &RouteId,
        wait: Duration,
        per_s: f64,
        random: f64,
    ) -> Duration {
        let interval = Duration::try_from_secs_f64(per_s.recip()).unwrap_or(MAX_DELAY);
        let earliest = now + wait;
        let last = self.last.get(route).copied().unwrap_or_default();
        let at = earliest.max(last.saturating_add(interval));
        let delay = at.saturating_sub(now);
        if delay > MAX_DELAY {
            return MAX_DELAY.mul_f64(0.5 + random / 2.0).max(wait.min(MAX_DELAY));
        }
        self.last.insert(route.clone(), at);
        delay
    }
}

#[cfg(test)]
mod tests;
