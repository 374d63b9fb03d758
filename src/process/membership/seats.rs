//! One host's part in membership: its claims, its promises as a witness, and its gossip.
//!
//! A pure state machine: time and randomness come in as arguments, messages go out as values.

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
use crate::version::operational::Operational;

/// How long a change of witnesses takes to be known everywhere.
const SETTLE: Duration = Duration::from_secs(8);
/// Standbys that hear a seat's heartbeats beside its witnesses.
const LISTENING_STANDBYS: usize = 3;
/// How often a gossip message may be sent.
const GOSSIP_EVERY: Duration = Duration::from_millis(250);
/// How often the maps over all hosts are made anew for the request path.
const MAPS_EVERY: Duration = Duration::from_millis(250);
/// A host that is known by gossip only is live for this many renewals of its rumor.
const LIVE_RENEWALS: u32 = 3;

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

/// What the request path reads of membership, as one immutable snapshot.
#[derive(Debug, Clone, Default)]
pub struct LeaseView {
    /// The seats that this host holds.
    pub held: HashMap<HostId, Held>,
    /// Who holds each seat, as far as known.
    pub holders: Arc<HashMap<HostId, HostId>>,
    /// The other hosts that were heard of lately and are not leaving, with their load.
    pub live: Arc<HashMap<HostId, u32>>,
    /// This host's own seat is being handed over or its domain is out.
    pub resigned: bool,
}

/// A seat that this host holds.
#[derive(Debug, Clone, Copy)]
pub struct Held {
    /// The lease is valid before this.
    pub until: Monotonic,
    /// It has been held without a gap since then.
    pub since: Monotonic,
}

impl LeaseView {
    /// Returns what this host is to a seat.
    pub fn role(&self, now: Monotonic, me: &str, seat: &str) -> Role {
        if self.held.get(seat).is_some_and(|held| now < held.until) {
            Role::Holder
        } else if seat == me && !self.resigned {
            Role::OwnerWithoutLease
        } else {
            Role::Other
        }
    }
}

/// The state of one host.
#[derive(Debug)]
pub struct Membership<S> {
    me: HostId,
    incarnation: Incarnation,
    operational: Arc<Operational>,
    witness: Witness,
    seats: BTreeMap<HostId, SeatLease>,
    heard: HashMap<HostId, Monotonic>,
    /// When a claim for each seat whose heartbeats reach this host was last heard.
    claimed: HashMap<HostId, Monotonic>,
    gossip: Gossip<S>,
    leaving: bool,
    next_heartbeat: Monotonic,
    next_gossip: Monotonic,
    next_maps: Monotonic,
    holders: Arc<HashMap<HostId, HostId>>,
    live: Arc<HashMap<HostId, u32>>,
}

impl<S: SendStrategy> Membership<S> {
    /// Starts a host's life.
    pub fn new(
        now: Monotonic,
        me: HostId,
        incarnation: Incarnation,
        operational: Arc<Operational>,
        strategy: S,
    ) -> Self {
        let lease = operational.config.fleet.timing.lease();
        let mut membership = Self {
            gossip: Gossip::new(me.clone(), incarnation, strategy, now),
            witness: Witness::new(now, lease),
            seats: BTreeMap::new(),
            heard: HashMap::new(),
            claimed: HashMap::new(),
            next_gossip: now,
            next_maps: now,
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

    /// Takes a new configuration.
    pub fn adopt(&mut self, now: Monotonic, operational: Arc<Operational>) {
        let old = std::mem::replace(&mut self.operational, operational);
        let new = self.operational.clone();
        let hosts = || new.config.fleet.hosts.iter().map(|host| &host.id);
        let moved = |id: &&HostId| old.witnesses(id) != new.witnesses(id);
        if hosts().filter(moved).any(|id| new.witnesses(id).contains(&self.me)) {
            self.witness.abstain(now, new.config.fleet.timing.lease());
        }
        for (seat, lease) in &mut self.seats {
            lease.set_witnesses(new.witnesses(seat).into(), now + SETTLE);
        }
        self.set_config(now);
    }

    /// Starts to leave: seats are released once nothing is in flight.
    pub const fn leave(&mut self) {
        self.leaving = true;
        self.next_maps = Monotonic::ZERO;
    }

    /// Does what is due; `in_flight` tells how much is in flight at a seat's servers.
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
            self.heartbeat(now, in_flight, &mut actions);
        }
        if now >= self.next_gossip {
            self.next_gossip = now + GOSSIP_EVERY;
            let sends = self.gossip.tick(rng);
            self.push(sends, rng, &mut actions);
        }
        if self.announce(now, load) {
            self.push(1, rng, &mut actions);
        }
        actions
    }

