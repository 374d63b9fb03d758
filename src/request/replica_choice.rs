//! Chooses the replica for an attempt.

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::process::servers::hints::Candidate;

/// The maximum share of late shards, in permille, at which hedging helps: twice the usual share of
/// stragglers. Beyond it the servers are slow overall, and more attempts only add load.
const MAX_LATE_PERMILLE: usize = 250;

/// The selection strategy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Power of two choices: the faster of two random candidates.
    TwoChoices,
    /// A random candidate.
    Random,
}

/// Returns the index of the chosen replica.
///
/// Usable and untried replicas come first; without one, any usable replica is chosen, and the
/// caller decides how long to back off.
pub fn choose(candidates: &[Candidate], choice: Choice, rng: &mut impl Rng) -> Option<usize> {
    let usable: Vec<usize> = (0..candidates.len()).filter(|n| candidates[*n].usable).collect();
    let fresh: Vec<usize> = usable.iter().copied().filter(|n| !candidates[*n].tried).collect();
    let pool = if fresh.is_empty() { &usable } else { &fresh };
    match choice {
        Choice::Random => pool.choose(rng).copied(),
        Choice::TwoChoices => pool.sample(rng, 2).copied().min_by_key(|n| candidates[*n].expected),
    }
}

/// Returns the index of the replica for a hedge, which must be warm, usable and untried.
pub fn choose_hedge(candidates: &[Candidate]) -> Option<usize> {
    let fit = |n: &usize| candidates[*n].usable && candidates[*n].warm && !candidates[*n].tried;
    (0..candidates.len()).filter(fit).min_by_key(|n| candidates[*n].expected)
}

/// Tells whether few enough shards of a query are late that other replicas are likely to be faster.
pub fn hedging_helps(late: usize, shards: usize) -> bool {
    late <= (shards * MAX_LATE_PERMILLE / 1_000).max(1)
}

#[cfg(test)]
mod tests;
