//! Tracks recent shard latency.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::clock::micros;

/// The number of samples after which the older histogram is discarded.
const ROTATE_AFTER_SAMPLES: u64 = 400;
/// The number of samples below which no quantile is returned.
const MIN_SAMPLES: u64 = 50;
const MAX_LATENCY_US: u64 = 60_000_000;

/// Two alternating histograms, so that old samples are dropped.
#[derive(Debug, Clone)]
pub struct LatencyTracker {
    current: Histogram<u32>,
    previous: Histogram<u32>,
}

impl Default for LatencyTracker {
    fn default() -> Self {
        let empty = Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).expect("the bounds are valid");
        Self { current: empty.clone(), previous: empty }
    }
}

impl LatencyTracker {
    /// Records one sample.
    pub fn record(&mut self, took: Duration) {
        self.current.saturating_record(micros(took).max(1));
        if self.current.len() >= ROTATE_AFTER_SAMPLES {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
    }

    /// Returns a quantile of the recent latencies, or `None` while there are too few samples.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let source = if self.previous.is_empty() { &self.current } else { &self.previous };
        let value = source.value_at_quantile(quantile);
        (source.len() >= MIN_SAMPLES).then(|| Duration::from_micros(value))
    }
}
