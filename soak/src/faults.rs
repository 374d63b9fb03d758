//! The faults of a run, drawn at random from its seed.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use quetzal_platform_standin::server::{Mode, Server};
use quetzal_platform_standin::settings;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};

use serde_json::json;

use crate::cold::ColdStart;
use crate::invariants::Violation;
use crate::proxy::LinkMode;
use crate::restore::Restore;
use crate::succession::Succession;
use crate::world::{Endpoint, RateLimit, World};

/// Faults start after this time, when all hosts are up.
pub const FIRST_FAULT_AFTER: Duration = Duration::from_secs(3);
/// Faults end this long before the end of a run, so that the hosts must serve requests again.
pub const FAULT_FREE_END: Duration = Duration::from_secs(8);
/// The upper limit of a fault's duration: longer than hosts take to detect that another failed,
/// shorter than a daemon's grace period.
pub const MAX_FAULT_MS: u64 = 2_500;
/// How long the store keeps the entry of a replaced server, as it does after a crash.
pub const STALE_ENTRY_TIME: Duration = Duration::from_millis(1_500);
/// The rate limits that servers state; without one, a server gets some 100 requests a second.
const RATE_LIMITS_PER_S: [f64; 4] = [0.5, 5.0, 20.0, 50.0];
const LATE_REPLY_SEED: u64 = 0x6c61_7465_7265_706c;
const RATE_LIMIT_SEED: u64 = 0x6c69_6d69_7473;
/// How long a server is down after a crash.
const CRASH_DOWNTIME: Duration = Duration::from_millis(2_000);
/// The share of a planned absence for which a server says that it drains.
const DRAINING_SHARE: f64 = 0.7;

/// The kind of a fault, with the index of the host or endpoint that it affects, if it affects one.
#[derive(Debug, Clone, Copy)]
pub enum FaultKind {
    /// A host is stopped with SIGSTOP, then continued.
    Stop(usize),
    /// A host is killed, then restarted.
    Kill(usize),
    /// All hosts are killed at once, then restarted.
    KillAll,
    /// A host receives SIGTERM and is restarted once it has exited.
    Term(usize),
    /// A host receives SIGHUP, on which it reads its settings again.
    Hup(usize),
    /// A server handles requests in a faulty mode.
    Server(usize, Mode),
    /// The connections to a server are disrupted.
    Link(usize, LinkMode),
    /// The connections to the store are disrupted.
    Store(LinkMode),
    /// A server is replaced by another one at the same address.
    Replace(usize),
    /// A server is drained, removed and added again.
    Drain(usize),
    /// A new version of the plan is published.
    Plan,
    /// A server leaves for the duration and starts again under its id; `true` if it drains first.
    Leave(usize, bool),
    /// A failure domain is taken out of service.
    Evacuate(usize),
    /// The servers of a shard reject half of their requests, and send some replies twice.
    LateReplies(usize),
    /// The servers of a shard become cold.
    Cold(ColdStart),
    /// A server states a rate limit, in requests per second.
    RateLimit(usize, f64),
    /// The store is away, then returns from a copy.
    Restore(Restore),
    /// The hosts that read the store are lost just before changes.
    Succession(Succession),
}

/// One fault of a run.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    /// When the fault starts, counted from the start of the run.
    pub at: Duration,
    pub duration: Duration,
    pub kind: FaultKind,
}

impl Fault {
    /// Returns when to begin with the fault: a copy is taken before the store goes away.
    pub fn starts_after(&self) -> Duration {
        match self.kind {
            FaultKind::Restore(restore) => self.at.saturating_sub(restore.copy_age),
            _ => self.at,
        }
    }
}

