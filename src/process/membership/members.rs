//! Tracks the hosts of the fleet by heartbeats that spread by gossip.
//!
//! A pure state machine: time and randomness are arguments, messages are return values. Seeds are
//! only the first addresses to contact; any of them may be stale or down. See
//! `docs/PLATFORM.md`, section "Host discovery".

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::discovery::{Discovery, FleetKnowledge};
use crate::clock::{Monotonic, millis};
use crate::derive::key;
use crate::ids::{ConfigVersion, Incarnation, Revision};
use crate::position::{Epochs, PlanOrder, Position};
use crate::process::quarantine::SuspectReport;
use crate::process::servers::rate_limit::LimitReport;

/// Interval between gossip rounds to hosts of the same failure domain.
pub const SAME_DOMAIN_GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between gossip rounds to hosts of other failure domains.
pub const CROSS_DOMAIN_GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
/// Number of hosts of the same domain that receive each message, in a small and in a large fleet.
/// With a fanout of two in a domain of fifteen hosts, live hosts timed out when messages were lost.
const SMALL_FLEET_SAME_DOMAIN_FANOUT: usize = 2;
const LARGE_FLEET_SAME_DOMAIN_FANOUT: usize = 3;
/// A fleet with up to this many other hosts is small. Its messages are short enough to send the
/// heartbeats of the whole fleet across domains. The heartbeats of a host that is alone in its
/// domain arrive often enough only if each host sends to more than one host of other domains.
const SMALL_FLEET_MAX_OTHERS: usize = 16;
const SMALL_FLEET_CROSS_DOMAIN_FANOUT: usize = 3;
const LARGE_FLEET_CROSS_DOMAIN_FANOUT: usize = 1;
/// A host of the same domain is considered down after this time without a new heartbeat. It covers
/// four gossip rounds.
const SAME_DOMAIN_TIMEOUT: Duration = Duration::from_millis(1_300);
/// The timeout for hosts of other domains, whose heartbeats take one more hop.
const SMALL_FLEET_CROSS_DOMAIN_TIMEOUT: Duration = Duration::from_millis(2_600);
/// The timeout for hosts of other domains in a large fleet. There only a domain's own hosts send
/// its heartbeats to another domain, whose hosts then forward them among themselves.
const LARGE_FLEET_CROSS_DOMAIN_TIMEOUT: Duration = Duration::from_millis(4_000);
/// A host without new heartbeats is removed after this time. Until then it counts towards shared
/// limits.
const EVICTION_TIMEOUT: Duration = Duration::from_secs(60);

/// Index of a failure domain in the sorted list of domains, which is the same in all settings.
pub type DomainIndex = u8;

key! {
    /// Lifecycle phase of a host.
    pub enum Phase {
        /// It must not receive callers yet.
        Starting,
        /// It may receive callers.
        Ready,
        /// It is shutting down and must not receive new callers.
        Leaving,
    }
}

/// State that a host announces about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Address of the host, which identifies it in the fleet.
    pub ip: Ipv4Addr,
    /// Incarnation of the host; after a restart it rises above any that other hosts remember.
    pub life: Incarnation,
    /// Number of the heartbeat within the incarnation.
    pub count: u32,
    /// Lifecycle phase.
    pub phase: Phase,
    /// Failure domain of the host.
    pub domain: DomainIndex,
    /// Capacity relative to other hosts, in hundredths of a core.
    pub weight: u16,
    /// Newest revision of the platform's facts that the host knows.
    pub revision: Revision,
    /// Configuration version in use.
    pub version: ConfigVersion,
    /// Whether the host can currently read from the platform.
    pub reads: bool,
    /// Epochs of the revision and the version, or `None` if the host runs a build that does not
    /// announce them. [`Gossip::encode`] appends them to the message.
    #[serde(skip)]
    pub epochs: Option<Epochs>,
    /// The number of requests that the host is running, or `None` if it runs a build that does not
    /// serve requests for other hosts. [`Gossip::encode`] appends it to the message.
    #[serde(skip)]
    pub load: Option<u16>,
    /// How long ago the platform last answered the host, in milliseconds, or `None` if the host does
    /// not read or runs a build that does not announce it. [`Gossip::encode`] appends it to the
    /// message.
    #[serde(skip)]
    pub source_age_ms: Option<u32>,
}