    /// Answers a claim as a witness.
    pub fn on_claim(&mut self, now: Monotonic, claim: &Claim) -> ClaimReply {
        self.hear(now, &claim.claimant);
        if let Some(at) = self.claimed.get_mut(&claim.seat) {
            *at = now;
        }
        if !self.operational.witnesses(&claim.seat).contains(&self.me) {
            return ClaimReply::NotWitness;
        }
        self.witness.on_claim(now, claim)
    }

    /// Takes in a witness's answer to a claim sent at `sent_at`.
    pub fn on_claim_reply(
        &mut self,
        now: Monotonic,
        from: &HostId,
        seat: &HostId,
        sent_at: Monotonic,
        reply: &ClaimReply,
    ) {
        self.hear(now, from);
        if let ClaimReply::Granted { epoch, wanted } = reply
            && let Some(lease) = self.seats.get_mut(seat)
        {
            lease.on_granted(from, sent_at, *epoch, *wanted);
            lease.refresh(now);
        }
    }

    /// Takes in that a holder let go of a seat.
    pub fn on_release(&mut self, now: Monotonic, release: &Release) {
        self.hear(now, &release.holder);
        self.witness.on_release(now, release);
    }

    /// Takes in a gossip message.
    pub fn on_push(
        &mut self,
        now: Monotonic,
        push: &Push,
        rng: &mut impl Rng,
    ) -> (Received, Vec<Action>) {
        self.hear(now, &push.from);
        let received = self.gossip.on_push(now, push, rng);
        let mut actions = Vec::new();
        self.push(received.sends, rng, &mut actions);
        (received, actions)
    }

    /// Returns the snapshot for the request path.
    pub fn view(&mut self, now: Monotonic) -> LeaseView {
        let mut held = HashMap::new();
        for (seat, lease) in &mut self.seats {
            if lease.refresh(now)
                && let (Some(until), Some(since)) = (lease.until(now), lease.held_since())
            {
                held.insert(seat.clone(), Held { until, since });
            }
        }
        if now >= self.next_maps {
            self.next_maps = now + MAPS_EVERY;
            self.holders = Arc::new(self.holders(now));
            self.live = Arc::new(self.live(now));
        }
        LeaseView {
            holders: self.holders.clone(),
            live: self.live.clone(),
            resigned: !self.is_in(&self.me),
            held,
        }
    }

    /// Returns every host that was heard of lately and is neither leaving nor taken out.
    fn live(&self, now: Monotonic) -> HashMap<HostId, u32> {
        let hosts = &self.operational.config.fleet.hosts;
        let loads: HashMap<&HostId, u32> =
            self.gossip.rumors().map(|(rumor, _)| (&rumor.host, rumor.load)).collect();
        hosts
            .iter()
            .filter(|host| {
                host.id != self.me && self.is_in(&host.id) && self.is_live(now, &host.id)
            })
            .map(|host| (host.id.clone(), loads.get(&host.id).copied().unwrap_or(0)))
            .collect()
    }

