//! What every part of a running host shares.

use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio_util::sync::CancellationToken;

use super::metrics::Metrics;
use crate::clock::{Clock, Monotonic};
use crate::connection::links::Links;
use crate::connection::peer_pool::{PeerAddress, PeerPool};
use crate::ids::{DomainId, HostId, Incarnation};
use crate::policy::Policy;
use crate::process::membership::pause::PauseGuard;
use crate::process::membership::seats::LeaseView;
use crate::process::membership::suspicion::Suspicion;
use crate::process::servers::gate::Gate;
use crate::version::operational::Operational;

/// How much longer than its deadline a call between hosts is awaited.
const CALL_GRACE: Duration = Duration::from_millis(10);

/// The state that outlives requests, connections and versions.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) me: HostId,
    pub(crate) domain: DomainId,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) policy: Policy,
    pub(crate) links: Arc<Links>,
    pub(crate) peers: PeerPool,
    pub(crate) metrics: Metrics,
    /// The newest operational state; requests in progress read it at every dispatch.
    pub(crate) operational: ArcSwap<Operational>,
    /// The newest snapshot of leases.
    pub(crate) leases: ArcSwap<LeaseView>,
    pub(crate) pause: Mutex<PauseGuard>,
    pub(crate) suspicion: Mutex<Suspicion>,
    /// When the placement of seats last changed.
    pub(crate) placed_at: Mutex<Monotonic>,
    /// Requests of callers that are running.
    pub(crate) running: AtomicU32,
    /// Set once the host leaves.
    pub(crate) leaving: CancellationToken,
    /// Set once the host stops.
    pub(crate) stopped: CancellationToken,
}

impl Context {
    /// Decides with the newest operational state and leases at this moment.
    pub(crate) fn with_standing<T>(&self, decide: impl FnOnce(Gate) -> T) -> T {
        decide(Gate {
            now: self.clock.now(),
            me: &self.me,
            operational: &self.operational.load(),
            leases: &self.leases.load(),
            owners: self.policy.owners,
        })
    }

    /// Returns the host to ask for a seat's servers: its holder as far as known, else the best
    /// candidate that takes part, else its own host.
    pub(crate) fn holder(&self, seat: &HostId) -> HostId {
        if !self.policy.owners {
            return self.me.clone();
        }
        let leases = self.leases.load();
        if let Some(holder) = leases.holders.get(seat) {
            return holder.clone();
        }
        let operational = self.operational.load();
        let takes_part = |host: &&HostId| {
            leases.live.contains_key(*host) || (**host == self.me && !leases.out_of_service)
        };
        let best = operational.candidates(seat).iter().find(takes_part);
        best.unwrap_or(seat).clone()
    }

    /// Tells whether a server may get work and its owner answers.
    pub(crate) fn is_open(&self, server: &str) -> bool {
        let newest = self.operational.load();
        newest.gate(server).is_ok_and(|entry| !self.is_suspect(&self.holder(&entry.seat)))
    }

    /// Returns how long a call that must end by a deadline is awaited.
    pub(crate) fn call_timeout(&self, deadline: Monotonic) -> Duration {
        deadline.saturating_sub(self.clock.now()) + CALL_GRACE
    }

    /// Returns where a host is reached by its peers.
    pub(crate) fn address(&self, host: &HostId) -> Option<PeerAddress> {
        let operational = self.operational.load();
        let host = operational.config.host(host)?;
        Some(PeerAddress {
            host: host.id.clone(),
            domain: host.domain.clone(),
            addr: host.peer_addr,
        })
    }

    /// Takes in a sign of life of another host.
    pub(crate) fn heard(&self, host: &HostId) {
        let now = self.clock.now();
        self.suspicion.lock().expect("no holder of the lock panics").on_message(now, host);
    }

    /// Takes in that a host has not answered a call in time; nothing is concluded from what this
    /// host may have missed itself.
    pub(crate) fn late(&self, host: &HostId, sent_at: Monotonic) {
        if self.must_wait() {
            return;
        }
        let now = self.clock.now();
        let mut suspicion = self.suspicion.lock().expect("no holder of the lock panics");
        if suspicion.on_overdue(now, host, sent_at) {
            tracing::warn!(%host, "no answer in time; work goes elsewhere");
        }
    }

    /// Tells whether work should go to another host.
    pub(crate) fn is_suspect(&self, host: &HostId) -> bool {
        let now = self.clock.now();
        self.suspicion.lock().expect("no holder of the lock panics").is_suspect(now, host)
    }

    /// Tells whether sending must wait for word from outside after a pause.
    pub(crate) fn must_wait(&self) -> bool {
        let now = self.clock.now();
        self.pause.lock().expect("no holder of the lock panics").must_wait(now)
    }

    /// Takes in word from outside, asked for at `asked_at`, that confirms the configuration in
    /// force.
    pub(crate) fn confirm(&self, asked_at: Monotonic) {
        self.pause.lock().expect("no holder of the lock panics").on_confirmed(asked_at);
    }

    /// Tells whether callers may be sent here: the host is not leaving, operators let it take
    /// part, and it has had the time to take its seat.
    pub(crate) fn is_ready(&self) -> bool {
        let operational = self.operational.load();
        let allowed =
            operational.config.host(&self.me).is_some_and(|host| operational.host_is_in(host));
        let settled = self.clock.now() > operational.config.fleet.timing.lease();
        allowed && settled && !self.leaving.is_cancelled()
    }
}