/// Draws the faults of a seed, ordered by start time; they may overlap.
pub fn draw(
    seed: u64,
    count: usize,
    length: Duration,
    hosts: usize,
    endpoints: usize,
) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let latest = (length - FAULT_FREE_END).as_millis() as u64 - MAX_FAULT_MS;
    let earliest = FIRST_FAULT_AFTER.as_millis() as u64;
    let draw_one = |rng: &mut SmallRng| {
        let (host, endpoint) = (rng.random_range(0..hosts), rng.random_range(0..endpoints));
        let link_modes = [LinkMode::Slow, LinkMode::Silent, LinkMode::OneWay, LinkMode::Reset];
        let link_mode = *link_modes.choose(rng).expect("there are modes");
        let modes = [Mode::Slow, Mode::Sheds, Mode::Silent, Mode::BreaksOff];
        let mode = *modes.choose(rng).expect("there are modes");
        let kind = match rng.random_range(0..14) {
            0 | 1 => FaultKind::Stop(host),
            2 | 3 => FaultKind::Kill(host),
            4 => FaultKind::KillAll,
            5 | 6 => FaultKind::Term(host),
            7 => FaultKind::Hup(host),
            8 => FaultKind::Server(endpoint, mode),
            9 => FaultKind::Link(endpoint, link_mode),
            10 => FaultKind::Store(link_mode),
            11 => FaultKind::Replace(endpoint),
            12 => FaultKind::Drain(endpoint),
            _ => FaultKind::Plan,
        };
        Fault {
            at: Duration::from_millis(rng.random_range(earliest..latest)),
            duration: Duration::from_millis(rng.random_range(300..MAX_FAULT_MS)),
            kind,
        }
    };
    let mut faults: Vec<Fault> = (0..count).map(|_| draw_one(&mut rng)).collect();
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Draws rate limits of servers in different shards, which last until the fault-free end.
pub fn draw_rate_limits(
    seed: u64,
    count: usize,
    length: Duration,
    (domains, endpoints): (usize, usize),
) -> Vec<Fault> {
    // Apart from the other faults, so that these are the same with any number of limits.
    let mut rng = SmallRng::seed_from_u64(seed ^ RATE_LIMIT_SEED);
    let mut shards: Vec<usize> = (0..endpoints / domains).collect();
    shards.shuffle(&mut rng);
    let draw_one = |shard: usize| {
        let endpoint = shard * domains + rng.random_range(0..domains);
        let per_s = *RATE_LIMITS_PER_S.choose(&mut rng).expect("there are limits");
        let at = FIRST_FAULT_AFTER + Duration::from_millis(rng.random_range(0..2_000));
        let duration = (length - FAULT_FREE_END).saturating_sub(at);
        Fault { at, duration, kind: FaultKind::RateLimit(endpoint, per_s) }
    };
    shards.into_iter().take(count).map(draw_one).collect()
}

/// Draws times in which the servers of a shard reject requests and send replies twice. The first
/// shard is the one whose requests may run at most once.
pub fn draw_late_replies(
    seed: u64,
    count: usize,
    length: Duration,
    (domains, endpoints): (usize, usize),
) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ LATE_REPLY_SEED);
    let latest = (length - FAULT_FREE_END).as_millis() as u64 - MAX_FAULT_MS;
    let earliest = FIRST_FAULT_AFTER.as_millis() as u64;
    let draw_one = |_| {
        let other = rng.random_range(0..endpoints / domains);
        let shard = if rng.random_bool(0.7) { 0 } else { other };
        Fault {
            at: Duration::from_millis(rng.random_range(earliest..latest)),
            duration: Duration::from_millis(rng.random_range(MAX_FAULT_MS / 2..MAX_FAULT_MS)),
            kind: FaultKind::LateReplies(shard),
        }
    };
    (0..count).map(draw_one).collect()
}

/// Takes down each server that crashes for [`CRASH_DOWNTIME`]; runs until it is aborted.
pub async fn play_crashes(world: Arc<World>) {
    let mut known = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(2)).await;
        for crash in world.request_log.crashes_after(known) {
            known += 1;
            let all = &world.endpoints;
            let Some(at) = all.iter().position(|e| e.server().id == crash.server) else { continue };
            let world = world.clone();
            tokio::spawn(async move {
                let endpoint = &world.endpoints[at];
                let disruption = endpoint.link_disruptions.begin();
                endpoint.proxy.set_mode(LinkMode::Refuse);
                tokio::time::sleep(CRASH_DOWNTIME).await;
                endpoint.proxy.set_mode(LinkMode::Whole);
                endpoint.link_disruptions.end(disruption);
            });
        }
    }
}

