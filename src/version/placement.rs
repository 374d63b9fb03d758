//! Ranks hosts for seats, standbys and witnesses by rendezvous hashing.
//!
//! The ranking needs no agreement: every host computes the same one from the same configuration.
//! Liveness only filters it. Who may act is decided by leases; see `docs/MEMBERSHIP.md`.

use smallvec::SmallVec;

use super::config::{Config, Host, Server, stable_hash};
use crate::ids::{DomainId, HostId};

/// The most witnesses that a seat has.
pub const MAX_WITNESSES: usize = 7;

const OWNER_SEED: u64 = 0x6f77_6e65_7200_0001;
const STANDBY_SEED: u64 = 0x7374_616e_6400_0001;
const WITNESS_SEED: u64 = 0x7769_746e_6500_0001;
const KEEPER_SEED: u64 = 0x6b65_6570_6500_0001;

/// A short list of hosts.
pub type HostList = SmallVec<[HostId; 8]>;

/// Returns the seat that owns a server: the best-ranked host of the server's failure domain, or
/// of all domains where that one has no host.
///
/// A seat carries its host's name whoever holds it.
pub fn seat_of(config: &Config, server: &Server) -> Option<HostId> {
    let mut hosts: Vec<&Host> = config.fleet.hosts.iter().collect();
    let near = hosts.iter().any(|host| host.domain == server.domain);
    if near {
        hosts.retain(|host| host.domain == server.domain);
    }
    hosts.into_iter().max_by_key(|host| weight(OWNER_SEED, &server.id, host)).map(|h| h.id.clone())
}

/// Returns the hosts that may hold a seat: its own host first, then those of the same failure
/// domain, then all others, each group by weight.
pub fn candidates(config: &Config, seat: &str) -> HostList {
    let Some(own) = config.host(seat) else {
        return HostList::new();
    };
    let mut hosts: Vec<&Host> = config.fleet.hosts.iter().filter(|h| h.id != own.id).collect();
    hosts.sort_by_key(|host| {
        let far = host.domain != own.domain;
        (far, std::cmp::Reverse(weight(STANDBY_SEED, seat, host)))
    });
    std::iter::once(own).chain(hosts).map(|host| host.id.clone()).collect()
}

/// Returns the witnesses of a seat: an odd number of other hosts, spread over failure domains.
pub fn witnesses(config: &Config, seat: &str) -> HostList {
    let mut left: Vec<&Host> = config.fleet.hosts.iter().filter(|h| h.id != seat).collect();
    left.sort_by_key(|host| std::cmp::Reverse(weight(WITNESS_SEED, seat, host)));
    let mut chosen: Vec<&Host> = Vec::new();
    while chosen.len() < MAX_WITNESSES && !left.is_empty() {
        let used = |domain: &DomainId| chosen.iter().filter(|h| h.domain == *domain).count();
        let next = (0..left.len()).min_by_key(|n| used(&left[*n].domain)).unwrap_or(0);
        chosen.push(left.remove(next));
    }
    if chosen.len().is_multiple_of(2) {
        chosen.pop();
    }
    chosen.into_iter().map(|host| host.id.clone()).collect()
}

/// Returns how many witnesses must acknowledge a lease.
pub const fn majority(witnesses: usize) -> usize {
    witnesses / 2 + 1
}

/// Returns the seat whose holder keeps the record of a non-idempotent request.
pub fn keeper_seat(config: &Config, request: &str) -> Option<HostId> {
    let best = config.fleet.hosts.iter().max_by_key(|host| weight(KEEPER_SEED, request, host));
    best.map(|host| host.id.clone())
}

fn weight(seed: u64, key: &str, host: &Host) -> u64 {
    let key_hash = stable_hash(seed, key.as_bytes());
    stable_hash(key_hash, host.id.as_bytes())
}

#[cfg(test)]
mod tests;
