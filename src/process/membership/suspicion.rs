//! Tracks hosts that have not responded recently, so that work is routed to other hosts at once.
//!
//! A suspicion is local, and a false one is cheap: it redirects work but never moves a seat.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use crate::clock::Monotonic;
use crate::ids::HostId;

/// How long a suspected host is avoided before it is tried again.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_500);

#[derive(Debug, Clone, Copy, Default)]
struct PeerState {
    last_seen_at: Monotonic,
    suspected_at: Option<Monotonic>,
}

/// The suspicions that one host has of its peers.
///
/// The key identifies a host: its configured name or its address.
#[derive(Debug, Clone)]
pub struct Suspicion<K = HostId> {
    peers: HashMap<K, PeerState>,
}

impl<K> Default for Suspicion<K> {
    fn default() -> Self {
        Self { peers: HashMap::new() }
    }
}

impl<K: Eq + Hash + Clone> Suspicion<K> {
    /// Records a message from a host, which ends a suspicion.
    pub fn on_message(&mut self, now: Monotonic, host: &K) {
        let peer = self.peers.entry(host.clone()).or_default();
        peer.last_seen_at = now;
        peer.suspected_at = None;
    }

    /// Records that a call sent at `sent_at` is overdue; returns whether the host is newly
    /// suspected. A host that has sent a message since then is not suspected.
    pub fn on_overdue(&mut self, now: Monotonic, host: &K, sent_at: Monotonic) -> bool {
        let peer = self.peers.entry(host.clone()).or_default();
        if peer.last_seen_at > sent_at {
            return false;
        }
        let newly_suspected = peer.suspected_at.is_none();
        peer.suspected_at = Some(now);
        newly_suspected
    }

    /// Returns whether work should avoid the host.
    pub fn is_suspect(&self, now: Monotonic, host: &K) -> bool {
        let since = self.peers.get(host).and_then(|peer| peer.suspected_at);
        since.is_some_and(|since| now < since + SUSPICION_TIMEOUT)
    }
}

#[cfg(test)]
mod tests;
