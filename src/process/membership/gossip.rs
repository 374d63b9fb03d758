//! Rate-limited gossip of host states and the configuration version.
//!
//! A strategy decides when to send; `docs/GOSSIP.md` compares them. The token account strategies
//! are those of Danner and Jelasity, "Token Account Algorithms: The Best of the Proactive and
//! Reactive Worlds".

use std::collections::HashMap;
use std::time::Duration;

use rand::{Rng, RngExt};
use smallvec::SmallVec;

use crate::clock::Monotonic;
use crate::derive::data;
use crate::ids::{ConfigVersion, HostId, Incarnation};

/// Maximum number of rumors in one message, which bounds its size.
pub const MAX_RUMORS: usize = 16;
/// Lower bound of the interval at which a host renews its own rumor without a change.
const MIN_RENEWAL_INTERVAL: Duration = Duration::from_secs(5);
/// Part of the renewal interval per known host, which lets the renewals of all hosts fit into the
/// messages. The interval is the larger of both.
const RENEWAL_INTERVAL_PER_HOST: Duration = Duration::from_millis(50);

data! {
    /// State that a host announces about itself.
    pub struct HostRumor {
        /// The host.
        pub host: HostId,
        /// Incarnation of the host.
        pub incarnation: Incarnation,
        /// Sequence number of the rumor within the incarnation.
        pub seq: u64,
        /// Whether the host is leaving and accepts no new callers.
        pub leaving: bool,
        /// Number of requests that it is running.
        pub load: u32,
        /// The seats whose leases it holds, with their epochs.
        pub holds: SmallVec<[HeldSeat; 2]>,
    }

    /// A seat that a host holds.
    pub struct HeldSeat {
        /// The seat.
        pub seat: HostId,
        /// Epoch of the lease, which increases whenever the seat gets another holder.
        pub epoch: u64,
    }

    /// Gossip message.
    pub struct Push {
        /// The sender.
        pub from: HostId,
        /// Configuration version in force at the sender.
        pub config_version: ConfigVersion,
        /// Content hash of that version.
        pub config_hash: u64,
        /// Rumors that the sender knows, at most [`MAX_RUMORS`].
        pub rumors: Vec<HostRumor>,
    }
}

/// Decides when a host sends, as a function of its token balance. A token permits one message.
pub trait SendStrategy {
    /// Returns the probability of sending a message at a tick.
    fn proactive(&self, balance: u32) -> f64;
    /// Returns the expected number of messages to send in reaction to a received one.
    fn reactive(&self, balance: u32, useful: bool) -> f64;
}

/// Sends one message at every tick and none in reaction.
#[derive(Debug, Clone, Copy, Default)]
pub struct Periodic;

impl SendStrategy for Periodic {
    fn proactive(&self, _balance: u32) -> f64 {
        1.0
    }

    fn reactive(&self, _balance: u32, _useful: bool) -> f64 {
        0.0
    }
}

/// The paper's simple token account: reacts to each message while tokens are left.
#[derive(Debug, Clone, Copy)]
pub struct SimpleTokens {
    /// Maximum balance.
    pub capacity: u32,
}

impl SendStrategy for SimpleTokens {
    fn proactive(&self, balance: u32) -> f64 {
        f64::from(u8::from(balance >= self.capacity))
    }

    fn reactive(&self, balance: u32, _useful: bool) -> f64 {
        f64::from(u8::from(balance > 0))
    }
}

/// The paper's randomized token account: spends a fraction of its balance on each useful message.
#[derive(Debug, Clone, Copy)]
pub struct RandomizedTokens {
    /// A useful message spends the balance divided by this; at least 1.
    pub spend_divisor: u32,
    /// Maximum balance.
    pub capacity: u32,
}

impl SendStrategy for RandomizedTokens {
    fn proactive(&self, balance: u32) -> f64 {
        let start = self.spend_divisor - 1;
        if balance < start {
            return 0.0;
        }
        let share = f64::from(balance - start) / f64::from(self.capacity - start);
        share.min(1.0)
    }

    fn reactive(&self, balance: u32, useful: bool) -> f64 {
        if useful { f64::from(balance) / f64::from(self.spend_divisor) } else { 0.0 }
    }
}

#[derive(Debug, Clone)]
struct KnownRumor {
    rumor: HostRumor,
    send_count: u32,
    received_at: Monotonic,
}

/// Gossip state of one host.
#[derive(Debug, Clone)]
pub struct Gossip<S> {
    me: HostId,
    strategy: S,
    balance: u32,
    own: HostRumor,
    renewed_at: Monotonic,
    known: HashMap<HostId, KnownRumor>,
    config_version: ConfigVersion,
    config_hash: u64,
}

/// Result of a received message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received {
    /// Number of messages to send in reaction.
    pub sends: u32,
    /// Whether the sender has a newer configuration.
    pub newer_config: bool,
    /// Whether the sender has different content under the same configuration version.
    pub conflicting_config: bool,
    /// Whether the message contained anything new.
    pub useful: bool,
}

impl<S: SendStrategy> Gossip<S> {
    /// Creates the state of a host that knows only itself.
    pub fn new(me: HostId, incarnation: Incarnation, strategy: S, now: Monotonic) -> Self {
        let own = HostRumor {
            host: me.clone(),
            incarnation,
            seq: 1,
            leaving: false,
            load: 0,
            holds: SmallVec::new(),
        };
        Self {
            me,
            strategy,
            balance: 0,
            own,
            renewed_at: now,
            known: HashMap::new(),
            config_version: 0,
            config_hash: 0,
        }
    }

