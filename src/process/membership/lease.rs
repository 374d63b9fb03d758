//! Leases on seats, promised by witnesses and counted by holders.
//!
//! Both sides are pure state machines with time as an argument. `docs/MEMBERSHIP.md` gives the
//! argument for why two hosts never hold a valid lease on one seat at once.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Monotonic;
use crate::derive::data;
use crate::flaw::flawed;
use crate::ids::{HostId, Incarnation};
use crate::version::placement::{HostList, majority};

/// The share of a lease, in thousandths, that a holder gives up for clocks that run at different
/// rates.
const DRIFT_MARGIN_PERMILLE: u32 = 100;
const PERMILLE: u32 = 1_000;

data! {
    /// Asks a witness to promise a seat to the claimant, or to renew the promise.
    pub struct Claim {
        /// The seat.
        pub seat: HostId,
        /// Who wants it.
        pub claimant: HostId,
        /// Which life of the claimant.
        pub incarnation: Incarnation,
        /// The highest epoch that the claimant has seen for the seat.
        pub epoch: u64,
    }

    /// A witness's answer to a claim.
    pub enum ClaimReply {
        /// The witness supports nobody else for one lease.
        Granted {
            /// Grows whenever the seat changes hands.
            epoch: u64,
            /// The seat's own host asked for it back.
            wanted: bool,
        },
        /// The seat is promised to another host, or to another life of this one.
        Held,
        /// The witness started, or learnt of its role, less than one lease ago.
        Abstaining,
        /// The host asked is not a witness of the seat.
        NotWitness,
    }

    /// Tells a witness that a holder has let go of a seat.
    pub struct Release {
        /// The seat.
        pub seat: HostId,
        /// Who held it.
        pub holder: HostId,
        /// Which life of the holder.
        pub incarnation: Incarnation,
    }
}

#[derive(Debug, Clone)]
struct Promise {
    holder: HostId,
    incarnation: Incarnation,
    until: Monotonic,
    epoch: u64,
    wanted_at: Option<Monotonic>,
}

/// The promises that one witness has made.
#[derive(Debug, Clone)]
pub struct Witness {
    lease: Duration,
    abstains_until: Monotonic,
    promises: HashMap<HostId, Promise>,
}

impl Witness {
    /// Starts a witness that abstains for one lease, since an earlier life may have promised.
    pub fn new(now: Monotonic, lease: Duration) -> Self {
        Self { lease, abstains_until: now + lease, promises: HashMap::new() }
    }

    /// Abstains again for one lease, because the set of witnesses has changed.
    pub fn abstain(&mut self, now: Monotonic, lease: Duration) {
        self.lease = self.lease.max(lease);
        self.abstains_until = now + self.lease;
    }

    /// Answers a claim.
    pub fn on_claim(&mut self, now: Monotonic, claim: &Claim) -> ClaimReply {
        if now < self.abstains_until {
            return ClaimReply::Abstaining;
        }
        let until = now + self.lease;
        let Some(promise) = self.promises.get_mut(&claim.seat) else {
            let promise = Promise {
                holder: claim.claimant.clone(),
                incarnation: claim.incarnation,
                until,
                epoch: claim.epoch + 1,
                wanted_at: None,
            };
            let epoch = promise.epoch;
            self.promises.insert(claim.seat.clone(), promise);
            return ClaimReply::Granted { epoch, wanted: false };
        };
        let same = promise.holder == claim.claimant && promise.incarnation == claim.incarnation;
        if !same && now < promise.until && !flawed!(WitnessForgets) {
            if claim.claimant == claim.seat {
                promise.wanted_at = Some(now);
            }
            return ClaimReply::Held;
        }
        if same {
            promise.epoch = promise.epoch.max(claim.epoch);
        } else {
            promise.epoch = promise.epoch.max(claim.epoch) + 1;
            promise.holder = claim.claimant.clone();
            promise.incarnation = claim.incarnation;
            promise.wanted_at = None;
        }
        promise.until = until;
        let wanted = promise.wanted_at.is_some_and(|at| now < at + self.lease);
        ClaimReply::Granted { epoch: promise.epoch, wanted }
    }

