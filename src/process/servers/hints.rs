//! What a coordinator remembers of backend servers, to choose among replicas.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Monotonic;
use crate::ids::ServerId;
use crate::outcome::{NotRunReason, Outcome, UnknownReason};

/// An expectation fades to the usual time within this.
const FADE: Duration = Duration::from_millis(1_000);
/// How long a refusing server is avoided.
const AVOID: Duration = Duration::from_millis(100);
/// How long a server that can't be reached is avoided.
const AVOID_UNREACHABLE: Duration = Duration::from_millis(500);

/// What is known of a replica at the moment of choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The expected time to its reply.
    pub expected: Duration,
    /// It is believed warm.
    pub warm: bool,
    /// The gate is open and it did not refuse a moment ago.
    pub usable: bool,
    /// The request was tried there before.
    pub tried: bool,
}

#[derive(Debug, Clone, Default)]
struct Hint {
    expected: Duration,
    at: Monotonic,
    warm: bool,
    outstanding: u32,
    avoid_until: Monotonic,
}

/// Hints for all servers.
#[derive(Debug, Default)]
pub struct Hints {
    servers: HashMap<ServerId, Hint>,
}

impl Hints {
    /// Returns the server as a candidate whose gate is `open`.
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
        let age = now.saturating_sub(hint.at).min(FADE);
        let left = FADE.saturating_sub(age);
        let excess = hint.expected.saturating_sub(typical);
        let faded = excess.mul_f64(left.as_secs_f64() / FADE.as_secs_f64());
        Candidate {
            expected: typical + faded + typical * hint.outstanding / 2,
            warm: hint.warm,
            usable: open && now >= hint.avoid_until,
            tried,
        }
    }

    /// Notes an attempt.
    pub fn on_sent(&mut self, server: &ServerId) {
        self.servers.entry(server.clone()).or_default().outstanding += 1;
    }

    /// Takes in an attempt's end; `report` is what its owner said of the server.
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
            hint.at = now;
        }
        let avoid = match outcome {
            Outcome::Answered(()) | Outcome::NotRun(NotRunReason::Cancelled) => return,
            Outcome::NotRun(NotRunReason::Unreachable)
            | Outcome::Unknown(UnknownReason::ConnectionLost) => AVOID_UNREACHABLE,
            Outcome::NotRun(_) | Outcome::Unknown(_) => AVOID,
        };
        hint.avoid_until = now + avoid;
    }

    /// Notes that nobody waits for an attempt any more.
    pub fn on_abandoned(&mut self, server: &ServerId) {
        if let Some(hint) = self.servers.get_mut(server) {
            hint.outstanding = hint.outstanding.saturating_sub(1);
        }
    }
}
