//! Which hosts there are, from heartbeats that spread by gossip.
//!
//! A pure state machine: time and randomness come in as arguments, messages go out as values.
//! Seeds are only where to ask first; any of them may be stale or down. See
//! `docs/PLATFORM.md`, section "Hosts that find each other".

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::clock::Monotonic;
use crate::derive::key;
use crate::ids::{ConfigVersion, Incarnation, Revision};

/// How often a host sends gossip to hosts of its own failure domain.
pub const NEAR_EVERY: Duration = Duration::from_millis(250);
/// How often a host sends gossip to a host of another failure domain.
pub const FAR_EVERY: Duration = Duration::from_millis(500);
/// The hosts of the own domain that get each message, in a small and in a large fleet. With two in a
/// domain of fifteen hosts, lost messages make some seem silent at times.
const SMALL_NEAR_FANOUT: usize = 2;
const LARGE_NEAR_FANOUT: usize = 3;
/// In a fleet of up to this many others, bytes are few: far hosts are told of the whole fleet, and
/// hosts that stand alone in their domain are heard often enough only if each host tells more than
/// one far host.
const SMALL_FLEET: usize = 16;
const SMALL_FAR_FANOUT: usize = 3;
const LARGE_FAR_FANOUT: usize = 1;
/// A host of the own domain is taken to be down after this silence: four rounds of gossip.
const NEAR_SILENCE: Duration = Duration::from_millis(1_300);
/// The same for hosts of other domains, whose heartbeats take one more hop.
const FAR_SILENCE: Duration = Duration::from_millis(2_600);
/// The same in a large fleet, where word of a domain comes from its own hosts only and spreads on by
/// the hosts of the domain that hears it.
const LARGE_FAR_SILENCE: Duration = Duration::from_millis(4_000);
/// A silent host is forgotten after this, and counts towards shared limits until then.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Where a failure domain stands in the sorted list of domains that all settings share.
pub type DomainIndex = u8;

key! {
    /// How far a host is in its life.
    pub enum Phase {
        /// It may not be given callers yet.
        Starting,
        /// Callers may be sent to it.
        Ready,
        /// It ends; callers must not be sent to it.
        Leaving,
    }
}

/// What a host says of itself in each heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Its address, which is its name among hosts.
    pub ip: Ipv4Addr,
    /// The number of its life, which is higher for each one that others remember.
    pub life: Incarnation,
    /// Counts its heartbeats in this life.
    pub count: u32,
    /// How far it is.
    pub phase: Phase,
    /// The failure domain it stands in.
    pub domain: DomainIndex,
    /// What it can bear beside the others, in hundredths of a core.
    pub weight: u16,
    /// The revision up to which it knows the platform's facts.
    pub revision: Revision,
    /// The configuration version it holds.
    pub version: ConfigVersion,
    /// It can read the platform at present.
    pub reads: bool,
}

impl Heartbeat {
    /// Orders hosts, the strongest first.
    const fn strength(&self) -> (std::cmp::Reverse<u16>, Ipv4Addr) {
        (std::cmp::Reverse(self.weight), self.ip)
    }
}

/// A message between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender's own heartbeat first, then those it has heard.
    pub heartbeats: Vec<Heartbeat>,
    /// The sender wants an answer, because it knows nobody yet.
    pub wants_answer: bool,
}

/// What is known of another host.
#[derive(Debug, Clone, Copy)]
pub struct Member {
    /// Its newest heartbeat.
    pub heartbeat: Heartbeat,
    /// When that was first heard.
    pub heard_at: Monotonic,
}

/// What the request path reads of the fleet, as one immutable snapshot.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// The other hosts that are up, in the order of their addresses.
    pub up: Vec<Heartbeat>,
    /// All hosts that shared limits must be divided by, this one among them.
    pub sharing: usize,
    /// The same for each failure domain that has any.
    pub sharing_in: Vec<(DomainIndex, usize)>,
    /// How many hosts of this host's failure domain come before it, the strongest first.
    pub place: usize,
}

