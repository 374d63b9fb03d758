//! Keeps the attempts beyond the first within a limit that all hosts share.
//!
//! The limit is linear in the requests of a window, so that no agreement is needed: each host
//! spends its ratio of its own first attempts and its part of the fixed allowance. See
//! `docs/PLATFORM.md`, section "Extra attempts".

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::clock::Monotonic;
use crate::flaw::flawed;
use crate::ids::ServiceId;

/// The parts into which the window is cut; a whole window always lies within them.
const SLICES: u32 = 10;

/// The part of the allowance that a process uses in the first window of its life, whose time starts
/// at zero.
const FIRST_WINDOW_SHARE: f64 = 0.4;

/// The limit that all hosts keep together, for each service and window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExtraLimit {
    /// Extra attempts for each request.
    pub ratio: f64,
    /// Extra attempts beside them, for all hosts together.
    pub allowance: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    number: u64,
    first: u32,
    extra: u32,
}

/// Counts first and extra attempts at each service.
#[derive(Debug)]
pub struct ExtraBudget {
    limit: ExtraLimit,
    services: HashMap<ServiceId, VecDeque<Slice>>,
}

impl ExtraBudget {
    /// Starts with nothing sent.
    pub fn new(limit: ExtraLimit) -> Self {
        Self { limit, services: HashMap::new() }
    }

    /// Takes in a first attempt.
    pub fn on_first(&mut self, now: Monotonic, service: &ServiceId) {
        self.slice(now, service).first += 1;
    }

    /// Takes one extra attempt out of the budget of a service, if there is one; `hosts` is the
    /// number of hosts that share the allowance.
    pub fn try_spend(&mut self, now: Monotonic, service: &ServiceId, hosts: usize) -> bool {
        let limit = self.limit;
        let newest = self.slice(now, service).number;
        let slices = &self.services[service];
        // The oldest slice lies within the window only in part: its extra attempts count, its
        // first attempts don't.
        let inside = |slice: &&Slice| slice.number + u64::from(SLICES) > newest;
        let first: u32 = slices.iter().filter(inside).map(|slice| slice.first).sum();
        let extra: u32 = slices.iter().map(|slice| slice.extra).sum();
        // A former life of this process may have spent its part in the same window.
        let share = if now < limit.window { FIRST_WINDOW_SHARE } else { 1.0 };
        let allowance = limit.allowance * share / hosts.max(1) as f64;
        let allowed = f64::from(first).mul_add(limit.ratio, allowance);
        let granted = f64::from(extra) + 1.0 <= allowed;
        if granted && !flawed!(ExtraUncounted) {
            self.slice(now, service).extra += 1;
        }
        granted
    }

    fn slice(&mut self, now: Monotonic, service: &ServiceId) -> &mut Slice {
        let length = self.limit.window / SLICES;
        let number = (now.as_nanos() / length.as_nanos().max(1)) as u64;
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), VecDeque::new());
        }
        let slices = self.services.get_mut(service).expect("it was inserted above");
        // One slice more than the window holds: the oldest lies in it only in part.
        while slices.front().is_some_and(|slice| slice.number + u64::from(SLICES) < number) {
            slices.pop_front();
        }
        if slices.back().is_none_or(|slice| slice.number < number) {
            slices.push_back(Slice { number, ..Slice::default() });
        }
        slices.back_mut().expect("one was pushed above")
    }
}

#[cfg(test)]
mod tests;
