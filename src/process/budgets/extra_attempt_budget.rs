//! Limits extra attempts (retries and hedges) to a budget that all hosts share.
//!
//! The limit is linear in the requests of a sliding window, so hosts need no coordination: each host
//! may spend a ratio of its own first attempts plus its share of the fixed allowance. See
//! `docs/PLATFORM.md`, section "Extra attempts".

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::clock::Monotonic;
use crate::flaw::flawed;
use crate::ids::ServiceId;

/// The number of buckets that the sliding window is divided into.
const WINDOW_BUCKETS: u32 = 10;

/// The share of the allowance that a process may use in the first window after it starts; its clock
/// starts at zero.
const FIRST_WINDOW_SHARE: f64 = 0.4;

/// The limit on extra attempts for all hosts together, per service and window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExtraAttemptLimit {
    /// Extra attempts per first attempt.
    pub ratio: f64,
    /// Extra attempts allowed in addition to the ratio, for all hosts together.
    pub allowance: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    number: u64,
    first: u32,
    extra: u32,
}

/// Counts first and extra attempts per service in a sliding window.
#[derive(Debug)]
pub struct ExtraAttemptBudget {
    limit: ExtraAttemptLimit,
    services: HashMap<ServiceId, VecDeque<Bucket>>,
}

impl ExtraAttemptBudget {
    /// Creates a budget without recorded attempts.
    pub fn new(limit: ExtraAttemptLimit) -> Self {
        Self { limit, services: HashMap::new() }
    }

    /// Records a first attempt.
    pub fn on_first(&mut self, now: Monotonic, service: &ServiceId) {
        self.bucket(now, service).first += 1;
    }

    /// Spends one extra attempt from the budget of a service; returns whether it was available.
    /// `hosts` is the number of hosts that share the allowance, or `None` if it is not known yet; the
    /// allowance can't be used then.
    pub fn try_spend(&mut self, now: Monotonic, service: &ServiceId, hosts: Option<usize>) -> bool {
        let limit = self.limit;
        let newest = self.bucket(now, service).number;
        let buckets = &self.services[service];
        // The oldest bucket lies only partly within the window. To stay below the limit, its extra
        // attempts are counted and its first attempts are not.
        let in_window = |bucket: &&Bucket| bucket.number + u64::from(WINDOW_BUCKETS) > newest;
        let first: u32 = buckets.iter().filter(in_window).map(|bucket| bucket.first).sum();
        let extra: u32 = buckets.iter().map(|bucket| bucket.extra).sum();
        // An earlier incarnation of this process may have spent its share in the same window.
        let share = if now < limit.window { FIRST_WINDOW_SHARE } else { 1.0 };
        let allowance = hosts.map_or(0.0, |hosts| limit.allowance * share / hosts.max(1) as f64);
        let allowed = f64::from(first).mul_add(limit.ratio, allowance);
        let granted = f64::from(extra) + 1.0 <= allowed;
        if granted && !flawed!(ExtraAttemptUncounted) {
            self.bucket(now, service).extra += 1;
        }
        granted
    }

    /// Returns one extra attempt to the budget of a service, because it reached no server.
    pub fn refund(&mut self, now: Monotonic, service: &ServiceId) {
        self.bucket(now, service);
        let buckets = self.services.get_mut(service).expect("it was inserted above");
        if let Some(bucket) = buckets.iter_mut().rev().find(|bucket| bucket.extra > 0) {
            bucket.extra -= 1;
        }
    }

    fn bucket(&mut self, now: Monotonic, service: &ServiceId) -> &mut Bucket {
        let length = self.limit.window / WINDOW_BUCKETS;
        let number = (now.as_nanos() / length.as_nanos().max(1)) as u64;
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), VecDeque::new());
        }
        let buckets = self.services.get_mut(service).expect("it was inserted above");
        // One bucket more than WINDOW_BUCKETS is kept, because the oldest lies only partly within
        // the window.
        while buckets
            .front()
            .is_some_and(|bucket| bucket.number + u64::from(WINDOW_BUCKETS) < number)
        {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|bucket| bucket.number < number) {
            buckets.push_back(Bucket { number, ..Bucket::default() });
        }
        buckets.back_mut().expect("one was pushed above")
    }
}

#[cfg(test)]
mod tests;
