//! Spreads what hosts say of themselves, and the configuration's version, within a fixed rate.
//!
//! When to send is a strategy; `docs/GOSSIP.md` weighs them. The token account strategies are
//! those of Danner and Jelasity, "Token Account Algorithms: The Best of the Proactive and
//! Reactive Worlds".

use std::collections::HashMap;
use std::time::Duration;

use rand::{Rng, RngExt};
use smallvec::SmallVec;

use crate::clock::Monotonic;
use crate::derive::data;
use crate::ids::{ConfigVersion, HostId, Incarnation};

/// The most rumors in one message, which bounds its size.
pub const MAX_RUMORS: usize = 16;
/// How often a host renews its own rumor without a change: at least this, and this for each host,
/// so that renewals fit into the messages.
const MIN_REFRESH: Duration = Duration::from_secs(5);
const REFRESH_PER_HOST: Duration = Duration::from_millis(50);

data! {
    /// What a host says of itself.
    pub struct HostRumor {
        /// The host.
        pub host: HostId,
        /// Which life of the host.
        pub incarnation: Incarnation,
        /// Counts the host's statements within one life.
        pub seq: u64,
        /// It takes no new callers.
        pub leaving: bool,
        /// The requests that it is running.
        pub load: u32,
        /// The seats whose lease it holds, with the epoch of each.
        pub holds: SmallVec<[HeldSeat; 2]>,
    }

    /// A seat that a host holds.
    pub struct HeldSeat {
        /// The seat.
        pub seat: HostId,
        /// Grows whenever the seat changes hands.
        pub epoch: u64,
    }

    /// One gossip message.
    pub struct Push {
        /// Who sends it.
        pub from: HostId,
        /// The version in force at the sender.
        pub config_version: ConfigVersion,
        /// The content hash of that version.
        pub config_hash: u64,
        /// The freshest rumors that the sender knows.
        pub rumors: Vec<HostRumor>,
    }
}

/// Decides when a node may send, as a function of its account of saved-up messages.
pub trait SendStrategy {
    /// Returns the probability of sending at a tick.
    fn proactive(&self, balance: u32) -> f64;
    /// Returns the expected number of messages to send upon a received one.
    fn reactive(&self, balance: u32, useful: bool) -> f64;
}

/// Sends one message at every tick and none in between.
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

/// The paper's simple token account: answers each message while there are tokens.
#[derive(Debug, Clone, Copy)]
pub struct SimpleTokens {
    /// The most tokens saved up.
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

/// The paper's randomized token account: spends a share of its tokens on useful messages.
#[derive(Debug, Clone, Copy)]
pub struct RandomizedTokens {
    /// The divisor of the balance that is spent upon a useful message; at least 1.
    pub spend_divisor: u32,
    /// The most tokens saved up.
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
struct Known {
    rumor: HostRumor,
    sent: u32,
    received_at: Monotonic,
}

/// One node's part in the gossip.
#[derive(Debug, Clone)]
pub struct Gossip<S> {
    me: HostId,
    strategy: S,
    balance: u32,
    own: HostRumor,
    renewed_at: Monotonic,
    known: HashMap<HostId, Known>,
    config_version: ConfigVersion,
    config_hash: u64,
}

/// What a received message brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received {
    /// How many messages to send in reaction.
    pub sends: u32,
    /// The sender has a newer configuration.
    pub newer_config: bool,
    /// The sender has another configuration under the same version.
    pub conflicting_config: bool,
    /// Whether anything was new.
    pub useful: bool,
}

impl<S: SendStrategy> Gossip<S> {
    /// Starts a node that knows only itself.
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

    /// Sets the configuration in force, which every message names.
    pub const fn set_config(&mut self, version: ConfigVersion, hash: u64) {
        self.config_version = version;
        self.config_hash = hash;
    }

