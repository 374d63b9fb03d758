//! Returns of the store from an older copy, with what happens around them.

use std::time::Duration;

use quetzal_platform_standin::store::{Away, WaitingWatches};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use crate::faults::{
    FAULT_FREE_END, FIRST_FAULT_AFTER, Fault, FaultKind, MAX_FAULT_MS, STALE_ENTRY_TIME,
};
use crate::world::World;

/// Evacuations and absences that begin shortly before a restore last until this long before the
/// end of a run: long enough that their bounds apply, and that hosts recover in time.
const LAST_RETURN: Duration = Duration::from_millis(6_000);
/// The store answers late pages and stale reads for this long after its return.
const AFTERMATH: Duration = Duration::from_millis(2_500);
/// The latest change after a restore, counted from the time at which the store goes away.
const LATEST_CHANGE: Duration = Duration::from_millis(5_000);
/// Separates the draws of restores from those of the other faults.
const SEED_MASK: u64 = 0x5245_5354_4f52_4521;

/// How reads that allow stale answers are answered after a restore.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StaleReads {
    /// Like the others.
    Newest,
    /// From before the restore, in the era of that time.
    OldEra,
    /// From before the restore, in the present era.
    PresentEra,
}

/// One absence of the store and its return from a copy.
#[derive(Debug, Clone, Copy)]
pub struct Restore {
    pub copy_age: Duration,
    pub away: Away,
    pub waiting: WaitingWatches,
    /// The number of unrelated writes between the copy and the absence.
    pub lost_writes: u32,
    /// The number of unrelated writes after the return, spread over some time.
    pub later_writes: u32,
    pub later_writes_span: Duration,
    pub page_delay: Duration,
    pub stale_reads: StaleReads,
    pub forgets_history: bool,
    /// The number of servers whose entries lapse at the return, although they are alive.
    pub lapsed_entries: usize,
}

impl Restore {
    /// Draws a restore for a store that goes away `at` after the start of the run.
    fn draw(rng: &mut SmallRng, at: Duration) -> Self {
        let ms = Duration::from_millis;
        let away = [Away::Rejects, Away::Resets, Away::Silent];
        let waiting =
            [WaitingWatches::Cut, WaitingWatches::CutEveryOther, WaitingWatches::Continue];
        let lost_writes = *[0, 3, 10, 30].choose(rng).expect("there are counts");
        let stale_reads = [StaleReads::Newest, StaleReads::OldEra, StaleReads::PresentEra];
        Self {
            copy_age: ms(rng.random_range(500..6_000)).min(at - ms(500)),
            away: *away.choose(rng).expect("there are modes"),
            waiting: *waiting.choose(rng).expect("there are modes"),
            lost_writes,
            later_writes: *[0, lost_writes / 2, lost_writes + 10].choose(rng).expect("not empty"),
            later_writes_span: ms(*[800, 2_500].choose(rng).expect("not empty"))
                .mul_f64(rng.random_range(0.05..1.0)),
            page_delay: ms(*[0, 0, 30, 200].choose(rng).expect("there are delays")),
            stale_reads: *stale_reads.choose(rng).expect("there are kinds"),
            forgets_history: rng.random_bool(0.1),
            lapsed_entries: *[0, 0, 2, 12].choose(rng).expect("there are counts"),
        }
    }

    /// Takes the copy, goes away after its age and returns after `absence`.
    pub async fn play(self, world: &World, absence: Duration) {
        let store = &world.writers.store;
        let copy = store.copy();
        self.write_unrelated(world, self.lost_writes, self.copy_age).await;
        let disruption = world.store_disruptions.begin();
        if !absence.is_zero() {
            store.leave(self.away);
        }
        let before = store.copy();
        tokio::time::sleep(absence).await;
        store.set_stale_reads(match self.stale_reads {
            StaleReads::Newest => None,
            StaleReads::OldEra => Some(before),
            StaleReads::PresentEra => Some(before.labelled(store.era() + 1)),
        });
        store.set_page_delay(self.page_delay);
        world.writers.restore(&copy, self.waiting, self.lapsed_entries);
        if self.forgets_history {
            store.forget_history();
        }
        if self.page_delay.is_zero() {
            world.store_disruptions.end(disruption);
        }
        let span = self.later_writes_span;
        self.write_unrelated(world, self.later_writes, span).await;
        tokio::time::sleep(AFTERMATH.saturating_sub(span)).await;
        store.set_stale_reads(None);
        store.set_page_delay(Duration::ZERO);
        if !self.page_delay.is_zero() {
            world.store_disruptions.end(disruption);
        }
    }

    async fn write_unrelated(&self, world: &World, count: u32, span: Duration) {
        for _ in 0..count {
            tokio::time::sleep(span / (count + 1)).await;
            world.writers.write_unrelated();
        }
        tokio::time::sleep(span / (count + 1)).await;
    }
}

