//! Limits how many requests a host may have in flight at a backend server.
//!
//! The sum of the limits of any two hosts stays within the server's cold-start limit, whatever each
//! host believes about the server; see `docs/MEMBERSHIP.md`, section "Concurrency limits".

use crate::derive::key;
use crate::flaw::flawed;
use crate::version::config::ServerLimits;

key! {
    /// The role of a host for a seat.
    pub enum Role {
        /// The host holds the seat's lease.
        Holder,
        /// The seat is the host's own, but its lease expired; another host may hold it.
        OwnerWithoutLease,
        /// The host neither owns the seat nor holds its lease.
        Other,
    }

    /// A host's estimate of whether a server has warmed up.
    pub enum Warmth {
        /// The server is unknown, a new instance, or shows signs of a cold start.
        Cold,
        /// The server is warming up and may have this many requests in flight.
        Ramping(u32),
        /// The server is as fast as usual.
        Warm,
    }
}

/// Returns how many requests a host may have in flight at a server.
pub fn concurrency_limit(role: Role, warmth: Warmth, limits: &ServerLimits) -> u32 {
    // One request is reserved for the seat's own host, which may consider the server warm while
    // another host holds the lease. A limit of 1 leaves nothing to reserve.
    let reserve = u32::from(limits.cold_start_limit >= 2);
    let cold = limits.cold_start_limit - reserve;
    match (role, warmth) {
        (Role::OwnerWithoutLease, _) if flawed!(OwnerIgnoresColdLimit) => limits.slots,
        (Role::Holder, Warmth::Warm) => limits.slots,
        (Role::Holder, Warmth::Ramping(ramp_limit)) => ramp_limit.clamp(cold, limits.slots),
        (Role::Holder, Warmth::Cold) => cold,
        (Role::OwnerWithoutLease, Warmth::Warm) => reserve,
        (Role::OwnerWithoutLease, Warmth::Cold | Warmth::Ramping(_)) | (Role::Other, _) => 0,
    }
}

#[cfg(test)]
mod tests;
