//! How much a host may have in flight at a backend server.
//!
//! The numbers keep the sum over every pair of hosts, whatever each believes, within the server's
//! cold-start limit; see `docs/MEMBERSHIP.md`, section "Permissions".

use crate::derive::key;
use crate::flaw::flawed;
use crate::version::config::ServerLimits;

key! {
    /// What a host is to a seat.
    pub enum Role {
        /// It holds the seat's lease.
        Holder,
        /// The seat is its own, but the lease ran out; another host may hold it.
        OwnerWithoutLease,
        /// Neither.
        Other,
    }

    /// What a host believes of a server.
    pub enum Warmth {
        /// First contact, a new life, or signs of a cold start.
        Cold,
        /// Warming up; the number is what it is trusted with.
        Ramping(u32),
        /// As fast as usual.
        Warm,
    }
}

/// Returns how many requests may be in flight.
pub fn allowance(role: Role, warmth: Warmth, limits: &ServerLimits) -> u32 {
    let reserve = u32::from(limits.cold_start_limit >= 2);
    let cold = limits.cold_start_limit - reserve;
    match (role, warmth) {
        (Role::OwnerWithoutLease, _) if flawed!(OwnerIgnoresCold) => limits.slots,
        (Role::Holder, Warmth::Warm) => limits.slots,
        (Role::Holder, Warmth::Ramping(trusted)) => trusted.clamp(cold, limits.slots),
        (Role::Holder, Warmth::Cold) => cold,
        (Role::OwnerWithoutLease, Warmth::Warm) => reserve,
        (Role::OwnerWithoutLease, Warmth::Cold | Warmth::Ramping(_)) | (Role::Other, _) => 0,
    }
}

#[cfg(test)]
mod tests;
