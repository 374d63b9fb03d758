//! The attempts at one shard of a request, or at the one service of a plain request.

use std::time::Duration;

use smallvec::SmallVec;

use crate::clock::Monotonic;
use crate::flaw::flawed;
use crate::ids::ServerId;
use crate::outcome::{NotRunReason, Outcome, UnknownReason};

/// How long after every allowed server has shed a request it may be offered again.
const SHED_BACKOFF: Duration = Duration::from_millis(40);
/// How often a shard without a usable server is looked at again.
const RECHECK: Duration = Duration::from_millis(20);
/// After this many offers, the next one waits even if the last was only declined.
const MAX_OFFERS_AT_ONCE: u32 = 3;
/// The most times that servers may refuse one request; relays and hosts that could not send it do
/// not count, since no server had work by it.
const MAX_REFUSALS: u32 = 4;

/// What to do about a shard next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Nothing; an attempt still runs or the shard is done.
    Wait,
    /// Send again now.
    Again,
}

/// The state of one shard.
#[derive(Debug, Clone, Default)]
pub struct ShardRun {
    /// Servers that may have got the request.
    reached: SmallVec<[ServerId; 2]>,
    /// Servers that no attempt should go to for now.
    shunned: SmallVec<[ServerId; 2]>,
    running: u32,
    ran: u32,
    offers: u32,
    arrived: u32,
    refusals: u32,
    answered: bool,
    act_at: Option<Monotonic>,
    failure: Option<Outcome<()>>,
}

impl ShardRun {
    /// Returns when the shard wants another look, if no reply comes before.
    pub const fn act_at(&self) -> Option<Monotonic> {
        self.act_at
    }

    /// Tells whether the shard is answered.
    pub const fn is_answered(&self) -> bool {
        self.answered
    }

    /// Tells whether an attempt runs.
    pub const fn is_running(&self) -> bool {
        self.running > 0
    }

    /// Tells whether some server may have run the request.
    pub const fn may_have_run(&self) -> bool {
        self.ran > 0 || self.running > 0
    }

    /// Returns why the last attempt failed.
    pub const fn failure(&self) -> Option<&Outcome<()>> {
        self.failure.as_ref()
    }

    /// Returns how many times the request was offered to a server.
    pub const fn offers(&self) -> u32 {
        self.offers
    }

    /// Tells whether the next attempt is beyond the first that arrives at a server.
    pub const fn is_extra(&self) -> bool {
        self.arrived > 0
    }

    /// Tells whether no attempt at it may succeed any more.
    pub const fn is_over(&self) -> bool {
        !self.answered && self.running == 0 && self.act_at.is_none()
    }

    /// Tells whether an attempt may go to a server, where a request may reach `attempts` servers.
    pub fn allows(&self, server: &ServerId, attempts: u32) -> bool {
        let known = self.reached.contains(server);
        let room = known || (self.reached.len() as u32) < attempts;
        room && !self.shunned.contains(server)
    }

    /// Tells whether any further attempt may be made beside or after those there were.
    pub fn may_send(&self, attempts: u32) -> bool {
        !self.answered && self.ran + self.running < attempts && self.refusals < MAX_REFUSALS
    }

    /// Takes in an attempt; the shard wants another look at `overdue_at`.
    pub fn on_sent(&mut self, server: &ServerId, overdue_at: Monotonic) {
        if !self.reached.contains(server) {
            self.reached.push(server.clone());
        }
        self.shunned.push(server.clone());
        self.running += 1;
        self.offers += 1;
        self.arrived += 1;
        self.act_at = Some(overdue_at);
    }

    /// Takes in that there is no server to send to for now; later all are tried again.
    pub fn on_no_server(&mut self, now: Monotonic) {
        self.shunned.clear();
        // A relay that declined the only server is asked again at once, and then insisted upon.
        let declined = matches!(
            self.failure,
            Some(Outcome::NotRun(NotRunReason::NotOwner | NotRunReason::VersionGone))
        ) && self.offers <= MAX_OFFERS_AT_ONCE;
        if self.failure.is_none() {
            self.failure = Some(Outcome::NotRun(NotRunReason::Unreachable));
        }
        self.act_at = Some(if declined { now } else { now + RECHECK });
    }

    /// Asks for another look at a time, if no reply comes before.
    pub const fn look_again(&mut self, at: Monotonic) {
        self.act_at = Some(at);
    }

    /// Takes in that nothing more is to be tried beside what runs.
    pub const fn on_no_more(&mut self) {
        self.act_at = None;
    }

    /// Takes in a reply that answers the shard.
    pub fn on_answer(&mut self) {
        self.running = self.running.saturating_sub(1);
        self.ran += 1;
        self.answered = true;
        self.act_at = None;
    }

    /// Takes in an attempt that failed.
    pub fn on_failure(
        &mut self,
        now: Monotonic,
        server: &ServerId,
        failure: Outcome<()>,
        attempts: u32,
    ) -> Next {
        self.running = self.running.saturating_sub(1);
        match &failure {
            Outcome::NotRun(
                NotRunReason::Unreachable
                | NotRunReason::NotOwner
                | NotRunReason::NoPermission
                | NotRunReason::VersionGone
                | NotRunReason::Overloaded,
            ) => {
                // Nothing arrived there, so another server may take its place.
                self.reached.retain(|reached| reached != server);
                self.arrived = self.arrived.saturating_sub(1);
            }
            Outcome::NotRun(NotRunReason::ServerLeaving) => {
                // Another server has the address: it got the request, this one did not.
                self.reached.retain(|reached| reached != server);
                self.refusals += 1;
            }
            Outcome::NotRun(_) => self.refusals += 1,
            Outcome::Unknown(_) | Outcome::Answered(()) if flawed!(LostIsUnreached) => {
                self.reached.retain(|reached| reached != server);
            }
            Outcome::Unknown(_) | Outcome::Answered(()) => self.ran += 1,
        }
        self.failure = Some(failure);
        if self.answered || !self.may_send(attempts) {
            self.act_at = if self.running > 0 { self.act_at } else { None };
            return Next::Wait;
        }
        if self.running > 0 {
            return Next::Wait;
        }
        let all_tried = self.reached.len() as u32 >= attempts
            && self.reached.iter().all(|reached| self.shunned.contains(reached));
        if all_tried {
            self.shunned.clear();
            self.act_at = Some(now + SHED_BACKOFF);
            return Next::Wait;
        }
        Next::Again
    }

    /// Returns the outcome of a shard that was not answered.
    pub fn unanswered(&self) -> Outcome<()> {
        if self.running > 0 {
            return Outcome::Unknown(UnknownReason::TimedOut);
        }
        match &self.failure {
            Some(Outcome::NotRun(reason)) if self.ran == 0 => Outcome::NotRun(*reason),
            Some(Outcome::Unknown(reason)) => Outcome::Unknown(*reason),
            Some(_) => Outcome::Unknown(UnknownReason::BadReply),
            None => Outcome::NotRun(NotRunReason::DeadlineTooClose),
        }
    }
}

#[cfg(test)]
mod tests;