impl Heartbeat {
    /// Returns the point up to which the host knows the platform's facts, if it announces epochs.
    pub fn position(&self) -> Option<Position> {
        self.epochs.map(|epochs| Position { epoch: epochs.source, revision: self.revision })
    }

    /// Returns the place of the host's plan in the order of plans. A host that does not announce
    /// epochs is in the first series.
    pub fn plan_order(&self) -> PlanOrder {
        let series = self.epochs.unwrap_or_default().plan_series;
        PlanOrder { series, version: self.version }
    }

    /// Returns the sort key that ranks hosts by descending weight, then by address.
    const fn rank_key(&self) -> (std::cmp::Reverse<u16>, Ipv4Addr) {
        (std::cmp::Reverse(self.weight), self.ip)
    }
}

/// Gossip message between hosts.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender's own heartbeat, followed by those that it received from others.
    pub heartbeats: Vec<Heartbeat>,
    /// Requests a reply, because the sender knows no other host that is up.
    pub wants_answer: bool,
    /// The sender's use of servers that state a rate limit. [`Gossip::encode`] appends it to the
    /// message.
    #[serde(skip)]
    pub limit_reports: Vec<LimitReport>,
    /// Requests that may have crashed servers. [`Gossip::encode`] appends them after the former.
    #[serde(skip)]
    pub suspect_reports: Vec<SuspectReport>,
    /// The sender knows the fleet, and the heartbeats are those of all hosts that are up.
    /// [`Gossip::encode`] appends it to the message.
    #[serde(skip)]
    pub complete: bool,
}

/// The epochs of a message's heartbeats, which follow the message. Builds without epochs ignore
/// bytes after the message, builds without reports ignore bytes after the epochs, builds without
/// loads ignore bytes after the reports, builds without ages ignore bytes after the loads, and
/// builds without complete views ignore bytes after the ages.
#[derive(Debug, Serialize, Deserialize)]
struct GossipExtension {
    /// The epochs of the first heartbeat, and of all others that are not listed.
    sender: Option<Epochs>,
    /// The indices of the heartbeats with other epochs.
    differing: Vec<(u16, Option<Epochs>)>,
}

impl Gossip {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        let message = postcard::to_stdvec(self).expect("plain data always serializes");
        let has_epochs = self.heartbeats.iter().any(|heartbeat| heartbeat.epochs.is_some());
        let has_loads = self.heartbeats.iter().any(|heartbeat| heartbeat.load.is_some());
        // Each index is followed by the age of the last answer to that host.
        let ages: Vec<(u16, u32)> = (0..=u16::MAX)
            .zip(&self.heartbeats)
            .filter_map(|(index, heartbeat)| Some((index, heartbeat.source_age_ms?)))
            .collect();
        let has_ages = self.complete || !ages.is_empty();
        let has_loads = has_loads || has_ages;
        let has_reports =
            has_loads || !self.limit_reports.is_empty() || !self.suspect_reports.is_empty();
        if !has_epochs && !has_reports {
            return message;
        }
        let sender = self.heartbeats.first().and_then(|heartbeat| heartbeat.epochs);
        // A datagram holds fewer heartbeats than there are indices.
        let differing = (0..=u16::MAX)
            .zip(&self.heartbeats)
            .filter(|(_, heartbeat)| heartbeat.epochs != sender)
            .map(|(index, heartbeat)| (index, heartbeat.epochs))
            .collect();
        let extended = postcard::to_extend(&GossipExtension { sender, differing }, message);
        let extended = extended.and_then(|message| {
            if !has_reports {
                return Ok(message);
            }
            let message = postcard::to_extend(&self.limit_reports, message)?;
            let message = postcard::to_extend(&self.suspect_reports, message)?;
            if !has_loads {
                return Ok(message);
            }
            let loads: Vec<Option<u16>> = self.heartbeats.iter().map(|h| h.load).collect();
            let message = postcard::to_extend(&loads, message)?;
            if !has_ages {
                return Ok(message);
            }
            let message = postcard::to_extend(&ages, message)?;
            if self.complete { postcard::to_extend(&self.complete, message) } else { Ok(message) }
        });
        extended.expect("plain data always serializes")
    }

    /// Decodes a message; returns `None` if it is invalid.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (mut gossip, rest) = postcard::take_from_bytes::<Self>(bytes).ok()?;
        if rest.is_empty() {
            return Some(gossip);
        }
        let (extension, rest) = postcard::take_from_bytes::<GossipExtension>(rest).ok()?;
        if !rest.is_empty() {
            let (reports, rest) = postcard::take_from_bytes(rest).ok()?;
            (gossip.limit_reports, gossip.suspect_reports) = reports;
            if !rest.is_empty() {
                let (loads, rest) = postcard::take_from_bytes::<Vec<Option<u16>>>(rest).ok()?;
                gossip.heartbeats.iter_mut().zip(loads).for_each(|(h, load)| h.load = load);
                if !rest.is_empty() {
                    let (ages, rest) = postcard::take_from_bytes::<Vec<(u16, u32)>>(rest).ok()?;
                    for (index, age) in ages {
                        gossip.heartbeats.get_mut(usize::from(index))?.source_age_ms = Some(age);
                    }
                    if !rest.is_empty() {
                        gossip.complete = postcard::from_bytes(rest).ok()?;
                    }
                }
            }
        }
        for heartbeat in &mut gossip.heartbeats {
            heartbeat.epochs = extension.sender;
        }
        for (index, epochs) in extension.differing {
            gossip.heartbeats.get_mut(usize::from(index))?.epochs = epochs;
        }
        Some(gossip)
    }
}

