//! Shares the rate limits that backend servers state among the hosts that send to them.
//!
//! A server in need states in its replies how many requests per second it takes from all hosts
//! together. Each host sends a share of that limit in proportion to its demand, which the hosts
//! report to each other. A pure state machine: time is an argument. See `docs/PLATFORM.md`, section
//! "Rate limits of servers".

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::clock::{Monotonic, millis};
use crate::connection::exchange::RateStatement;
use crate::ids::ServerId;
use crate::version::config::stable_hash;

/// How often a host reports its demand.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// The time constant of a host's demand. It bounds how far demand can rise before the other hosts
/// have received a report of it.
const DEMAND_TIME: Duration = Duration::from_secs(2);
/// A host's demand counts for this long after its last report.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_500);
/// Demand below this many requests per second is not reported.
const NEGLIGIBLE_DEMAND: f64 = 0.02;
/// The demand of a host that has not sent anything yet, so that it gets a share.
const INITIAL_DEMAND: f64 = 0.1;
/// A host may send a request at once if it has not sent any for a while. At most as many hosts share
/// a limit as it allows requests in this time, so that they don't exceed it together.
const BURST_WINDOW: Duration = Duration::from_secs(4);
/// The least rate that is shared. A limit of zero would otherwise never be seen to rise.
const PROBE_PER_S: f64 = 0.25;
/// The capacity of a host's token bucket beyond one token, as the time in which its share fills it.
/// Without it, what a host may send would be lost whenever no request is waiting for it.
const BURST_TIME: Duration = Duration::from_millis(250);
/// How long a lifted limit is remembered, so that late reports of it are recognized as outdated.
const LIFTED_MEMORY: Duration = Duration::from_secs(10);
/// A limit is forgotten if its server got no requests for this long.
const UNUSED_MEMORY: Duration = Duration::from_secs(60);
/// The longest time for which a relay's refusal is believed.
const MAX_RELAY_WAIT: Duration = Duration::from_secs(1);
/// A limit that differs by less than this fraction from the one logged last is not logged.
const LOGGED_CHANGE: f64 = 0.1;
/// The seed of the rendezvous hash; all hosts must use the same one.
const RANKING_SEED: u64 = 0x7175_6574_7a61_6c04;

/// A change of a server's limit that is worth a log line.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// The limit before, in requests per second.
    pub from: Option<f64>,
    /// The limit now.
    pub to: Option<f64>,
}

/// One host's demand for a limited server, as it is sent to other hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The server.
    pub server: ServerId,
    /// The limit in requests per second, or `None` if the server stated none last.
    pub per_s: Option<f32>,
    /// The time since a reply confirmed this.
    pub age_ms: u32,
    /// The requests per second that the sender has for the server.
    pub demand_per_s: f32,
}

/// A rate that decays exponentially.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingRate {
    per_s: f64,
    at: Monotonic,
}

impl DecayingRate {
    fn at(&self, now: Monotonic) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.per_s * (-elapsed / DEMAND_TIME.as_secs_f64()).exp()
    }

    fn count(&mut self, now: Monotonic) {
        self.per_s = self.at(now) + DEMAND_TIME.as_secs_f64().recip();
        self.at = now;
    }
}

#[derive(Debug, Clone, Copy)]
struct PeerDemand {
    host: Ipv4Addr,
    per_s: f64,
    received_at: Monotonic,
}

#[derive(Debug, Clone)]
struct ServerLimit {
    per_s: Option<f64>,
    /// When the reply arrived that confirmed the limit last.
    stated_at: Monotonic,
    /// When the request of that reply was sent.
    sent_at: Monotonic,
    logged: Option<f64>,
    invalid: bool,
    demand: DecayingRate,
    peers: SmallVec<[PeerDemand; 8]>,
    tokens: f64,
    refilled_at: Monotonic,
    /// A relay refuses requests for the server until then.
    relay_refuses_until: Monotonic,
    used_at: Monotonic,
}

impl ServerLimit {
    fn new(now: Monotonic) -> Self {
        Self {
            per_s: None,
            stated_at: Monotonic::ZERO,
            sent_at: Monotonic::ZERO,
            logged: None,
            invalid: false,
            demand: DecayingRate::default(),
            peers: SmallVec::new(),
            tokens: 0.0,
            refilled_at: now,
            relay_refuses_until: Monotonic::ZERO,
            used_at: now,
        }
    }

