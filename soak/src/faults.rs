//! The faults of a run, drawn from its seed.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use nix::sys::signal::Signal;
use quetzal_platform_standin::server::{Mode, Server};
use quetzal_platform_standin::settings;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use crate::proxy::Link;
use crate::world::{FLOOR, RECORD_COUNT, World};

/// Faults begin after this, when all hosts are up.
pub const FIRST: Duration = Duration::from_secs(3);
/// All faults are over this long before the end, so that service must be back.
pub const CALM_END: Duration = Duration::from_secs(8);
/// The longest fault, in milliseconds: longer than hosts take to miss each other, shorter than a
/// daemon's grace.
const LONGEST_MS: u64 = 2_500;
/// A replaced server's old entry stays for this long, as that of a crashed one does.
const ENTRY_STAYS: Duration = Duration::from_millis(1_500);

/// What fails.
#[derive(Debug, Clone, Copy)]
pub enum Kind {
    /// A host stands still.
    Stop(usize),
    /// A host is killed and started again.
    Kill(usize),
    /// All hosts are killed at once.
    KillAll,
    /// A host is told to end, and started again.
    Term(usize),
    /// A host is told to read its settings again.
    Hup(usize),
    /// A server misbehaves.
    Server(usize, Mode),
    /// A server's link is harmed.
    Link(usize, Link),
    /// The store's link is harmed.
    Store(Link),
    /// Another server has a server's address.
    Replace(usize),
    /// A server drains, goes and comes back.
    Drain(usize),
    /// A new plan is published.
    Plan,
}

/// One fault of a run.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    pub at: Duration,
    pub lasts: Duration,
    pub kind: Kind,
}

/// Draws the faults of a seed; they may overlap.
pub fn draw(seed: u64, count: usize, length: Duration, hosts: usize, places: usize) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let latest = (length - CALM_END).as_millis() as u64 - LONGEST_MS;
    let earliest = FIRST.as_millis() as u64;
    let one = |rng: &mut SmallRng| {
        let (host, place) = (rng.random_range(0..hosts), rng.random_range(0..places));
        let links = [Link::Slow, Link::Silent, Link::OneWay, Link::Reset];
        let link = *links.choose(rng).expect("there are links");
        let modes = [Mode::Slow, Mode::Sheds, Mode::Silent, Mode::BreaksOff];
        let mode = *modes.choose(rng).expect("there are modes");
        let kind = match rng.random_range(0..14) {
            0 | 1 => Kind::Stop(host),
            2 | 3 => Kind::Kill(host),
            4 => Kind::KillAll,
            5 | 6 => Kind::Term(host),
            7 => Kind::Hup(host),
            8 => Kind::Server(place, mode),
            9 => Kind::Link(place, link),
            10 => Kind::Store(link),
            11 => Kind::Replace(place),
            12 => Kind::Drain(place),
            _ => Kind::Plan,
        };
        Fault {
            at: Duration::from_millis(rng.random_range(earliest..latest)),
            lasts: Duration::from_millis(rng.random_range(300..LONGEST_MS)),
            kind,
        }
    };
    let mut faults: Vec<Fault> = (0..count).map(|_| one(&mut rng)).collect();
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Causes a fault and ends it; returns what a host did wrong meanwhile.
pub async fn cause(world: Arc<World>, fault: Fault, n: usize) -> io::Result<Option<String>> {
    tokio::time::sleep(fault.at).await;
    match fault.kind {
        Kind::Stop(host) => {
            let host = &world.hosts[host];
            let disturbance = host.disturb();
            host.signal(Signal::SIGSTOP);
            tokio::time::sleep(fault.lasts).await;
            host.signal(Signal::SIGCONT);
            host.calm(disturbance);
        }
        Kind::Kill(host) => kill(&world, &[host], fault.lasts).await?,
        Kind::KillAll => {
            let all: Vec<usize> = (0..world.hosts.len()).collect();
            kill(&world, &all, fault.lasts).await?;
        }
        Kind::Term(host) => {
            let host = &world.hosts[host];
            let Some(process) = host.process() else { return Ok(None) };
            host.signal(Signal::SIGTERM);
            let ended = host.ended(process).await;
            if host.process() == Some(process) || !ended {
                host.start()?;
            }
            if !ended {
                return Ok(Some(format!("{} did not end after SIGTERM", host.ip)));
            }
        }
        Kind::Hup(host) => world.hosts[host].signal(Signal::SIGHUP),
        Kind::Server(place, mode) => {
            world.places[place].server().set_mode(mode);
            tokio::time::sleep(fault.lasts).await;
            world.places[place].server().set_mode(Mode::Answers);
        }
        Kind::Link(place, link) => {
            world.places[place].proxy.set(link);
            tokio::time::sleep(fault.lasts).await;
            world.places[place].proxy.set(Link::Whole);
        }
        Kind::Store(link) => {
            world.store_proxy.set(link);
            tokio::time::sleep(fault.lasts).await;
            world.store_proxy.set(Link::Whole);
        }
        Kind::Replace(place) => replace(&world, place, n).await?,
        Kind::Drain(place) => {
            let place = &world.places[place];
            let (server, key) = (place.server(), settings::server_key(&place.server().id));
            let entry = |draining| {
                settings::server(&server.service, place.proxy.addr, place.domain, draining)
            };
            world.store.put(&key, &entry(true));
            tokio::time::sleep(fault.lasts).await;
            world.store.remove(&key);
            tokio::time::sleep(fault.lasts).await;
            world.store.put(&key, &entry(false));
        }
        Kind::Plan => {
            let plan = settings::plan(n as u64 + 2, &world.shards, RECORD_COUNT, FLOOR);
            world.store.put(settings::PLAN_KEY, &plan);
        }
    }
    Ok(None)
}

async fn kill(world: &World, hosts: &[usize], down: Duration) -> io::Result<()> {
    let hosts = hosts.iter().map(|host| &world.hosts[*host]);
    let killed: Vec<_> = hosts.map(|host| (host, host.disturb())).collect();
    killed.iter().for_each(|(host, _)| host.end());
    tokio::time::sleep(down).await;
    for (host, disturbance) in killed {
        host.start()?;
        host.calm(disturbance);
    }
    Ok(())
}

/// Puts another server in a server's place; the old entry lapses, then the new one appears.
async fn replace(world: &World, place: usize, n: usize) -> io::Result<()> {
    let place = &world.places[place];
    let old = place.server();
    let id = format!("{}-{n}", old.id);
    let new = Server::new(id, old.service.clone(), old.records.clone(), world.ledger.clone());
    let addr = new.serve(world.standin_ip).await?;
    place.proxy.set(Link::Reset);
    place.proxy.set_target(addr);
    tokio::time::sleep(Duration::from_millis(50)).await;
    place.proxy.set(Link::Whole);
    *place.server.lock().expect("no holder of the lock panics") = new.clone();
    tokio::time::sleep(ENTRY_STAYS).await;
    world.store.remove(&settings::server_key(&old.id));
    let entry = settings::server(&new.service, place.proxy.addr, place.domain, false);
    world.store.put(&settings::server_key(&new.id), &entry);
    Ok(())
}

#[cfg(test)]
mod tests;