/// Another host of the fleet.
#[derive(Debug, Clone, Copy)]
pub struct Member {
    /// Newest heartbeat of the host.
    pub heartbeat: Heartbeat,
    /// When that heartbeat was first received.
    pub received_at: Monotonic,
}

impl Member {
    /// Returns the heartbeat as it holds now: what it says of a past event is so much longer ago.
    fn heartbeat_at(&self, now: Monotonic) -> Heartbeat {
        let held_ms = millis(now.saturating_sub(self.received_at));
        let held_ms = u32::try_from(held_ms).unwrap_or(u32::MAX);
        let source_age_ms = self.heartbeat.source_age_ms.map(|age| age.saturating_add(held_ms));
        Heartbeat { source_age_ms, ..self.heartbeat }
    }

    /// Returns when the platform last answered the host, if it reads.
    fn source_answered_at(&self) -> Option<Monotonic> {
        let age = Duration::from_millis(self.heartbeat.source_age_ms?.into());
        Some(self.received_at.saturating_sub(age))
    }
}

/// Immutable snapshot of the fleet for the request path.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// The other hosts that are up, sorted by address.
    pub up: Vec<Heartbeat>,
    /// Number of known hosts, by which shared limits are divided. It includes this host and
    /// unresponsive ones.
    pub known_hosts: usize,
    /// Number of known hosts in each failure domain that has any.
    pub known_hosts_in: Vec<(DomainIndex, usize)>,
    /// Number of ready hosts in this host's failure domain that rank before it by weight.
    pub domain_rank: usize,
    /// How far `up` can be relied on to name all hosts that are up.
    pub knowledge: FleetKnowledge,
    /// The hosts to contact first, which may include this one and may be stale.
    pub seeds: SmallVec<[Ipv4Addr; 3]>,
}

impl FleetView {
    /// Returns the number of hosts by which limits on all hosts are divided, or `None` if this host
    /// knows no other one and can't tell yet whether there are any.
    pub fn sharing_hosts(&self) -> Option<usize> {
        let may_have_others = self.known_hosts <= 1 && self.knowledge == FleetKnowledge::Unknown;
        (!may_have_others).then_some(self.known_hosts)
    }

    /// Returns the number of known hosts in a failure domain, by which its limits are divided.
    pub fn known_hosts_in(&self, domain: DomainIndex) -> usize {
        self.known_hosts_in
            .iter()
            .find(|(known, _)| *known == domain)
            .map_or(0, |(_, hosts)| *hosts)
    }

    /// Returns the hosts of a failure domain that are up and ready.
    pub fn ready_in(&self, domain: DomainIndex) -> impl Iterator<Item = &Heartbeat> {
        self.up.iter().filter(move |h| h.domain == domain && h.phase == Phase::Ready)
    }