    /// Returns this host's share of the limit, in requests per second.
    fn share(&self, now: Monotonic, me: Ipv4Addr, server: &str, limit: f64) -> f64 {
        let limit = limit.max(PROBE_PER_S);
        let own = self.demand.at(now).max(INITIAL_DEMAND);
        let max_sharers = (limit * BURST_WINDOW.as_secs_f64()).max(1.0);
        let peers = self.active_peers(now);
        if (peers.clone().count() as f64) < max_sharers {
            let others: f64 = peers.map(|peer| peer.per_s).sum();
            return limit * own / (own + others);
        }
        // Hosts with little demand come last, as they would leave their share unused. The others rank
        // by a hash, since demand changes all the time.
        let all: f64 = peers.clone().map(|peer| peer.per_s).sum::<f64>() + own;
        let least = all / (2.0 * (peers.clone().count() + 1) as f64);
        let rank = |host: Ipv4Addr, demand: f64| {
            let mut key = host.octets().to_vec();
            key.extend_from_slice(server.as_bytes());
            ((demand >= least, stable_hash(RANKING_SEED, &key), host), demand)
        };
        let mut ranked: Vec<((bool, u64, Ipv4Addr), f64)> =
            peers.map(|peer| rank(peer.host, peer.per_s)).chain([rank(me, own)]).collect();
        ranked.sort_unstable_by_key(|(rank, _)| std::cmp::Reverse(*rank));
        ranked.truncate(max_sharers as usize);
        let total: f64 = ranked.iter().map(|(_, demand)| demand).sum();
        if ranked.iter().any(|((.., host), _)| *host == me) { limit * own / total } else { 0.0 }
    }

    fn active_peers(&self, now: Monotonic) -> impl Iterator<Item = &PeerDemand> + Clone {
        self.peers.iter().filter(move |peer| now.saturating_sub(peer.received_at) < REPORT_LIFETIME)
    }

    fn tokens(&self, now: Monotonic, share: f64) -> f64 {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let capacity = share.mul_add(BURST_TIME.as_secs_f64(), 1.0);
        elapsed.mul_add(share, self.tokens).min(capacity)
    }

    /// Puts a limit into force; returns the change if it is worth a log line.
    fn set(&mut self, now: Monotonic, per_s: Option<f64>) -> Option<LimitChange> {
        if self.per_s.is_none() {
            // Requests that were sent before count towards the limit as well.
            self.tokens = 0.0;
            self.refilled_at = now;
        }
        self.per_s = per_s;
        let same = match (self.logged, per_s) {
            (Some(from), Some(to)) => (to - from).abs() <= from * LOGGED_CHANGE,
            (from, to) => from == to,
        };
        let from = self.logged;
        if same {
            return None;
        }
        self.logged = per_s;
        Some(LimitChange { from, to: per_s })
    }
}

/// The rate limits of all backend servers, as one host knows them.
#[derive(Debug)]
pub struct RateLimits {
    me: Ipv4Addr,
    servers: HashMap<ServerId, ServerLimit>,
}

impl RateLimits {
    /// Creates the state of the host with this address, without limits.
    pub fn new(me: Ipv4Addr) -> Self {
        Self { me, servers: HashMap::new() }
    }

    /// Records what a reply said; its request was sent at `sent_at`. Returns the change if it is
    /// worth a log line.
    ///
    /// Replies may arrive in another order than the server wrote them. A limit is therefore lifted
    /// only by the reply to a request that was sent after the limit was last stated.
    pub fn on_reply(
        &mut self,
        now: Monotonic,
        server: &ServerId,
        sent_at: Monotonic,
        statement: RateStatement,
    ) -> Option<LimitChange> {
        if statement == RateStatement::Unlimited && !self.servers.contains_key(server) {
            return None;
        }
        let entry = self.entry(now, server);
        match statement {
            RateStatement::PerSecond(per_s) if sent_at >= entry.sent_at => {
                entry.invalid = false;
                let change = entry.set(now, Some(per_s));
                (entry.sent_at, entry.stated_at) = (sent_at, now);
                change
            }
            RateStatement::Unlimited if sent_at >= entry.stated_at => {
                entry.invalid = false;
                let change = entry.set(now, None);
                (entry.sent_at, entry.stated_at) = (sent_at, now);
                change
            }
            RateStatement::PerSecond(_) | RateStatement::Unlimited | RateStatement::Invalid => None,
        }
    }

    /// Tells whether an invalid statement of a server is the first since its last valid one.
    pub fn is_newly_invalid(&mut self, now: Monotonic, server: &ServerId) -> bool {
        !std::mem::replace(&mut self.entry(now, server).invalid, true)
    }

    /// Tells whether a server states a limit, or did so lately.
    pub fn knows(&self, server: &str) -> bool {
        self.servers.contains_key(server)
    }

    /// Returns how long this host must wait before it may send to a server itself, or `None` if it
    /// may send now.
    pub fn wait(&self, now: Monotonic, server: &str) -> Option<Duration> {
        let entry = self.servers.get(server)?;
        let share = entry.share(now, self.me, server, entry.per_s?);
        let missing = 1.0 - entry.tokens(now, share);
        if missing <= 0.0 {
            return None;
        }
        let wait = Duration::try_from_secs_f64(missing / share).unwrap_or(Duration::MAX);
        // A nanosecond more, since the conversion may have rounded down.
        Some(wait.saturating_add(Duration::from_nanos(1)).min(UNUSED_MEMORY))
    }

