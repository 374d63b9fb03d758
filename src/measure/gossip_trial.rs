//! Simulates the gossip state machines of a fleet, to compare send strategies at equal cost.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::clock::Monotonic;
use crate::process::membership::gossip::{
    Gossip, Periodic, Push, RandomizedTokens, SendStrategy, SimpleTokens,
};

/// Interval between a host's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Length of a simulation step.
const STEP: Duration = Duration::from_millis(10);
/// Network delay of a message, in steps.
const DELAY_STEPS: u64 = 1;
/// Number of versions published in one simulation, and the interval between them.
const VERSIONS: u64 = 20;
const VERSION_INTERVAL: Duration = Duration::from_secs(10);

/// The result of simulating one strategy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TrialResult {
    /// Mean time until every host has a version, in seconds, over the versions that reached all
    /// hosts.
    pub mean_convergence_s: f64,
    /// Longest time until every host has a version, in seconds.
    pub worst_convergence_s: f64,
    /// Number of versions that did not reach every host before the next one was published.
    pub missed: u64,
    /// Messages that a host sends per second.
    pub messages_per_s: f64,
    /// Bytes that a host sends per second.
    pub bytes_per_s: f64,
}

/// Simulates all strategies and returns the results as a table.
pub fn table(hosts: usize, loss_percent: u32, seed: u64) -> String {
    let mut text = format!(
        "{hosts} hosts, {loss_percent}% loss, one tick every {} ms, seed {seed}\n",
        TICK_INTERVAL.as_millis()
    );
    writeln!(
        text,
        "{:<22} {:>12} {:>12} {:>7} {:>11} {:>9}",
        "strategy", "all, mean s", "all, worst s", "missed", "messages/s", "bytes/s"
    )
    .expect("writing to a string always succeeds");
    let mut add_row = |name: &str, result: TrialResult| {
        writeln!(
            text,
            "{name:<22} {:>12.2} {:>12.2} {:>7} {:>11.2} {:>9.0}",
            result.mean_convergence_s,
            result.worst_convergence_s,
            result.missed,
            result.messages_per_s,
            result.bytes_per_s
        )
        .expect("writing to a string always succeeds");
    };
    add_row("periodic push", run_trial(hosts, loss_percent, seed, Periodic));
    for capacity in [3, 10] {
        let strategy = SimpleTokens { capacity };
        add_row(&format!("simple C={capacity}"), run_trial(hosts, loss_percent, seed, strategy));
    }
    for (spend_divisor, capacity) in [(1, 3), (2, 6), (5, 10)] {
        let strategy = RandomizedTokens { spend_divisor, capacity };
        let name = format!("randomized A={spend_divisor} C={capacity}");
        add_row(&name, run_trial(hosts, loss_percent, seed, strategy));
    }
    text
}

/// Simulates one strategy.
pub fn run_trial<S: SendStrategy + Copy>(
    hosts: usize,
    loss_percent: u32,
    seed: u64,
    strategy: S,
) -> TrialResult {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut simulation = Simulation::new(hosts, loss_percent, strategy);
    let mut convergence_times = Vec::new();
    let mut missed = 0;
    let steps_per_version = VERSION_INTERVAL.as_millis() / STEP.as_millis();
    for version in 1..=VERSIONS {
        let origin = rng.random_range(0..hosts);
        simulation.nodes[origin].set_config(version, version);
        let mut converged_after = None;
        for n in 0..steps_per_version {
            simulation.step(&mut rng);
            if converged_after.is_none()
                && simulation.nodes.iter().all(|g| g.config_version() >= version)
            {
                converged_after = Some(STEP * u32::try_from(n + 1).unwrap_or(u32::MAX));
            }
        }
        match converged_after {
            Some(time) => convergence_times.push(time.as_secs_f64()),
            None => missed += 1,
        }
        // Hosts that missed the version get it now, so that it doesn't count as a cost of the next.
        simulation.nodes.iter_mut().for_each(|node| node.set_config(version, version));
    }
    #[expect(clippy::cast_precision_loss)]
    let (count, host_seconds) = (
        convergence_times.len().max(1) as f64,
        hosts as f64 * VERSIONS as f64 * VERSION_INTERVAL.as_secs_f64(),
    );
    #[expect(clippy::cast_precision_loss)]
    TrialResult {
        mean_convergence_s: convergence_times.iter().sum::<f64>() / count,
        worst_convergence_s: convergence_times.iter().copied().fold(0.0, f64::max),
        missed,
        messages_per_s: simulation.messages as f64 / host_seconds,
        bytes_per_s: simulation.bytes as f64 / host_seconds,
    }
}

/// A simulated fleet whose messages are delayed and lost at random.
struct Simulation<S> {
    nodes: Vec<Gossip<S>>,
    next_tick: Vec<u64>,
    in_flight: BTreeMap<u64, Vec<(usize, Push)>>,
    now_steps: u64,
    loss_percent: u32,
    messages: u64,
    bytes: u64,
}

impl<S: SendStrategy + Copy> Simulation<S> {
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
                let at = self.now_steps + DELAY_STEPS;
                self.in_flight.entry(at).or_default().push((to, push));
            }
        }
    }
}

fn tick_steps() -> u64 {
    u64::try_from(TICK_INTERVAL.as_millis() / STEP.as_millis()).unwrap_or(1)
}
