//! The coordinator's hints about backend servers, for the choice among replicas.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Monotonic;
use crate::ids::ServerId;
use crate::outcome::{NotRunReason, Outcome, UnknownReason};

/// The time in which an expected time decays to the typical time.
const DECAY_TIME: Duration = Duration::from_millis(1_000);
/// How long a server is avoided after it refused a request or an attempt failed.
const REFUSED_BACKOFF: Duration = Duration::from_millis(100);
/// How long a server is avoided after a connection failure.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(500);

/// A replica as a candidate for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The expected time until its reply.
    pub expected: Duration,
    /// Whether the server is believed to be warm.
    pub warm: bool,
    /// Whether requests may be sent to it and it is not in backoff.
    pub usable: bool,
    /// Whether the request was already tried there.
    pub tried: bool,
}

#[derive(Debug, Clone, Default)]
struct Hint {
    expected: Duration,
    reported_at: Monotonic,
    warm: bool,
    outstanding: u32,
    backoff_until: Monotonic,
}

/// Hints for all servers.
#[derive(Debug, Default)]
pub struct Hints {
    servers: HashMap<ServerId, Hint>,
}

impl Hints {
    /// Returns the server as a candidate; `open` tells whether requests may be sent to it.
    pub fn candidate(
        &self,
        now: Monotonic,
        server: &ServerId,
        typical: Duration,
        open: bool,
        tried: bool,
    ) -> Candidate {
        let Some(hint) = self.servers.get(server) else {
            return Candidate { expected: typical, warm: false, usable: open, tried };
        };
        let age = now.saturating_sub(hint.reported_at).min(DECAY_TIME);
        let left = DECAY_TIME.saturating_sub(age);
        let excess = hint.expected.saturating_sub(typical);
        let decayed = excess.mul_f64(left.as_secs_f64() / DECAY_TIME.as_secs_f64());
        Candidate {
            expected: typical + decayed + typical * hint.outstanding / 2,
            warm: hint.warm,
            usable: open && now >= hint.backoff_until,
            tried,
        }
    }

    /// Records that an attempt was sent.
    pub fn on_sent(&mut self, server: &ServerId) {
        self.servers.entry(server.clone()).or_default().outstanding += 1;
    }

    /// Records an attempt's end; `report` holds the expected time and warmth reported by the
    /// server's owner.
    pub fn on_ended(
        &mut self,
        now: Monotonic,
        server: &ServerId,
        outcome: &Outcome<()>,
        report: Option<(Duration, bool)>,
    ) {
        let hint = self.servers.entry(server.clone()).or_default();
        hint.outstanding = hint.outstanding.saturating_sub(1);
        if let Some((expected, warm)) = report {
            hint.expected = expected;
            hint.warm = warm;
            hint.reported_at = now;
        }
        let backoff = match outcome {
            Outcome::Answered(()) | Outcome::NotRun(NotRunReason::Cancelled) => return,
            Outcome::NotRun(NotRunReason::Unreachable)
            | Outcome::Unknown(UnknownReason::ConnectionLost) => UNREACHABLE_BACKOFF,
            Outcome::NotRun(_) | Outcome::Unknown(_) => REFUSED_BACKOFF,
        };
        hint.backoff_until = now + backoff;
    }

    /// Records that an attempt was abandoned.
    pub fn on_abandoned(&mut self, server: &ServerId) {
        if let Some(hint) = self.servers.get_mut(server) {
            hint.outstanding = hint.outstanding.saturating_sub(1);
        }
    }
}