/// Injects a fault and removes it after its duration; returns a violation if a host does not exit
/// after SIGTERM. `n` is the number of the fault.
pub async fn inject(world: Arc<World>, fault: Fault, n: usize) -> io::Result<Option<Violation>> {
    tokio::time::sleep(fault.starts_after()).await;
    match fault.kind {
        FaultKind::Stop(host) => {
            let host = &world.hosts[host];
            let (disruption, intervention) = (host.disruptions.begin(), host.interventions.begin());
            let stop = host.stops.begin();
            host.signal(Signal::SIGSTOP);
            tokio::time::sleep(fault.duration).await;
            host.signal(Signal::SIGCONT);
            host.stops.end(stop);
            host.disruptions.end(disruption);
            host.interventions.end(intervention);
        }
        FaultKind::Kill(host) => {
            kill_and_restart(&world, &[host], fault.duration, Duration::ZERO).await?
        }
        FaultKind::KillAll => {
            let all: Vec<usize> = (0..world.hosts.len()).collect();
            kill_and_restart(&world, &all, fault.duration, Duration::ZERO).await?;
        }
        FaultKind::Term(host) => {
            let host = &world.hosts[host];
            let Some(process_id) = host.process_id() else { return Ok(None) };
            let intervention = host.interventions.begin();
            host.signal(Signal::SIGTERM);
            let exited = host.wait_for_exit(process_id).await;
            if host.process_id() == Some(process_id) || !exited {
                host.start()?;
            }
            host.interventions.end(intervention);
            if !exited {
                let reason = "a host did not exit in time after SIGTERM";
                return Ok(Some(Violation { reason, detail: host.ip.to_string() }));
            }
        }
        FaultKind::Hup(host) => world.hosts[host].signal(Signal::SIGHUP),
        FaultKind::Server(endpoint, mode) => {
            world.endpoints[endpoint].server().set_mode(mode);
            tokio::time::sleep(fault.duration).await;
            world.endpoints[endpoint].server().set_mode(Mode::Answers);
        }
        FaultKind::LateReplies(shard) => {
            let domains = world.domains.len();
            let endpoints = &world.endpoints[shard * domains..(shard + 1) * domains];
            for endpoint in endpoints {
                endpoint.server().set_mode(Mode::ShedsHalf);
                endpoint.proxy.set_repeats_replies(true);
            }
            tokio::time::sleep(fault.duration).await;
            for endpoint in endpoints {
                endpoint.server().set_mode(Mode::Answers);
                endpoint.proxy.set_repeats_replies(false);
            }
        }
        FaultKind::Cold(start) => start.play(&world, fault.duration).await?,
        FaultKind::RateLimit(endpoint, per_s) => {
            let server = world.endpoints[endpoint].server();
            server.set_rate_limit(Some(per_s));
            let from = Instant::now();
            tokio::time::sleep(fault.duration).await;
            server.set_rate_limit(None);
            let limit = RateLimit { server: server.id, per_s, from, until: Instant::now() };
            world.rate_limits.lock().expect("no holder of the lock panics").push(limit);
        }
        FaultKind::Link(endpoint, link_mode) => {
            let endpoint = &world.endpoints[endpoint];
            let disruption = endpoint.link_disruptions.begin();
            endpoint.proxy.set_mode(link_mode);
            tokio::time::sleep(fault.duration).await;
            endpoint.proxy.set_mode(LinkMode::Whole);
            endpoint.link_disruptions.end(disruption);
        }
        FaultKind::Store(link_mode) => {
            let disruption = world.store_disruptions.begin();
            world.set_store_links(link_mode);
            tokio::time::sleep(fault.duration).await;
            world.set_store_links(LinkMode::Whole);
            world.store_disruptions.end(disruption);
        }
        FaultKind::Replace(endpoint) => replace(&world, endpoint, n).await?,
        FaultKind::Drain(endpoint) => {
            let endpoint = &world.endpoints[endpoint];
            let (key, draining) = endpoint.entry(true);
            world.writers.write(&key, Some(draining)).await;
            tokio::time::sleep(fault.duration).await;
            world.writers.write(&key, None).await;
            tokio::time::sleep(fault.duration).await;
            come_back(&world, endpoint, &key).await;
        }
        FaultKind::Plan => world.writers.write_next_plan(&world.shards).await,
        FaultKind::Leave(endpoint, drains) => {
            leave(&world, endpoint, drains, fault.duration).await;
        }
        FaultKind::Evacuate(domain) => {
            let key = settings::evacuation_key(world.domains[domain]);
            world.writers.write(&key, Some(json!({ "since": n }))).await;
            tokio::time::sleep(fault.duration).await;
            world.writers.write(&key, None).await;
        }
        FaultKind::Restore(restore) => restore.play(&world, fault.duration).await,
        FaultKind::Succession(succession) => succession.play(&world, fault.duration).await?,
    }
    Ok(None)
}

