//! The queue of one backend server at its owner.
//!
//! Work is served by class, then earliest deadline first. Work that can't make its deadline is
//! refused when it arrives, so that the caller hears at once.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::Monotonic;
use crate::outcome::NotRunReason;
use crate::version::config::Priority;

/// The most entries in one queue.
pub const MAX_QUEUED: usize = 256;
/// The weight of the newest sample in the moving average of the service time, as a divisor.
const AVERAGE_DIVISOR: u32 = 8;

/// How long after the last end of an attempt a server that is believed to be too slow gets one
/// attempt all the same, since only a reply can show that it no longer is: at four a second, these
/// stay under a hundredth of what a server serves.
const PROBE_AFTER: Duration = Duration::from_millis(250);

type Place = (Priority, Monotonic, u64);

/// Identifies an entry until it is popped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(Priority, Monotonic, u64);

/// How early work is refused; a baseline for measurements takes everything.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Refuses what is not expected to make its deadline.
    Early,
    /// Takes whatever fits into the queue.
    Always,
}

/// A queue with the count of what is in flight behind it.
#[derive(Debug)]
pub struct ServerQueue<T> {
    entries: BTreeMap<Place, T>,
    next_seq: u64,
    in_flight: u32,
    typical: Duration,
    service_time: Duration,
    ended_at: Monotonic,
    admission: Admission,
}

impl<T> ServerQueue<T> {
    /// Starts empty with the published usual service time.
    pub const fn new(typical: Duration, admission: Admission) -> Self {
        Self {
            entries: BTreeMap::new(),
            next_seq: 0,
            in_flight: 0,
            typical,
            service_time: typical,
            ended_at: Monotonic::ZERO,
            admission,
        }
    }

    /// Adds work, or refuses it.
    ///
    /// # Errors
    ///
    /// Returns why it is refused: nothing may be sent, the queue is full, or the deadline is
    /// before the expected end.
    pub fn push(
        &mut self,
        now: Monotonic,
        priority: Priority,
        deadline: Monotonic,
        allowance: u32,
        item: T,
    ) -> Result<Ticket, NotRunReason> {
        if allowance == 0 {
            return Err(NotRunReason::NoPermission);
        }
        if self.entries.len() >= MAX_QUEUED {
            return Err(NotRunReason::Overloaded);
        }
        let place = (priority, deadline, self.next_seq);
        if deadline <= now {
            return Err(NotRunReason::DeadlineTooClose);
        }
        if self.admission == Admission::Early && now + self.wait(now, place, allowance) > deadline {
            return Err(NotRunReason::DeadlineTooClose);
        }
        self.next_seq += 1;
        self.entries.insert(place, item);
        Ok(Ticket(place.0, place.1, place.2))
    }

    /// Takes the next work to send; it counts as in flight until [`Self::finish`].
    pub fn pop(&mut self, allowance: u32) -> Option<(Ticket, T)> {
        if self.in_flight >= allowance {
            return None;
        }
        let ((priority, deadline, seq), item) = self.entries.pop_first()?;
        self.in_flight += 1;
        Some((Ticket(priority, deadline, seq), item))
    }

    /// Puts popped work that was not sent back into its place.
    pub fn restore(&mut self, ticket: Ticket, item: T) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.entries.insert((ticket.0, ticket.1, ticket.2), item);
    }

    /// Removes work that is no longer wanted, if it was not popped yet.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        self.entries.remove(&(ticket.0, ticket.1, ticket.2))
    }

    /// Removes everything that waits.
    pub fn drain(&mut self) -> Vec<T> {
        std::mem::take(&mut self.entries).into_values().collect()
    }

    /// Takes in that a popped entry ended, and how long it took at the server, or took at least,
    /// where that is known.
    pub fn finish(&mut self, now: Monotonic, took: Option<Duration>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(took) = took {
            self.ended_at = now;
            let kept = self.service_time * (AVERAGE_DIVISOR - 1);
            self.service_time = (kept + took) / AVERAGE_DIVISOR;
        }
    }

    /// Returns how many requests are in flight.
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns how many wait.
    pub fn queued(&self) -> usize {
        self.entries.len()
    }

    /// Returns the expected time from now to the end of one more request of the last class.
    pub fn expected(&self, now: Monotonic, allowance: u32) -> Duration {
        self.wait(now, (Priority::Low, Monotonic::MAX, u64::MAX), allowance)
    }

    /// Tells whether popped work can still be expected to end in time.
    ///
    /// The only request at a server from which nothing came for a while is sent in any case.
    pub fn fits(&self, now: Monotonic, deadline: Monotonic) -> bool {
        let probes = self.in_flight <= 1 && self.may_probe(now);
        probes || self.admission == Admission::Always || now + self.service_time <= deadline
    }

    /// Tells whether the last end of an attempt is too long ago to refuse work for it.
    fn may_probe(&self, now: Monotonic) -> bool {
        now >= self.ended_at + PROBE_AFTER
    }

    fn wait(&self, now: Monotonic, place: Place, allowance: u32) -> Duration {
        if self.in_flight == 0 && self.entries.is_empty() && self.may_probe(now) {
            return self.service_time.min(self.typical);
        }
        let ahead = self.entries.range(..place).count() + self.in_flight as usize;
        let rounds = ahead / allowance.max(1) as usize + 1;
        self.service_time * u32::try_from(rounds).unwrap_or(u32::MAX)
    }
}

#[cfg(test)]
mod tests;
