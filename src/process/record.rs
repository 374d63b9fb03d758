//! A keeper's bounded record of non-idempotent requests, which detects repeated requests.
//!
//! See `docs/NON-IDEMPOTENT.md` for the guarantees to callers that resend a request.

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

/// What to do with a received request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordDecision<T> {
    /// Run the request, then call [`Record::end`].
    Run,
    /// Reply with this outcome without running the request.
    Reply(Outcome<T>),
}

/// Keeps the outcome of each request for a fixed time.
#[derive(Debug)]
pub struct Record<T> {
    retention: Duration,
    capacity: usize,
    entries: HashMap<RequestId, Entry<T>>,
    by_age: VecDeque<(Monotonic, RequestId)>,
}

impl<T: Clone> Record<T> {
    /// Creates a record that keeps each request for `retention` and holds at most `capacity` requests.
    pub fn new(retention: Duration, capacity: usize) -> Self {
        Self { retention, capacity, entries: HashMap::new(), by_age: VecDeque::new() }
    }

    /// Decides whether a received request is run.
    ///
    /// `complete_since` is when this host became the keeper. An earlier attempt of a resent request
    /// may have run under another keeper, so a resent request without an entry is not run until the
    /// record covers the whole retention time.
    pub fn begin(
        &mut self,
        now: Monotonic,
        id: &RequestId,
        resend: bool,
        complete_since: Monotonic,
    ) -> RecordDecision<T> {
        self.expire(now);
        let full = self.entries.len() >= self.capacity;
        match self.entries.get_mut(id) {
            Some(entry @ Entry::Ended(Outcome::NotRun(_))) => {
                *entry = Entry::Running;
                RecordDecision::Run
            }
            Some(Entry::Running) => {
                RecordDecision::Reply(Outcome::Unknown(UnknownReason::StillRunning))
            }
            Some(Entry::Ended(outcome)) => RecordDecision::Reply(outcome.clone()),
            None if resend
                && now < complete_since + self.retention
                && !flawed!(RecordAgeUnchecked) =>
            {
                RecordDecision::Reply(Outcome::Unknown(UnknownReason::RecordLost))
            }
            None if full => RecordDecision::Reply(Outcome::NotRun(NotRunReason::Overloaded)),
            None => {
                self.entries.insert(id.clone(), Entry::Running);
                self.by_age.push_back((now, id.clone()));
                RecordDecision::Run
            }
        }
    }

    /// Records the outcome of a request. A request that did not run may be run when it is resent.
    pub fn end(&mut self, id: &RequestId, outcome: &Outcome<T>) {
        if let Some(entry) = self.entries.get_mut(id) {
            *entry = Entry::Ended(outcome.clone());
        }
    }

    /// Returns the number of requests in the record.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the record is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn expire(&mut self, now: Monotonic) {
        while let Some((at, id)) = self.by_age.front()
            && *at + self.retention <= now
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