impl FleetView {
    /// Returns how many hosts of a failure domain share limits.
    pub fn sharing_in(&self, domain: DomainIndex) -> usize {
        self.sharing_in.iter().find(|(known, _)| *known == domain).map_or(0, |(_, hosts)| *hosts)
    }

    /// Returns the hosts of a failure domain that are up and not leaving.
    pub fn working_in(&self, domain: DomainIndex) -> impl Iterator<Item = &Heartbeat> {
        self.up.iter().filter(move |h| h.domain == domain && h.phase == Phase::Ready)
    }

    /// Returns the strongest hosts of a failure domain that are up and not leaving; all hosts that
    /// know the same fleet agree on them.
    pub fn strongest_in(&self, domain: DomainIndex, count: usize) -> Vec<Heartbeat> {
        let mut hosts: Vec<Heartbeat> = self.working_in(domain).copied().collect();
        if hosts.len() > count {
            hosts.sort_unstable_by_key(Heartbeat::strength);
            hosts.truncate(count);
        }
        hosts
    }
}

/// The state of one host.
#[derive(Debug)]
pub struct Members {
    me: Heartbeat,
    others: BTreeMap<Ipv4Addr, Member>,
    seeds: Vec<Ipv4Addr>,
    next_near: Monotonic,
    next_far: Monotonic,
}

impl Members {
    /// Starts a life with a first heartbeat and the seeds.
    pub fn new(now: Monotonic, me: Heartbeat, seeds: Vec<Ipv4Addr>) -> Self {
        let mut members =
            Self { me, others: BTreeMap::new(), seeds: Vec::new(), next_near: now, next_far: now };
        members.set_seeds(seeds);
        members
    }

    /// Takes new seeds; returns whether they differ from those before.
    pub fn set_seeds(&mut self, mut seeds: Vec<Ipv4Addr>) -> bool {
        seeds.retain(|seed| *seed != self.me.ip);
        let changed = self.seeds != seeds;
        self.seeds = seeds;
        changed
    }

    /// Returns this host's own heartbeat, to be brought up to date before each tick.
    pub const fn me(&mut self) -> &mut Heartbeat {
        &mut self.me
    }

    /// Returns the messages that are due.
    pub fn tick(&mut self, now: Monotonic, rng: &mut impl Rng) -> Vec<(Ipv4Addr, Gossip)> {
        self.others.retain(|_, member| now.saturating_sub(member.heard_at) < FORGET_AFTER);
        let mut to: Vec<Ipv4Addr> = Vec::new();
        if now >= self.next_near {
            self.next_near = now + NEAR_EVERY;
            self.me.count += 1;
            let near: Vec<Ipv4Addr> = self.known(now, |member| member.domain == self.me.domain);
            let fanout = if self.is_small() { SMALL_NEAR_FANOUT } else { LARGE_NEAR_FANOUT };
            to.extend(near.sample(rng, fanout));
        }
        if now >= self.next_far {
            self.next_far = now + FAR_EVERY;
            let far: Vec<Ipv4Addr> = self.known(now, |member| member.domain != self.me.domain);
            let fanout = if self.is_small() { SMALL_FAR_FANOUT } else { LARGE_FAR_FANOUT };
            to.extend(far.sample(rng, fanout));
            // Hosts that have not heard of each other have a seed in common; asking one now and
            // then joins sides that a partition had parted for long.
            let alone = to.is_empty();
            if alone {
                to.extend(&self.seeds);
            } else if rng.random_ratio(1, 4) {
                to.extend(self.seeds.choose(rng));
            }
            to.sort_unstable();
            to.dedup();
        }
        let wants_answer = self.others.is_empty();
        let all = self.heartbeats(now);
        // Bytes between domains are dear: what far hosts are told is what they can't hear at home.
        let own_domain: Vec<Heartbeat> = if self.is_small() {
            all.clone()
        } else {
            all.iter().filter(|heartbeat| heartbeat.domain == self.me.domain).copied().collect()
        };
        let is_far = |ip: &Ipv4Addr| {
            self.others.get(ip).is_some_and(|member| member.heartbeat.domain != self.me.domain)
        };
        let gossip = |ip: Ipv4Addr| {
            let told = if is_far(&ip) { &own_domain } else { &all };
            (ip, Gossip { heartbeats: told.clone(), wants_answer })
        };
        to.into_iter().map(gossip).collect()
    }

