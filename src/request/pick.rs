//! Picks the server for an attempt.

use std::time::Duration;

use crate::process::servers::belief::Standing;

/// How much faster a server in another failure domain must be to be worth the way, as a share of
/// the latency target: bytes between domains are the dearest resource of the platforms.
const FAR_SHARE_OF_TARGET: f64 = 0.12;

/// One server that an attempt might go to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// What is believed of it.
    pub standing: Standing,
    /// It stands in this host's failure domain.
    pub near: bool,
    /// This request was sent there before.
    pub tried: bool,
    /// It may get no more work from this host.
    pub full: bool,
}

/// What an attempt is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// The first attempt, or one after a failure: some server must be found.
    Needed,
    /// Another attempt beside one that still runs: only a server that is not stalled helps.
    Hedge,
}

/// Returns the index of the server to send to.
///
/// A server that is neither stalled nor avoided comes first; if there is none, a needed attempt
/// goes to one that is, because beliefs may be wrong and waiting helps nobody.
pub fn pick(
    candidates: &[Candidate],
    purpose: Purpose,
    latency_target: Duration,
    jitter: impl Fn(usize) -> f64,
) -> Option<usize> {
    let cost = |n: usize| {
        let candidate = &candidates[n];
        let way = if candidate.near {
            Duration::ZERO
        } else {
            latency_target.mul_f64(FAR_SHARE_OF_TARGET)
        };
        (candidate.standing.expected + way).as_secs_f64() * jitter(n)
    };
    let best = |fit: fn(&Candidate) -> bool| {
        (0..candidates.len())
            .filter(|n| !candidates[*n].tried && !candidates[*n].full && fit(&candidates[*n]))
            .min_by(|a, b| cost(*a).total_cmp(&cost(*b)))
    };
    let sound = best(|c| c.standing.is_sound()).or_else(|| best(|c| c.standing.is_working()));
    match purpose {
        Purpose::Hedge => sound,
        Purpose::Needed => {
            sound.or_else(|| best(|c| !c.standing.avoided)).or_else(|| best(|_| true))
        }
    }
}

#[cfg(test)]
mod tests;
