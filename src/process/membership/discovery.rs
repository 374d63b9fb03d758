//! Tells whether this host knows which other hosts are up.
//!
//! A host that knows no other host may be the only one, or may not have heard of the others yet:
//! after its start, and after a pause in which it received nothing. Decisions that are safe only if
//! one host takes them must not rest on the absence of others before that. A host knows the fleet
//! some time after it has received the complete view of a host that knows it. If no host does,
//! because all have started at the same time, the time since the start decides. See
//! `docs/PLATFORM.md`, section "Host discovery".

use std::time::Duration;

use crate::clock::Monotonic;

/// The time in which hosts that start together discover each other: four gossip rounds between
/// failure domains.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);
/// The time after the first complete view in which other hosts that start learn of this one, and
/// this one of them: two gossip rounds between failure domains.
const JOIN_TIME: Duration = Duration::from_secs(1);
/// After this long without a tick the process was paused, and its view of the fleet is outdated.
const MAX_TICK_GAP: Duration = Duration::from_secs(1);

/// What a host knows of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum FleetKnowledge {
    /// Nothing was heard from a host that knows the fleet. All hosts may have started together.
    #[default]
    Unknown,
    /// Other hosts know the fleet. Those that have started with this one may be missing.
    Joining,
    /// The hosts that are up are known.
    Known,
}

/// How far a host has come in discovering the fleet.
#[derive(Debug)]
pub struct Discovery {
    began_at: Monotonic,
    last_tick_at: Monotonic,
    /// When the first complete view was received.
    informed_at: Option<Monotonic>,
}

impl Discovery {
    /// Creates the state of a host that starts.
    pub const fn new(now: Monotonic) -> Self {
        Self { began_at: now, last_tick_at: now, informed_at: None }
    }

    /// Begins anew if the process was paused. Must be called regularly.
    pub fn on_tick(&mut self, now: Monotonic) {
        if now.saturating_sub(self.last_tick_at) > MAX_TICK_GAP {
            tracing::info!("the process was paused; the hosts that are up are not known");
            *self = Self::new(now);
        }
        self.last_tick_at = now;
    }

    /// Records a message with all hosts that are up from a host that knows the fleet.
    pub fn on_complete_view(&mut self, now: Monotonic) {
        self.informed_at.get_or_insert(now);
    }

    /// Returns what the host knows of the fleet.
    pub fn knowledge(&self, now: Monotonic) -> FleetKnowledge {
        let since = |at: Monotonic| now.saturating_sub(at);
        let joined = self.informed_at.is_some_and(|at| since(at) >= JOIN_TIME);
        if joined || since(self.began_at) >= DISCOVERY_TIME {
            FleetKnowledge::Known
        } else if self.informed_at.is_some() {
            FleetKnowledge::Joining
        } else {
            FleetKnowledge::Unknown
        }
    }
}

#[cfg(test)]
mod tests;
