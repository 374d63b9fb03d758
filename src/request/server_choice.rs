//! Picks the server for an attempt by expected latency and health.

use std::time::Duration;

use crate::process::servers::passive_health::ServerHealth;

/// How much faster a server in another failure domain must be to be chosen, as a share of the
/// latency target; traffic between domains is the most expensive resource of the platforms.
const FAR_PENALTY_SHARE: f64 = 0.12;

/// A server that may be chosen for an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// This host's current assessment of the server.
    pub health: ServerHealth,
    /// Whether the server is in this host's failure domain.
    pub near: bool,
    /// Whether this request was already sent to the server.
    pub tried: bool,
    /// Whether this host must not send to the server, for example because its connection limit is
    /// reached.
    pub blocked: bool,
}

/// What an attempt is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// The first attempt, or a retry after a failure; any eligible server will do.
    Needed,
    /// An extra attempt while another is in flight; only a responsive server helps.
    Hedge,
}

/// Returns the index of the server to send to.
///
/// Prefers servers that are neither stalled nor avoided. If there is none, a needed attempt uses
/// one of those, because the assessment may be wrong and waiting does not help.
pub fn pick(
    candidates: &[Candidate],
    purpose: Purpose,
    latency_target: Duration,
    jitter: impl Fn(usize) -> f64,
) -> Option<usize> {
    let cost = |n: usize| {
        let candidate = &candidates[n];
        let far_penalty =
            if candidate.near { Duration::ZERO } else { latency_target.mul_f64(FAR_PENALTY_SHARE) };
        (candidate.health.expected + far_penalty).as_secs_f64() * jitter(n)
    };
    let best = |fit: fn(&Candidate) -> bool| {
        (0..candidates.len())
            .filter(|n| !candidates[*n].tried && !candidates[*n].blocked && fit(&candidates[*n]))
            .min_by(|a, b| cost(*a).total_cmp(&cost(*b)))
    };
    let eligible = best(|c| c.health.is_eligible()).or_else(|| best(|c| c.health.is_healthy()));
    match purpose {
        Purpose::Hedge => eligible,
        Purpose::Needed => {
            eligible.or_else(|| best(|c| !c.health.avoided)).or_else(|| best(|_| true))
        }
    }
}

#[cfg(test)]
mod tests;
