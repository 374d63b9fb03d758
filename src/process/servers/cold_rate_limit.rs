//! Limits the request rate of all hosts together to cold servers.
//!
//! Rendezvous hashing over the hosts that are up selects the only host that sends to a cold server.
//! While another host takes over, or in a partition, two hosts may take themselves for the selected
//! one, so a host uses at most two thirds of the published limit: two senders exceed it by a third,
//! and servers tolerate an excess of one half. A host that does not know the fleet yet can't tell
//! whether it is the only one; meanwhile one of the seeds sends, since all hosts know these. See
//! `docs/PLATFORM.md`, section "Cold servers".

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use crate::clock::Monotonic;
use crate::ids::ServerId;
use crate::process::membership::discovery::FleetKnowledge;
use crate::process::membership::members::{DomainIndex, FleetView};
use crate::version::config::stable_hash;

/// The share of the server's limit that one host uses.
const SHARE_OF_LIMIT: f64 = 0.66;
/// The seed of the rendezvous hash; all hosts must use the same one.
const RANKING_SEED: u64 = 0x7175_6574_7a61_6c02;
/// The bucket of a server that got no request for this long is dropped.
const UNUSED_MEMORY: Duration = Duration::from_secs(60);

/// Tells whether a host is the one selected to send to a cold server.
fn is_sender(own: Ipv4Addr, others: impl Iterator<Item = Ipv4Addr>, server: &str) -> bool {
    let rank = |host: Ipv4Addr| {
        let mut key = host.octets().to_vec();
        key.extend_from_slice(server.as_bytes());
        (stable_hash(RANKING_SEED, &key), host)
    };
    let own_rank = rank(own);
    others.filter(|other| *other != own).all(|other| rank(other) < own_rank)
}

/// A host as the selection of senders sees it.
#[derive(Debug, Clone, Copy)]
pub struct Sender {
    /// The address of the host.
    pub ip: Ipv4Addr,
    /// The failure domain of the host.
    pub domain: DomainIndex,
}

impl Sender {
    /// Returns the share of a cold server's limit that this host may use; `domain` is the failure
    /// domain of the server. It is zero unless this host is the one that sends to the server: a host
    /// of the same failure domain if one is up, otherwise any host of the fleet.
    pub fn share(self, fleet: &FleetView, domain: DomainIndex, server: &str) -> f64 {
        let near = || fleet.up.iter().filter(|h| h.domain == domain).map(|h| h.ip);
        let sends = match fleet.knowledge {
            // Hosts that have just started have nothing in common but their seeds.
            FleetKnowledge::Unknown => {
                fleet.seeds.contains(&self.ip)
                    && is_sender(self.ip, fleet.seeds.iter().copied(), server)
            }
            FleetKnowledge::Joining => false,
            FleetKnowledge::Known if self.domain == domain => is_sender(self.ip, near(), server),
            FleetKnowledge::Known => {
                near().next().is_none() && is_sender(self.ip, fleet.up.iter().map(|h| h.ip), server)
            }
        };
        if !sends {
            return 0.0;
        }
        // Hosts that are not up may be on other sides of a partition, each of which selects a sender.
        // The shares of all sides together are at most those of two halves.
        let side = (fleet.up.len() + 1) as f64 / fleet.known_hosts.max(1) as f64;
        SHARE_OF_LIMIT * (2.0 * side).min(1.0)
    }
}

#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Monotonic,
}

/// The token buckets with which one host limits its requests to cold servers.
#[derive(Debug, Default)]
pub struct ColdRateLimiter {
    buckets: HashMap<ServerId, TokenBucket>,
}

impl ColdRateLimiter {
    /// Tells whether a request may be sent now to a cold server with a limit of `per_s` requests a
    /// second, of which this host uses a share. The first call for a server starts its bucket empty,
    /// since another host may have sent until now.
    pub fn has_token(&mut self, now: Monotonic, server: &ServerId, per_s: f64, share: f64) -> bool {
        self.refill(now, server, per_s, share).tokens >= 1.0
    }

    /// Takes one token for a request; returns whether there was one.
    pub fn try_take(&mut self, now: Monotonic, server: &ServerId, per_s: f64, share: f64) -> bool {
        let bucket = self.refill(now, server, per_s, share);
        let granted = bucket.tokens >= 1.0;
        if granted {
            bucket.tokens -= 1.0;
        }
        granted
    }

    fn refill(
        &mut self,
        now: Monotonic,
        server: &ServerId,
        per_s: f64,
        share: f64,
    ) -> &mut TokenBucket {
        let empty = TokenBucket { tokens: 0.0, refilled_at: now };
        let bucket = self.buckets.entry(server.clone()).or_insert(empty);
        let elapsed = now.saturating_sub(bucket.refilled_at).as_secs_f64();
        let capacity = if share > 0.0 { 1.0 + share / SHARE_OF_LIMIT } else { 0.0 };
        bucket.tokens = (elapsed * per_s).mul_add(share, bucket.tokens).min(capacity);
        bucket.refilled_at = now;
        bucket
    }

    /// Drops the buckets of servers that are not used any more.
    pub fn evict(&mut self, now: Monotonic) {
        self.buckets.retain(|_, bucket| now.saturating_sub(bucket.refilled_at) < UNUSED_MEMORY);
    }
}

#[cfg(test)]
mod tests;
