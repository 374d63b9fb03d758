//! One host's membership state: its claims on seats, its promises as a witness, and its gossip.
//!
//! A pure state machine: time and randomness are arguments, messages are return values.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use smallvec::SmallVec;

use super::gossip::{Gossip, HeldSeat, Push, Received, SendStrategy};
use super::lease::{Claim, ClaimReply, Release, SeatLease, Witness};
use crate::clock::Monotonic;
use crate::ids::{HostId, Incarnation};
use crate::process::servers::concurrency_limit::Role;
use crate::version::operational::OperationalState;

/// How long a change of witnesses may take to reach every host. Until then a lease needs a majority
/// of the old witnesses too.
const WITNESS_TRANSITION: Duration = Duration::from_secs(8);
/// Number of standbys that receive a seat's claims in addition to its witnesses.
const OBSERVING_STANDBYS: usize = 3;
/// Interval between gossip ticks, each of which sends a message or saves a token.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the maps over all hosts are rebuilt for the request path.
const MAP_REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// A host known only by gossip is considered live for this many renewal intervals after its last
/// rumor.
const RUMOR_TIMEOUT_RENEWALS: u32 = 3;

/// A message to send to another host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// A claim; its reply goes to [`Membership::on_claim_reply`].
    Claim(HostId, Claim),
    /// A release, which has no reply.
    Release(HostId, Release),
    /// A gossip message, which has no reply.
    Push(HostId, Push),
}

/// Immutable snapshot of the membership for the request path.
#[derive(Debug, Clone, Default)]
pub struct LeaseView {
    /// The seats that this host holds.
    pub held: HashMap<HostId, Held>,
    /// The known holder of each seat.
    pub holders: Arc<HashMap<HostId, HostId>>,
    /// The other hosts that are live and take part in the fleet, with their load.
    pub live: Arc<HashMap<HostId, u32>>,
    /// This host is leaving, or operators have taken it or its domain out of service.
    pub out_of_service: bool,
}

/// A seat that this host holds.
#[derive(Debug, Clone, Copy)]
pub struct Held {
    /// When the lease expires.
    pub until: Monotonic,
    /// Since when it has been held without a gap.
    pub since: Monotonic,
}

impl LeaseView {
    /// Returns this host's role for a seat.
    pub fn role(&self, now: Monotonic, me: &str, seat: &str) -> Role {
        if self.held.get(seat).is_some_and(|held| now < held.until) {
            Role::Holder
        } else if seat == me && !self.out_of_service {
            Role::OwnerWithoutLease
        } else {
            Role::Other
        }
    }
}

/// Membership state of one host.
#[derive(Debug)]
pub struct Membership<S> {
    me: HostId,
    incarnation: Incarnation,
    operational: Arc<OperationalState>,
    witness: Witness,
    seats: BTreeMap<HostId, SeatLease>,
    last_contact_at: HashMap<HostId, Monotonic>,
    /// When a claim was last received, for each seat whose claims are sent to this host.
    last_claim_at: HashMap<HostId, Monotonic>,
    gossip: Gossip<S>,
    leaving: bool,
    next_heartbeat: Monotonic,
    next_gossip: Monotonic,
    next_map_refresh: Monotonic,
    holders: Arc<HashMap<HostId, HostId>>,
    live: Arc<HashMap<HostId, u32>>,
}

impl<S: SendStrategy> Membership<S> {
    /// Creates the state of a host that starts now.
    pub fn new(
        now: Monotonic,
        me: HostId,
        incarnation: Incarnation,
        operational: Arc<OperationalState>,
        strategy: S,
    ) -> Self {
        let lease = operational.config.fleet.timing.lease();
        let mut membership = Self {
            gossip: Gossip::new(me.clone(), incarnation, strategy, now),
            witness: Witness::new(now, lease),
            seats: BTreeMap::new(),
            last_contact_at: HashMap::new(),
            last_claim_at: HashMap::new(),
            next_gossip: now,
            next_map_refresh: now,
            holders: Arc::default(),
            live: Arc::default(),
            leaving: false,
            next_heartbeat: now,
            me,
            incarnation,
            operational,
        };
        membership.set_config(now);
        membership
    }