    /// Returns the `count` ready hosts of a failure domain with the highest weight. Hosts with the
    /// same view of the fleet return the same result.
    pub fn highest_weight_in(&self, domain: DomainIndex, count: usize) -> Vec<Heartbeat> {
        let mut hosts: Vec<Heartbeat> = self.ready_in(domain).copied().collect();
        if hosts.len() > count {
            hosts.sort_unstable_by_key(Heartbeat::rank_key);
            hosts.truncate(count);
        }
        hosts
    }
}

/// One host's membership state.
#[derive(Debug)]
pub struct Members {
    me: Heartbeat,
    others: BTreeMap<Ipv4Addr, Member>,
    discovery: Discovery,
    seeds: Vec<Ipv4Addr>,
    next_same_domain_round: Monotonic,
    next_cross_domain_round: Monotonic,
    /// The phase, and whether the host reads, as last sent to all hosts that must know at once.
    announced: (Phase, bool),
    /// When the platform last answered this host, while it reads.
    source_answered_at: Option<Monotonic>,
}

impl Members {
    /// Creates the state from the host's first heartbeat and its seeds.
    pub fn new(now: Monotonic, me: Heartbeat, seeds: Vec<Ipv4Addr>) -> Self {
        Self {
            me,
            others: BTreeMap::new(),
            discovery: Discovery::new(now),
            seeds,
            next_same_domain_round: now,
            next_cross_domain_round: now,
            announced: (me.phase, me.reads),
            source_answered_at: None,
        }
    }

    /// Replaces the seeds; returns whether they changed.
    pub fn set_seeds(&mut self, seeds: Vec<Ipv4Addr>) -> bool {
        let changed = self.seeds != seeds;
        self.seeds = seeds;
        changed
    }

    /// Returns this host's own heartbeat, which the caller updates before each tick.
    pub const fn own_heartbeat_mut(&mut self) -> &mut Heartbeat {
        &mut self.me
    }

    /// Returns whether this host announces that it reads the platform.
    pub const fn reads(&self) -> bool {
        self.me.reads
    }

    /// Records an answer of the platform: other hosts may rely on this one to read it.
    pub const fn on_source_answer(&mut self, now: Monotonic) {
        self.me.reads = true;
        self.source_answered_at = Some(now);
    }

    /// Records that this host does not read the platform, or can't; returns whether it did before.
    pub const fn stop_reading(&mut self) -> bool {
        self.source_answered_at = None;
        std::mem::replace(&mut self.me.reads, false)
    }

    /// Returns when the platform last answered another host, as far as this host knows.
    pub fn peer_answered_at(&self) -> Option<Monotonic> {
        self.others.values().filter_map(Member::source_answered_at).max()
    }

