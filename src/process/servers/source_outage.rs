//! Tells an outage of the source from a failure of one host's own calls.
//!
//! Entries of servers may lapse only if the source was away for all. A host whose own calls failed
//! learns from other hosts whether it was: a source that has answered one of them meanwhile was not
//! away. A pure state machine: time is an argument. See `docs/PLATFORM.md`, section "Reading the
//! platform".

use std::time::Duration;

use crate::clock::Monotonic;

/// A host that reads gets an answer about every second, so one without an answer for this long
/// gets none.
const MAX_ANSWER_GAP: Duration = Duration::from_millis(1_500);
/// Hosts learn of the return of the source up to this much later than the first of them.
const MAX_NOTICE_DELAY: Duration = Duration::from_millis(1_000);

/// What a host knows of the source's answers, to itself and to other hosts.
#[derive(Debug, Clone, Copy, Default)]
pub struct SourceOutage {
    /// The first failed call of this host since the source last answered any host.
    failed_at: Option<Monotonic>,
    /// The latest known answer to any host.
    answered_at: Option<Monotonic>,
    /// The latest known answer to another host.
    peer_answered_at: Option<Monotonic>,
    /// Since when answers are known without a gap.
    answering_since: Option<Monotonic>,
    /// The end of the latest outage.
    returned_at: Option<Monotonic>,
}

impl SourceOutage {
    /// Records a failed call of this host.
    pub fn on_failure(&mut self, now: Monotonic) {
        self.failed_at.get_or_insert(now);
    }

    /// Records an answer to this host; returns whether its calls had failed and the source has
    /// answered no other host meanwhile.
    pub fn on_answer(&mut self, now: Monotonic) -> bool {
        let answered_others =
            self.peer_answered_at.is_some_and(|at| now.saturating_sub(at) < MAX_ANSWER_GAP);
        self.note(now);
        let failed = self.failed_at.take().is_some();
        let returned = failed && !answered_others;
        if returned {
            self.returned_at = Some(now);
        }
        returned
    }

    /// Records an answer that another host got at a time; returns whether it ended an outage.
    pub fn on_peer_answer(&mut self, at: Monotonic) -> bool {
        if self.peer_answered_at.is_some_and(|known| at <= known) {
            return false;
        }
        let before = self.peer_answered_at.replace(at);
        self.note(at);
        let failed = self.failed_at.take_if(|failed_at| *failed_at <= at).is_some();
        let returned = failed && before.is_none_or(|before| at - before >= MAX_ANSWER_GAP);
        if returned {
            self.returned_at = Some(at);
        }
        returned
    }

    /// Records another host's report that an outage ended at a time. It is not believed if the
    /// source is known to have answered before that.
    pub fn on_peer_reported_return(&mut self, at: Monotonic) {
        self.on_peer_answer(at);
        if self.answering_since.is_some_and(|since| since + MAX_NOTICE_DELAY < at) {
            return;
        }
        let is_same = |known: Monotonic| known < at + MAX_ANSWER_GAP && at < known + MAX_ANSWER_GAP;
        self.returned_at = Some(match self.returned_at {
            Some(known) if is_same(known) => known.min(at),
            Some(known) => known.max(at),
            None => at,
        });
    }

    /// Records that the source returned, although this host has noticed no failure.
    pub fn on_restored(&mut self, now: Monotonic) {
        self.failed_at = None;
        self.returned_at = Some(now);
    }

    /// Returns when the latest outage ended.
    pub const fn returned_at(&self) -> Option<Monotonic> {
        self.returned_at
    }

    fn note(&mut self, at: Monotonic) {
        let is_new = self.answered_at.is_none_or(|known| known < at);
        if !is_new {
            return;
        }
        let gap = self.answered_at.replace(at).map(|known| at - known);
        if gap.is_none_or(|gap| gap >= MAX_ANSWER_GAP) {
            self.answering_since = Some(at);
        }
    }
}

#[cfg(test)]
mod tests;
