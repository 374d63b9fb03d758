//! The fault soak: real daemons under seeded faults; see `docs/SOAK.md`.

mod callers;
mod faults;
mod judge;
mod proxy;
mod world;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bpaf::Bpaf;
use miette::IntoDiagnostic;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::callers::Seen;
use crate::world::World;

/// Hosts and callers need this long before the first request.
const WARM_UP: Duration = Duration::from_millis(1_500);
/// After the last fault, service must be back within this.
const RECOVER: Duration = Duration::from_secs(5);
/// Runs beside each other use other addresses; more than this many never run at once.
const SLOTS: u64 = 200;

/// Runs real daemons under seeded faults
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// The first seed; by default the time of day, so that each run is another
    #[bpaf(long, argument("N"), optional)]
    seed: Option<u64>,
    /// How many seeds, one after another
    #[bpaf(long, argument("N"), fallback(1))]
    count: u64,
    /// How long each seed runs, in seconds
    #[bpaf(long, argument("S"), fallback(24), guard(|s| *s >= 16, "give at least 16 seconds"))]
    seconds: u64,
    /// How many hosts
    #[bpaf(long, argument("N"), fallback(4), guard(|n| (1..=250).contains(n), "1 to 250"))]
    hosts: u8,
    /// How many callers
    #[bpaf(long, argument("N"), fallback(12))]
    callers: usize,
    /// How many faults
    #[bpaf(long, argument("N"), fallback(10))]
    faults: usize,
    /// The daemon; by default the one beside this program
    #[bpaf(long, argument("FILE"), optional)]
    daemon: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> miette::Result<ExitCode> {
    let options = options().run();
    let fresh = || SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_secs());
    let first = options.seed.unwrap_or_else(fresh);
    let daemon = match &options.daemon {
        Some(daemon) => daemon.clone(),
        None => std::env::current_exe().into_diagnostic()?.with_file_name("quetzal-platform"),
    };
    let mut red = 0;
    for seed in first..first + options.count {
        let folder =
            std::env::temp_dir().join(format!("quetzal-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).into_diagnostic()?;
        let broken = run(&options, seed, &daemon, &folder).await.into_diagnostic()?;
        if broken.is_empty() {
            std::fs::remove_dir_all(&folder).into_diagnostic()?;
            continue;
        }
        red += 1;
        println!("seed {seed}: {} broken promises; logs in {}", broken.len(), folder.display());
        broken.iter().take(5).for_each(|what| println!("  {what}"));
    }
    println!("{} of {} seeds kept every promise", options.count - red, options.count);
    Ok(if red == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs one seed and returns the broken promises.
async fn run(
    options: &Options,
    seed: u64,
    daemon: &Path,
    folder: &Path,
) -> std::io::Result<Vec<String>> {
    let length = Duration::from_secs(options.seconds);
    let slot = (seed % SLOTS) as u8;
    let world = World::start(slot, options.hosts, daemon, folder).await?;
    let began_at = Instant::now();
    let (hosts, places) = (world.hosts.len(), world.places.len());
    let planned = faults::draw(seed, options.faults, length, hosts, places);
    println!("seed {seed}: {}", summary(&planned));
    let causes: Vec<_> = planned
        .into_iter()
        .enumerate()
        .map(|(n, fault)| tokio::spawn(faults::cause(world.clone(), fault, n)))
        .collect();
    tokio::time::sleep(WARM_UP).await;
    let seen = Seen::default();
    let until = began_at + length;
    let caller = |n: usize| {
        let rng = SmallRng::seed_from_u64(seed ^ (n as u64 + 1) << 32);
        tokio::spawn(callers::run(world.clone(), n, rng, seen.clone(), until))
    };
    let callers: Vec<_> = (0..options.callers).map(caller).collect();
    let mut broken = Vec::new();
    for cause in causes {
        broken.extend(cause.await.map_err(std::io::Error::other)??);
    }
    for caller in callers {
        caller.await.map_err(std::io::Error::other)?;
    }
    let seen = seen.lock().expect("no holder of the lock panics").clone();
    let calm_from = until - faults::CALM_END + RECOVER;
    broken.extend(judge::judge(&world, &seen, calm_from));
    let served =
        seen.iter().filter(|s| matches!(&s.end, callers::End::Answered(a) if a.status == 200));
    println!("seed {seed}: {} of {} requests served", served.count(), seen.len());
    Ok(broken)
}

fn summary(faults: &[faults::Fault]) -> String {
    let one = |f: &faults::Fault| {
        format!("{:.1}s {:?} {:.1}s", f.at.as_secs_f64(), f.kind, f.lasts.as_secs_f64())
    };
    faults.iter().map(one).collect::<Vec<_>>().join(", ")
}
