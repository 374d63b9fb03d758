//! Delays and cuts between failure domains, for trials and measurements.
//!
//! A daemon leaves them empty. They stand where a process hands a message over, so that the
//! failures of a network can be caused within one program.

use std::collections::HashSet;
use std::sync::RwLock;
use std::time::Duration;

use crate::ids::{DomainId, HostId};

/// The rules in force.
#[derive(Debug, Clone, Default)]
pub struct LinkRules {
    /// The one-way delay between two failure domains.
    pub one_way: Duration,
    /// Failure domains that reach only each other.
    pub isolated: HashSet<DomainId>,
    /// Hosts that don't reach the platform.
    pub without_platform: HashSet<HostId>,
}

/// Rules that may change while processes run.
#[derive(Debug, Default)]
pub struct Links {
    rules: RwLock<LinkRules>,
}

impl Links {
    /// Puts rules in force.
    pub fn set(&self, change: impl FnOnce(&mut LinkRules)) {
        change(&mut self.rules.write().expect("no holder of the lock panics"));
    }

    /// Tells whether a message passes between two failure domains.
    pub fn passes(&self, from: &DomainId, to: &DomainId) -> bool {
        let rules = self.rules.read().expect("no holder of the lock panics");
        rules.isolated.contains(from) == rules.isolated.contains(to)
    }

    /// Tells whether a host reaches the platform.
    pub fn reaches_platform(&self, host: &HostId) -> bool {
        let rules = self.rules.read().expect("no holder of the lock panics");
        !rules.without_platform.contains(host)
    }

    /// Lets a message cross, or returns `false` where it is lost.
    pub async fn cross(&self, from: &DomainId, to: &DomainId) -> bool {
        let one_way = self.rules.read().expect("no holder of the lock panics").one_way;
        if from != to && !one_way.is_zero() {
            tokio::time::sleep(one_way).await;
        }
        self.passes(from, to)
    }
}
