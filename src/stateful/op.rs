//! The events that the fuzzer generates.

use quickcheck::{Arbitrary, Gen};

/// One event; numbers choose among hosts, domains and servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Op {
    /// Time passes, in units of 100 ms.
    Run(u8),
    /// A caller sends a query to a host.
    Query(u8),
    /// A caller sends an order to a host.
    Submit(u8),
    /// A caller sends its last order of unknown outcome again, to another host.
    Resend(u8),
    /// The index is repartitioned under a new version.
    Flip,
    /// Operators take a failure domain out.
    TakeOut(u8),
    /// Operators bring it back.
    BringBack(u8),
    /// A host leaves in good order.
    Leave(u8),
    /// A host dies.
    Crash(u8),
    /// A host that is down starts again.
    Return(u8),
    /// A host does not run for a while, in units of 100 ms.
    Pause(u8, u8),
    /// A failure domain is cut off.
    Cut(u8),
    /// The cut heals.
    Heal,
    /// A backend server starts again, cold.
    Cold(u8),
    /// A backend server answers from another index version for a while.
    Confuse(u8),
    /// The network delivers some replies twice from now on, or stops to.
    Duplicate,
    /// The configuration service goes down, or comes back.
    Platform,
    /// The configuration service serves an older version from now on, or stops to.
    Stale,
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let n = u8::arbitrary(g);
        match u8::arbitrary(g) % 34 {
            0..=6 => Self::Run(1 + n % 20),
            7..=11 => Self::Query(n),
            12..=15 => Self::Submit(n),
            16..=18 => Self::Resend(n),
            19 => Self::Flip,
            20..=21 => Self::TakeOut(n),
            22 => Self::BringBack(n),
            23 => Self::Leave(n),
            24 => Self::Crash(n),
            25 => Self::Return(n),
            26..=27 => Self::Pause(n, 5 + u8::arbitrary(g) % 80),
            28 => Self::Cut(n),
            29 => Self::Heal,
            30 => Self::Cold(n),
            31 => Self::Confuse(n),
            32 => Self::Duplicate,
            _ if n.is_multiple_of(2) => Self::Platform,
            _ => Self::Stale,
        }
    }
}
