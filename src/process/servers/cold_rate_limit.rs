//! Limits the request rate of all hosts together to cold servers.
//!
//! Rendezvous hashing over the hosts that are up selects the only host that sends to a cold server.
//! In a partition each side may select one, so a host uses at most two thirds of the published
//! limit: two senders exceed it by a third, and servers tolerate an excess of one half. See
//! `docs/PLATFORM.md`, section "Cold servers".

use std::collections::HashMap;
use std::net::Ipv4Addr;

use crate::clock::Monotonic;
use crate::ids::ServerId;
use crate::version::config::stable_hash;

/// The share of the server's limit that one host uses.
const SHARE_OF_LIMIT: f64 = 0.66;
/// The capacity of the token bucket, in requests.
const BURST_TOKENS: f64 = 2.0;
/// The seed of the rendezvous hash; all hosts must use the same one.
const RANKING_SEED: u64 = 0x7175_6574_7a61_6c02;

/// Tells whether a host is the one selected to send to a cold server.
pub fn is_sender(own: Ipv4Addr, others: impl Iterator<Item = Ipv4Addr>, server: &str) -> bool {
    let rank = |host: Ipv4Addr| {
        let mut key = host.octets().to_vec();
        key.extend_from_slice(server.as_bytes());
        (stable_hash(RANKING_SEED, &key), host)
    };
    let own_rank = rank(own);
    others.filter(|other| *other != own).all(|other| rank(other) < own_rank)
}

/// The token buckets with which one host limits its requests to cold servers.
#[derive(Debug, Default)]
pub struct ColdRateLimiter {
    buckets: HashMap<ServerId, (f64, Monotonic)>,
}

impl ColdRateLimiter {
    /// Tells whether a request may be sent now to a cold server with a limit of `per_s` requests a
    /// second.
    pub fn has_token(&self, now: Monotonic, server: &str, per_s: f64) -> bool {
        self.tokens(now, server, per_s) >= 1.0
    }

    /// Takes one token for a request; returns whether there was one.
    pub fn try_take(&mut self, now: Monotonic, server: &ServerId, per_s: f64) -> bool {
        let tokens = self.tokens(now, server, per_s);
        let granted = tokens >= 1.0;
        let left = if granted { tokens - 1.0 } else { tokens };
        self.buckets.insert(server.clone(), (left, now));
        granted
    }

    fn tokens(&self, now: Monotonic, server: &str, per_s: f64) -> f64 {
        let Some((left, at)) = self.buckets.get(server) else {
            return 1.0;
        };
        let refilled = now.saturating_sub(*at).as_secs_f64() * per_s * SHARE_OF_LIMIT;
        (left + refilled).min(BURST_TOKENS)
    }
}

#[cfg(test)]
mod tests;
