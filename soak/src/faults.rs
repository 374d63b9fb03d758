//! The faults of a run, drawn at random from its seed.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::Signal;
use quetzal_platform_standin::server::{Mode, Server};
use quetzal_platform_standin::settings;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use crate::proxy::LinkMode;
use crate::world::{COVERAGE_FLOOR, RECORD_COUNT, World};

/// Faults start after this time, when all hosts are up.
pub const FIRST_FAULT_AFTER: Duration = Duration::from_secs(3);
/// Faults end this long before the end of a run, so that the hosts must serve requests again.
pub const FAULT_FREE_END: Duration = Duration::from_secs(8);
/// The upper limit of a fault's duration: longer than hosts take to detect that another failed,
/// shorter than a daemon's grace period.
const MAX_FAULT_MS: u64 = 2_500;
/// How long the store keeps the entry of a replaced server, as it does after a crash.
const STALE_ENTRY_TIME: Duration = Duration::from_millis(1_500);

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
}

/// One fault of a run.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    /// When the fault starts, counted from the start of the run.
    pub at: Duration,
    pub duration: Duration,
    pub kind: FaultKind,
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

/// Injects a fault and removes it after its duration; returns a violation if a host does not exit
/// after SIGTERM. `n` is the number of the fault.
pub async fn inject(world: Arc<World>, fault: Fault, n: usize) -> io::Result<Option<String>> {
    tokio::time::sleep(fault.at).await;
    match fault.kind {
        FaultKind::Stop(host) => {
            let host = &world.hosts[host];
            let disruption = host.begin_disruption();
            host.signal(Signal::SIGSTOP);
            tokio::time::sleep(fault.duration).await;
            host.signal(Signal::SIGCONT);
            host.end_disruption(disruption);
        }
        FaultKind::Kill(host) => kill_and_restart(&world, &[host], fault.duration).await?,
        FaultKind::KillAll => {
            let all: Vec<usize> = (0..world.hosts.len()).collect();
            kill_and_restart(&world, &all, fault.duration).await?;
        }
        FaultKind::Term(host) => {
            let host = &world.hosts[host];
            let Some(process_id) = host.process_id() else { return Ok(None) };
            host.signal(Signal::SIGTERM);
            let exited = host.wait_for_exit(process_id).await;
            if host.process_id() == Some(process_id) || !exited {
                host.start()?;
            }
            if !exited {
                return Ok(Some(format!("{} did not exit in time after SIGTERM", host.ip)));
            }
        }
        FaultKind::Hup(host) => world.hosts[host].signal(Signal::SIGHUP),
        FaultKind::Server(endpoint, mode) => {
            world.endpoints[endpoint].server().set_mode(mode);
            tokio::time::sleep(fault.duration).await;
            world.endpoints[endpoint].server().set_mode(Mode::Answers);
        }
        FaultKind::Link(endpoint, link_mode) => {
            world.endpoints[endpoint].proxy.set_mode(link_mode);
            tokio::time::sleep(fault.duration).await;
            world.endpoints[endpoint].proxy.set_mode(LinkMode::Whole);
        }
        FaultKind::Store(link_mode) => {
            world.store_proxy.set_mode(link_mode);
            tokio::time::sleep(fault.duration).await;
            world.store_proxy.set_mode(LinkMode::Whole);
        }
        FaultKind::Replace(endpoint) => replace(&world, endpoint, n).await?,
        FaultKind::Drain(endpoint) => {
            let endpoint = &world.endpoints[endpoint];
            let (server, key) = (endpoint.server(), settings::server_key(&endpoint.server().id));
            let entry = |draining| {
                settings::server(&server.service, endpoint.proxy.addr, endpoint.domain, draining)
            };
            world.store.put(&key, &entry(true)).expect("the store is present");
            tokio::time::sleep(fault.duration).await;
            world.store.remove(&key).expect("the store is present");
            tokio::time::sleep(fault.duration).await;
            world.store.put(&key, &entry(false)).expect("the store is present");
        }
        FaultKind::Plan => {
            let plan = settings::plan(n as u64 + 2, &world.shards, RECORD_COUNT, COVERAGE_FLOOR);
            world.store.put(settings::PLAN_KEY, &plan).expect("the store is present");
        }
    }
    Ok(None)
}

async fn kill_and_restart(world: &World, hosts: &[usize], downtime: Duration) -> io::Result<()> {
    let hosts = hosts.iter().map(|host| &world.hosts[*host]);
    let killed: Vec<_> = hosts.map(|host| (host, host.begin_disruption())).collect();
    killed.iter().for_each(|(host, _)| host.kill());
    tokio::time::sleep(downtime).await;
    for (host, disruption) in killed {
        host.start()?;
        host.end_disruption(disruption);
    }
    Ok(())
}

/// Replaces the server of an endpoint by a new one; the store gets the new entry only after the old
/// one has lapsed.
async fn replace(world: &World, endpoint: usize, n: usize) -> io::Result<()> {
    let endpoint = &world.endpoints[endpoint];
    let old = endpoint.server();
    let id = format!("{}-{n}", old.id);
    let new = Server::new(id, old.service.clone(), old.records.clone(), world.run_counts.clone());
    let addr = new.serve(world.standin_ip).await?;
    endpoint.proxy.set_mode(LinkMode::Reset);
    endpoint.proxy.set_target(addr);
    tokio::time::sleep(Duration::from_millis(50)).await;
    endpoint.proxy.set_mode(LinkMode::Whole);
    *endpoint.server.lock().expect("no holder of the lock panics") = new.clone();
    tokio::time::sleep(STALE_ENTRY_TIME).await;
    world.store.remove(&settings::server_key(&old.id)).expect("the store is present");
    let entry = settings::server(&new.service, endpoint.proxy.addr, endpoint.domain, false);
    world.store.put(&settings::server_key(&new.id), &entry).expect("the store is present");
    Ok(())
}

#[cfg(test)]
mod tests;
