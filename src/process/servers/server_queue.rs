//! The queue of one backend server at its owner.
//!
//! Requests are served by priority, then earliest deadline first. A request that is not expected to
//! meet its deadline is refused on arrival, so that the caller gets the refusal without delay.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Monotonic;
use crate::outcome::NotRunReason;
use crate::version::config::Priority;

/// The most entries in one queue.
pub const MAX_QUEUED: usize = 256;
/// The divisor of the newest sample in the moving average of the service time.
const AVERAGE_DIVISOR: u32 = 8;

/// How long after the last completed attempt a server with too high an estimated service time gets
/// a probe request, since only a reply can lower the estimate. Four probes a second stay under a
/// hundredth of a server's capacity.
const PROBE_AFTER: Duration = Duration::from_millis(250);

type QueueKey = (Priority, Monotonic, u64);

/// Identifies a queue entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(Priority, Monotonic, u64);

/// The admission policy; [`Self::Always`] is a baseline for measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Refuses requests that are not expected to meet their deadline.
    Early,
    /// Accepts every request while the queue has room.
    Always,
}

/// A queue and the number of its requests in flight.
#[derive(Debug)]
pub struct ServerQueue<T> {
    entries: BTreeMap<QueueKey, T>,
    next_seq: u64,
    in_flight: u32,
    typical: Duration,
    service_time: Duration,
    last_completed_at: Monotonic,
    admission: Admission,
}

impl<T> ServerQueue<T> {
    /// Creates an empty queue with the configured typical service time.
    pub const fn new(typical: Duration, admission: Admission) -> Self {
        Self {
            entries: BTreeMap::new(),
            next_seq: 0,
            in_flight: 0,
            typical,
            service_time: typical,
            last_completed_at: Monotonic::ZERO,
            admission,
        }
    }

    /// Adds a request, or refuses it.
    ///
    /// # Errors
    ///
    /// Returns the reason for the refusal: nothing may be sent, the queue is full, or the request
    /// is expected to end after its deadline.
    pub fn push(
        &mut self,
        now: Monotonic,
        priority: Priority,
        deadline: Monotonic,
        limit: u32,
        item: T,
    ) -> Result<Ticket, NotRunReason> {
        if limit == 0 {
            return Err(NotRunReason::NoPermission);
        }
        if self.entries.len() >= MAX_QUEUED {
            return Err(NotRunReason::Overloaded);
        }
        let key = (priority, deadline, self.next_seq);
        if deadline <= now {
            return Err(NotRunReason::DeadlineTooClose);
        }
        if self.admission == Admission::Early
            && now + self.estimated_completion(now, key, limit) > deadline
        {
            return Err(NotRunReason::DeadlineTooClose);
        }
        self.next_seq += 1;
        self.entries.insert(key, item);
        Ok(Ticket(key.0, key.1, key.2))
    }

    /// Removes the next request to send, which counts as in flight until [`Self::finish`].
    pub fn pop(&mut self, limit: u32) -> Option<(Ticket, T)> {
        if self.in_flight >= limit {
            return None;
        }
        let ((priority, deadline, seq), item) = self.entries.pop_first()?;
        self.in_flight += 1;
        Some((Ticket(priority, deadline, seq), item))
    }

    /// Returns a popped request that was not sent to its position in the queue.
    pub fn restore(&mut self, ticket: Ticket, item: T) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.entries.insert((ticket.0, ticket.1, ticket.2), item);
    }

    /// Removes a cancelled or expired request, if it was not popped yet.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        self.entries.remove(&(ticket.0, ticket.1, ticket.2))
    }

    /// Removes and returns all queued requests.
    pub fn drain(&mut self) -> Vec<T> {
        std::mem::take(&mut self.entries).into_values().collect()
    }

    /// Records the end of a popped request, with its time at the server or a lower bound of it, if
    /// known.
    pub fn finish(&mut self, now: Monotonic, took: Option<Duration>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(took) = took {
            self.last_completed_at = now;
            let weighted_average = self.service_time * (AVERAGE_DIVISOR - 1);
            self.service_time = (weighted_average + took) / AVERAGE_DIVISOR;
        }
    }

    /// Returns how many requests are in flight.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns how many requests are queued.
    pub fn queued(&self) -> usize {
        self.entries.len()
    }

    /// Returns the expected time to completion of one more request of the lowest priority.
    pub fn expected(&self, now: Monotonic, limit: u32) -> Duration {
        self.estimated_completion(now, (Priority::Low, Monotonic::MAX, u64::MAX), limit)
    }

    /// Tells whether a popped request can still be expected to meet its deadline.
    ///
    /// A request is always sent as a probe if it is the only one in flight and no attempt completed
    /// for a while.
    pub fn meets_deadline(&self, now: Monotonic, deadline: Monotonic) -> bool {
        let is_probe = self.in_flight <= 1 && self.may_probe(now);
        is_probe || self.admission == Admission::Always || now + self.service_time <= deadline
    }

    /// Tells whether no attempt completed within [`PROBE_AFTER`], so that a probe is allowed.
    fn may_probe(&self, now: Monotonic) -> bool {
        now >= self.last_completed_at + PROBE_AFTER
    }

    fn estimated_completion(&self, now: Monotonic, key: QueueKey, limit: u32) -> Duration {
        if self.in_flight == 0 && self.entries.is_empty() && self.may_probe(now) {
            return self.service_time.min(self.typical);
        }
        let ahead = self.entries.range(..key).count() + self.in_flight as usize;
        let rounds = ahead / limit.max(1) as usize + 1;
        self.service_time * u32::try_from(rounds).unwrap_or(u32::MAX)
    }
}

#[cfg(test)]
mod tests;
