//! The random events of which the fuzzer builds a sequence.

use quickcheck::{Arbitrary, Gen};

/// One event; unless stated otherwise, a number selects a host, failure domain or server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Event {
    /// Advances virtual time, in units of 100 ms.
    AdvanceTime(u8),
    /// A caller sends a query to a host.
    Query(u8),
    /// A caller sends an order, which is a non-idempotent request, to a host.
    Submit(u8),
    /// A caller resends the latest order with unknown outcome, to any host.
    Resend(u8),
    /// Operators repartition the index under a new version.
    Repartition,
    /// Operators take a failure domain out.
    TakeOut(u8),
    /// Operators bring a failure domain back.
    BringBack(u8),
    /// A host leaves gracefully.
    Leave(u8),
    /// A host crashes.
    Crash(u8),
    /// A crashed host starts again.
    Restart(u8),
    /// A host's process is paused; the second number is the length in units of 100 ms.
    Pause(u8, u8),
    /// A failure domain is isolated by a network partition.
    Isolate(u8),
    /// The network partition ends.
    EndIsolation,
    /// A backend server restarts, cold.
    RestartServer(u8),
    /// A backend server answers with rows of another index version until it restarts.
    ServeOtherVersion(u8),
    /// The network starts to deliver reports of owners twice, or stops doing so.
    ToggleDuplication,
    /// The platform's configuration service goes down, or comes back.
    TogglePlatform,
    /// The configuration service stops following newer versions, or resumes.
    ToggleStalePlatform,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let n = u8::arbitrary(g);
        match u8::arbitrary(g) % 34 {
            0..=6 => Self::AdvanceTime(1 + n % 20),
            7..=11 => Self::Query(n),
            12..=15 => Self::Submit(n),
            16..=18 => Self::Resend(n),
            19 => Self::Repartition,
            20..=21 => Self::TakeOut(n),
            22 => Self::BringBack(n),
            23 => Self::Leave(n),
            24 => Self::Crash(n),
            25 => Self::Restart(n),
            26..=27 => Self::Pause(n, 5 + u8::arbitrary(g) % 80),
            28 => Self::Isolate(n),
            29 => Self::EndIsolation,
            30 => Self::RestartServer(n),
            31 => Self::ServeOtherVersion(n),
            32 => Self::ToggleDuplication,
            _ if n.is_multiple_of(2) => Self::TogglePlatform,
            _ => Self::ToggleStalePlatform,
        }
    }
}
