//! Decides when a plan with a lower version replaces the one in force.
//!
//! A source that was restored from an older state may hold an older plan than the one in force, until
//! operators publish the lost one again. The plan in force stays meanwhile, since it was confirmed to
//! them, but not for good: an operator may have continued from the older one.

use std::time::Duration;

use crate::clock::Monotonic;

/// How long a plan that the source has lost stays in force if it is not published again. This is
/// longer than an outage after which operators have not noticed yet that the source is back.
pub const LOST_PLAN_RETENTION: Duration = Duration::from_secs(20);

/// Since when the source has held another plan than the one in force, and not a newer one.
#[derive(Debug, Default)]
pub struct LostPlan {
    since: Option<Monotonic>,
}

impl LostPlan {
    /// Records whether the source holds an older plan than the one in force, or another one with the
    /// same version. Returns whether it must replace the one in force, which only a complete read
    /// decides: a single change may be followed by others.
    pub fn on_read(&mut self, now: Monotonic, is_lost: bool, complete: bool) -> bool {
        if !is_lost {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        let replaces = complete && now.saturating_sub(since) >= LOST_PLAN_RETENTION;
        if replaces {
            // The plan may turn out to be invalid; then the source is read again as late.
            self.since = Some(now);
        }
        replaces
    }

    /// Returns whether the source must be read completely to see which plan it holds now.
    pub fn is_due(&self, now: Monotonic) -> bool {
        self.since.is_some_and(|since| now.saturating_sub(since) >= LOST_PLAN_RETENTION)
    }
}

#[cfg(test)]
mod tests;