/// Draws restores of a seed, each with changes before it that the store may lose, and changes after
/// it that get revisions which were given out before.
pub fn draw(
    seed: u64,
    count: usize,
    length: Duration,
    hosts: usize,
    (domains, endpoints): (usize, usize),
) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ SEED_MASK);
    let ms = Duration::from_millis;
    let earliest = FIRST_FAULT_AFTER.as_millis() as u64;
    let latest = (length - FAULT_FREE_END - LATEST_CHANGE).as_millis() as u64;
    let domain = rng.random_range(0..domains);
    let mut faults = Vec::new();
    for _ in 0..count {
        let at = ms(rng.random_range(earliest..latest.max(earliest + 1)));
        let mut restore = Restore::draw(&mut rng, at);
        if rng.random_bool(0.4) {
            // The revision soon passes the one that hosts know, so that their next watch is valid.
            restore.later_writes = restore.lost_writes + 10;
            restore.later_writes_span = ms(rng.random_range(50..600));
        }
        let absence = ms(*[0, rng.random_range(0..1_500)].choose(&mut rng).expect("not empty"));
        let back_at = at + absence;
        faults.push(Fault { at, duration: absence, kind: FaultKind::Restore(restore) });
        // A change is lost if it is younger than the copy; half of them are as young as can be.
        let lost_at = |rng: &mut SmallRng| {
            let lead = if rng.random_bool(0.5) {
                ms(rng.random_range(5..300))
            } else {
                restore.copy_age.mul_f64(rng.random_range(0.0..1.1))
            };
            at.saturating_sub(lead)
        };
        // An acknowledgement soon after the return does not bind, one by a stable store does.
        let later_at = |rng: &mut SmallRng| {
            let soon = rng.random_bool(0.5);
            back_at + ms(rng.random_range(if soon { 0..800 } else { 4_000..6_000 }))
        };
        let (host, endpoint) = (rng.random_range(0..hosts), rng.random_range(0..endpoints));
        let short = ms(rng.random_range(300..MAX_FAULT_MS));
        let mut add = |at: Duration, kind, lasts: Option<Duration>| {
            let at = at.max(FIRST_FAULT_AFTER);
            let duration = lasts.unwrap_or_else(|| length.saturating_sub(LAST_RETURN + at));
            faults.push(Fault { at, duration, kind });
        };
        match rng.random_range(0..5) {
            0 => {
                let change_at = lost_at(&mut rng).saturating_sub(short);
                add(change_at, FaultKind::Leave(endpoint, rng.random_bool(0.5)), Some(short));
                let kind = FaultKind::Leave(endpoint, rng.random_bool(0.7));
                add(later_at(&mut rng), kind, None);
            }
            1 => {
                let change_at = lost_at(&mut rng).saturating_sub(STALE_ENTRY_TIME);
                add(change_at, FaultKind::Replace(endpoint), Some(short));
                add(later_at(&mut rng), FaultKind::Leave(endpoint, true), None);
            }
            2 => {
                add(lost_at(&mut rng), FaultKind::Plan, Some(Duration::ZERO));
                // A plan that is written during the absence is the first after the return.
                let soon = at + (absence + ms(600)).mul_f64(rng.random_range(0.0..1.0));
                add(soon, FaultKind::Plan, Some(Duration::ZERO));
            }
            3 => {
                let change_at = lost_at(&mut rng).saturating_sub(short);
                add(change_at, FaultKind::Evacuate(domain), Some(short));
                add(later_at(&mut rng), FaultKind::Evacuate(domain), None);
            }
            _ => {
                let kind = FaultKind::Leave(endpoint, rng.random_bool(0.7));
                add(lost_at(&mut rng), kind, None);
                add(lost_at(&mut rng), FaultKind::Plan, Some(Duration::ZERO));
                if rng.random_bool(0.3) {
                    add(lost_at(&mut rng), FaultKind::Kill(host), Some(short));
                }
            }
        }
        match rng.random_range(0..4) {
            0 => add(lost_at(&mut rng), FaultKind::Evacuate(domain), None),
            1 => add(lost_at(&mut rng), FaultKind::Plan, Some(Duration::ZERO)),
            2 => add(later_at(&mut rng), FaultKind::Plan, Some(Duration::ZERO)),
            _ => {
                let again = (back_at + ms(rng.random_range(300..4_000)))
                    .min(length - FAULT_FREE_END - ms(MAX_FAULT_MS));
                let restore = FaultKind::Restore(Restore::draw(&mut rng, again));
                add(again, restore, Some(ms(rng.random_range(0..1_500))));
            }
        }
    }
    faults.sort_by_key(Fault::starts_after);
    faults
}

#[cfg(test)]
mod tests;
