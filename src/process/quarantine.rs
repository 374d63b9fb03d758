//! Quarantines requests that crash the servers which run them.
//!
//! A request is recognized by its content, since each repetition has its own id and may reach any
//! host. Hosts tell each other which requests were running when a server crashed, and which were
//! answered since. A pure state machine: time is an argument. See `docs/PLATFORM.md`, section
//! "Requests that crash servers".

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::clock::{Monotonic, millis};
use crate::ids::ServerId;

/// The number of suspects that a host remembers; the ones without a crash for the longest time are
/// dropped.
const MAX_SUSPECTS: usize = 1_024;
/// The number of crashes remembered of one request.
const MAX_CRASHES: usize = 8;
/// How long a request is quarantined after its second crash. The time doubles with each further one.
const QUARANTINE: Duration = Duration::from_secs(60);
const MAX_QUARANTINE: Duration = Duration::from_secs(3_600);
/// How long a suspect is remembered that is not quarantined.
const SUSPECT_MEMORY: Duration = Duration::from_secs(60);
/// A request that was answered is not blamed for crashes within this time, nor does an answer that
/// comes later than a crash leave it a suspect. Popular requests are beside many crashes.
const PRESUMED_INNOCENT: Duration = Duration::from_secs(10);
/// The number of answered requests that a host remembers; the newest are kept.
const MAX_ANSWERED: usize = 4_096;
/// A suspect runs alone for at most this long; then its run counts as lost.
const TRIAL_TIME: Duration = Duration::from_secs(2);
/// When a caller should retry whose request waits for another run of it to end.
const TRIAL_RETRY_AFTER: Duration = Duration::from_millis(250);
/// How long a change is sent to the other hosts, so that lost messages do no harm.
const ANNOUNCE_TIME: Duration = Duration::from_secs(1);

/// Identifies a request by its content.
pub type Fingerprint = u64;
/// Identifies what may have caused a crash: one run of a request at a server or, for requests to all
/// shards, at the servers of all shards.
pub type RunId = u64;

/// Why a request must not be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// When it may be sent again, at the earliest.
    pub retry_after: Duration,
}

/// A crash while a request was running, as it is sent to other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The run of the request.
    pub run: RunId,
    /// The time since the crash.
    pub age_ms: u32,
    /// Whether no other request may have caused it, as far as the host knows that reports it.
    pub alone: bool,
}

/// What a host knows of one request, as it is sent to other hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The crashes while it was running.
    pub crashes: SmallVec<[CrashReport; 2]>,
    /// The time since the request was answered, if it was.
    pub answered_ms_ago: Option<u32>,
    /// The time since a run of the suspect began that has not ended yet.
    pub trial_ms_ago: Option<u32>,
}

#[derive(Debug, Clone, Copy)]
struct Crash {
    run: RunId,
    at: Monotonic,
    alone: bool,
}

#[derive(Debug, Clone, Default)]
struct Suspect {
    crashes: SmallVec<[Crash; 2]>,
    answered_at: Option<Monotonic>,
    /// When the run began that is in progress somewhere.
    trial_at: Option<Monotonic>,
    changed_at: Monotonic,
}

impl Suspect {
    /// Returns the end of the quarantine, or `None` if the crashes may have other causes.
    ///
    /// A request that was only ever beside others is one of many suspects, so it takes a third crash.
    fn quarantined_until(&self) -> Option<Monotonic> {
        let alone = self.crashes.iter().any(|crash| crash.alone);
        let enough = if alone { 2 } else { 3 };
        if self.crashes.len() < enough {
            return None;
        }
        let doublings = (self.crashes.len() - enough) as u32;
        let quarantine = (QUARANTINE * 2_u32.saturating_pow(doublings)).min(MAX_QUARANTINE);
        Some(self.last_crash_at()? + quarantine)
    }

    fn last_crash_at(&self) -> Option<Monotonic> {
        self.crashes.iter().map(|crash| crash.at).max()
    }

    fn add(&mut self, crash: Crash) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|known| known.run == crash.run) {
            // Hosts that saw the same crash know of different requests beside it.
            known.alone &= crash.alone;
            return false;
        }
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        true
    }

    fn forget_by(&self) -> Monotonic {
        let last = self.last_crash_at().or(self.answered_at).unwrap_or_default();
        // After a quarantine the request is tried again; the crashes count until that is due.
        self.quarantined_until().map_or(last, |until| until) + SUSPECT_MEMORY
    }
}

/// Tells whether a request that was answered at `answered` is not to blame for a crash.
fn is_innocent(answered: Monotonic, crashed: Monotonic) -> bool {
    crashed < answered + PRESUMED_INNOCENT
}

