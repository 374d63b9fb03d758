//! Which parts of the policy are in force; measurements switch them off one at a time.

use crate::process::servers::server_queue::Admission;

/// The policy of a host. A daemon runs all of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// One host owns each backend server; otherwise every host sends to every server by itself.
    pub owners: bool,
    /// A late shard is asked again at another replica.
    pub hedging: bool,
    /// Retries are kept to a share of the first attempts.
    pub retry_budget: bool,
    /// The better of two replicas is chosen; otherwise any.
    pub two_choices: bool,
    /// When work is refused.
    pub admission: Admission,
    /// Cold servers get no more than their limit.
    pub cold_ramp: bool,
}

/// The policies that a measurement can choose, by name.
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
    /// Everything in force.
    pub const FULL: Self = Self {
        owners: true,
        hedging: true,
        retry_budget: true,
        two_choices: true,
        admission: Admission::Early,
        cold_ramp: true,
    };

    /// Every host sends to every server, without coordination; servers shed what is too much.
    pub const DIRECT: Self = Self {
        owners: false,
        hedging: false,
        retry_budget: false,
        two_choices: false,
        admission: Admission::Always,
        cold_ramp: false,
    };

    /// Returns the policy of a name.
    pub fn named(name: &str) -> Option<Self> {
        NAMED.iter().find(|(known, _)| *known == name).map(|(_, policy)| *policy)
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self::FULL
    }
}
