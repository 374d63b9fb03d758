//! Chooses the replica for an attempt.

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::process::servers::hints::Candidate;

/// Where more than this share of a query's shards is late, in permille, servers are slow on the whole
/// and further attempts only add to their work; twice the share of stragglers in measurements.
const MOST_LATE_PERMILLE: usize = 250;

/// How to choose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// The better of two random candidates.
    TwoChoices,
    /// Any candidate.
    Random,
}

/// Returns the index of the chosen replica.
///
/// Usable and untried ones come first; where there is none, the wait for one is left to the
/// caller and any that is usable is taken.
pub fn choose(candidates: &[Candidate], choice: Choice, rng: &mut impl Rng) -> Option<usize> {
    let usable: Vec<usize> = (0..candidates.len()).filter(|n| candidates[*n].usable).collect();
    let fresh: Vec<usize> = usable.iter().copied().filter(|n| !candidates[*n].tried).collect();
    let pool = if fresh.is_empty() { &usable } else { &fresh };
    match choice {
        Choice::Random => pool.choose(rng).copied(),
        Choice::TwoChoices => pool.sample(rng, 2).copied().min_by_key(|n| candidates[*n].expected),
    }
}

/// Returns the index of the replica for a hedge: warm, usable and untried, or none.
pub fn choose_hedge(candidates: &[Candidate]) -> Option<usize> {
    let fit = |n: &usize| candidates[*n].usable && candidates[*n].warm && !candidates[*n].tried;
    (0..candidates.len()).filter(fit).min_by_key(|n| candidates[*n].expected)
}

/// Tells whether late shards of a query are few enough that other replicas are likely to be faster.
pub fn hedging_helps(late: usize, shards: usize) -> bool {
    late <= (shards * MOST_LATE_PERMILLE / 1_000).max(1)
}

#[cfg(test)]
mod tests;
