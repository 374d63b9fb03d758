//! Ranks hosts as owners, standbys, witnesses and keepers by rendezvous hashing.
//!
//! The ranking needs no consensus: every host computes the same one from the same configuration,
//! and then skips hosts that are down. Leases decide which host may act; see `docs/MEMBERSHIP.md`.

use smallvec::SmallVec;

use super::config::{Config, Host, Server, stable_hash};
use crate::ids::{DomainId, HostId};

/// The maximum number of witnesses of a seat.
pub const MAX_WITNESSES: usize = 7;

const OWNER_SEED: u64 = 0x6f77_6e65_7200_0001;
const STANDBY_SEED: u64 = 0x7374_616e_6400_0001;
const WITNESS_SEED: u64 = 0x7769_746e_6500_0001;
const KEEPER_SEED: u64 = 0x6b65_6570_6500_0001;

/// A short list of hosts.
pub type HostList = SmallVec<[HostId; 8]>;

/// Returns the seat that owns a server: the highest-ranked host of the server's failure domain, or
/// of all domains if that one has no host.
///
/// A seat keeps the name of its own host even while another host holds it.
pub fn seat_of(config: &Config, server: &Server) -> Option<HostId> {
    let mut hosts: Vec<&Host> = config.fleet.hosts.iter().collect();
    let has_local_host = hosts.iter().any(|host| host.domain == server.domain);
    if has_local_host {
        hosts.retain(|host| host.domain == server.domain);
    }
    hosts.into_iter().max_by_key(|host| weight(OWNER_SEED, &server.id, host)).map(|h| h.id.clone())
}

/// Returns the hosts that may hold a seat: its own host first, then the hosts of the same failure
/// domain, then all others. Each group is ordered by weight.
pub fn candidates(config: &Config, seat: &str) -> HostList {
    let Some(own) = config.host(seat) else {
        return HostList::new();
    };
    let mut hosts: Vec<&Host> = config.fleet.hosts.iter().filter(|h| h.id != own.id).collect();
    hosts.sort_by_key(|host| {
        let is_remote = host.domain != own.domain;
        (is_remote, std::cmp::Reverse(weight(STANDBY_SEED, seat, host)))
    });
    std::iter::once(own).chain(hosts).map(|host| host.id.clone()).collect()
}

/// Returns the witnesses of a seat: an odd number of other hosts, distributed over the failure
/// domains.
pub fn witnesses(config: &Config, seat: &str) -> HostList {
    let mut remaining: Vec<&Host> = config.fleet.hosts.iter().filter(|h| h.id != seat).collect();
    remaining.sort_by_key(|host| std::cmp::Reverse(weight(WITNESS_SEED, seat, host)));
    let mut chosen: Vec<&Host> = Vec::new();
    while chosen.len() < MAX_WITNESSES && !remaining.is_empty() {
        let used = |domain: &DomainId| chosen.iter().filter(|h| h.domain == *domain).count();
        let next = (0..remaining.len()).min_by_key(|n| used(&remaining[*n].domain)).unwrap_or(0);
        chosen.push(remaining.remove(next));
    }
    if chosen.len().is_multiple_of(2) {
        chosen.pop();
    }
    chosen.into_iter().map(|host| host.id.clone()).collect()
}

/// Returns the number of witnesses that must acknowledge a lease.
pub const fn majority(witnesses: usize) -> usize {
    witnesses / 2 + 1
}

/// Returns the seat whose holder is the keeper of a non-idempotent request: it stores the request's
/// record.
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
