//! Quorum leases on seats: witnesses grant them, claimants count the grants.
//!
//! Both sides are pure state machines with time as an argument. `docs/MEMBERSHIP.md` argues why two
//! hosts never hold a valid lease on one seat at the same time.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Monotonic;
use crate::derive::data;
use crate::flaw::flawed;
use crate::ids::{HostId, Incarnation};
use crate::version::placement::{HostList, majority};

/// The fraction of a lease, in thousandths, by which a holder stops early, because clocks run at
/// different rates.
const CLOCK_DRIFT_MARGIN_PERMILLE: u32 = 100;
const PERMILLE: u32 = 1_000;

data! {
    /// Asks a witness to grant or renew the claimant's lease on a seat.
    pub struct Claim {
        /// The seat.
        pub seat: HostId,
        /// The host that claims it.
        pub claimant: HostId,
        /// Incarnation of the claimant.
        pub incarnation: Incarnation,
        /// Highest epoch that the claimant has seen for the seat.
        pub epoch: u64,
    }

    /// A witness's answer to a claim.
    pub enum ClaimReply {
        /// The witness grants the seat to no other claimant for one lease.
        Granted {
            /// Increases whenever the seat gets another holder.
            epoch: u64,
            /// The seat's owner has asked for it back.
            wanted: bool,
        },
        /// The seat is promised to another host, or to another incarnation of the claimant.
        Held,
        /// The witness started, or became a witness, less than one lease ago.
        Abstaining,
        /// The receiver is not a witness of the seat.
        NotWitness,
    }

    /// Tells a witness that a holder has released a seat.
    pub struct Release {
        /// The seat.
        pub seat: HostId,
        /// The host that held it.
        pub holder: HostId,
        /// Incarnation of the holder.
        pub incarnation: Incarnation,
    }
}

#[derive(Debug, Clone)]
struct Promise {
    holder: HostId,
    incarnation: Incarnation,
    expires_at: Monotonic,
    epoch: u64,
    hand_back_requested_at: Option<Monotonic>,
}

/// The promises that one witness has made to holders of seats.
#[derive(Debug, Clone)]
pub struct Witness {
    lease: Duration,
    abstains_until: Monotonic,
    promises: HashMap<HostId, Promise>,
}

impl Witness {
    /// Creates a witness that abstains for one lease, because an earlier incarnation may have made
    /// promises that are still valid.
    pub fn new(now: Monotonic, lease: Duration) -> Self {
        Self { lease, abstains_until: now + lease, promises: HashMap::new() }
    }

    /// Abstains again for one lease, because the set of witnesses has changed.
    pub fn abstain(&mut self, now: Monotonic, lease: Duration) {
        self.lease = self.lease.max(lease);
        self.abstains_until = now + self.lease;
    }

    /// Returns the reply to a claim.
    pub fn on_claim(&mut self, now: Monotonic, claim: &Claim) -> ClaimReply {
        if now < self.abstains_until {
            return ClaimReply::Abstaining;
        }
        let expires_at = now + self.lease;
        let Some(promise) = self.promises.get_mut(&claim.seat) else {
            let promise = Promise {
                holder: claim.claimant.clone(),
                incarnation: claim.incarnation,
                expires_at,
                epoch: claim.epoch + 1,
                hand_back_requested_at: None,
            };
            let epoch = promise.epoch;
            self.promises.insert(claim.seat.clone(), promise);
            return ClaimReply::Granted { epoch, wanted: false };
        };
        let same_holder =
            promise.holder == claim.claimant && promise.incarnation == claim.incarnation;
        if !same_holder && now < promise.expires_at && !flawed!(WitnessIgnoresPromise) {
            if claim.claimant == claim.seat {
                promise.hand_back_requested_at = Some(now);
            }
            return ClaimReply::Held;
        }
        if same_holder {
            promise.epoch = promise.epoch.max(claim.epoch);
        } else {
            promise.epoch = promise.epoch.max(claim.epoch) + 1;
            promise.holder = claim.claimant.clone();
            promise.incarnation = claim.incarnation;
            promise.hand_back_requested_at = None;
        }
        promise.expires_at = expires_at;
        let wanted = promise.hand_back_requested_at.is_some_and(|at| now < at + self.lease);
        ClaimReply::Granted { epoch: promise.epoch, wanted }
    }

