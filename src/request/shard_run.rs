//! Tracks the attempts at one shard of a request, or at the service of a plain request.

use std::time::Duration;

use smallvec::SmallVec;

use crate::clock::Monotonic;
use crate::flaw::flawed;
use crate::ids::ServerId;
use crate::outcome::{NotRunReason, Outcome, UnknownReason};

/// Backoff before a request is sent again to servers that have all shed it.
const SHED_BACKOFF: Duration = Duration::from_millis(40);
/// Interval between checks of a shard without a usable server.
const RECHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Sends after which even a declined attempt is retried only after a delay.
const MAX_IMMEDIATE_SENDS: u32 = 3;
/// The maximum number of times that servers may refuse one request. Refusals by relays, and
/// attempts that a host could not send, do not count, since no server received any work.
const MAX_REFUSALS: u32 = 4;

/// What the caller should do next about a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Nothing: an attempt is running, a check is scheduled, or the shard is finished.
    Wait,
    /// Send the next attempt now.
    Retry,
}

/// The attempts at one shard and their results.
#[derive(Debug, Clone, Default)]
pub struct ShardRun {
    /// Servers that may have received the request.
    reached: SmallVec<[ServerId; 2]>,
    /// Servers with an attempt that was taken out of the budget of extra attempts.
    extra: SmallVec<[ServerId; 2]>,
    /// Servers excluded from the next attempt.
    excluded: SmallVec<[ServerId; 2]>,
    running: u32,
    ran: u32,
    send_count: u32,
    delivered: u32,
    refusals: u32,
    answered: bool,
    /// An attempt was given up because the path to its server was lost, so that it may have run.
    path_lost: bool,
    next_check_at: Option<Monotonic>,
    failure: Option<Outcome<()>>,
}

impl ShardRun {
    /// Returns when the shard must be checked again unless a reply arrives first.
    pub const fn next_check_at(&self) -> Option<Monotonic> {
        self.next_check_at
    }

    /// Tells whether the shard has answered.
    pub const fn is_answered(&self) -> bool {
        self.answered
    }

    /// Tells whether an attempt is in flight.
    pub const fn is_running(&self) -> bool {
        self.running > 0
    }

    /// Tells whether any server may have run the request.
    pub const fn may_have_run(&self) -> bool {
        self.ran > 0 || self.running > 0 || self.path_lost
    }

    /// Returns why the last attempt failed.
    pub const fn failure(&self) -> Option<&Outcome<()>> {
        self.failure.as_ref()
    }

    /// Returns the number of servers that may have received the request.
    pub fn may_have_reached(&self) -> u32 {
        self.reached.len() as u32
    }

    /// Returns how many times the request was sent to a server.
    pub const fn send_count(&self) -> u32 {
        self.send_count
    }

    /// Tells whether an attempt may already have reached a server, so that the next one is extra.
    pub const fn is_extra(&self) -> bool {
        self.delivered > 0
    }

    /// Tells whether the shard is unanswered with no attempt in flight and no check scheduled.
    pub const fn is_exhausted(&self) -> bool {
        !self.answered && self.running == 0 && self.next_check_at.is_none()
    }

    /// Tells whether an attempt may go to this server, given that a request may reach at most
    /// `attempts` servers.
    pub fn allows(&self, server: &ServerId, attempts: u32) -> bool {
        let known = self.reached.contains(server);
        let room = known || (self.reached.len() as u32) < attempts;
        room && !self.excluded.contains(server)
    }

    /// Tells whether another attempt is allowed by the limits on attempts and refusals.
    pub fn may_send(&self, attempts: u32) -> bool {
        !self.answered && self.ran + self.running < attempts && self.refusals < MAX_REFUSALS
    }

    /// Records a sent attempt; the shard is checked again at `overdue_at`.
    pub fn on_sent(&mut self, server: &ServerId, overdue_at: Monotonic) {
        if !self.reached.contains(server) {
            self.reached.push(server.clone());
        }
        self.excluded.push(server.clone());
        if self.is_extra() {
            self.extra.push(server.clone());
        }
        self.running += 1;
        self.send_count += 1;
        self.delivered += 1;
        self.next_check_at = Some(overdue_at);
    }

    /// Records that no server is available. Clears the exclusions and schedules the next check.
    pub fn on_no_server(&mut self, now: Monotonic) {
        self.excluded.clear();
        // A relay that declined the only server is called again at once, with `insists` set.
        let declined = matches!(
            self.failure,
            Some(Outcome::NotRun(NotRunReason::NotOwner | NotRunReason::VersionGone))
        ) && self.send_count <= MAX_IMMEDIATE_SENDS;
        if self.failure.is_none() {
            self.failure = Some(Outcome::NotRun(NotRunReason::Unreachable));
        }
        self.next_check_at = Some(if declined { now } else { now + RECHECK_INTERVAL });
    }

