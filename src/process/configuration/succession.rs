//! Decides which hosts of a failure domain read the source.
//!
//! One host of each domain reads. If it stops, the others start one after another without waiting
//! for the outcome of each other's calls, so that hosts which can't read delay the others only for a
//! moment. A pure state machine: time is an argument. See `docs/PLATFORM.md`, section "Reading the
//! platform".

use std::net::Ipv4Addr;
use std::time::Duration;

use crate::clock::Monotonic;
use crate::process::membership::members::{DomainIndex, Heartbeat, Phase};

/// The longest time between the starts of two hosts, in which the first can announce that it reads.
const MAX_START_INTERVAL: Duration = Duration::from_millis(60);
/// All hosts of a domain have started after this time. Spread over less of it, many of them would
/// start before one of them has announced that it reads, and pass on the same facts.
const MAX_START_DELAY: Duration = Duration::from_millis(1_000);
/// A host that announces that it reads is not believed if its latest answer is older than this. It
/// is longer than a call that waits for changes, and than a complete read usually takes.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(3_000);

/// Returns whether other hosts may rely on a host to read the source.
pub fn is_reader(host: &Heartbeat) -> bool {
    let is_recent = |age_ms: u32| Duration::from_millis(age_ms.into()) < MAX_ANSWER_AGE;
    // The facts of a host that doesn't announce epochs can't be used.
    host.reads
        && host.epochs.is_some()
        && host.phase != Phase::Leaving
        && host.source_age_ms.is_none_or(is_recent)
}

/// What a host knows of the readers of its failure domain.
#[derive(Debug, Default)]
pub struct Succession {
    /// Since when no other host of the domain reads.
    vacant_since: Option<Monotonic>,
}

impl Succession {
    /// Returns whether the host at `own` in a domain must read, given all hosts that are up;
    /// `reads` tells whether it does so now.
    ///
    /// While it reads, it stops only for a reader with a lower address; otherwise it starts only if
    /// no other host reads, later the more hosts have a lower address.
    pub fn must_read(
        &mut self,
        now: Monotonic,
        (own, domain): (Ipv4Addr, DomainIndex),
        reads: bool,
        up: &[Heartbeat],
    ) -> bool {
        let near = || up.iter().filter(|host| host.domain == domain);
        let mut readers = near().filter(|host| is_reader(host));
        if reads {
            self.vacant_since = None;
            return !readers.any(|reader| reader.ip < own);
        }
        if readers.next().is_some() {
            self.vacant_since = None;
            return false;
        }
        let since = *self.vacant_since.get_or_insert(now);
        let staying = || near().filter(|host| host.phase != Phase::Leaving);
        let count = |hosts: usize| u32::try_from(hosts).unwrap_or(u32::MAX);
        let before = count(staying().filter(|host| host.ip < own).count());
        let interval = MAX_START_INTERVAL.min(MAX_START_DELAY / (count(staying().count()) + 1));
        now.saturating_sub(since) >= interval * before
    }
}

#[cfg(test)]
mod tests;
