//! Drives the gossip state machines in a table, to compare strategies at equal cost.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::clock::Monotonic;
use crate::process::membership::gossip::{
    Gossip, Periodic, Push, RandomizedTokens, SendStrategy, SimpleTokens,
};

/// The interval of ticks.
const TICK: Duration = Duration::from_millis(250);
/// The resolution of time within an interval.
const STEP: Duration = Duration::from_millis(10);
/// How long a message travels.
const FLIGHT_STEPS: u64 = 1;
/// Versions published in one trial, and the time between them.
const VERSIONS: u64 = 20;
const VERSION_EVERY: Duration = Duration::from_secs(10);

/// The result of one strategy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Trial {
    /// The mean time until every host has a version, in seconds.
    pub mean_all_s: f64,
    /// The worst.
    pub worst_all_s: f64,
    /// Versions that did not reach every host before the next one.
    pub missed: u64,
    /// Messages that a host sends in a second.
    pub messages_s: f64,
    /// Bytes that a host sends in a second.
    pub bytes_s: f64,
}

/// Runs all strategies and writes a table.
pub fn table(hosts: usize, loss_percent: u32, seed: u64) -> String {
    let mut text = format!(
        "{hosts} hosts, {loss_percent}% loss, one tick every {} ms, seed {seed}\n",
        TICK.as_millis()
    );
    writeln!(
        text,
        "{:<22} {:>12} {:>12} {:>7} {:>11} {:>9}",
        "strategy", "all, mean s", "all, worst s", "missed", "messages/s", "bytes/s"
    )
    .expect("writing to a string always succeeds");
    let mut add = |name: &str, trial: Trial| {
        writeln!(
            text,
            "{name:<22} {:>12.2} {:>12.2} {:>7} {:>11.2} {:>9.0}",
            trial.mean_all_s, trial.worst_all_s, trial.missed, trial.messages_s, trial.bytes_s
        )
        .expect("writing to a string always succeeds");
    };
    add("periodic push", trial(hosts, loss_percent, seed, Periodic));
    for capacity in [3, 10] {
        let strategy = SimpleTokens { capacity };
        add(&format!("simple C={capacity}"), trial(hosts, loss_percent, seed, strategy));
    }
    for (spend_divisor, capacity) in [(1, 3), (2, 6), (5, 10)] {
        let strategy = RandomizedTokens { spend_divisor, capacity };
        let name = format!("randomized A={spend_divisor} C={capacity}");
        add(&name, trial(hosts, loss_percent, seed, strategy));
    }
    text
}

/// Runs one strategy.
pub fn trial<S: SendStrategy + Copy>(
    hosts: usize,
    loss_percent: u32,
    seed: u64,
    strategy: S,
) -> Trial {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world = World::new(hosts, loss_percent, strategy);
    let mut times = Vec::new();
    let mut missed = 0;
    let steps_per_version = VERSION_EVERY.as_millis() / STEP.as_millis();
    for version in 1..=VERSIONS {
        let first = rng.random_range(0..hosts);
        world.nodes[first].set_config(version, version);
        let mut reached = None;
        for n in 0..steps_per_version {
            world.step(&mut rng);
            if reached.is_none() && world.nodes.iter().all(|g| g.config_version() >= version) {
                reached = Some(STEP * u32::try_from(n + 1).unwrap_or(u32::MAX));
            }
        }
        match reached {
            Some(time) => times.push(time.as_secs_f64()),
            None => missed += 1,
        }
        // A version that was missed must not be counted as the cost of the next one.
        world.nodes.iter_mut().for_each(|node| node.set_config(version, version));
    }
    #[expect(clippy::cast_precision_loss)]
    let (count, host_seconds) =
        (times.len().max(1) as f64, hosts as f64 * VERSIONS as f64 * VERSION_EVERY.as_secs_f64());
    #[expect(clippy::cast_precision_loss)]
    Trial {
        mean_all_s: times.iter().sum::<f64>() / count,
        worst_all_s: times.iter().copied().fold(0.0, f64::max),
        missed,
        messages_s: world.messages as f64 / host_seconds,
        bytes_s: world.bytes as f64 / host_seconds,
    }
}

struct World<S> {
    nodes: Vec<Gossip<S>>,
    next_tick: Vec<u64>,
    in_flight: BTreeMap<u64, Vec<(usize, Push)>>,
    now_steps: u64,
    loss_percent: u32,
    messages: u64,
    bytes: u64,
}

impl<S: SendStrategy + Copy> World<S> {
    fn new(hosts: usize, loss_percent: u32, strategy: S) -> Self {
        let nodes = (0..hosts)
            .map(|n| Gossip::new(format!("entry-{n}").into(), 1, strategy, Monotonic::ZERO))
            .collect();
        let period = tick_steps();
        Self {
            nodes,
            next_tick: (0..hosts as u64).map(|n| n % period).collect(),
            in_flight: BTreeMap::new(),
            now_steps: 0,
            loss_percent,
            messages: 0,
            bytes: 0,
        }
    }

    fn step(&mut self, rng: &mut SmallRng) {
        let now = STEP * u32::try_from(self.now_steps).unwrap_or(u32::MAX);
        for (to, push) in self.in_flight.remove(&self.now_steps).unwrap_or_default() {
            let received = self.nodes[to].on_push(now, &push, rng);
            if received.newer_config {
                self.nodes[to].set_config(push.config_version, push.config_hash);
            }
            self.send(to, received.sends, rng);
        }
        for n in 0..self.nodes.len() {
            if self.next_tick[n] == self.now_steps {
                self.next_tick[n] += tick_steps();
                let own = self.nodes[n].own().clone();
                self.nodes[n].set_own(now, own.leaving, own.load, own.holds);
                let sends = self.nodes[n].tick(rng);
                self.send(n, sends, rng);
            }
        }
        self.now_steps += 1;
    }

    fn send(&mut self, from: usize, count: u32, rng: &mut SmallRng) {
        for _ in 0..count {
            let push = self.nodes[from].message();
            self.messages += 1;
            self.bytes += postcard::to_allocvec(&push).map_or(0, |bytes| bytes.len() as u64);
            let to = (from + rng.random_range(1..self.nodes.len())) % self.nodes.len();
            if rng.random_range(0..100) >= self.loss_percent {
                let at = self.now_steps + FLIGHT_STEPS;
                self.in_flight.entry(at).or_default().push((to, push));
            }
        }
    }
}

fn tick_steps() -> u64 {
    u64::try_from(TICK.as_millis() / STEP.as_millis()).unwrap_or(1)
}