    /// Returns the gossip messages that are due, with their recipients.
    pub fn tick(&mut self, now: Monotonic, rng: &mut impl Rng) -> Vec<(Ipv4Addr, Gossip)> {
        self.discovery.on_tick(now);
        let age = |at| u32::try_from(millis(now.saturating_sub(at))).unwrap_or(u32::MAX);
        self.me.source_age_ms = self.source_answered_at.map(age);
        self.others.retain(|_, member| now.saturating_sub(member.received_at) < EVICTION_TIMEOUT);
        let mut recipients: Vec<Ipv4Addr> = Vec::new();
        if now >= self.next_same_domain_round {
            self.next_same_domain_round = now + SAME_DOMAIN_GOSSIP_INTERVAL;
            self.me.count += 1;
            let same_domain: Vec<Ipv4Addr> =
                self.live_addresses(now, |member| member.domain == self.me.domain);
            let fanout = if self.is_small_fleet() {
                SMALL_FLEET_SAME_DOMAIN_FANOUT
            } else {
                LARGE_FLEET_SAME_DOMAIN_FANOUT
            };
            recipients.extend(same_domain.sample(rng, fanout));
        }
        if now >= self.next_cross_domain_round {
            self.next_cross_domain_round = now + CROSS_DOMAIN_GOSSIP_INTERVAL;
            let other_domains: Vec<Ipv4Addr> =
                self.live_addresses(now, |member| member.domain != self.me.domain);
            let fanout = if self.is_small_fleet() {
                SMALL_FLEET_CROSS_DOMAIN_FANOUT
            } else {
                LARGE_FLEET_CROSS_DOMAIN_FANOUT
            };
            recipients.extend(other_domains.sample(rng, fanout));
            // Hosts that don't know each other share a seed. Contacting a seed now and then
            // reunites the sides of a partition that have considered each other down.
            let other_seeds = || self.seeds.iter().copied().filter(|seed| *seed != self.me.ip);
            let is_known = self.discovery.knowledge(now) == FleetKnowledge::Known;
            if recipients.is_empty() || !is_known {
                recipients.extend(other_seeds());
            } else if rng.random_ratio(1, 4) {
                recipients.extend(other_seeds().choose(rng));
            }
            recipients.sort_unstable();
            recipients.dedup();
        }
        let all = self.live_heartbeats(now);
        let wants_answer = all.len() == 1;
        let knows_all = self.knows_all(now, &all);
        // Traffic between domains is expensive, so a large fleet sends only the heartbeats that the
        // recipient can't get within its own domain.
        let own_domain: Vec<Heartbeat> = if self.is_small_fleet() {
            all.clone()
        } else {
            all.iter().filter(|heartbeat| heartbeat.domain == self.me.domain).copied().collect()
        };
        let in_other_domain = |ip: &Ipv4Addr| {
            self.others.get(ip).is_some_and(|member| member.heartbeat.domain != self.me.domain)
        };
        let gossip = |ip: Ipv4Addr| {
            let heartbeats = if in_other_domain(&ip) { &own_domain } else { &all };
            let complete = knows_all && heartbeats.len() == all.len();
            let heartbeats = heartbeats.clone();
            (ip, Gossip { heartbeats, wants_answer, complete, ..Gossip::default() })
        };
        let mut messages: Vec<(Ipv4Addr, Gossip)> = recipients.into_iter().map(gossip).collect();
        messages.extend(self.announcements(now));
        messages
    }

    /// Returns messages to the hosts that must not wait for the next rounds: those that would
    /// direct work to this host learn its phase, those of its domain whether it reads.
    fn announcements(&mut self, now: Monotonic) -> Vec<(Ipv4Addr, Gossip)> {
        let current = (self.me.phase, self.me.reads);
        let before = std::mem::replace(&mut self.announced, current);
        if before == current {
            return Vec::new();
        }
        let new_phase = before.0 != current.0;
        let own_domain = self.me.domain;
        self.me.count += 1;
        let recipients =
            self.live_addresses(now, |member| new_phase || member.domain == own_domain);
        let gossip = Gossip { heartbeats: vec![self.me], ..Gossip::default() };
        recipients.into_iter().map(|ip| (ip, gossip.clone())).collect()
    }

    /// Tells whether the live heartbeats are those of the whole fleet. A host that hears of no other
    /// one may be cut off, and says nothing to hosts that start.
    fn knows_all(&self, now: Monotonic, live: &[Heartbeat]) -> bool {
        live.len() > 1 && self.discovery.knowledge(now) == FleetKnowledge::Known
    }

    fn is_small_fleet(&self) -> bool {
        self.others.len() <= SMALL_FLEET_MAX_OTHERS
    }

    /// Returns a message with reports of this host's use of limited servers.
    pub fn limit_message(&self, limit_reports: Vec<LimitReport>) -> Gossip {
        Gossip { heartbeats: vec![self.me], limit_reports, ..Gossip::default() }
    }

    /// Returns a message about requests that may have crashed servers.
    pub fn suspect_message(&self, suspect_reports: Vec<SuspectReport>) -> Gossip {
        Gossip { heartbeats: vec![self.me], suspect_reports, ..Gossip::default() }
    }

