//! Decides from which host a host obtains facts that it lacks, and when it reads them itself.
//!
//! Heartbeats show that newer facts exist, but not that the host which has them can send them here: a
//! path may pass data in one direction only, or a connection may wait for a retransmission. A pure
//! state machine: time is an argument. See `docs/PLATFORM.md`, section "Reading the platform".

use std::net::Ipv4Addr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::clock::Monotonic;
use crate::position::{PlanOrder, Position};

/// A pull is overdue after this time, and another host is asked.
const PULL_TIMEOUT: Duration = Duration::from_millis(400);
/// A host that has lacked facts for this long reads them from the source itself.
const READ_AFTER: Duration = Duration::from_millis(700);

/// The facts that a host has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reached {
    /// The position of its servers and failure domains.
    pub position: Position,
    /// The place of its plan in the order of plans.
    pub plan: PlanOrder,
}

impl Reached {
    /// Returns whether a host with these facts has all that another one has.
    pub fn has(&self, other: &Self) -> bool {
        self.position >= other.position && self.plan >= other.plan
    }

    fn max(self, other: Self) -> Self {
        Self { position: self.position.max(other.position), plan: self.plan.max(other.plan) }
    }
}

/// A host that may be asked for facts.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The host.
    pub host: Ipv4Addr,
    /// What it announces to have.
    pub reached: Reached,
    /// Whether it is in this host's failure domain.
    pub near: bool,
    /// Whether it has not answered lately.
    pub suspect: bool,
}

/// A pull that was sent and not answered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingPull {
    /// The host that was asked.
    pub host: Ipv4Addr,
    /// When it was asked.
    pub sent_at: Monotonic,
}

/// The facts that a host knows to exist and lacks, and whom it has asked for them.
#[derive(Debug, Default)]
pub struct PullSchedule {
    /// What the host lacked at some moment and has not reached yet, and that moment.
    missing: Option<(Reached, Monotonic)>,
    pending: Option<PendingPull>,
}

impl PullSchedule {
    /// Records what this host has and what others announce to have.
    pub fn update(&mut self, now: Monotonic, own: Reached, candidates: &[Candidate]) {
        if self.missing.is_some_and(|(missing, _)| own.has(&missing)) {
            self.missing = None;
        }
        let newest = candidates.iter().fold(own, |newest, other| newest.max(other.reached));
        if self.missing.is_none() && newest != own {
            self.missing = Some((newest, now));
        }
    }

    /// Returns the pull that is overdue, if there is one, and forgets it.
    pub fn take_overdue(&mut self, now: Monotonic) -> Option<PendingPull> {
        self.pending.take_if(|pending| now.saturating_sub(pending.sent_at) >= PULL_TIMEOUT)
    }

    /// Returns whether an answer is still awaited.
    pub const fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Chooses the host to ask for what `own` lacks: one that answers, then one of the own failure
    /// domain, then the one with the newest facts. Of several, any is chosen, so that hosts which
    /// lack the same do not all ask the same one.
    pub fn choose(own: Reached, candidates: &[Candidate], rng: &mut impl Rng) -> Option<Ipv4Addr> {
        let rank = |c: &Candidate| (!c.suspect, c.near, c.reached.position, c.reached.plan);
        let newer = || candidates.iter().filter(|candidate| !own.has(&candidate.reached));
        let best = newer().map(rank).max()?;
        newer().filter(|candidate| rank(candidate) == best).choose(rng).map(|c| c.host)
    }

    /// Records that a host was asked.
    pub const fn on_sent(&mut self, now: Monotonic, host: Ipv4Addr) {
        self.pending = Some(PendingPull { host, sent_at: now });
    }

    /// Records facts that a host sent when it was asked.
    pub fn on_answer(&mut self, host: Ipv4Addr) {
        self.pending.take_if(|pending| pending.host == host);
    }

    /// Returns whether this host must read from the source, since no other host has sent what it
    /// lacks.
    pub fn must_read(&self, now: Monotonic) -> bool {
        self.missing.is_some_and(|(_, since)| now.saturating_sub(since) >= READ_AFTER)
    }
}

#[cfg(test)]
mod tests;
