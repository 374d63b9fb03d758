//! The deliberate faults that the fuzzer must find.

use std::cell::Cell;

/// A deliberate fault in one decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Flaw {
    /// A witness grants a seat that it has promised to another host.
    WitnessForgets,
    /// A seat's own host without lease sends to cold servers as it likes.
    OwnerIgnoresCold,
    /// The gate lets work through to a failure domain that is out.
    GateIgnoresOut,
    /// A keeper runs a repeated request although its record is too young to know it.
    RecordForgets,
    /// A woken process sends at once.
    PauseIgnored,
    /// A reply of another index version is accepted.
    VersionUnchecked,
    /// A shard whose attempt ended without an answer counts as answered.
    CoverageAssumed,
    /// A lower configuration version replaces a higher one.
    ConfigReverts,
    /// A request without a reply is said not to have run.
    LostIsNotRun,
    /// An older word of the platform replaces a newer one.
    OldWordWins,
    /// An attempt beyond the first is not counted.
    ExtraUncounted,
    /// A server that may have run a request does not count as one that it reached.
    LostIsUnreached,
}

thread_local! {
    static ACTIVE: Cell<Option<Flaw>> = const { Cell::new(None) };
}

/// Tells whether a fault is switched on in this thread.
pub(crate) fn is_on(flaw: Flaw) -> bool {
    ACTIVE.get() == Some(flaw)
}

/// Runs something with a fault switched on.
pub(crate) fn with<T>(flaw: Option<Flaw>, f: impl FnOnce() -> T) -> T {
    ACTIVE.set(flaw);
    let result = f();
    ACTIVE.set(None);
    result
}
