//! Servers that become cold while hosts are lost and start again.

use std::io;
use std::time::{Duration, Instant};

use quetzal_platform_standin::settings::{BEAT_MS, added_route_shard};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::faults::{FAULT_FREE_END, FIRST_FAULT_AFTER, Fault, FaultKind, kill_and_restart};
use crate::invariants::Violation;
use crate::world::{ColdPeriod, World};

/// The requests per second that a cold server takes from all hosts together.
pub const COLD_PER_S: f64 = 20.0;
/// Separates the draws of cold starts from those of the other faults.
const SEED_MASK: u64 = 0x636f_6c64_7374_6172;
/// How long servers are cold.
const COLD_MS: std::ops::Range<u64> = 4_000..8_000;
/// A host must know of a cold server this long after the store has acknowledged it: the time between
/// two heartbeats of a server, in which a lost message is made up for.
const NOTICE_TIME: Duration = Duration::from_millis(BEAT_MS);

/// Which hosts are lost while servers are cold.
#[derive(Debug, Clone, Copy)]
enum Loss {
    None,
    All,
    /// The hosts of one failure domain.
    Domain(usize),
    /// A host and the ones after it, up to a share of all.
    Share(usize, f64),
}

/// One cold start of the servers of a shard.
#[derive(Debug, Clone, Copy)]
pub struct ColdStart {
    loss: Loss,
    /// The time from the acknowledgement to the loss, how long the hosts are down, and within what
    /// time of each other they start.
    loss_after: Duration,
    downtime: Duration,
    spread: Duration,
}

impl ColdStart {
    fn draw(rng: &mut SmallRng, domains: usize, hosts: usize) -> Self {
        let loss = match rng.random_range(0..5) {
            0 => Loss::None,
            1 => Loss::Domain(rng.random_range(0..domains)),
            2 => Loss::Share(rng.random_range(0..hosts), rng.random_range(0.2..0.9)),
            _ => Loss::All,
        };
        Self {
            loss,
            loss_after: Duration::from_millis(rng.random_range(500..2_500)),
            downtime: Duration::from_millis(rng.random_range(100..1_000)),
            spread: Duration::from_millis(rng.random_range(0..300)),
        }
    }

    /// Makes the servers cold for `lasts`, and loses the hosts meanwhile.
    pub async fn play(self, world: &World, lasts: Duration) -> io::Result<()> {
        // The servers of the route on which callers insist, unless another plan comes meanwhile.
        let route = world.writers.newest_plan().saturating_sub(1).max(1);
        let shard = added_route_shard(route, world.shards.len());
        let domains = world.domains.len();
        let endpoints = &world.endpoints[shard * domains..(shard + 1) * domains];
        let until = Instant::now() + lasts;
        let mut servers = Vec::new();
        for endpoint in endpoints {
            endpoint.extend_cold(until);
            let (key, entry) = endpoint.entry(false);
            world.writers.write(&key, Some(entry)).await;
            servers.push((endpoint.server().id, Instant::now()));
        }
        tokio::time::sleep(self.loss_after).await;
        let hosts: Vec<usize> = (0..world.hosts.len()).filter(|n| self.loses(world, *n)).collect();
        kill_and_restart(world, &hosts, self.downtime, self.spread).await?;
        tokio::time::sleep_until(until.into()).await;
        for (endpoint, (server, from)) in endpoints.iter().zip(servers) {
            let period = ColdPeriod { server, from, until };
            world.cold_periods.lock().expect("no holder of the lock panics").push(period);
            let has_ended = endpoint.end_cold(until);
            let (key, entry) = endpoint.entry(false);
            // Another fault may have taken the server out of service meanwhile.
            if has_ended && world.writers.store.value(&key).is_some() {
                world.writers.write(&key, Some(entry)).await;
            }
        }
        Ok(())
    }

    fn loses(self, world: &World, host: usize) -> bool {
        let count = world.hosts.len();
        match self.loss {
            Loss::None => false,
            Loss::All => true,
            Loss::Domain(domain) => world.hosts[host].domain == world.domains[domain],
            Loss::Share(first, share) => {
                let place = (host + count - first) % count;
                (place as f64) < share * count as f64
            }
        }
    }
}

/// Draws cold starts of a seed, evenly over the run.
pub fn draw(
    seed: u64,
    count: usize,
    length: Duration,
    (domains, hosts): (usize, usize),
) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ SEED_MASK);
    let longest = Duration::from_millis(COLD_MS.end);
    let room = length.saturating_sub(FAULT_FREE_END + longest + FIRST_FAULT_AFTER);
    let draw_one = |n: usize| {
        let share = (n as f64 + rng.random_range(0.0..1.0)) / count as f64;
        let at = FIRST_FAULT_AFTER + room.mul_f64(share);
        let duration = Duration::from_millis(rng.random_range(COLD_MS));
        let start = ColdStart::draw(&mut rng, domains, hosts);
        Fault { at, duration, kind: FaultKind::Cold(start) }
    };
    (0..count).map(draw_one).collect()
}

/// Checks that cold servers got no more requests in a second than they tolerate, from all hosts
/// together. A host that is stopped while the others learn of a cold server can't know of it.
pub fn check(world: &World) -> Vec<Violation> {
    let arrivals = world.request_log.arrivals();
    let periods = world.cold_periods.lock().expect("no holder of the lock panics");
    let tolerated = COLD_PER_S * 1.5 + 5.0;
    let mut violations = Vec::new();
    for period in periods.iter() {
        let known_from = period.from + NOTICE_TIME;
        let could_know = world.store_is_stable(period.from, period.until)
            && !world.hosts.iter().any(|host| host.stops.overlap(period.from, known_from));
        if !could_know {
            continue;
        }
        let at: Vec<Instant> = arrivals
            .iter()
            .filter(|arrival| arrival.server == period.server)
            .map(|arrival| arrival.at)
            .filter(|at| *at >= known_from && *at < period.until)
            .collect();
        let in_a_second = |from: &Instant| {
            at.iter().filter(|at| **at >= *from && **at < *from + Duration::from_secs(1)).count()
        };
        let most = at.iter().map(in_a_second).max().unwrap_or(0);
        if most as f64 > tolerated {
            let detail = format!("{}: {most} in a second", period.server);
            let reason = "a cold server got more requests than it tolerates";
            violations.push(Violation { reason, detail });
        }
    }
    violations
}

#[cfg(test)]
mod tests;
