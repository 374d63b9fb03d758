//! What one host believes of the other hosts and of the paths to them.

use std::net::Ipv4Addr;
use std::sync::{Mutex, MutexGuard};

use super::domain_paths::DomainPaths;
use super::members::DomainIndex;
use super::suspicion::Suspicion;
use crate::clock::Monotonic;
use crate::process::configuration::pull_schedule::PullSchedule;

/// The hosts that do not answer, the failure domains that can't be reached, and the facts that other
/// hosts were asked for.
#[derive(Debug, Default)]
pub struct PeerHealth {
    suspicion: Mutex<Suspicion<Ipv4Addr>>,
    paths: Mutex<DomainPaths>,
    pulls: Mutex<PullSchedule>,
}

impl PeerHealth {
    /// Locks and returns the failure detector, which knows the hosts that have not answered lately.
    pub fn suspicion(&self) -> MutexGuard<'_, Suspicion<Ipv4Addr>> {
        self.suspicion.lock().expect("no holder of the lock panics")
    }

    /// Locks and returns the paths to failure domains.
    pub(crate) fn paths(&self) -> MutexGuard<'_, DomainPaths> {
        self.paths.lock().expect("no holder of the lock panics")
    }

    /// Locks and returns the facts that this host lacks and has asked other hosts for.
    pub(crate) fn pulls(&self) -> MutexGuard<'_, PullSchedule> {
        self.pulls.lock().expect("no holder of the lock panics")
    }

    /// Records that a host or server in a failure domain has not answered what was sent to it.
    pub fn on_domain_silent(
        &self,
        now: Monotonic,
        domain: DomainIndex,
        peer: &str,
        sent_at: Monotonic,
    ) {
        if self.paths().on_silence(now, domain, peer, sent_at) {
            tracing::info!(domain, peer, "failure domain is not reachable from here");
        }
    }

    /// Records an answer of a host or server in a failure domain.
    pub fn on_domain_answered(&self, now: Monotonic, domain: DomainIndex) {
        if self.paths().on_answer(now, domain) {
            tracing::info!(domain, "failure domain is reachable again");
        }
    }
}