/// A change of what a host knows about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectChange {
    /// It may have crashed a server, and is only sent again to find out.
    Suspected,
    /// It is not sent for this long.
    Quarantined(Duration),
    /// It was answered.
    Cleared,
}

#[derive(Debug, Clone, Copy)]
struct Running {
    fingerprint: Fingerprint,
    suspect: bool,
}

/// The requests in flight at servers, and those suspected of crashing them.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    running: HashMap<ServerId, SmallVec<[Running; 4]>>,
    /// When requests were answered last, and their order.
    answered: HashMap<Fingerprint, Monotonic>,
    answered_order: VecDeque<(Monotonic, Fingerprint)>,
}

impl Quarantine {
    /// Tells whether a request may be sent.
    ///
    /// A suspect is sent by one host at a time, so that repetitions of it don't crash several servers
    /// before the first run has shown what it does.
    ///
    /// # Errors
    ///
    /// Returns when the request may be sent again.
    pub fn check(&self, now: Monotonic, fingerprint: Fingerprint) -> Result<(), Refusal> {
        let Some(suspect) = self.suspects.get(&fingerprint) else { return Ok(()) };
        if let Some(until) = suspect.quarantined_until().filter(|until| now < *until) {
            return Err(Refusal { retry_after: until - now });
        }
        let in_trial = suspect.trial_at.is_some_and(|began| now.saturating_sub(began) < TRIAL_TIME);
        if in_trial && !suspect.crashes.is_empty() {
            return Err(Refusal { retry_after: TRIAL_RETRY_AFTER });
        }
        Ok(())
    }

    /// Tells whether a request is in quarantine.
    pub fn is_quarantined(&self, now: Monotonic, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.and_then(Suspect::quarantined_until).is_some_and(|until| now < until)
    }

