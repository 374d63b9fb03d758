//! A process's monotonic time, and its mapping to the time of a peer.

use std::time::Duration;

use tokio::time::Instant;

/// An old sample is lowered by one part in this many, for clocks that drift apart.
const DRIFT_DIVISOR: u64 = 5_000;

/// A point on a process's monotonic clock, counted from the start of the process.
pub type Monotonic = Duration;

/// Reads the monotonic clock of this process.
///
/// Decisions take a [`Monotonic`] as an argument; only the code around them reads the clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the time since the process started.
    pub fn now(&self) -> Monotonic {
        self.origin.elapsed()
    }

    /// Returns the runtime's instant for a point on this clock.
    pub fn instant(&self, at: Monotonic) -> Instant {
        self.origin + at
    }
}

/// The least offset by which a peer's clock is ahead of ours, from exchanged messages.
///
/// A deadline mapped with it is never later than the true one, so that a frame that waited in a
/// socket buffer while the peer was paused is seen to be late.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerOffset {
    least_us: Option<i64>,
    observed_at: Monotonic,
}

impl PeerOffset {
    /// Takes in one exchange: the peer read `peer_us` on its clock before we received the reply.
    pub fn observe(&mut self, peer_us: u64, received_at: Monotonic) {
        let sample = peer_us.cast_signed() - micros(received_at).cast_signed();
        let drift_us = micros(received_at.saturating_sub(self.observed_at)) / DRIFT_DIVISOR;
        let aged = self.least_us.map(|old| old - drift_us.cast_signed());
        self.least_us = Some(aged.map_or(sample, |old| old.max(sample)));
        self.observed_at = received_at;
    }

    /// Maps a point on our clock to the peer's clock in microseconds, or `None` before the first
    /// exchange.
    pub fn to_peer_us(&self, at: Monotonic) -> Option<u64> {
        let mapped = micros(at).cast_signed() + self.least_us?;
        Some(mapped.max(0).cast_unsigned())
    }
}

/// Returns a duration in whole microseconds.
pub(crate) fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}

/// Returns a duration in whole milliseconds.
pub(crate) fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
