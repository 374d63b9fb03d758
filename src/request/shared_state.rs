//! State that all queries of a host share: latencies, budgets and hints.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::ids::ServiceId;
use crate::process::budgets::budget::Budget;
use crate::process::budgets::latency::LatencyTracker;
use crate::process::context::Context;
use crate::process::servers::batches::Batches;
use crate::process::servers::hints::Hints;
use crate::version::config::Service;

/// Extra attempts per thousand first attempts; together they stay within 5%.
const HEDGE_PERMILLE: u64 = 30;
const RETRY_PERMILLE: u64 = 20;
const HEDGE_BURST: u64 = 20;
const RETRY_BURST: u64 = 100;
/// The quantile of shard latency beyond which a shard counts as late.
const LATE_QUANTILE: f64 = 0.985;
/// The hedge delay is clamped to these multiples of the typical time.
const MIN_HEDGE_FACTOR: u32 = 2;
const MAX_HEDGE_FACTOR: u32 = 5;
/// The hedge delay, as a multiple of the typical time, while there are too few samples.
const INITIAL_HEDGE_FACTOR: u32 = 4;

#[derive(Debug)]
pub(super) struct Budgets {
    pub(super) hedge: Budget,
    pub(super) retry: Budget,
}

/// Latencies, budgets and hints shared by all queries of a host.
#[derive(Debug)]
pub(super) struct SharedState {
    pub(super) context: Arc<Context>,
    pub(super) batches: Arc<Batches>,
    pub(super) hints: Arc<Mutex<Hints>>,
    latencies: Mutex<HashMap<ServiceId, LatencyTracker>>,
    budgets: Mutex<HashMap<ServiceId, Budgets>>,
}

impl SharedState {
    pub(super) fn new(
        context: Arc<Context>,
        batches: Arc<Batches>,
        hints: Arc<Mutex<Hints>>,
    ) -> Self {
        Self { context, batches, hints, latencies: Mutex::default(), budgets: Mutex::default() }
    }

    pub(super) fn hedge_delay(&self, service: &Service) -> Duration {
        let typical = Duration::from_millis(service.limits.typical_ms);
        let latencies = self.latencies.lock().expect("no holder of the lock panics");
        let tracked = latencies.get(&service.id).and_then(|t| t.quantile(LATE_QUANTILE));
        let (least, most) = (typical * MIN_HEDGE_FACTOR, typical * MAX_HEDGE_FACTOR);
        tracked.map_or(typical * INITIAL_HEDGE_FACTOR, |late| late.clamp(least, most))
    }

    pub(super) fn record_latency(&self, service: &ServiceId, took: Duration) {
        let mut latencies = self.latencies.lock().expect("no holder of the lock panics");
        latencies.entry(service.clone()).or_default().record(took);
    }

    pub(super) fn with_budgets<T>(
        &self,
        service: &ServiceId,
        f: impl FnOnce(&mut Budgets) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock().expect("no holder of the lock panics");
        f(budgets.entry(service.clone()).or_insert_with(|| Budgets {
            hedge: Budget::new(HEDGE_PERMILLE, HEDGE_BURST),
            retry: Budget::new(RETRY_PERMILLE, RETRY_BURST),
        }))
    }
}