    /// Returns how long relays refuse requests for a server, or `None` if they accept them.
    pub fn relay_wait(&self, now: Monotonic, server: &str) -> Option<Duration> {
        let until = self.servers.get(server)?.relay_refuses_until;
        Some(until.saturating_sub(now)).filter(|wait| !wait.is_zero())
    }

    /// Records that a relay refused a request for a server, which it may send to after `wait`.
    pub fn on_relay_refusal(&mut self, now: Monotonic, server: &ServerId, wait: Duration) {
        self.entry(now, server).relay_refuses_until = now + wait.min(MAX_RELAY_WAIT);
    }

    /// Counts a request about to be sent; returns whether it may be sent.
    pub fn try_take(&mut self, now: Monotonic, server: &str) -> bool {
        let me = self.me;
        let Some(entry) = self.servers.get_mut(server) else { return true };
        entry.used_at = now;
        entry.demand.count(now);
        let Some(limit) = entry.per_s else { return true };
        let share = entry.share(now, me, server, limit);
        let tokens = entry.tokens(now, share);
        let granted = tokens >= 1.0;
        entry.tokens = if granted { tokens - 1.0 } else { tokens };
        entry.refilled_at = now;
        granted
    }

    /// Counts a request that would have been sent to a server but for its limit.
    pub fn on_denied(&mut self, now: Monotonic, server: &str) {
        if let Some(entry) = self.servers.get_mut(server) {
            entry.used_at = now;
            entry.demand.count(now);
        }
    }

    /// Returns what other hosts must know of this host's use of limited servers.
    pub fn reports(&self, now: Monotonic) -> Vec<LimitReport> {
        let report = |(server, entry): (&ServerId, &ServerLimit)| {
            let age = now.saturating_sub(entry.stated_at);
            let demand = if entry.per_s.is_some() { entry.demand.at(now) } else { 0.0 };
            let fresh = entry.stated_at > Monotonic::ZERO && age < REPORT_LIFETIME;
            (fresh || demand >= NEGLIGIBLE_DEMAND).then(|| LimitReport {
                server: server.clone(),
                per_s: entry.per_s.map(|per_s| per_s as f32),
                age_ms: u32::try_from(millis(age)).unwrap_or(u32::MAX),
                demand_per_s: demand as f32,
            })
        };
        self.servers.iter().filter_map(report).collect()
    }

    /// Tells whether a host has reported demand for a server lately.
    pub fn is_used_by(&self, now: Monotonic, server: &str, host: Ipv4Addr) -> bool {
        let entry = self.servers.get(server);
        entry.is_some_and(|entry| entry.active_peers(now).any(|peer| peer.host == host))
    }

    /// Merges the report of another host. Returns the change of the limit if it is worth a log line.
    pub fn on_report(
        &mut self,
        now: Monotonic,
        from: Ipv4Addr,
        report: &LimitReport,
    ) -> Option<LimitChange> {
        let is_rate = |rate: f32| rate.is_finite() && rate >= 0.0;
        if !report.per_s.is_none_or(is_rate) || !is_rate(report.demand_per_s) {
            return None;
        }
        if report.per_s.is_none() && !self.servers.contains_key(&report.server) {
            return None;
        }
        let entry = self.entry(now, &report.server);
        entry.peers.retain(|peer| {
            peer.host != from && now.saturating_sub(peer.received_at) < REPORT_LIFETIME
        });
        let per_s = f64::from(report.demand_per_s);
        if per_s > 0.0 {
            entry.peers.push(PeerDemand { host: from, per_s, received_at: now });
        }
        let stated_at = now.saturating_sub(Duration::from_millis(u64::from(report.age_ms)));
        if stated_at <= entry.stated_at {
            return None;
        }
        (entry.stated_at, entry.sent_at) = (stated_at, stated_at);
        entry.set(now, report.per_s.map(f64::from))
    }

    /// Returns this host's share of a server's limit in requests per second, if there is a limit.
    pub fn share(&self, now: Monotonic, server: &str) -> Option<f64> {
        let entry = self.servers.get(server)?;
        Some(entry.share(now, self.me, server, entry.per_s?))
    }

    /// Returns the number of servers with a limit in force.
    pub fn in_force(&self) -> usize {
        self.servers.values().filter(|entry| entry.per_s.is_some()).count()
    }

    /// Evicts lifted limits and those of servers that are not used any more.
    pub fn evict(&mut self, now: Monotonic) {
        self.servers.retain(|_, entry| {
            let memory = if entry.per_s.is_some() { UNUSED_MEMORY } else { LIFTED_MEMORY };
            now.saturating_sub(entry.used_at.max(entry.stated_at)) < memory
        });
    }

    fn entry(&mut self, now: Monotonic, server: &ServerId) -> &mut ServerLimit {
        if !self.servers.contains_key(server) {
            self.servers.insert(server.clone(), ServerLimit::new(now));
        }
        self.servers.get_mut(server).expect("it was inserted above")
    }
}

#[cfg(test)]
mod tests;
