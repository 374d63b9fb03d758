//! Budgets that keep retries and hedges to a share of the first attempts.

use std::time::Duration;

use crate::clock::Monotonic;

/// What one extra attempt costs, in thousandths of a first attempt.
const ATTEMPT_COST_MILLI: u64 = 1_000;
/// How long a sign of overload keeps a budget empty.
const OVERLOAD_HOLD: Duration = Duration::from_millis(1_000);

/// A budget that first attempts fill and extra attempts spend.
#[derive(Debug, Clone)]
pub struct Budget {
    permille: u64,
    capacity_milli: u64,
    balance_milli: u64,
    empty_until: Monotonic,
}

impl Budget {
    /// Allows `permille` extra attempts for each thousand first ones, saved up to `burst`.
    pub const fn new(permille: u64, burst: u64) -> Self {
        Self {
            permille,
            capacity_milli: burst * ATTEMPT_COST_MILLI,
            balance_milli: 0,
            empty_until: Monotonic::ZERO,
        }
    }

    /// Takes in first attempts.
    pub fn deposit(&mut self, now: Monotonic, attempts: u64) {
        if now >= self.empty_until {
            let grown = self.balance_milli + attempts * self.permille;
            self.balance_milli = grown.min(self.capacity_milli);
        }
    }

    /// Takes one extra attempt out of the budget, if there is one.
    pub fn try_spend(&mut self, now: Monotonic) -> bool {
        let allowed = now >= self.empty_until && self.balance_milli >= ATTEMPT_COST_MILLI;
        if allowed {
            self.balance_milli -= ATTEMPT_COST_MILLI;
        }
        allowed
    }

    /// Empties the budget for a while: in overload, extra attempts make it worse.
    pub fn on_overload(&mut self, now: Monotonic) {
        self.balance_milli = 0;
        self.empty_until = now + OVERLOAD_HOLD;
    }
}

#[cfg(test)]
mod tests;