    /// Merges a gossip message. Returns a reply if the sender requested one, or if its own
    /// heartbeat is older than the one known here.
    pub fn on_gossip(&mut self, now: Monotonic, gossip: Gossip) -> Option<(Ipv4Addr, Gossip)> {
        let from = gossip.heartbeats.first().map(|heartbeat| heartbeat.ip);
        let mut sender_is_stale = false;
        for mut heartbeat in gossip.heartbeats {
            if heartbeat.ip == self.me.ip {
                self.advance_own_incarnation(&heartbeat);
                continue;
            }
            let known = self.others.get(&heartbeat.ip).map(|member| member.heartbeat);
            let newer = known
                .is_none_or(|known| (heartbeat.life, heartbeat.count) > (known.life, known.count));
            if newer {
                // A host whose build has no epochs forwards heartbeats without them. The known ones
                // of the same incarnation can only lag.
                let same_life = known.filter(|known| known.life == heartbeat.life);
                heartbeat.epochs = heartbeat.epochs.or(same_life.and_then(|known| known.epochs));
                heartbeat.load = heartbeat.load.or(same_life.and_then(|known| known.load));
                self.others.insert(heartbeat.ip, Member { heartbeat, received_at: now });
            } else if Some(heartbeat.ip) == from && known.is_some_and(|k| k.life >= heartbeat.life)
            {
                sender_is_stale |= known.is_some_and(|k| k.count > heartbeat.count);
            }
        }
        if gossip.complete {
            self.discovery.on_complete_view(now);
        }
        let must_reply = gossip.wants_answer || sender_is_stale;
        let reply = |ip: &Ipv4Addr| {
            let mut heartbeats = self.live_heartbeats(now);
            let complete = self.knows_all(now, &heartbeats);
            // A host that was down for a while is not among the live ones, and must learn of the
            // heartbeats of its earlier process nevertheless.
            let earlier = self.others.get(ip).filter(|_| sender_is_stale);
            heartbeats.extend(earlier.map(|member| member.heartbeat));
            Gossip { heartbeats, complete, ..Gossip::default() }
        };
        from.filter(|_| must_reply).map(|ip| (ip, reply(&ip)))
    }

    /// Returns whether a host's newest heartbeat is recent enough to consider it up.
    fn is_up(&self, now: Monotonic, member: &Member) -> bool {
        let timeout = if member.heartbeat.domain == self.me.domain {
            SAME_DOMAIN_TIMEOUT
        } else if self.is_small_fleet() {
            SMALL_FLEET_CROSS_DOMAIN_TIMEOUT
        } else {
            LARGE_FLEET_CROSS_DOMAIN_TIMEOUT
        };
        now.saturating_sub(member.received_at) < timeout
    }

    /// Returns the snapshot for the request path.
    pub fn view(&self, now: Monotonic) -> FleetView {
        let up = self.others.values().filter(|member| self.is_up(now, member));
        let domains = self.others.values().map(|member| member.heartbeat.domain);
        let mut known_hosts_in: BTreeMap<DomainIndex, usize> = BTreeMap::new();
        for domain in domains.chain([self.me.domain]) {
            *known_hosts_in.entry(domain).or_default() += 1;
        }
        let ranks_higher = |member: &&Member| {
            let other = &member.heartbeat;
            let is_candidate = other.domain == self.me.domain && other.phase == Phase::Ready;
            is_candidate && other.rank_key() < self.me.rank_key()
        };
        let domain_rank = up.clone().filter(ranks_higher).count();
        FleetView {
            domain_rank,
            up: up.map(|member| member.heartbeat_at(now)).collect(),
            known_hosts: self.others.len() + 1,
            known_hosts_in: known_hosts_in.into_iter().collect(),
            knowledge: self.discovery.knowledge(now),
            seeds: SmallVec::from_slice(&self.seeds),
        }
    }

    fn live_addresses(
        &self,
        now: Monotonic,
        matches: impl Fn(&Heartbeat) -> bool,
    ) -> Vec<Ipv4Addr> {
        let up = self.others.iter().filter(|(_, member)| self.is_up(now, member));
        up.filter(|(_, member)| matches(&member.heartbeat)).map(|(ip, _)| *ip).collect()
    }

    fn live_heartbeats(&self, now: Monotonic) -> Vec<Heartbeat> {
        let up = self.others.values().filter(|member| self.is_up(now, member));
        std::iter::once(self.me).chain(up.map(|member| member.heartbeat_at(now))).collect()
    }

    /// Raises this host's incarnation above one that other hosts remember from an earlier process.
    fn advance_own_incarnation(&mut self, echo: &Heartbeat) {
        if (echo.life, echo.count) > (self.me.life, self.me.count) {
            self.me.life = echo.life + 1;
        }
    }
}

#[cfg(test)]
mod tests;
