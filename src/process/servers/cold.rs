//! Keeps the load on cold servers within the published limit, summed over all hosts.
//!
//! One host sends to a cold server: the first by rendezvous among those that are up. Sides of a
//! partition may each have one, so each sends two thirds of the limit at most; two of them stay
//! within the half more that servers bear. See `docs/PLATFORM.md`, section "Cold servers".

use std::collections::HashMap;
use std::net::Ipv4Addr;

use crate::clock::Monotonic;
use crate::ids::ServerId;
use crate::version::config::stable_hash;

/// The part of the limit that one host uses.
const SHARE_OF_LIMIT: f64 = 0.66;
/// The requests that may be sent at once after a pause.
const BURST: f64 = 2.0;
/// The seed of the ranking; all hosts must use the same one.
const RANKING_SEED: u64 = 0x7175_6574_7a61_6c02;

/// Tells whether a host is the one that sends to a cold server.
pub fn is_sender(me: Ipv4Addr, others: impl Iterator<Item = Ipv4Addr>, server: &str) -> bool {
    let rank = |host: Ipv4Addr| {
        let mut key = host.octets().to_vec();
        key.extend_from_slice(server.as_bytes());
        (stable_hash(RANKING_SEED, &key), host)
    };
    let mine = rank(me);
    others.filter(|other| *other != me).all(|other| rank(other) < mine)
}

/// What one host has sent to cold servers.
#[derive(Debug, Default)]
pub struct ColdLoad {
    allowances: HashMap<ServerId, (f64, Monotonic)>,
}

impl ColdLoad {
    /// Tells whether a request may be sent to a cold server that bears `per_s` a second.
    pub fn has_room(&self, now: Monotonic, server: &str, per_s: f64) -> bool {
        self.allowance(now, server, per_s) >= 1.0
    }

    /// Takes one request out of the allowance, if there is one.
    pub fn try_send(&mut self, now: Monotonic, server: &ServerId, per_s: f64) -> bool {
        let allowance = self.allowance(now, server, per_s);
        let granted = allowance >= 1.0;
        let left = if granted { allowance - 1.0 } else { allowance };
        self.allowances.insert(server.clone(), (left, now));
        granted
    }

    fn allowance(&self, now: Monotonic, server: &str, per_s: f64) -> f64 {
        let Some((left, at)) = self.allowances.get(server) else {
            return 1.0;
        };
        let grown = now.saturating_sub(*at).as_secs_f64() * per_s * SHARE_OF_LIMIT;
        (left + grown).min(BURST)
    }
}

#[cfg(test)]
mod tests;