    /// Ends the promise to a holder that has released the seat.
    pub fn on_release(&mut self, now: Monotonic, release: &Release) {
        if let Some(promise) = self.promises.get_mut(&release.seat)
            && promise.holder == release.holder
            && promise.incarnation == release.incarnation
        {
            promise.expires_at = now;
        }
    }
}

/// A claimant's lease on one seat, with the witnesses' acknowledgements.
#[derive(Debug, Clone)]
pub struct SeatLease {
    lease: Duration,
    witnesses: HostList,
    previous_witnesses: Option<(HostList, Monotonic)>,
    acks: HashMap<HostId, Monotonic>,
    epoch: u64,
    hand_back_requested: bool,
    held_since: Option<Monotonic>,
}

impl SeatLease {
    /// Creates a lease without any acknowledgement.
    pub fn new(lease: Duration, witnesses: HostList) -> Self {
        Self {
            lease,
            witnesses,
            previous_witnesses: None,
            acks: HashMap::new(),
            epoch: 0,
            hand_back_requested: false,
            held_since: None,
        }
    }

    /// Replaces the witnesses. Until `transition_until` the lease needs a majority of the old set
    /// too, because other hosts may not know of the change yet.
    pub fn set_witnesses(&mut self, witnesses: HostList, transition_until: Monotonic) {
        if witnesses != self.witnesses {
            let old = std::mem::replace(&mut self.witnesses, witnesses);
            self.previous_witnesses = Some((old, transition_until));
        }
    }

    /// Returns the current and previous witnesses, without duplicates.
    pub fn witnesses(&self) -> impl Iterator<Item = &HostId> {
        let old = self.previous_witnesses.iter().flat_map(|(list, _)| list);
        self.witnesses.iter().chain(old.filter(|w| !self.witnesses.contains(*w)))
    }

    /// Records an acknowledgement, which counts from the time the claim was sent.
    pub fn on_granted(&mut self, from: &HostId, sent_at: Monotonic, epoch: u64, wanted: bool) {
        let ack = self.acks.entry(from.clone()).or_insert(sent_at);
        *ack = sent_at.max(*ack);
        self.epoch = self.epoch.max(epoch);
        self.hand_back_requested |= wanted;
    }

    /// Discards all acknowledgements, which ends the lease at once.
    pub fn clear(&mut self) {
        self.acks.clear();
        self.hand_back_requested = false;
        self.held_since = None;
    }

    /// Returns when the lease expires, if a majority has acknowledged it.
    pub fn valid_until(&self, now: Monotonic) -> Option<Monotonic> {
        let current = self.valid_until_by(&self.witnesses)?;
        match &self.previous_witnesses {
            Some((list, transition_until)) if now < *transition_until => {
                Some(current.min(self.valid_until_by(list)?))
            }
            _ => Some(current),
        }
    }

    fn valid_until_by(&self, witnesses: &HostList) -> Option<Monotonic> {
        let margin = self.lease * CLOCK_DRIFT_MARGIN_PERMILLE / PERMILLE;
        if witnesses.is_empty() {
            return Some(Monotonic::MAX);
        }
        let mut acks: Vec<Monotonic> =
            witnesses.iter().filter_map(|w| self.acks.get(w).copied()).collect();
        acks.sort_unstable_by(|a, b| b.cmp(a));
        let oldest = acks.get(majority(witnesses.len()) - 1)?;
        Some(*oldest + self.lease - margin)
    }

    /// Returns whether the lease is valid, and updates since when it has been held without a gap.
    pub fn refresh(&mut self, now: Monotonic) -> bool {
        let held = self.valid_until(now).is_some_and(|valid_until| now < valid_until);
        self.held_since = if held { self.held_since.or(Some(now)) } else { None };
        held
    }

    /// Returns since when the lease has been held without a gap.
    pub const fn held_since(&self) -> Option<Monotonic> {
        self.held_since
    }

    /// Returns the epoch, which increases whenever the seat gets another holder.
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns whether the seat's owner has asked for it back.
    pub const fn hand_back_requested(&self) -> bool {
        self.hand_back_requested
    }
}

#[cfg(test)]
mod tests;
