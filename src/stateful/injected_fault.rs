//! Faults that tests inject into the decision code, and that the fuzzer must detect.

use std::cell::Cell;

/// A fault that can be injected into one decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InjectedFault {
    /// A witness grants a seat although its promise to another host is still valid.
    WitnessIgnoresPromise,
    /// A seat's own host without a lease ignores the limit of cold servers.
    OwnerIgnoresColdLimit,
    /// The gate admits requests to a failure domain that is out.
    GateIgnoresDomainOut,
    /// A keeper runs a resent request although its record doesn't reach back far enough to rule out
    /// an earlier run.
    RecordAgeUnchecked,
    /// A process that resumes after a pause sends without confirming its state first.
    PauseUnchecked,
    /// A reply of another index version is accepted.
    IndexVersionUnchecked,
    /// A shard whose attempt failed counts as answered.
    FailedShardCounted,
    /// A lower configuration version replaces a higher one.
    ConfigReverts,
    /// A request that timed out without a reply is reported as not run.
    TimeoutReportedAsNotRun,
    /// A lower revision of a fact of the platform replaces a higher one.
    OlderRevisionWins,
    /// Extra attempts are not counted against the budget.
    ExtraAttemptUncounted,
    /// A server that may have run a request doesn't count as reached.
    UnknownOutcomeUncounted,
}

thread_local! {
    static ACTIVE: Cell<Option<InjectedFault>> = const { Cell::new(None) };
}

/// Returns whether a fault is injected in this thread.
pub(crate) fn is_active(fault: InjectedFault) -> bool {
    ACTIVE.get() == Some(fault)
}

/// Runs `f` with a fault injected in this thread.
pub(crate) fn with_fault<T>(fault: Option<InjectedFault>, f: impl FnOnce() -> T) -> T {
    ACTIVE.set(fault);
    let result = f();
    ACTIVE.set(None);
    result
}
