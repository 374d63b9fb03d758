//! The writers of the platform: the operator and the servers, which write again what the store
//! lost.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use quetzal_platform_standin::settings::{self, BEAT_MS, PLAN_KEY, SERVER_PREFIX};
use quetzal_platform_standin::store::{Copy, Store, WaitingWatches};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use crate::cold::COLD_PER_S;
use crate::timeline::{Bounds, Timeline};
use crate::world::{COVERAGE_FLOOR, RECORD_COUNT};

/// The pause after a write that the store did not take.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Writers notice within this time that the store lost what they had written.
const MAX_NOTICE_MS: u64 = 2_000;
/// The entry of a server that is gone lapses after this time without heartbeats.
const LAPSE_TIME: Duration = Duration::from_millis(3 * BEAT_MS);

#[derive(Debug)]
struct State {
    /// The latest value of each key, or none if it was removed.
    wanted: BTreeMap<String, Option<Value>>,
    newest_plan: u64,
    timeline: Timeline,
    rng: SmallRng,
}

/// All writers of one run.
#[derive(Debug)]
pub struct Writers {
    /// The store to which they write.
    pub store: Store,
    /// The number of routes in each plan that no caller uses.
    idle_routes: usize,
    state: Mutex<State>,
}

impl Writers {
    /// Creates writers that have written nothing yet.
    pub fn new(store: Store, seed: u64, bounds: Bounds, idle_routes: usize) -> Self {
        let (wanted, timeline) = (BTreeMap::new(), Timeline::new(bounds));
        let rng = SmallRng::seed_from_u64(seed);
        Self {
            store,
            idle_routes,
            state: Mutex::new(State { wanted, newest_plan: 0, timeline, rng }),
        }
    }

    /// Writes a value, or removes a key, as soon as the store takes it.
    pub async fn write(&self, key: &str, value: Option<Value>) {
        self.lock().wanted.insert(key.to_owned(), value);
        self.settle(key).await;
    }

    /// Writes the next plan.
    pub async fn write_next_plan(&self, shards: &[String]) {
        {
            let mut state = self.lock();
            let number = state.newest_plan;
            let mut plan = settings::plan(number, shards, RECORD_COUNT, COVERAGE_FLOOR);
            settings::set_cold_limit(&mut plan, COLD_PER_S);
            settings::add_idle_routes(&mut plan, self.idle_routes, shards);
            state.newest_plan += 1;
            state.wanted.insert(PLAN_KEY.to_owned(), Some(plan));
        }
        self.settle(PLAN_KEY).await;
    }

    /// Writes something that concerns no host, if the store takes it.
    pub fn write_unrelated(&self) {
        // A write that the store does not take is not repeated: nothing depends on it.
        let _ = self.store.put("load/0", &json!({}));
    }

    /// Lets the store return from a copy, with the entries of some live servers lapsed; the writers
    /// write again what is missing, each after a time of its own.
    pub fn restore(self: &Arc<Self>, copy: &Copy, waiting: WaitingWatches, lapsed: usize) {
        let mut state = self.lock();
        self.store.restore(copy, waiting);
        state.timeline.on_restored(Instant::now(), copy);
        let State { wanted, rng, .. } = &mut *state;
        let is_live = |(key, value): &(&String, &Option<Value>)| {
            key.starts_with(SERVER_PREFIX) && value.as_ref().is_some_and(settings::is_ready)
        };
        for (key, _) in wanted.iter().filter(is_live).sample(rng, lapsed) {
            // Nothing is lost if the store is away again.
            let _ = self.store.remove(key);
        }
        let lost = wanted.iter().filter(|(key, value)| self.store.value(key) != **value);
        for (key, value) in lost {
            let is_left = key.starts_with(SERVER_PREFIX) && value.is_none();
            let notice = Duration::from_millis(rng.random_range(0..MAX_NOTICE_MS));
            let (writers, key) = (self.clone(), key.clone());
            tokio::spawn(async move {
                tokio::time::sleep(if is_left { LAPSE_TIME } else { notice }).await;
                writers.settle(&key).await;
            });
        }
    }

    /// Writes the latest value of a key unless the store holds it.
    async fn settle(&self, key: &str) {
        while !self.try_settle(key) {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    fn try_settle(&self, key: &str) -> bool {
        let mut state = self.lock();
        let State { wanted, timeline, .. } = &mut *state;
        let value = wanted.get(key).and_then(Option::as_ref);
        if self.store.value(key).as_ref() == value {
            return true;
        }
        timeline.on_send(Instant::now(), key, value);
        let written = match value {
            Some(value) => self.store.put(key, value),
            None => self.store.remove(key),
        };
        if written.is_ok() {
            timeline.on_acknowledged(Instant::now(), key, value);
        }
        written.is_ok()
    }

    /// Returns the number of the newest plan.
    pub fn newest_plan(&self) -> u64 {
        self.lock().newest_plan.saturating_sub(1)
    }

    /// Reads the acknowledgements so far.
    pub fn read_timeline<T>(&self, read: impl FnOnce(&Timeline) -> T) -> T {
        read(&self.lock().timeline)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}
