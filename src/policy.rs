//! The parts of a host's policy, which measurements can disable one at a time.

use crate::process::servers::server_queue::Admission;

/// The policy of a host. A daemon enables every part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Each backend server is owned by one host. If disabled, every host sends to every server.
    pub owners: bool,
    /// A hedge is sent to another replica if a shard is late.
    pub hedging: bool,
    /// Retries are limited to a fraction of the first attempts.
    pub retry_budget: bool,
    /// The better of two random replicas is chosen (power of two choices). If disabled, the choice
    /// is random.
    pub two_choices: bool,
    /// When the server queue rejects requests.
    pub admission: Admission,
    /// The load on cold servers is limited.
    pub cold_ramp: bool,
}

/// The policies that a measurement can select, by name.
pub const NAMED: [(&str, Policy); 7] = [
    ("full", Policy::FULL),
    ("no-hedging", Policy { hedging: false, ..Policy::FULL }),
    ("no-retry-budget", Policy { retry_budget: false, ..Policy::FULL }),
    ("random-choice", Policy { two_choices: false, ..Policy::FULL }),
    ("late-refusal", Policy { admission: Admission::Always, ..Policy::FULL }),
    ("no-cold-ramp", Policy { cold_ramp: false, ..Policy::FULL }),
    ("direct", Policy::DIRECT),
];

impl Policy {
    /// The policy with every part enabled.
    pub const FULL: Self = Self {
        owners: true,
        hedging: true,
        retry_budget: true,
        two_choices: true,
        admission: Admission::Early,
        cold_ramp: true,
    };

    /// The policy without coordination: every host sends to every server, and servers shed excess
    /// load.
    pub const DIRECT: Self = Self {
        owners: false,
        hedging: false,
        retry_budget: false,
        two_choices: false,
        admission: Admission::Always,
        cold_ramp: false,
    };

    /// Returns the policy with the given name.
    pub fn named(name: &str) -> Option<Self> {
        NAMED.iter().find(|(known, _)| *known == name).map(|(_, policy)| *policy)
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self::FULL
    }
}
