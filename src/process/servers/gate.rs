//! The gate that every attempt passes, and the keeper's right to start a request.
//!
//! Both are pure: they see the newest operational state and leases at the moment of sending.

use super::permission::{Role, Warmth, allowance};
use crate::clock::Monotonic;
use crate::flaw::flawed;
use crate::ids::HostId;
use crate::outcome::NotRunReason;
use crate::process::membership::seats::LeaseView;
use crate::version::operational::{Operational, ServerEntry};
use crate::version::placement;

/// What a host knows at the moment of a decision.
#[derive(Debug, Clone, Copy)]
pub struct Standing<'a> {
    /// The time.
    pub now: Monotonic,
    /// The host.
    pub me: &'a HostId,
    /// The newest operational state.
    pub operational: &'a Operational,
    /// The newest leases.
    pub leases: &'a LeaseView,
    /// Servers have owners; otherwise any host may send, as a baseline.
    pub owners: bool,
}

/// What the gate grants at a server.
#[derive(Debug, Clone)]
pub struct Permit {
    /// The server.
    pub entry: ServerEntry,
    /// How many requests may be in flight.
    pub allowance: u32,
    /// Nothing may be written from then on.
    pub valid_until: Monotonic,
    /// The server is believed warm.
    pub warm: bool,
}

/// A keeper's right to start requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tenure {
    /// The record has been complete since then.
    pub since: Monotonic,
    /// Nothing may be started from then on.
    pub until: Monotonic,
}

impl Standing<'_> {
    /// Returns what may be sent to a server that is believed to be of a warmth and that said, if
    /// it did, that it drains until a time.
    ///
    /// # Errors
    ///
    /// Returns why nothing may be sent.
    pub fn permit(
        &self,
        server: &str,
        warmth: Warmth,
        draining_until: Monotonic,
    ) -> Result<Permit, NotRunReason> {
        let entry = match self.operational.gate(server) {
            Err(NotRunReason::DomainOut) if flawed!(GateIgnoresOut) => {
                self.operational.server(server).ok_or(NotRunReason::ServerLeaving)?
            }
            gate => gate?,
        };
        if self.now < draining_until {
            return Err(NotRunReason::Draining);
        }
        let role = self.role(&entry.seat);
        let valid_until = match role {
            Role::Holder => self.held_until(&entry.seat),
            Role::OwnerWithoutLease => Monotonic::MAX,
            Role::Other => return Err(NotRunReason::NotOwner),
        };
        let allowance = allowance(role, warmth, &entry.limits);
        Ok(Permit { entry: entry.clone(), allowance, valid_until, warm: warmth == Warmth::Warm })
    }

    /// Returns this host's right to start a non-idempotent request; `placed_at` is when the
    /// placement of seats last changed.
    ///
    /// # Errors
    ///
    /// Returns why it has none.
    pub fn tenure(&self, request: &str, placed_at: Monotonic) -> Result<Tenure, NotRunReason> {
        if !self.owners {
            return Ok(Tenure { since: Monotonic::ZERO, until: Monotonic::MAX });
        }
        let config = &self.operational.config;
        let seat = placement::keeper_seat(config, request).ok_or(NotRunReason::NotReady)?;
        let held = self.leases.held.get(&seat).ok_or(NotRunReason::NotOwner)?;
        if self.now >= held.until {
            return Err(NotRunReason::NotOwner);
        }
        Ok(Tenure { since: held.since.max(placed_at), until: held.until })
    }

    fn role(&self, seat: &HostId) -> Role {
        if self.owners { self.leases.role(self.now, self.me, seat) } else { Role::Holder }
    }

    fn held_until(&self, seat: &HostId) -> Monotonic {
        if !self.owners {
            return Monotonic::MAX;
        }
        self.leases.held.get(seat).map_or(self.now, |held| held.until)
    }
}
