//! The fault soak: runs real daemons under faults drawn from a seed; see `docs/SOAK.md`.

mod bounds;
mod callers;
mod cold;
mod faults;
mod invariants;
mod misbehaving;
mod periods;
mod proxy;
mod restore;
mod succession;
mod timeline;
mod world;
mod writers;

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bpaf::Bpaf;
use miette::IntoDiagnostic;
use quetzal_platform_standin::settings::CALLER_PORT;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::callers::SentRequests;
use crate::invariants::Violation;
use crate::world::{Host, Size, World};

/// The time that hosts get to start before callers send the first requests, in all and for each host.
const WARM_UP: Duration = Duration::from_millis(1_500);
const HOST_WARM_UP: Duration = Duration::from_millis(50);
/// Requests must be served again this long after the last fault.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
/// Concurrent runs use different subnets of the loopback network; this is how many there are.
const SUBNETS: u64 = 200;
/// A run listens on this port of its subnet, so that a concurrent one takes another subnet.
const CLAIM_PORT: u16 = 18_098;

/// Run real daemons under faults drawn from a seed
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// First seed; by default the current time, so that each run differs
    #[bpaf(long, argument("N"), optional)]
    seed: Option<u64>,
    /// Number of seeds to run, one after another
    #[bpaf(long, argument("N"), fallback(1))]
    count: u64,
    /// How long each seed runs, in seconds
    #[bpaf(long, argument("S"), fallback(30), guard(|s| *s >= 16, "give at least 16 seconds"))]
    seconds: u64,
    /// Number of hosts
    #[bpaf(long, argument("N"), fallback(4), guard(|n| (1..=250).contains(n), "give 1 to 250"))]
    hosts: u8,
    /// Number of callers
    #[bpaf(long, argument("N"), fallback(12))]
    callers: usize,
    /// Number of faults
    #[bpaf(long, argument("N"), fallback(10))]
    faults: usize,
    /// Number of times that the store returns from an older copy, besides the other faults
    #[bpaf(long, argument("N"), fallback(2))]
    restores: usize,
    /// Number of servers that state a rate limit
    #[bpaf(long, argument("N"), fallback(2))]
    rate_limits: usize,
    /// Number of callers that send a request which crashes servers
    #[bpaf(long, argument("N"), fallback(1))]
    crashing_callers: usize,
    /// Number of losses of the hosts that read the store, with changes just after
    #[bpaf(long, argument("N"), fallback(0))]
    successions: usize,
    /// Number of times that servers reject requests and send replies twice
    #[bpaf(long, argument("N"), fallback(0))]
    late_replies: usize,
    /// Number of times that the servers of a shard become cold, most of them with a loss of hosts
    #[bpaf(long, argument("N"), fallback(0))]
    cold_starts: usize,
    /// Number of callers that insist on each host, while there are cold starts
    #[bpaf(long, argument("N"), fallback(4))]
    insisting_callers: usize,
    /// Number of clients of each host that hold connections open and complete nothing
    #[bpaf(long, argument("N"), fallback(0))]
    misbehaving_clients: usize,
    /// Number of failure domains
    #[bpaf(long, argument("N"), fallback(2), guard(|n| (1..=4).contains(n), "give 1 to 4"))]
    domains: usize,
    /// Number of routes in each plan that no caller uses
    #[bpaf(long, argument("N"), fallback(0))]
    idle_routes: usize,
    /// Number of servers that no route uses
    #[bpaf(long, argument("N"), fallback(0))]
    idle_servers: usize,
    /// Path of the daemon; by default quetzal-platform in the directory of this program
    #[bpaf(long, argument("FILE"), optional)]
    daemon: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> miette::Result<ExitCode> {
    let options = options().run();
    let seconds_now =
        || SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_secs());
    let first_seed = options.seed.unwrap_or_else(seconds_now);
    let daemon = match &options.daemon {
        Some(daemon) => daemon.clone(),
        None => std::env::current_exe().into_diagnostic()?.with_file_name("quetzal-platform"),
    };
    let mut failed = 0;
    for seed in first_seed..first_seed + options.count {
        let folder =
            std::env::temp_dir().join(format!("quetzal-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).into_diagnostic()?;
        let violations = run(&options, seed, &daemon, &folder).await.into_diagnostic()?;
        if violations.is_empty() {
            std::fs::remove_dir_all(&folder).into_diagnostic()?;
            continue;
        }
        failed += 1;
        println!("seed {seed}: {} broken promises; logs in {}", violations.len(), folder.display());
        print_violations(&violations);
    }
    println!("{} of {} seeds kept every promise", options.count - failed, options.count);
    Ok(if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs one seed and returns the violations.
async fn run(
    options: &Options,
    seed: u64,
    daemon: &Path,
    folder: &Path,
) -> std::io::Result<Vec<Violation>> {
    let length = Duration::from_secs(options.seconds);
    let (subnet, _claim) = claim_subnet(seed)?;
    let size = Size {
        hosts: options.hosts,
        domains: options.domains,
        idle_routes: options.idle_routes,
        idle_servers: options.idle_servers,
    };
    let world = World::start(subnet, seed, size, daemon, folder).await?;
    let started_at = Instant::now();
    let (hosts, endpoints) = (world.hosts.len(), world.endpoints.len());
    let mut planned_faults = faults::draw(seed, options.faults, length, hosts, endpoints);
    planned_faults.extend(restore::draw(
        seed,
        options.restores,
        length,
        hosts,
        (options.domains, endpoints),
    ));
    planned_faults.extend(faults::draw_rate_limits(
        seed,
        options.rate_limits,
        length,
        (options.domains, endpoints),
    ));
    planned_faults.extend(succession::draw(seed, options.successions, length, endpoints));
    let sizes = (options.domains, endpoints);
    planned_faults.extend(faults::draw_late_replies(seed, options.late_replies, length, sizes));
    planned_faults.extend(cold::draw(seed, options.cold_starts, length, (options.domains, hosts)));
    println!("seed {seed}: {}", summary(&planned_faults));
    let crashes = tokio::spawn(faults::play_crashes(world.clone()));
    let injections: Vec<_> = planned_faults
        .into_iter()
        .enumerate()
        .map(|(n, fault)| tokio::spawn(faults::inject(world.clone(), fault, n)))
        .collect();
    tokio::time::sleep(WARM_UP.max(HOST_WARM_UP * options.hosts.into())).await;
    let requests = SentRequests::default();
    let stop_at = started_at + length;
    let caller = |n: usize| {
        let rng = SmallRng::seed_from_u64(seed ^ (n as u64 + 1) << 32);
        tokio::spawn(callers::run(world.clone(), n, rng, requests.clone(), stop_at))
    };
    let probe = |(n, host): (usize, &Host)| {
        let rng = SmallRng::seed_from_u64(!seed ^ (n as u64 + 1) << 32);
        let addr = (host.ip, CALLER_PORT).into();
        tokio::spawn(callers::probe(world.clone(), addr, rng, requests.clone(), stop_at))
    };
    let insisting_caller = |n: usize| {
        let addr = (world.hosts[n % hosts].ip, CALLER_PORT).into();
        tokio::spawn(callers::insist(world.clone(), addr, n, requests.clone(), stop_at))
    };
    let insisting = if options.cold_starts > 0 { options.insisting_callers * hosts } else { 0 };
    let crashing_caller = |n: usize| {
        let rng = SmallRng::seed_from_u64(seed ^ !(n as u64) << 32);
        let stop_at = stop_at - faults::FAULT_FREE_END;
        tokio::spawn(callers::send_crashing(world.clone(), n, rng, requests.clone(), stop_at))
    };
    let crashing: Vec<_> = (0..options.crashing_callers).map(crashing_caller).collect();
    let callers: Vec<_> =
        (0..options.callers).map(caller).chain(world.hosts.iter().enumerate().map(probe)).collect();
    let insisting: Vec<_> = (0..insisting).map(insisting_caller).collect();
    let misbehaving_client = |n: usize| {
        let rng = SmallRng::seed_from_u64(seed ^ (n as u64 + 1) << 16);
        let ip = world.hosts[n % hosts].ip;
        tokio::spawn(misbehaving::run(ip, n, rng, stop_at))
    };
    let misbehaving: Vec<_> =
        (0..options.misbehaving_clients * hosts).map(misbehaving_client).collect();
    let mut violations = Vec::new();
    for injection in injections {
        violations.extend(injection.await.map_err(std::io::Error::other)??);
    }
    for caller in callers.into_iter().chain(crashing).chain(insisting) {
        caller.await.map_err(std::io::Error::other)?;
    }
    crashes.abort();
    violations.extend(misbehaving::check(&world));
    for client in misbehaving {
        client.await.map_err(std::io::Error::other)?;
    }
    let requests = requests.lock().expect("no holder of the lock panics").clone();
    let recovered_by = stop_at - faults::FAULT_FREE_END + RECOVERY_TIME;
    violations.extend(invariants::check_invariants(&world, &requests, recovered_by));
    let served = requests
        .iter()
        .filter(|r| matches!(&r.outcome, callers::Outcome::Answered(a) if a.status == 200));
    println!(
        "seed {seed}: {} of {} requests served, {} calls to the store",
        served.count(),
        requests.len(),
        world.writers.store.calls()
    );
    Ok(violations)
}

/// Returns the first free subnet for a seed; it is taken until the listener is dropped.
fn claim_subnet(seed: u64) -> std::io::Result<(u8, TcpListener)> {
    let claim = |n: u64| -> std::io::Result<(u8, TcpListener)> {
        let subnet = (n % SUBNETS) as u8;
        Ok((subnet, TcpListener::bind((Ipv4Addr::new(127, 9, subnet, 1), CLAIM_PORT))?))
    };
    let mut claims = (seed..seed + SUBNETS).map(claim);
    let is_taken = |error: &std::io::Error| error.kind() == ErrorKind::AddrInUse;
    claims
        .find(|claim| !claim.as_ref().is_err_and(is_taken))
        .unwrap_or_else(|| Err(ErrorKind::AddrInUse.into()))
}

/// Prints the number of violations for each reason, with the first ones.
fn print_violations(violations: &[Violation]) {
    let mut by_reason: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for violation in violations {
        by_reason.entry(violation.reason).or_default().push(&violation.detail);
    }
    for (reason, details) in by_reason {
        println!("  {} x {reason}", details.len());
        details.iter().take(3).for_each(|detail| println!("    {detail}"));
    }
}

fn summary(faults: &[faults::Fault]) -> String {
    let describe = |f: &faults::Fault| {
        format!("{:.1}s {:?} {:.1}s", f.at.as_secs_f64(), f.kind, f.duration.as_secs_f64())
    };
    faults.iter().map(describe).collect::<Vec<_>>().join(", ")
}