    fn is_small(&self) -> bool {
        self.others.len() <= SMALL_FLEET
    }

    /// Takes in a message; returns the answer that its sender wants.
    pub fn on_gossip(&mut self, now: Monotonic, gossip: Gossip) -> Option<(Ipv4Addr, Gossip)> {
        let from = gossip.heartbeats.first().map(|heartbeat| heartbeat.ip);
        let mut sender_is_behind = false;
        for heartbeat in gossip.heartbeats {
            if heartbeat.ip == self.me.ip {
                self.on_word_of_me(&heartbeat);
                continue;
            }
            let known = self.others.get(&heartbeat.ip).map(|member| member.heartbeat);
            let newer = known
                .is_none_or(|known| (heartbeat.life, heartbeat.count) > (known.life, known.count));
            if newer {
                self.others.insert(heartbeat.ip, Member { heartbeat, heard_at: now });
            } else if Some(heartbeat.ip) == from && known.is_some_and(|k| k.life >= heartbeat.life)
            {
                sender_is_behind |= known.is_some_and(|k| k.count > heartbeat.count);
            }
        }
        let answer = gossip.wants_answer || sender_is_behind;
        let reply = || Gossip { heartbeats: self.heartbeats(now), wants_answer: false };
        from.filter(|_| answer).map(|ip| (ip, reply()))
    }

    /// Tells whether a host is up, as far as its heartbeats show.
    fn is_up(&self, now: Monotonic, member: &Member) -> bool {
        let silence = if member.heartbeat.domain == self.me.domain {
            NEAR_SILENCE
        } else if self.is_small() {
            FAR_SILENCE
        } else {
            LARGE_FAR_SILENCE
        };
        now.saturating_sub(member.heard_at) < silence
    }

    /// Makes the snapshot for the request path.
    pub fn view(&self, now: Monotonic) -> FleetView {
        let up = self.others.values().filter(|member| self.is_up(now, member));
        let domains = self.others.values().map(|member| member.heartbeat.domain);
        let mut sharing_in: BTreeMap<DomainIndex, usize> = BTreeMap::new();
        for domain in domains.chain([self.me.domain]) {
            *sharing_in.entry(domain).or_default() += 1;
        }
        let before = |member: &&Member| {
            let other = &member.heartbeat;
            let works = other.domain == self.me.domain && other.phase == Phase::Ready;
            works && other.strength() < self.me.strength()
        };
        let place = up.clone().filter(before).count();
        FleetView {
            place,
            up: up.map(|member| member.heartbeat).collect(),
            sharing: self.others.len() + 1,
            sharing_in: sharing_in.into_iter().collect(),
        }
    }

    fn known(&self, now: Monotonic, fit: impl Fn(&Heartbeat) -> bool) -> Vec<Ipv4Addr> {
        let up = self.others.iter().filter(|(_, member)| self.is_up(now, member));
        up.filter(|(_, member)| fit(&member.heartbeat)).map(|(ip, _)| *ip).collect()
    }

    fn heartbeats(&self, now: Monotonic) -> Vec<Heartbeat> {
        let up = self.others.values().filter(|member| self.is_up(now, member));
        std::iter::once(self.me).chain(up.map(|member| member.heartbeat)).collect()
    }

    /// Begins a higher life where others remember one that this process did not live.
    fn on_word_of_me(&mut self, heard: &Heartbeat) {
        if (heard.life, heard.count) > (self.me.life, self.me.count) {
            self.me.life = heard.life + 1;
        }
    }
}

#[cfg(test)]
mod tests;