    /// Records that the rate limits of all servers forbid another attempt. The shard is not checked
    /// again, since waiting requests would use up what the servers take later.
    pub fn on_rate_limited(&mut self) {
        if self.failure.as_ref().is_none_or(Outcome::is_not_run) {
            self.failure = Some(Outcome::NotRun(NotRunReason::RateLimited));
        }
        self.next_check_at = None;
    }

    /// Schedules the next check of the shard.
    pub const fn schedule_check(&mut self, at: Monotonic) {
        self.next_check_at = Some(at);
    }

    /// Cancels the scheduled check, so that no attempt is added to those in flight.
    pub const fn cancel_check(&mut self) {
        self.next_check_at = None;
    }

    /// Records a reply that answers the shard.
    pub fn on_answer(&mut self) {
        self.running = self.running.saturating_sub(1);
        self.ran += 1;
        self.answered = true;
        self.next_check_at = None;
    }

    /// Tells whether a failed attempt was taken out of the budget of extra attempts and did not
    /// reach its server, so that the budget is owed a refund. Must be called before
    /// [`Self::on_failure`].
    pub fn refund_due(&mut self, server: &ServerId, failure: &Outcome<()>) -> bool {
        let Some(at) = self.extra.iter().position(|extra| extra == server) else { return false };
        self.extra.swap_remove(at);
        did_not_reach_server(failure)
    }

    /// Records a failed attempt and decides what to do next.
    pub fn on_failure(
        &mut self,
        now: Monotonic,
        server: &ServerId,
        failure: Outcome<()>,
        attempts: u32,
    ) -> Next {
        self.running = self.running.saturating_sub(1);
        let declined =
            matches!(failure, Outcome::NotRun(NotRunReason::NotOwner | NotRunReason::VersionGone));
        let declined_by_limit = failure == Outcome::NotRun(NotRunReason::RateLimited);
        if declined || declined_by_limit {
            // A relay that declined may be called again, with `insists` set. The limit of a server
            // is checked whenever one is chosen.
            self.excluded.retain(|excluded| excluded != server);
        }
        match &failure {
            failure if did_not_reach_server(failure) => {
                // Another server may take its place.
                self.reached.retain(|reached| reached != server);
                self.delivered = self.delivered.saturating_sub(1);
                if declined_by_limit {
                    self.refusals += 1;
                }
            }
            Outcome::NotRun(NotRunReason::ServerLeaving) => {
                // Another server now has this address and received the request instead.
                self.reached.retain(|reached| reached != server);
                self.refusals += 1;
            }
            Outcome::NotRun(_) => self.refusals += 1,
            Outcome::Unknown(_) | Outcome::Answered(()) if flawed!(UnknownOutcomeUncounted) => {
                self.reached.retain(|reached| reached != server);
            }
            Outcome::Unknown(_) | Outcome::Answered(()) => self.ran += 1,
        }
        self.failure = Some(failure);
        if self.answered || !self.may_send(attempts) {
            self.next_check_at = if self.running > 0 { self.next_check_at } else { None };
            return Next::Wait;
        }
        if self.running > 0 {
            if declined {
                self.next_check_at = Some(now);
            }
            return Next::Wait;
        }
        let all_tried = self.reached.len() as u32 >= attempts
            && self.reached.iter().all(|reached| self.excluded.contains(reached));
        if all_tried {
            self.excluded.clear();
            self.next_check_at = Some(now + SHED_BACKOFF);
            return Next::Wait;
        }
        Next::Retry
    }

    /// Records an attempt that was given up because no server can be reached any more. It does not
    /// count towards the attempts, since another host may still serve the request.
    pub fn on_path_lost(&mut self, server: &ServerId, attempts: u32) -> Next {
        self.running = self.running.saturating_sub(1);
        self.reached.retain(|reached| reached != server);
        self.path_lost = true;
        self.failure = Some(Outcome::Unknown(UnknownReason::ConnectionLost));
        if self.running > 0 || !self.may_send(attempts) { Next::Wait } else { Next::Retry }
    }

    /// Returns the outcome of an unanswered shard.
    pub fn unanswered(&self) -> Outcome<()> {
        if self.running > 0 {
            return Outcome::Unknown(UnknownReason::TimedOut);
        }
        match &self.failure {
            Some(Outcome::NotRun(reason)) if !self.may_have_run() => Outcome::NotRun(*reason),
            Some(Outcome::Unknown(reason)) => Outcome::Unknown(*reason),
            Some(_) => Outcome::Unknown(UnknownReason::BadReply),
            None => Outcome::NotRun(NotRunReason::DeadlineTooClose),
        }
    }
}

const fn did_not_reach_server(failure: &Outcome<()>) -> bool {
    matches!(
        failure,
        Outcome::NotRun(
            NotRunReason::Unreachable
                | NotRunReason::NotOwner
                | NotRunReason::NoPermission
                | NotRunReason::RateLimited
                | NotRunReason::VersionGone
                | NotRunReason::Overloaded
        )
    )
}

#[cfg(test)]
mod tests;
