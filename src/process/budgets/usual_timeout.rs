//! Estimates how much of its time a caller has already used when its request arrives.
//!
//! A caller sends the time that it still waits, so a caller that spent time on connecting, or that
//! retries, sends less than usual. What callers usually send is observed: the configured timeout of
//! the route may change without any caller waiting longer or shorter.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::version::plan::RouteId;

/// The number of recent timeouts that are kept per route.
const MAX_RECENT: usize = 32;
/// A value is usual if at least this many of the recent requests sent it. Retries, and single
/// callers that wait longer than others, send values that do not recur as often.
const MIN_OCCURRENCES: usize = 4;

/// The timeouts that callers sent lately, by route.
#[derive(Debug, Default)]
pub struct UsualTimeouts {
    recent_ms: HashMap<RouteId, VecDeque<u64>>,
}

impl UsualTimeouts {
    /// Records the timeout of a request; returns how much of the usual timeout was already used.
    pub fn used(&mut self, route: &RouteId, timeout: Duration) -> Duration {
        if !self.recent_ms.contains_key(route) {
            self.recent_ms.insert(route.clone(), VecDeque::with_capacity(MAX_RECENT));
        }
        let recent_ms = self.recent_ms.get_mut(route).expect("it was inserted above");
        if recent_ms.len() == MAX_RECENT {
            recent_ms.pop_front();
        }
        recent_ms.push_back(u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX));
        usual(recent_ms).saturating_sub(timeout)
    }
}

/// Returns the longest timeout that recurs or, until one does, the longest.
fn usual(recent_ms: &VecDeque<u64>) -> Duration {
    let recurs =
        |ms: &&u64| recent_ms.iter().filter(|other| other == ms).count() >= MIN_OCCURRENCES;
    let longest = recent_ms.iter().filter(recurs).max().or_else(|| recent_ms.iter().max());
    Duration::from_millis(longest.copied().unwrap_or(0))
}

#[cfg(test)]
mod tests;
