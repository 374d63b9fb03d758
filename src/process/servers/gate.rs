//! The admission check of every attempt, and the keeper's permission to start a request.
//!
//! Both are pure functions of the latest operational state and leases at the moment of sending.

use super::concurrency_limit::{Role, Warmth, concurrency_limit};
use crate::clock::Monotonic;
use crate::flaw::flawed;
use crate::ids::HostId;
use crate::outcome::NotRunReason;
use crate::process::membership::seats::LeaseView;
use crate::version::operational::{OperationalState, ServerEntry};
use crate::version::placement;

/// The state of a host on which an admission decision is based.
#[derive(Debug, Clone, Copy)]
pub struct Gate<'a> {
    /// The current time.
    pub now: Monotonic,
    /// The identifier of this host.
    pub me: &'a HostId,
    /// The latest operational state.
    pub operational: &'a OperationalState,
    /// The latest leases.
    pub leases: &'a LeaseView,
    /// Whether only a server's owner may send to it; if not, any host may, as a baseline for
    /// comparison.
    pub owners: bool,
}

/// The permission to send to a server.
#[derive(Debug, Clone)]
pub struct Permit {
    /// The server.
    pub entry: ServerEntry,
    /// The most requests that may be in flight.
    pub concurrency_limit: u32,
    /// No request may be written from this time on.
    pub valid_until: Monotonic,
    /// Whether the server is believed to be warm.
    pub warm: bool,
}

/// The permission of a keeper to start non-idempotent requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeeperPermit {
    /// The time since which the keeper's record is complete.
    pub since: Monotonic,
    /// No request may be started from this time on.
    pub until: Monotonic,
}

impl Gate<'_> {
    /// Returns the permission to send to a server with the given estimated warmth. Nothing may be
    /// sent before `draining_until`.
    ///
    /// # Errors
    ///
    /// Returns the reason if nothing may be sent.
    pub fn permit(
        &self,
        server: &str,
        warmth: Warmth,
        draining_until: Monotonic,
    ) -> Result<Permit, NotRunReason> {
        let entry = match self.operational.gate(server) {
            Err(NotRunReason::DomainOut) if flawed!(GateIgnoresDomainOut) => {
                self.operational.server(server).ok_or(NotRunReason::ServerLeaving)?
            }
            gate => gate?,
        };
        if self.now < draining_until {
            return Err(NotRunReason::Draining);
        }
        let role = self.role(&entry.seat);
        let valid_until = match role {
            Role::Holder => self.lease_end(&entry.seat),
            Role::OwnerWithoutLease => Monotonic::MAX,
            Role::Other => return Err(NotRunReason::NotOwner),
        };
        let concurrency_limit = concurrency_limit(role, warmth, &entry.limits);
        Ok(Permit {
            entry: entry.clone(),
            concurrency_limit,
            valid_until,
            warm: warmth == Warmth::Warm,
        })
    }

    /// Returns this host's permission to start a non-idempotent request; `placed_at` is when the
    /// placement of seats last changed.
    ///
    /// # Errors
    ///
    /// Returns the reason if the host has no such permission.
    pub fn keeper_permit(
        &self,
        request: &str,
        placed_at: Monotonic,
    ) -> Result<KeeperPermit, NotRunReason> {
        if !self.owners {
            return Ok(KeeperPermit { since: Monotonic::ZERO, until: Monotonic::MAX });
        }
        let config = &self.operational.config;
        let seat = placement::keeper_seat(config, request).ok_or(NotRunReason::NotReady)?;
        let held = self.leases.held.get(&seat).ok_or(NotRunReason::NotOwner)?;
        if self.now >= held.until {
            return Err(NotRunReason::NotOwner);
        }
        Ok(KeeperPermit { since: held.since.max(placed_at), until: held.until })
    }

    fn role(&self, seat: &HostId) -> Role {
        if self.owners { self.leases.role(self.now, self.me, seat) } else { Role::Holder }
    }

    fn lease_end(&self, seat: &HostId) -> Monotonic {
        if !self.owners {
            return Monotonic::MAX;
        }
        self.leases.held.get(seat).map_or(self.now, |held| held.until)
    }
}
