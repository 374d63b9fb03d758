//! Periods in which something was disrupted.

use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

/// The periods so far; the latest ones may still last.
#[derive(Debug, Default)]
pub struct Periods(Mutex<Vec<(Instant, Option<Instant>)>>);

impl Periods {
    /// Records the begin of a period; returns its index.
    pub fn begin(&self) -> usize {
        let mut all = self.lock();
        all.push((Instant::now(), None));
        all.len() - 1
    }

    /// Records the end of a period.
    pub fn end(&self, index: usize) {
        self.lock()[index].1 = Some(Instant::now());
    }

    /// Returns whether a period overlaps the time given.
    pub fn overlap(&self, from: Instant, until: Instant) -> bool {
        self.lock().iter().any(|(begin, end)| *begin <= until && end.is_none_or(|end| end >= from))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(Instant, Option<Instant>)>> {
        self.0.lock().expect("no holder of the lock panics")
    }
}
