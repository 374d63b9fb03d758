//! Token buckets that limit retries and hedges to a share of the first attempts.

use std::time::Duration;

use crate::clock::Monotonic;

/// The cost of one extra attempt, in thousandths of a token.
const ATTEMPT_COST_MILLI: u64 = 1_000;
/// How long a budget stays empty after an overload signal.
const OVERLOAD_BACKOFF: Duration = Duration::from_millis(1_000);

/// A token bucket that first attempts fill and extra attempts spend.
#[derive(Debug, Clone)]
pub struct Budget {
    permille: u64,
    capacity_milli: u64,
    balance_milli: u64,
    empty_until: Monotonic,
}

impl Budget {
    /// Creates an empty budget that allows `permille` extra attempts for each thousand first
    /// attempts and accumulates at most `burst` of them.
    pub const fn new(permille: u64, burst: u64) -> Self {
        Self {
            permille,
            capacity_milli: burst * ATTEMPT_COST_MILLI,
            balance_milli: 0,
            empty_until: Monotonic::ZERO,
        }
    }

    /// Credits the budget for first attempts.
    pub fn deposit(&mut self, now: Monotonic, attempts: u64) {
        if now >= self.empty_until {
            let grown = self.balance_milli + attempts * self.permille;
            self.balance_milli = grown.min(self.capacity_milli);
        }
    }

    /// Spends one extra attempt from the budget; returns whether it was available.
    pub fn try_spend(&mut self, now: Monotonic) -> bool {
        let allowed = now >= self.empty_until && self.balance_milli >= ATTEMPT_COST_MILLI;
        if allowed {
            self.balance_milli -= ATTEMPT_COST_MILLI;
        }
        allowed
    }

    /// Empties the budget for a while, because extra attempts make an overload worse.
    pub fn on_overload(&mut self, now: Monotonic) {
        self.balance_milli = 0;
        self.empty_until = now + OVERLOAD_BACKOFF;
    }
}

#[cfg(test)]
mod tests;
