//! The monotonic clock of a process and the conversion of its times to the clock of a peer.

use std::time::Duration;

use tokio::time::Instant;

/// An old sample is lowered by its age divided by this number, to allow for clock drift.
const DRIFT_DIVISOR: u64 = 5_000;

/// A time on a process's monotonic clock, measured from the start of the process.
pub type Monotonic = Duration;

/// Reads the monotonic clock of this process.
///
/// Code that makes decisions takes the time as a [`Monotonic`] argument. Only its callers read the
/// clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Returns a clock that starts at zero.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the time since the process started.
    pub fn now(&self) -> Monotonic {
        self.origin.elapsed()
    }

    /// Converts a time on this clock to an instant of the runtime.
    pub fn instant(&self, at: Monotonic) -> Instant {
        self.origin + at
    }
}

/// A lower bound on the offset of a peer's clock relative to ours, estimated from exchanged
/// messages.
///
/// A deadline converted with it is never later than the true one. A peer therefore detects that a
/// frame is late if the frame waited in a socket buffer while the peer was paused.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerOffset {
    offset_us: Option<i64>,
    observed_at: Monotonic,
}

impl PeerOffset {
    /// Updates the estimate after an exchange: the peer read `peer_us` from its clock before this
    /// host received the reply.
    pub fn observe(&mut self, peer_us: u64, received_at: Monotonic) {
        let sample = peer_us.cast_signed() - micros(received_at).cast_signed();
        let drift_us = micros(received_at.saturating_sub(self.observed_at)) / DRIFT_DIVISOR;
        let aged = self.offset_us.map(|old| old - drift_us.cast_signed());
        self.offset_us = Some(aged.map_or(sample, |old| old.max(sample)));
        self.observed_at = received_at;
    }

    /// Converts a time on our clock to microseconds on the peer's clock. Returns `None` before the
    /// first exchange.
    pub fn to_peer_us(&self, at: Monotonic) -> Option<u64> {
        let converted = micros(at).cast_signed() + self.offset_us?;
        Some(converted.max(0).cast_unsigned())
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
