//! Injects network faults (delays and partitions) between failure domains, for tests and
//! measurements.
//!
//! A daemon injects none. The faults apply where a process hands over a message, so that network
//! failures can be simulated within one program.

use std::collections::HashSet;
use std::sync::RwLock;
use std::time::Duration;

use crate::ids::{DomainId, HostId};

/// The faults to inject.
#[derive(Debug, Clone, Default)]
pub struct FaultRules {
    /// The one-way delay between two failure domains.
    pub one_way: Duration,
    /// Failure domains that can reach only each other.
    pub isolated: HashSet<DomainId>,
    /// Hosts that can't reach the platform.
    pub without_platform: HashSet<HostId>,
}

/// The injected faults, which may change at run time.
#[derive(Debug, Default)]
pub struct NetworkFaults {
    rules: RwLock<FaultRules>,
}

impl NetworkFaults {
    /// Changes the injected faults.
    pub fn set(&self, change: impl FnOnce(&mut FaultRules)) {
        change(&mut self.rules.write().expect("no holder of the lock panics"));
    }

    /// Returns whether two failure domains can reach each other.
    pub fn is_reachable(&self, from: &DomainId, to: &DomainId) -> bool {
        let rules = self.rules.read().expect("no holder of the lock panics");
        rules.isolated.contains(from) == rules.isolated.contains(to)
    }

    /// Returns whether a host can reach the platform.
    pub fn reaches_platform(&self, host: &HostId) -> bool {
        let rules = self.rules.read().expect("no holder of the lock panics");
        !rules.without_platform.contains(host)
    }

    /// Waits for the simulated delay; returns `false` if the message is lost.
    pub async fn transmit(&self, from: &DomainId, to: &DomainId) -> bool {
        let one_way = self.rules.read().expect("no holder of the lock panics").one_way;
        if from != to && !one_way.is_zero() {
            tokio::time::sleep(one_way).await;
        }
        self.is_reachable(from, to)
    }
}