    /// Tells whether a server crashed while the request was running, and it was not answered since.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|suspect| !suspect.crashes.is_empty())
    }

    /// Records the begin of a suspect's run; returns whether the request is a suspect.
    pub fn begin_trial(&mut self, now: Monotonic, fingerprint: Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return false };
        if suspect.crashes.is_empty() {
            return false;
        }
        suspect.trial_at = Some(now);
        suspect.changed_at = now;
        true
    }

    /// Records that the run of a suspect ended without an answer.
    pub fn end_trial(&mut self, fingerprint: Fingerprint) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.trial_at = None;
        }
    }

    /// Records that a request was sent to a server.
    pub fn on_sent(&mut self, server: &ServerId, fingerprint: Fingerprint) {
        let suspect = self.is_suspect(fingerprint);
        self.running.entry(server.clone()).or_default().push(Running { fingerprint, suspect });
    }

    /// Records that a request is no longer running at a server.
    pub fn on_ended(&mut self, server: &ServerId, fingerprint: Fingerprint) {
        let Some(running) = self.running.get_mut(server) else { return };
        if let Some(at) = running.iter().position(|running| running.fingerprint == fingerprint) {
            running.swap_remove(at);
        }
        if running.is_empty() {
            self.running.remove(server);
        }
    }

    /// Records that a server crashed while the request was running. Returns the change if the crash
    /// may be due to the request.
    ///
    /// If suspects were running at the server, the crash is attributed to them alone.
    pub fn on_crash(
        &mut self,
        now: Monotonic,
        server: &ServerId,
        fingerprint: Fingerprint,
        run: RunId,
    ) -> Option<SuspectChange> {
        let beside = self.running.get(server).map_or(&[][..], |running| running.as_slice());
        let others = || beside.iter().filter(|other| other.fingerprint != fingerprint);
        let suspect = beside.iter().any(|own| own.fingerprint == fingerprint && own.suspect);
        if !suspect && others().any(|other| other.suspect) {
            return None;
        }
        let alone =
            if suspect { !others().any(|other| other.suspect) } else { others().next().is_none() };
        self.add(now, fingerprint, Crash { run, at: now, alone })
    }

    /// Records that a server answered the request. Returns the change if the request was a suspect.
    pub fn on_answered(
        &mut self,
        now: Monotonic,
        fingerprint: Fingerprint,
    ) -> Option<SuspectChange> {
        self.remember_answered(now, fingerprint);
        let suspect = self.suspects.get_mut(&fingerprint)?;
        suspect.answered_at = Some(now);
        suspect.trial_at = None;
        if suspect.crashes.is_empty() {
            return None;
        }
        suspect.crashes.clear();
        suspect.changed_at = now;
        Some(SuspectChange::Cleared)
    }

    /// Returns what other hosts must know: what changed lately or, for a host that may have missed
    /// it, all that is in force.
    pub fn reports(&self, now: Monotonic, all: bool) -> Vec<SuspectReport> {
        let age = |at: Monotonic| u32::try_from(millis(now.saturating_sub(at))).unwrap_or(u32::MAX);
        let due = |suspect: &Suspect| all || now.saturating_sub(suspect.changed_at) < ANNOUNCE_TIME;
        let report = |(fingerprint, suspect): (&Fingerprint, &Suspect)| SuspectReport {
            fingerprint: *fingerprint,
            crashes: suspect
                .crashes
                .iter()
                .map(|crash| CrashReport {
                    run: crash.run,
                    age_ms: age(crash.at),
                    alone: crash.alone,
                })
                .collect(),
            answered_ms_ago: suspect.answered_at.map(age),
            trial_ms_ago: suspect.trial_at.map(age),
        };
        self.suspects.iter().filter(|(_, suspect)| due(suspect)).map(report).collect()
    }

    /// Merges the report of another host. Returns the change that it brought.
    pub fn on_report(&mut self, now: Monotonic, report: &SuspectReport) -> Option<SuspectChange> {
        let ago = |ms: u32| now.saturating_sub(Duration::from_millis(u64::from(ms)));
        if report.crashes.is_empty() && !self.suspects.contains_key(&report.fingerprint) {
            return None;
        }
        let mut change = None;
        if let Some(answered) = report.answered_ms_ago.map(ago) {
            let suspect = self.suspects.entry(report.fingerprint).or_default();
            if suspect.answered_at.is_none_or(|known| known < answered) {
                suspect.answered_at = Some(answered);
                let had_crashes = !suspect.crashes.is_empty();
                suspect.crashes.retain(|crash| !is_innocent(answered, crash.at));
                if had_crashes && suspect.crashes.is_empty() {
                    change = Some(SuspectChange::Cleared);
                }
            }
        }
        for crash in &report.crashes {
            let crash = Crash { run: crash.run, at: ago(crash.age_ms), alone: crash.alone };
            change = self.add(now, report.fingerprint, crash).or(change);
        }
        let suspect = self.suspects.get_mut(&report.fingerprint)?;
        if let Some(began) = report.trial_ms_ago.map(ago) {
            suspect.trial_at = suspect.trial_at.max(Some(began));
        }
        change
    }

    /// Returns the number of requests in quarantine.
    pub fn quarantined(&self, now: Monotonic) -> usize {
        let in_force = |suspect: &&Suspect| suspect.quarantined_until().is_some_and(|at| now < at);
        self.suspects.values().filter(in_force).count()
    }

    fn remember_answered(&mut self, now: Monotonic, fingerprint: Fingerprint) {
        self.answered.insert(fingerprint, now);
        self.answered_order.push_back((now, fingerprint));
        let is_outdated = |(at, _): &(Monotonic, Fingerprint)| *at + PRESUMED_INNOCENT < now;
        while self.answered_order.len() > MAX_ANSWERED
            || self.answered_order.front().is_some_and(is_outdated)
        {
            let Some((at, oldest)) = self.answered_order.pop_front() else { break };
            if self.answered.get(&oldest) == Some(&at) {
                self.answered.remove(&oldest);
            }
        }
    }

    /// Evicts what is no longer of use.
    pub fn evict(&mut self, now: Monotonic) {
        self.suspects.retain(|_, suspect| now < suspect.forget_by());
    }

    fn add(
        &mut self,
        now: Monotonic,
        fingerprint: Fingerprint,
        crash: Crash,
    ) -> Option<SuspectChange> {
        if !self.suspects.contains_key(&fingerprint) && self.suspects.len() >= MAX_SUSPECTS {
            let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.forget_by());
            let oldest = oldest.map(|(fingerprint, _)| *fingerprint)?;
            self.suspects.remove(&oldest);
        }
        let answered = self.answered.get(&fingerprint).copied();
        let suspect = self.suspects.entry(fingerprint).or_default();
        suspect.answered_at = suspect.answered_at.max(answered);
        if suspect.answered_at.is_some_and(|answered| is_innocent(answered, crash.at)) {
            // The hosts that blame the request for the crash learn of the answer.
            suspect.changed_at = now;
            return None;
        }
        if !suspect.add(crash) {
            return None;
        }
        suspect.trial_at = None;
        suspect.changed_at = now;
        let left = suspect.quarantined_until().map(|until| until.saturating_sub(now));
        Some(match left {
            Some(left) if !left.is_zero() => SuspectChange::Quarantined(left),
            Some(_) | None => SuspectChange::Suspected,
        })
    }
}

#[cfg(test)]
mod tests;