    /// Says something new of this host; returns whether it differs from before.
    pub fn set_own(
        &mut self,
        now: Monotonic,
        leaving: bool,
        load: u32,
        holds: SmallVec<[HeldSeat; 2]>,
    ) -> bool {
        let changed = self.own.leaving != leaving || self.own.holds != holds;
        if changed || now >= self.renewed_at + self.refresh() {
            self.own.seq += 1;
            self.own.leaving = leaving;
            self.own.load = load;
            self.own.holds = holds;
            self.renewed_at = now;
            if let Some(known) = self.known.get_mut(&self.me) {
                known.sent = 0;
            }
        }
        changed
    }

    /// Returns how many messages to send at a tick; a tick grants one.
    pub fn tick(&mut self, rng: &mut impl Rng) -> u32 {
        if rng.random_bool(self.strategy.proactive(self.balance).clamp(0.0, 1.0)) {
            return 1;
        }
        self.balance += 1;
        0
    }

    /// Takes in a message.
    pub fn on_push(&mut self, now: Monotonic, push: &Push, rng: &mut impl Rng) -> Received {
        let mut useful = false;
        for rumor in &push.rumors {
            useful |= self.learn(now, rumor);
        }
        let newer_config = push.config_version > self.config_version;
        useful |= newer_config;
        let conflicting_config = push.config_version == self.config_version
            && self.config_version > 0
            && push.config_hash != self.config_hash;
        let sends = self.react(useful, rng);
        Received { sends, newer_config, conflicting_config, useful }
    }

    /// Returns the message to send now: the least sent rumors first, this host's own among them.
    pub fn message(&mut self) -> Push {
        let own = self.own.clone();
        let at = self.renewed_at;
        let entry = self.known.entry(self.me.clone());
        let known = entry.or_insert_with(|| Known { rumor: own.clone(), sent: 0, received_at: at });
        known.rumor = own;
        let mut order: Vec<&mut Known> = self.known.values_mut().collect();
        order.sort_by(|a, b| {
            let key = |k: &Known| (k.sent, std::cmp::Reverse(k.received_at));
            key(a).cmp(&key(b)).then_with(|| a.rumor.host.cmp(&b.rumor.host))
        });
        let rumors = order
            .into_iter()
            .take(MAX_RUMORS)
            .map(|known| {
                known.sent += 1;
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

    /// Returns what is known of every other host, with when it was learnt.
    pub fn rumors(&self) -> impl Iterator<Item = (&HostRumor, Monotonic)> {
        let others = self.known.values().filter(|known| known.rumor.host != self.me);
        others.map(|known| (&known.rumor, known.received_at))
    }

    /// Returns how often rumors are renewed at the number of hosts known.
    pub fn refresh(&self) -> Duration {
        let hosts = u32::try_from(self.known.len()).unwrap_or(u32::MAX);
        MIN_REFRESH.max(REFRESH_PER_HOST * hosts)
    }

    /// Returns when a host's newest rumor was learnt.
    pub fn learnt_at(&self, host: &HostId) -> Option<Monotonic> {
        self.known.get(host).map(|known| known.received_at)
    }

    /// Tells whether a host says that it leaves.
    pub fn is_leaving(&self, host: &HostId) -> bool {
        self.known.get(host).is_some_and(|known| known.rumor.leaving)
    }

    /// Returns what this host says of itself.
    pub const fn own(&self) -> &HostRumor {
        &self.own
    }

    /// Returns the version in force.
    pub const fn config_version(&self) -> ConfigVersion {
        self.config_version
    }

    fn learn(&mut self, now: Monotonic, rumor: &HostRumor) -> bool {
        if rumor.host == self.me {
            return false;
        }
        let order = |r: &HostRumor| (r.incarnation, r.seq);
        if let Some(known) = self.known.get(&rumor.host)
            && order(&known.rumor) >= order(rumor)
        {
            return false;
        }
        let known = Known { rumor: rumor.clone(), sent: 0, received_at: now };
        self.known.insert(rumor.host.clone(), known);
        true
    }

    fn react(&mut self, useful: bool, rng: &mut impl Rng) -> u32 {
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
