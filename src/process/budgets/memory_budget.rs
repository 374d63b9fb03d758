//! Limits the memory that all clients of a process hold together.
//!
//! Bytes are reserved before they are taken and released with the last reference to them, wherever
//! that is: in a request in progress, in a queue, or in an answer that is being written.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::body::Bytes;
use tokio::sync::Notify;

/// Bodies beyond this length count as large. Usual requests are shorter.
pub const SMALL_BODY_BYTES: usize = 16 << 10;
/// The share of the budget that large bodies may fill, so that small requests always find room.
const LARGE_SHARE: f64 = 0.75;

/// Whose turn it is when the budget is nearly used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Demand {
    /// A connection, a request or a short body.
    Small,
    /// A body longer than [`SMALL_BODY_BYTES`].
    Large,
}

/// The memory that a kind of use may take in this process.
#[derive(Debug)]
pub struct MemoryBudget {
    max_bytes: usize,
    used_bytes: AtomicUsize,
    released: Notify,
}

impl MemoryBudget {
    /// Creates a budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(Self { max_bytes, used_bytes: AtomicUsize::new(0), released: Notify::new() })
    }

    /// Reserves bytes, or returns `None` if they don't fit.
    pub fn try_reserve(self: &Arc<Self>, bytes: usize, demand: Demand) -> Option<Reservation> {
        let mut reservation = Reservation { budget: self.clone(), bytes: 0 };
        reservation.try_grow(bytes, demand).then_some(reservation)
    }

    /// Reserves bytes that are in use already, whether they fit or not.
    pub fn reserve_used(self: &Arc<Self>, bytes: usize) -> Reservation {
        self.used_bytes.fetch_add(bytes, Ordering::Relaxed);
        Reservation { budget: self.clone(), bytes }
    }

    /// Returns the number of reserved bytes.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }

    /// Waits until bytes are released, for at most `limit`.
    pub async fn wait_for_release(&self, limit: Duration) {
        // The caller tries again in either case.
        let _ = tokio::time::timeout(limit, self.released.notified()).await;
    }

    fn try_add(&self, bytes: usize, demand: Demand) -> bool {
        let max_bytes = match demand {
            Demand::Small => self.max_bytes,
            Demand::Large => (self.max_bytes as f64 * LARGE_SHARE) as usize,
        };
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= max_bytes);
        self.used_bytes.try_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
    }
}

/// Reserved bytes of a budget, released on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl Reservation {
    /// Reserves more bytes; returns whether they fit.
    pub fn try_grow(&mut self, bytes: usize, demand: Demand) -> bool {
        let fits = self.budget.try_add(bytes, demand);
        if fits {
            self.bytes += bytes;
        }
        fits
    }

    /// Releases bytes.
    pub fn shrink(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        self.budget.used_bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.budget.released.notify_waiters();
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}

/// A body that is being received, in one piece of counted memory.
///
/// Frames are copied: a frame of a few bytes would keep the whole read buffer that it is a part of.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    reservation: Reservation,
}

impl BodyBuffer {
    /// Creates an empty buffer, which reserves nothing.
    pub fn new(budget: &Arc<MemoryBudget>) -> Self {
        Self { bytes: Vec::new(), reservation: budget.reserve_used(0) }
    }

    /// Returns the number of received bytes.
    pub const fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether nothing was received.
    pub const fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Makes room for `more` bytes of a body of at most `max_bytes`; returns whether the budget has
    /// it. The memory grows in steps with what has arrived, since a client may state a length and
    /// never send the body.
    pub fn try_grow(&mut self, more: usize, max_bytes: usize) -> bool {
        let Some(capacity) = self.needed_capacity(more, max_bytes) else { return true };
        let demand = if capacity > SMALL_BODY_BYTES { Demand::Large } else { Demand::Small };
        // Both blocks are held while the bytes are moved.
        if !self.reservation.try_grow(capacity, demand) {
            return false;
        }
        self.move_to(capacity);
        true
    }

    /// Adds bytes for which there is room.
    pub fn push(&mut self, bytes: &[u8]) {
        debug_assert!(self.bytes.len() + bytes.len() <= self.bytes.capacity());
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the body; its memory stays reserved until the last reference to it is dropped.
    pub fn into_bytes(self) -> Bytes {
        if self.bytes.is_empty() { Bytes::new() } else { Bytes::from_owner(self) }
    }

    fn needed_capacity(&self, more: usize, max_bytes: usize) -> Option<usize> {
        let needed = self.bytes.len() + more;
        let capacity = self.bytes.capacity();
        let grown = (capacity * 2).min(max_bytes).max(needed);
        (needed > capacity).then_some(grown)
    }

    fn move_to(&mut self, capacity: usize) {
        let old = std::mem::take(&mut self.bytes);
        self.bytes = Vec::with_capacity(capacity);
        self.bytes.extend_from_slice(&old);
        let released = old.capacity();
        drop(old);
        self.reservation.shrink(released);
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Bytes with the reservation of their memory.
struct CountedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl MemoryBudget {
    /// Counts bytes that were received until the last reference to them is dropped. Returns `None` if
    /// they don't fit.
    pub fn try_count(self: &Arc<Self>, bytes: Bytes) -> Option<Bytes> {
        let demand = if bytes.len() > SMALL_BODY_BYTES { Demand::Large } else { Demand::Small };
        let reservation = self.try_reserve(bytes.len(), demand)?;
        Some(Bytes::from_owner(CountedBytes { bytes, _reservation: reservation }))
    }

    /// Counts bytes until the last reference to them is dropped, whether they fit or not.
    pub fn count_used(self: &Arc<Self>, bytes: Bytes) -> Bytes {
        let reservation = self.reserve_used(bytes.len());
        Bytes::from_owner(CountedBytes { bytes, _reservation: reservation })
    }
}

#[cfg(test)]
mod tests;