    /// Sets the configuration in force, whose version and hash go into every message.
    pub const fn set_config(&mut self, version: ConfigVersion, hash: u64) {
        self.config_version = version;
        self.config_hash = hash;
    }

    /// Updates this host's own rumor if it changed or is due for renewal; returns whether the host
    /// started or stopped leaving or holds other seats.
    pub fn set_own(
        &mut self,
        now: Monotonic,
        leaving: bool,
        load: u32,
        holds: SmallVec<[HeldSeat; 2]>,
    ) -> bool {
        let changed = self.own.leaving != leaving || self.own.holds != holds;
        if changed || now >= self.renewed_at + self.renewal_interval() {
            self.own.seq += 1;
            self.own.leaving = leaving;
            self.own.load = load;
            self.own.holds = holds;
            self.renewed_at = now;
            if let Some(known) = self.known.get_mut(&self.me) {
                known.send_count = 0;
            }
        }
        changed
    }

    /// Returns the number of messages to send at a tick. A tick without a message adds a token.
    pub fn tick(&mut self, rng: &mut impl Rng) -> u32 {
        if rng.random_bool(self.strategy.proactive(self.balance).clamp(0.0, 1.0)) {
            return 1;
        }
        self.balance += 1;
        0
    }

    /// Merges a received message.
    pub fn on_push(&mut self, now: Monotonic, push: &Push, rng: &mut impl Rng) -> Received {
        let mut useful = false;
        for rumor in &push.rumors {
            useful |= self.merge(now, rumor);
        }
        let newer_config = push.config_version > self.config_version;
        useful |= newer_config;
        let conflicting_config = push.config_version == self.config_version
            && self.config_version > 0
            && push.config_hash != self.config_hash;
        let sends = self.take_reactive_sends(useful, rng);
        Received { sends, newer_config, conflicting_config, useful }
    }

    /// Returns the next message to send. It contains the rumors that were sent least often, this
    /// host's own among the candidates.
    pub fn message(&mut self) -> Push {
        let own = self.own.clone();
        let at = self.renewed_at;
        let entry = self.known.entry(self.me.clone());
        let known = entry.or_insert_with(|| KnownRumor {
            rumor: own.clone(),
            send_count: 0,
            received_at: at,
        });
        known.rumor = own;
        let mut order: Vec<&mut KnownRumor> = self.known.values_mut().collect();
        order.sort_by(|a, b| {
            let key = |k: &KnownRumor| (k.send_count, std::cmp::Reverse(k.received_at));
            key(a).cmp(&key(b)).then_with(|| a.rumor.host.cmp(&b.rumor.host))
        });
        let rumors = order
            .into_iter()
            .take(MAX_RUMORS)
            .map(|known| {
                known.send_count += 1;
                known.rumor.clone()
            })
            .collect();
        Push {
            from: self.me.clone(),
            config_version: self.config_version,
            config_hash: self.config_hash,
            rumors,
        }
    }

    /// Returns the newest rumor of every other host and when it was received.
    pub fn rumors(&self) -> impl Iterator<Item = (&HostRumor, Monotonic)> {
        let others = self.known.values().filter(|known| known.rumor.host != self.me);
        others.map(|known| (&known.rumor, known.received_at))
    }

    /// Returns the interval at which hosts renew their rumors, given the number of known hosts.
    pub fn renewal_interval(&self) -> Duration {
        let hosts = u32::try_from(self.known.len()).unwrap_or(u32::MAX);
        MIN_RENEWAL_INTERVAL.max(RENEWAL_INTERVAL_PER_HOST * hosts)
    }

    /// Returns when a host's newest rumor was received.
    pub fn received_at(&self, host: &HostId) -> Option<Monotonic> {
        self.known.get(host).map(|known| known.received_at)
    }

    /// Returns whether a host has announced that it is leaving.
    pub fn is_leaving(&self, host: &HostId) -> bool {
        self.known.get(host).is_some_and(|known| known.rumor.leaving)
    }

    /// Returns this host's own rumor.
    pub const fn own(&self) -> &HostRumor {
        &self.own
    }

    /// Returns the configuration version in force.
    pub const fn config_version(&self) -> ConfigVersion {
        self.config_version
    }

    fn merge(&mut self, now: Monotonic, rumor: &HostRumor) -> bool {
        if rumor.host == self.me {
            return false;
        }
        let order = |r: &HostRumor| (r.incarnation, r.seq);
        if let Some(known) = self.known.get(&rumor.host)
            && order(&known.rumor) >= order(rumor)
        {
            return false;
        }
        let known = KnownRumor { rumor: rumor.clone(), send_count: 0, received_at: now };
        self.known.insert(rumor.host.clone(), known);
        true
    }

    fn take_reactive_sends(&mut self, useful: bool, rng: &mut impl Rng) -> u32 {
        let expected = self.strategy.reactive(self.balance, useful);
        let whole = expected.floor();
        let extra = u32::from(rng.random_bool((expected - whole).clamp(0.0, 1.0)));
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let sends = (whole as u32 + extra).min(self.balance);
        self.balance -= sends;
        sends
    }
}

#[cfg(test)]
mod tests;
