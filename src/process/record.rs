//! The bounded record of non-idempotent requests that a keeper holds.
//!
//! `docs/NON-IDEMPOTENT.md` states what is promised to a caller who sends again.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::clock::Monotonic;
use crate::flaw::flawed;
use crate::ids::RequestId;
use crate::outcome::{NotRunReason, Outcome, UnknownReason};

#[derive(Debug, Clone)]
enum Entry<T> {
    Running,
    Ended(Outcome<T>),
}

/// What to do with a request that arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Begin<T> {
    /// Run it, then call [`Record::end`].
    Run,
    /// Answer with this and run nothing.
    Reply(Outcome<T>),
}

/// Remembers the outcome of each request for a fixed time.
#[derive(Debug)]
pub struct Record<T> {
    keep: Duration,
    capacity: usize,
    entries: HashMap<RequestId, Entry<T>>,
    by_age: VecDeque<(Monotonic, RequestId)>,
}

impl<T: Clone> Record<T> {
    /// Keeps each outcome for `keep`, and at most `capacity` of them.
    pub fn new(keep: Duration, capacity: usize) -> Self {
        Self { keep, capacity, entries: HashMap::new(), by_age: VecDeque::new() }
    }

    /// Decides on a request.
    ///
    /// `complete_since` is when this host became the keeper. A request that was sent before may
    /// have run under another keeper, so a repeated one without an entry is not run while the
    /// record is younger than what it must remember.
    pub fn begin(
        &mut self,
        now: Monotonic,
        id: &RequestId,
        resend: bool,
        complete_since: Monotonic,
    ) -> Begin<T> {
        self.expire(now);
        let full = self.entries.len() >= self.capacity;
        match self.entries.get_mut(id) {
            Some(entry @ Entry::Ended(Outcome::NotRun(_))) => {
                *entry = Entry::Running;
                Begin::Run
            }
            Some(Entry::Running) => Begin::Reply(Outcome::Unknown(UnknownReason::StillRunning)),
            Some(Entry::Ended(outcome)) => Begin::Reply(outcome.clone()),
            None if resend && now < complete_since + self.keep && !flawed!(RecordForgets) => {
                Begin::Reply(Outcome::Unknown(UnknownReason::RecordLost))
            }
            None if full => Begin::Reply(Outcome::NotRun(NotRunReason::Overloaded)),
            None => {
                self.entries.insert(id.clone(), Entry::Running);
                self.by_age.push_back((now, id.clone()));
                Begin::Run
            }
        }
    }

    /// Takes in the outcome; a request that did not run may be sent again.
    pub fn end(&mut self, id: &RequestId, outcome: &Outcome<T>) {
        if let Some(entry) = self.entries.get_mut(id) {
            *entry = Entry::Ended(outcome.clone());
        }
    }

    /// Returns how many requests are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn expire(&mut self, now: Monotonic) {
        while let Some((at, id)) = self.by_age.front()
            && *at + self.keep <= now
        {
            if matches!(self.entries.get(id), Some(Entry::Running)) {
                return;
            }
            self.entries.remove(id);
            self.by_age.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
