//! Faults that tests inject into the decision code, and that the fuzzer must detect.

use std::cell::Cell;

/// A fault that can be injected into one decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Flaw {
    /// A witness grants a seat although its promise to another host is still valid.
    WitnessForgets,
    /// A seat's own host without a lease ignores the limit of cold servers.
    OwnerIgnoresCold,
    /// The gate admits requests to a failure domain that is out.
    GateIgnoresOut,
    /// A keeper runs a resent request although its record doesn't reach back far enough to rule out
    /// an earlier run.
    RecordForgets,
    /// A process that resumes after a pause sends without confirming its state first.
    PauseIgnored,
    /// A reply of another index version is accepted.
    VersionUnchecked,
    /// A shard whose attempt failed counts as answered.
    CoverageAssumed,
    /// A lower configuration version replaces a higher one.
    ConfigReverts,
    /// A request that timed out without a reply is reported as not run.
    LostIsNotRun,
    /// A lower revision of a fact of the platform replaces a higher one.
    OldWordWins,
    /// Extra attempts are not counted against the budget.
    ExtraUncounted,
    /// A server that may have run a request doesn't count as reached.
    LostIsUnreached,
}

thread_local! {
    static ACTIVE: Cell<Option<Flaw>> = const { Cell::new(None) };
}

/// Returns whether a fault is injected in this thread.
pub(crate) fn is_on(flaw: Flaw) -> bool {
    ACTIVE.get() == Some(flaw)
}

/// Runs `f` with a fault injected in this thread.
pub(crate) fn with<T>(flaw: Option<Flaw>, f: impl FnOnce() -> T) -> T {
    ACTIVE.set(flaw);
    let result = f();
    ACTIVE.set(None);
    result
}
