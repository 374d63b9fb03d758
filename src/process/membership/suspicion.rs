//! Remembers which hosts have not answered lately, so that work goes elsewhere at once.
//!
//! A suspicion is local and cheap to be wrong about: it moves work, it never moves a seat.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use crate::clock::Monotonic;
use crate::ids::HostId;

/// After this a suspected host is tried again.
const TRY_AGAIN_AFTER: Duration = Duration::from_millis(1_500);

#[derive(Debug, Clone, Copy, Default)]
struct Peer {
    heard_at: Monotonic,
    suspected_at: Option<Monotonic>,
}

/// What one host thinks of the others.
///
/// Hosts are named as the caller names them: by their configured name, or by their address.
#[derive(Debug, Clone)]
pub struct Suspicion<K = HostId> {
    peers: HashMap<K, Peer>,
}

impl<K> Default for Suspicion<K> {
    fn default() -> Self {
        Self { peers: HashMap::new() }
    }
}

impl<K: Eq + Hash + Clone> Suspicion<K> {
    /// Takes in a sign of life.
    pub fn on_heard(&mut self, now: Monotonic, host: &K) {
        let peer = self.peers.entry(host.clone()).or_default();
        peer.heard_at = now;
        peer.suspected_at = None;
    }

    /// Takes in that a call sent at `sent_at` has had no answer when it should; returns whether
    /// the host is newly suspected.
    pub fn on_late(&mut self, now: Monotonic, host: &K, sent_at: Monotonic) -> bool {
        let peer = self.peers.entry(host.clone()).or_default();
        if peer.heard_at > sent_at {
            return false;
        }
        let fresh = peer.suspected_at.is_none();
        peer.suspected_at = Some(now);
        fresh
    }

    /// Tells whether work should go elsewhere.
    pub fn is_suspect(&self, now: Monotonic, host: &K) -> bool {
        let since = self.peers.get(host).and_then(|peer| peer.suspected_at);
        since.is_some_and(|since| now < since + TRY_AGAIN_AFTER)
    }
}

#[cfg(test)]
mod tests;
