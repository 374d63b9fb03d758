//! Losses of the hosts that read the store, with changes just after them.

use std::collections::BTreeSet;
use std::io;
use std::time::Duration;

use quetzal_platform_standin::store::Away;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use crate::faults::{self, FAULT_FREE_END, FIRST_FAULT_AFTER, Fault, FaultKind};
use crate::world::World;

/// Separates the draws of successions from those of the other faults.
const SEED_MASK: u64 = 0x5265_6164_6572_7321;
/// A host that reads calls the store within this time.
const CALL_TIME: Duration = Duration::from_millis(1_250);
/// The longest outage of the store before the hosts are lost, and the calm after it, which ends
/// after the time that the bounds leave for an outage.
const MAX_OUTAGE_MS: u64 = 4_500;
const CALM_MS: std::ops::Range<u64> = 6_500..8_000;
/// How long hosts are lost: longer than the bounds for those that remain.
const LOSS_MS: std::ops::Range<u64> = 6_000..9_000;

/// How hosts are lost.
#[derive(Debug, Clone, Copy)]
enum Loss {
    /// The hosts that read are killed at once.
    ReadersKilled,
    /// The store turns away the hosts that read, and the first ones of each domain up to a share.
    TurnedAway(Away, f64),
    /// The store turns away the hosts that read, again and again.
    ReadersTurnedAway(Away),
}

/// One loss of hosts and the changes after it.
#[derive(Debug, Clone, Copy)]
pub struct Succession {
    /// The store is away for some time before, for all.
    outage: Option<(Away, Duration)>,
    calm: Duration,
    loss: Loss,
    /// The time from the loss to the changes.
    change_after: Duration,
    /// The server that leaves, and whether it says so before its entry is removed.
    leaves: (usize, bool),
}

impl Succession {
    fn draw(rng: &mut SmallRng, endpoints: usize) -> Self {
        let manners = [Away::Rejects, Away::Resets, Away::Silent];
        let away = *manners.choose(rng).expect("there are manners");
        let outage_ms = rng.random_range(2_500..MAX_OUTAGE_MS);
        let loss = match rng.random_range(0..4) {
            0 => Loss::ReadersKilled,
            1 => Loss::ReadersTurnedAway(away),
            _ => Loss::TurnedAway(away, rng.random_range(0.3..0.6)),
        };
        Self {
            outage: rng.random_bool(0.5).then_some((away, Duration::from_millis(outage_ms))),
            calm: Duration::from_millis(rng.random_range(CALM_MS)),
            loss,
            change_after: Duration::from_millis(rng.random_range(0..600)),
            leaves: (rng.random_range(0..endpoints), rng.random_bool(0.3)),
        }
    }

    /// Plays the outage, the calm, the loss for some time and the changes.
    pub async fn play(self, world: &World, lasts: Duration) -> io::Result<()> {
        if let Some((away, outage)) = self.outage {
            let disruption = world.store_disruptions.begin();
            world.writers.store.leave(away);
            tokio::time::sleep(outage).await;
            world.writers.store.come_back();
            world.store_disruptions.end(disruption);
            tokio::time::sleep(self.calm).await;
        }
        let changes = async {
            tokio::time::sleep(self.change_after).await;
            world.writers.write_next_plan(&world.shards).await;
            let (endpoint, drains) = self.leaves;
            faults::leave(world, endpoint, drains, lasts).await;
        };
        let (lost, ()) = tokio::join!(self.lose_hosts(world, lasts), changes);
        lost
    }

    async fn lose_hosts(self, world: &World, lasts: Duration) -> io::Result<()> {
        let readers = world.readers(CALL_TIME);
        match self.loss {
            Loss::ReadersKilled => {
                faults::kill_and_restart(world, &readers, lasts, Duration::ZERO).await?
            }
            Loss::TurnedAway(manner, share) => {
                // Hosts are dealt to the domains in turn.
                let first = (world.hosts.len() as f64 * share) as usize;
                let hosts: BTreeSet<usize> = (0..first).chain(readers).collect();
                turn_away(world, hosts, manner, lasts).await;
            }
            Loss::ReadersTurnedAway(manner) => {
                let step = lasts / 6;
                let waves = (0..6).map(|n: u32| async move {
                    tokio::time::sleep(step * n).await;
                    let readers = world.readers(CALL_TIME).into_iter().collect();
                    turn_away(world, readers, manner, lasts - step * n).await;
                });
                futures::future::join_all(waves).await;
            }
        }
        Ok(())
    }
}

async fn turn_away(world: &World, hosts: BTreeSet<usize>, manner: Away, lasts: Duration) {
    let hosts: Vec<_> = hosts.into_iter().map(|n| &world.hosts[n]).collect();
    let turned_away = |host: &&crate::world::Host| {
        host.store_access.set_refused(Some(manner));
        host.interventions.begin()
    };
    let interventions: Vec<usize> = hosts.iter().map(turned_away).collect();
    tokio::time::sleep(lasts).await;
    for (host, intervention) in hosts.into_iter().zip(interventions) {
        host.store_access.set_refused(None);
        host.interventions.end(intervention);
    }
}

/// Draws successions of a seed, evenly over the run.
pub fn draw(seed: u64, count: usize, length: Duration, endpoints: usize) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ SEED_MASK);
    let longest = Duration::from_millis(MAX_OUTAGE_MS + CALM_MS.end + LOSS_MS.end);
    let room = length.saturating_sub(FAULT_FREE_END + longest + FIRST_FAULT_AFTER);
    let draw_one = |n: usize| {
        let share = (n as f64 + rng.random_range(0.0..1.0)) / count as f64;
        let at = FIRST_FAULT_AFTER + room.mul_f64(share);
        let duration = Duration::from_millis(rng.random_range(LOSS_MS));
        Fault { at, duration, kind: FaultKind::Succession(Succession::draw(&mut rng, endpoints)) }
    };
    (0..count).map(draw_one).collect()
}

#[cfg(test)]
mod tests;