    /// Returns the holder of each seat with the highest epoch among those who say they hold it.
    fn holders(&self, now: Monotonic) -> HashMap<HostId, HostId> {
        let mut best: HashMap<HostId, (u64, HostId)> = HashMap::new();
        let heard = self.gossip.rumors().map(|(rumor, _)| rumor);
        let heard = heard.filter(|r| self.is_live(now, &r.host) && self.is_in(&r.host));
        for rumor in heard.chain([self.gossip.own()]) {
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
        self.next_maps = now;
        if self.gossip.config_version() != config.version {
            self.gossip.set_config(config.version, config.content_hash());
        }
        for host in &config.fleet.hosts {
            self.heard.entry(host.id.clone()).or_insert(now);
        }
        for host in &config.fleet.hosts {
            if self.listens_to(&host.id) {
                self.claimed.entry(host.id.clone()).or_insert(now);
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

    /// Starts to claim a seat, if it is not claimed yet.
    fn claim_seat(&mut self, seat: HostId) {
        let lease = self.operational.config.fleet.timing.lease();
        let witnesses = self.operational.witnesses(&seat).into();
        self.seats.entry(seat).or_insert_with(|| SeatLease::new(lease, witnesses));
    }

    fn heartbeat(
        &mut self,
        now: Monotonic,
        in_flight: impl Fn(&HostId) -> u32,
        actions: &mut Vec<Action>,
    ) {
        self.take_up_silent_seats(now);
        let unfit: HashSet<HostId> = self
            .seats
            .iter()
            .filter(|(s, l)| self.must_let_go(s, l))
            .map(|(s, _)| s.clone())
            .collect();
        let mut gone = Vec::new();
        for (seat, lease) in &mut self.seats {
            if unfit.contains(seat) {
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
                gone.push(seat.clone());
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
            let listeners = standbys.iter().skip(1).take(LISTENING_STANDBYS);
            let listeners = listeners.filter(|h| **h != self.me && !witnesses.contains(*h));
            for host in witnesses.iter().chain(listeners) {
                actions.push(Action::Claim(host.clone(), claim.clone()));
            }
        }
        for seat in gone {
            self.seats.remove(&seat);
        }
        if self.is_in(&self.me) {
            self.claim_own_seat();
        }
    }

    /// Claims each seat that nobody claims any more, once the better candidates had their time.
    fn take_up_silent_seats(&mut self, now: Monotonic) {
        if !self.is_in(&self.me) {
            return;
        }
        let lease = self.operational.config.fleet.timing.lease();
        let due: Vec<HostId> = self
            .claimed
            .iter()
            .filter(|(seat, _)| !self.seats.contains_key(*seat))
            .filter(|(seat, claimed_at)| {
                let wait = self.turn(seat).map(|turn| take_up_wait(lease, turn));
                wait.is_some_and(|wait| now > **claimed_at + wait)
            })
            .map(|(seat, _)| seat.clone())
            .collect();
        for seat in due {
            self.claim_seat(seat);
        }
    }

    /// Returns how many candidates for a seat that take part come before this host.
    fn turn(&self, seat: &HostId) -> Option<u32> {
        let candidates = self.operational.candidates(seat);
        let place = candidates.iter().position(|c| *c == self.me)?;
        let better = candidates[..place].iter().filter(|c| self.is_in(c)).count();
        u32::try_from(better).ok()
    }

    /// Tells whether the heartbeats of a seat reach this host.
    fn listens_to(&self, seat: &HostId) -> bool {
        let standbys = self.operational.candidates(seat).iter().skip(1).take(LISTENING_STANDBYS);
        self.operational.witnesses(seat).iter().chain(standbys).any(|host| *host == self.me)
    }

    /// Tells whether a host was heard of lately: by its heartbeats where they come here, else by
    /// its rumor.
    fn is_live(&self, now: Monotonic, host: &HostId) -> bool {
        let heard = !self.silent(now, host);
        if heard || self.claimed.contains_key(host) {
            return heard;
        }
        let limit = self.gossip.refresh() * LIVE_RENEWALS;
        self.gossip.learnt_at(host).is_some_and(|at| now <= at + limit)
    }

    fn must_let_go(&self, seat: &HostId, lease: &SeatLease) -> bool {
        let unwanted = self.operational.config.host(seat).is_none();
        let returned = *seat != self.me && lease.wanted();
        !self.is_in(&self.me) || unwanted || returned
    }

    /// Tells whether a host takes part: operators let it, and it does not say that it leaves.
    fn is_in(&self, host: &HostId) -> bool {
        let allowed = self
            .operational
            .config
            .host(host)
            .is_some_and(|host| self.operational.host_is_in(host));
        let leaving = if *host == self.me { self.leaving } else { self.gossip.is_leaving(host) };
        allowed && !leaving
    }

    fn silent(&self, now: Monotonic, host: &HostId) -> bool {
        let lease = self.operational.config.fleet.timing.lease();
        self.heard.get(host).is_none_or(|at| now > *at + lease)
    }

    fn hear(&mut self, now: Monotonic, host: &HostId) {
        self.heard.insert(host.clone(), now);
    }

    fn announce(&mut self, now: Monotonic, load: u32) -> bool {
        let mut holds = SmallVec::new();
        for (seat, lease) in &mut self.seats {
            if lease.refresh(now) {
                holds.push(HeldSeat { seat: seat.clone(), epoch: lease.epoch() });
            }
        }
        self.gossip.set_own(now, self.leaving, load, holds)
    }

    fn push(&mut self, sends: u32, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        let hosts = &self.operational.config.fleet.hosts;
        let peers: Vec<&HostId> = hosts.iter().map(|h| &h.id).filter(|h| **h != self.me).collect();
        for _ in 0..sends {
            if let Some(peer) = peers.choose(rng) {
                actions.push(Action::Push((*peer).clone(), self.gossip.message()));
            }
        }
    }
}

/// Returns how long a seat must be without a claim before the candidate whose turn it is takes it.
fn take_up_wait(lease: Duration, turn: u32) -> Duration {
    match turn {
        0 => Duration::ZERO,
        later => lease + lease / 2 * (later - 1),
    }
}

#[cfg(test)]
mod tests;