    /// Ends the promise of a holder that has let go.
    pub fn on_release(&mut self, now: Monotonic, release: &Release) {
        if let Some(promise) = self.promises.get_mut(&release.seat)
            && promise.holder == release.holder
            && promise.incarnation == release.incarnation
        {
            promise.until = now;
        }
    }
}

/// A claimant's count of the acknowledgements for one seat.
#[derive(Debug, Clone)]
pub struct SeatLease {
    lease: Duration,
    witnesses: HostList,
    previous: Option<(HostList, Monotonic)>,
    acks: HashMap<HostId, Monotonic>,
    epoch: u64,
    wanted: bool,
    held_since: Option<Monotonic>,
}

impl SeatLease {
    /// Starts with no acknowledgement.
    pub fn new(lease: Duration, witnesses: HostList) -> Self {
        Self {
            lease,
            witnesses,
            previous: None,
            acks: HashMap::new(),
            epoch: 0,
            wanted: false,
            held_since: None,
        }
    }

    /// Takes a new set of witnesses; until `settled_at` a majority of the old set is needed too,
    /// since another host may not have heard of the change.
    pub fn set_witnesses(&mut self, witnesses: HostList, settled_at: Monotonic) {
        if witnesses != self.witnesses {
            let old = std::mem::replace(&mut self.witnesses, witnesses);
            self.previous = Some((old, settled_at));
        }
    }

    /// Returns every host whose acknowledgement counts.
    pub fn witnesses(&self) -> impl Iterator<Item = &HostId> {
        let old = self.previous.iter().flat_map(|(list, _)| list);
        self.witnesses.iter().chain(old.filter(|w| !self.witnesses.contains(*w)))
    }

    /// Takes in an acknowledgement; it counts from when the claim was sent.
    pub fn on_granted(&mut self, from: &HostId, sent_at: Monotonic, epoch: u64, wanted: bool) {
        let ack = self.acks.entry(from.clone()).or_insert(sent_at);
        *ack = sent_at.max(*ack);
        self.epoch = self.epoch.max(epoch);
        self.wanted |= wanted;
    }

    /// Forgets every acknowledgement, so that nothing is held from now on.
    pub fn clear(&mut self) {
        self.acks.clear();
        self.wanted = false;
        self.held_since = None;
    }

    /// Returns until when the seat is held, if a majority acknowledged it.
    pub fn until(&self, now: Monotonic) -> Option<Monotonic> {
        let current = self.until_by(&self.witnesses)?;
        match &self.previous {
            Some((list, settled_at)) if now < *settled_at => {
                Some(current.min(self.until_by(list)?))
            }
            _ => Some(current),
        }
    }

    fn until_by(&self, witnesses: &HostList) -> Option<Monotonic> {
        let margin = self.lease * DRIFT_MARGIN_PERMILLE / PERMILLE;
        if witnesses.is_empty() {
            return Some(Monotonic::MAX);
        }
        let mut acks: Vec<Monotonic> =
            witnesses.iter().filter_map(|w| self.acks.get(w).copied()).collect();
        acks.sort_unstable_by(|a, b| b.cmp(a));
        let oldest = acks.get(majority(witnesses.len()) - 1)?;
        Some(*oldest + self.lease - margin)
    }

    /// Tells whether the lease is valid, and notes since when it has been without a gap.
    pub fn refresh(&mut self, now: Monotonic) -> bool {
        let held = self.until(now).is_some_and(|until| now < until);
        self.held_since = if held { self.held_since.or(Some(now)) } else { None };
        held
    }

    /// Returns since when the lease has been held without a gap.
    pub const fn held_since(&self) -> Option<Monotonic> {
        self.held_since
    }

    /// Returns the epoch, which grows whenever the seat changes hands.
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Tells whether the seat's own host asked for it back.
    pub const fn wanted(&self) -> bool {
        self.wanted
    }
}

#[cfg(test)]
mod tests;