    /// Adopts a new configuration.
    pub fn adopt(&mut self, now: Monotonic, operational: Arc<OperationalState>) {
        let old = std::mem::replace(&mut self.operational, operational);
        let new = self.operational.clone();
        let hosts = || new.config.fleet.hosts.iter().map(|host| &host.id);
        let witnesses_changed = |id: &&HostId| old.witnesses(id) != new.witnesses(id);
        if hosts().filter(witnesses_changed).any(|id| new.witnesses(id).contains(&self.me)) {
            self.witness.abstain(now, new.config.fleet.timing.lease());
        }
        for (seat, lease) in &mut self.seats {
            lease.set_witnesses(new.witnesses(seat).into(), now + WITNESS_TRANSITION);
        }
        self.set_config(now);
    }

    /// Starts leaving: the host releases its seats once nothing is in flight at their servers.
    pub const fn leave(&mut self) {
        self.leaving = true;
        self.next_map_refresh = Monotonic::ZERO;
    }

    /// Returns the messages that are due. `in_flight` returns the number of requests in flight at a
    /// seat's servers.
    pub fn tick(
        &mut self,
        now: Monotonic,
        load: u32,
        in_flight: impl Fn(&HostId) -> u32,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.operational.config.fleet.timing.heartbeat();
            self.release_and_claim_seats(now, in_flight, &mut actions);
        }
        if now >= self.next_gossip {
            self.next_gossip = now + GOSSIP_INTERVAL;
            let sends = self.gossip.tick(rng);
            self.push_to_random_peers(sends, rng, &mut actions);
        }
        if self.update_own_rumor(now, load) {
            self.push_to_random_peers(1, rng, &mut actions);
        }
        actions
    }

    /// Returns the reply to a claim as a witness.
    pub fn on_claim(&mut self, now: Monotonic, claim: &Claim) -> ClaimReply {
        self.record_contact(now, &claim.claimant);
        if let Some(at) = self.last_claim_at.get_mut(&claim.seat) {
            *at = now;
        }
        if !self.operational.witnesses(&claim.seat).contains(&self.me) {
            return ClaimReply::NotWitness;
        }
        self.witness.on_claim(now, claim)
    }

    /// Handles a witness's reply to a claim sent at `sent_at`.
    pub fn on_claim_reply(
        &mut self,
        now: Monotonic,
        from: &HostId,
        seat: &HostId,
        sent_at: Monotonic,
        reply: &ClaimReply,
    ) {
        self.record_contact(now, from);
        if let ClaimReply::Granted { epoch, wanted } = reply
            && let Some(lease) = self.seats.get_mut(seat)
        {
            lease.on_granted(from, sent_at, *epoch, *wanted);
            lease.refresh(now);
        }
    }

    /// Handles the release of a seat by its holder.
    pub fn on_release(&mut self, now: Monotonic, release: &Release) {
        self.record_contact(now, &release.holder);
        self.witness.on_release(now, release);
    }

    /// Handles a gossip message; returns what it contained and the messages to send in response.
    pub fn on_push(
        &mut self,
        now: Monotonic,
        push: &Push,
        rng: &mut impl Rng,
    ) -> (Received, Vec<Action>) {
        self.record_contact(now, &push.from);
        let received = self.gossip.on_push(now, push, rng);
        let mut actions = Vec::new();
        self.push_to_random_peers(received.sends, rng, &mut actions);
        (received, actions)
    }

    /// Returns the snapshot for the request path.
    pub fn view(&mut self, now: Monotonic) -> LeaseView {
        let mut held = HashMap::new();
        for (seat, lease) in &mut self.seats {
            if lease.refresh(now)
                && let (Some(until), Some(since)) = (lease.valid_until(now), lease.held_since())
            {
                held.insert(seat.clone(), Held { until, since });
            }
        }
        if now >= self.next_map_refresh {
            self.next_map_refresh = now + MAP_REFRESH_INTERVAL;
            self.holders = Arc::new(self.holders(now));
            self.live = Arc::new(self.live(now));
        }
        LeaseView {
            holders: self.holders.clone(),
            live: self.live.clone(),
            out_of_service: !self.participates(&self.me),
            held,
        }
    }

    /// Returns the other hosts that are live and take part in the fleet, with their load.
    fn live(&self, now: Monotonic) -> HashMap<HostId, u32> {
        let hosts = &self.operational.config.fleet.hosts;
        let loads: HashMap<&HostId, u32> =
            self.gossip.rumors().map(|(rumor, _)| (&rumor.host, rumor.load)).collect();
        hosts
            .iter()
            .filter(|host| {
                host.id != self.me && self.participates(&host.id) && self.is_live(now, &host.id)
            })
            .map(|host| (host.id.clone(), loads.get(&host.id).copied().unwrap_or(0)))
            .collect()
    }

    /// Returns the holder of each seat: of the live hosts that announce holding it, the one with
    /// the highest epoch.
    fn holders(&self, now: Monotonic) -> HashMap<HostId, HostId> {
        let mut best: HashMap<HostId, (u64, HostId)> = HashMap::new();
        let rumors = self.gossip.rumors().map(|(rumor, _)| rumor);
        let rumors = rumors.filter(|r| self.is_live(now, &r.host) && self.participates(&r.host));
        for rumor in rumors.chain([self.gossip.own()]) {
            for held in &rumor.holds {
                let entry = best.entry(held.seat.clone()).or_insert((0, rumor.host.clone()));
                if held.epoch > entry.0 {
                    *entry = (held.epoch, rumor.host.clone());
                }
            }
        }
        best.into_iter().map(|(seat, (_, host))| (seat, host)).collect()
    }

    fn set_config(&mut self, now: Monotonic) {
        let config = self.operational.config.clone();
        self.next_map_refresh = now;
        if self.gossip.config_version() != config.version {
            self.gossip.set_config(config.version, config.content_hash());
        }
        for host in &config.fleet.hosts {
            self.last_contact_at.entry(host.id.clone()).or_insert(now);
        }
        for host in &config.fleet.hosts {
            if self.receives_claims_for(&host.id) {
                self.last_claim_at.entry(host.id.clone()).or_insert(now);
            }
        }
        self.claim_own_seat();
    }

    fn claim_own_seat(&mut self) {
        let me = self.me.clone();
        if self.operational.config.host(&me).is_some() {
            self.claim_seat(me);
        }
    }

    /// Starts claiming a seat, unless this host already does.
    fn claim_seat(&mut self, seat: HostId) {
        let lease = self.operational.config.fleet.timing.lease();
        let witnesses = self.operational.witnesses(&seat).into();
        self.seats.entry(seat).or_insert_with(|| SeatLease::new(lease, witnesses));
    }

    fn release_and_claim_seats(
        &mut self,
        now: Monotonic,
        in_flight: impl Fn(&HostId) -> u32,
        actions: &mut Vec<Action>,
    ) {
        self.claim_unclaimed_seats(now);
        let to_release: HashSet<HostId> = self
            .seats
            .iter()
            .filter(|(s, l)| self.must_release(s, l))
            .map(|(s, _)| s.clone())
            .collect();
        let mut released = Vec::new();
        for (seat, lease) in &mut self.seats {
            if to_release.contains(seat) {
                lease.clear();
                if in_flight(seat) > 0 {
                    continue;
                }
                let release = Release {
                    seat: seat.clone(),
                    holder: self.me.clone(),
                    incarnation: self.incarnation,
                };
                actions
                    .extend(lease.witnesses().map(|w| Action::Release(w.clone(), release.clone())));
                released.push(seat.clone());
                continue;
            }
            let claim = Claim {
                seat: seat.clone(),
                claimant: self.me.clone(),
                incarnation: self.incarnation,
                epoch: lease.epoch(),
            };
            let witnesses: SmallVec<[HostId; 8]> = lease.witnesses().cloned().collect();
            let standbys = self.operational.candidates(seat);
            let observers = standbys.iter().skip(1).take(OBSERVING_STANDBYS);
            let observers = observers.filter(|h| **h != self.me && !witnesses.contains(*h));
            for host in witnesses.iter().chain(observers) {
                actions.push(Action::Claim(host.clone(), claim.clone()));
            }
        }
        for seat in released {
            self.seats.remove(&seat);
        }
        if self.participates(&self.me) {
            self.claim_own_seat();
        }
    }

    /// Claims each seat that no host claims any more, after a delay that lets better-ranked
    /// candidates claim it first.
    fn claim_unclaimed_seats(&mut self, now: Monotonic) {
        if !self.participates(&self.me) {
            return;
        }
        let lease = self.operational.config.fleet.timing.lease();
        let due: Vec<HostId> = self
            .last_claim_at
            .iter()
            .filter(|(seat, _)| !self.seats.contains_key(*seat))
            .filter(|(seat, claimed_at)| {
                let wait = self
                    .takeover_rank(seat)
                    .map(|takeover_rank| takeover_delay(lease, takeover_rank));
                wait.is_some_and(|wait| now > **claimed_at + wait)
            })
            .map(|(seat, _)| seat.clone())
            .collect();
        for seat in due {
            self.claim_seat(seat);
        }
    }

    /// Returns the number of participating candidates for a seat that rank before this host, or
    /// `None` if this host is no candidate.
    fn takeover_rank(&self, seat: &HostId) -> Option<u32> {
        let candidates = self.operational.candidates(seat);
        let position = candidates.iter().position(|c| *c == self.me)?;
        let better_ranked = candidates[..position].iter().filter(|c| self.participates(c)).count();
        u32::try_from(better_ranked).ok()
    }

    /// Returns whether claims for a seat are sent to this host.
    fn receives_claims_for(&self, seat: &HostId) -> bool {
        let standbys = self.operational.candidates(seat).iter().skip(1).take(OBSERVING_STANDBYS);
        self.operational.witnesses(seat).iter().chain(standbys).any(|host| *host == self.me)
    }

    /// Returns whether a host is live: by recent contact, or, if claims for its seat are not sent
    /// to this host, by a recent rumor.
    fn is_live(&self, now: Monotonic, host: &HostId) -> bool {
        let in_contact = !self.contact_expired(now, host);
        if in_contact || self.last_claim_at.contains_key(host) {
            return in_contact;
        }
        let limit = self.gossip.renewal_interval() * RUMOR_TIMEOUT_RENEWALS;
        self.gossip.received_at(host).is_some_and(|at| now <= at + limit)
    }

    fn must_release(&self, seat: &HostId, lease: &SeatLease) -> bool {
        let removed = self.operational.config.host(seat).is_none();
        let hand_back = *seat != self.me && lease.hand_back_requested();
        !self.participates(&self.me) || removed || hand_back
    }

    /// Returns whether a host takes part in the fleet: operators have not taken it out, and it has
    /// not announced that it is leaving.
    fn participates(&self, host: &HostId) -> bool {
        let allowed = self
            .operational
            .config
            .host(host)
            .is_some_and(|host| self.operational.is_host_in_service(host));
        let leaving = if *host == self.me { self.leaving } else { self.gossip.is_leaving(host) };
        allowed && !leaving
    }

    fn contact_expired(&self, now: Monotonic, host: &HostId) -> bool {
        let lease = self.operational.config.fleet.timing.lease();
        self.last_contact_at.get(host).is_none_or(|at| now > *at + lease)
    }

    fn record_contact(&mut self, now: Monotonic, host: &HostId) {
        self.last_contact_at.insert(host.clone(), now);
    }

    fn update_own_rumor(&mut self, now: Monotonic, load: u32) -> bool {
        let mut holds = SmallVec::new();
        for (seat, lease) in &mut self.seats {
            if lease.refresh(now) {
                holds.push(HeldSeat { seat: seat.clone(), epoch: lease.epoch() });
            }
        }
        self.gossip.set_own(now, self.leaving, load, holds)
    }

    fn push_to_random_peers(&mut self, sends: u32, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        let hosts = &self.operational.config.fleet.hosts;
        let peers: Vec<&HostId> = hosts.iter().map(|h| &h.id).filter(|h| **h != self.me).collect();
        for _ in 0..sends {
            if let Some(peer) = peers.choose(rng) {
                actions.push(Action::Push((*peer).clone(), self.gossip.message()));
            }
        }
    }
}

/// Returns how long a seat must be unclaimed before the candidate of this rank claims it.
fn takeover_delay(lease: Duration, takeover_rank: u32) -> Duration {
    match takeover_rank {
        0 => Duration::ZERO,
        later => lease + lease / 2 * (later - 1),
    }
}

#[cfg(test)]
mod tests;