/// Lets a server leave for some time; `drains` tells whether it says so before its entry is removed.
pub async fn leave(world: &World, endpoint: usize, drains: bool, duration: Duration) {
    let endpoint = &world.endpoints[endpoint];
    let (key, draining) = endpoint.entry(true);
    if drains {
        world.writers.write(&key, Some(draining)).await;
        tokio::time::sleep(duration.mul_f64(DRAINING_SHARE)).await;
    }
    world.writers.write(&key, None).await;
    let rest = if drains { 1.0 - DRAINING_SHARE } else { 1.0 };
    tokio::time::sleep(duration.mul_f64(rest)).await;
    come_back(world, endpoint, &key).await;
}

/// Registers the server of an endpoint as ready, unless another one has taken its place.
async fn come_back(world: &World, endpoint: &Endpoint, key: &str) {
    endpoint.server.lock().expect("no holder of the lock panics").start_again();
    let (current_key, ready) = endpoint.entry(false);
    if current_key == key {
        world.writers.write(key, Some(ready)).await;
    }
}

/// Kills hosts at once and starts them again after some time, the last ones first, within `spread` of
/// each other.
pub async fn kill_and_restart(
    world: &World,
    hosts: &[usize],
    downtime: Duration,
    spread: Duration,
) -> io::Result<()> {
    let hosts = hosts.iter().map(|host| &world.hosts[*host]);
    let killed: Vec<_> =
        hosts.map(|host| (host, host.disruptions.begin(), host.interventions.begin())).collect();
    killed.iter().for_each(|(host, ..)| host.kill());
    tokio::time::sleep(downtime).await;
    let pause = spread / u32::try_from(killed.len()).unwrap_or(1).max(1);
    for (host, disruption, intervention) in killed.into_iter().rev() {
        host.start()?;
        tokio::time::sleep(pause).await;
        host.disruptions.end(disruption);
        host.interventions.end(intervention);
    }
    Ok(())
}

/// Replaces the server of an endpoint by a new one; the store gets the new entry only after the old
/// one has lapsed.
async fn replace(world: &World, endpoint: usize, n: usize) -> io::Result<()> {
    let endpoint = &world.endpoints[endpoint];
    let old = endpoint.server();
    let id = format!("{}-{n}", old.id);
    let new = Server::new(id, old.service.clone(), old.records.clone(), world.request_log.clone());
    let addr = new.serve(world.standin_ip).await?;
    let disruption = endpoint.link_disruptions.begin();
    endpoint.proxy.set_mode(LinkMode::Reset);
    endpoint.proxy.set_target(addr);
    tokio::time::sleep(Duration::from_millis(50)).await;
    endpoint.proxy.set_mode(LinkMode::Whole);
    endpoint.link_disruptions.end(disruption);
    *endpoint.server.lock().expect("no holder of the lock panics") = new.clone();
    tokio::time::sleep(STALE_ENTRY_TIME).await;
    world.writers.write(&settings::server_key(&old.id), None).await;
    let (key, entry) = endpoint.entry(false);
    world.writers.write(&key, Some(entry)).await;
    Ok(())
}

#[cfg(test)]
mod tests;
