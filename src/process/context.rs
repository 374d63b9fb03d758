//! The state that all components of a host share.

use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio_util::sync::CancellationToken;

use super::metrics::Metrics;
use crate::clock::{Clock, Monotonic};
use crate::connection::network_faults::NetworkFaults;
use crate::connection::peer_pool::{PeerAddress, PeerPool};
use crate::ids::{DomainId, HostId, Incarnation};
use crate::policy::Policy;
use crate::process::membership::pause::PauseGuard;
use crate::process::membership::seats::LeaseView;
use crate::process::membership::suspicion::Suspicion;
use crate::process::servers::gate::Gate;
use crate::version::operational::OperationalState;

/// The time added to a call's deadline before the caller gives up waiting for the reply.
const CALL_GRACE: Duration = Duration::from_millis(10);

/// The state that outlives requests, connections and configuration versions.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) me: HostId,
    pub(crate) domain: DomainId,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) policy: Policy,
    pub(crate) network_faults: Arc<NetworkFaults>,
    pub(crate) peers: PeerPool,
    pub(crate) metrics: Arc<Metrics>,
    /// The newest operational state; requests in progress read it at every dispatch.
    pub(crate) operational: ArcSwap<OperationalState>,
    /// The newest snapshot of leases.
    pub(crate) leases: ArcSwap<LeaseView>,
    pub(crate) pause: Mutex<PauseGuard>,
    pub(crate) suspicion: Mutex<Suspicion>,
    /// The time of the last change to the placement of seats.
    pub(crate) placed_at: Mutex<Monotonic>,
    /// The number of callers' requests in flight.
    pub(crate) running: AtomicU32,
    /// Cancelled once the host starts to leave.
    pub(crate) leaving: CancellationToken,
    /// Cancelled once the host stops.
    pub(crate) stopped: CancellationToken,
}

impl Context {
    /// Makes a decision based on the newest operational state and leases.
    pub(crate) fn with_gate<T>(&self, decide: impl FnOnce(Gate) -> T) -> T {
        decide(Gate {
            now: self.clock.now(),
            me: &self.me,
            operational: &self.operational.load(),
            leases: &self.leases.load(),
            owners: self.policy.owners,
        })
    }

    /// Returns the host to contact for a seat's servers: the known holder, else the best
    /// candidate that takes part, else the seat's own host.
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

    /// Returns whether a server may get requests and its owner is not suspected.
    pub(crate) fn is_available(&self, server: &str) -> bool {
        let newest = self.operational.load();
        newest.gate(server).is_ok_and(|entry| !self.is_suspect(&self.holder(&entry.seat)))
    }

    /// Returns the timeout of a call with a deadline.
    pub(crate) fn call_timeout(&self, deadline: Monotonic) -> Duration {
        deadline.saturating_sub(self.clock.now()) + CALL_GRACE
    }

    /// Returns the address of a host for its peers.
    pub(crate) fn address(&self, host: &HostId) -> Option<PeerAddress> {
        let operational = self.operational.load();
        let host = operational.config.host(host)?;
        Some(PeerAddress {
            host: host.id.clone(),
            domain: host.domain.clone(),
            addr: host.peer_addr,
        })
    }

    /// Records a message from another host, which shows that it is alive.
    pub(crate) fn on_peer_message(&self, host: &HostId) {
        let now = self.clock.now();
        self.suspicion.lock().expect("no holder of the lock panics").on_message(now, host);
    }

    /// Records a call that a host did not answer in time. A timeout is ignored while this host
    /// recovers from a pause, because it may have missed the reply itself.
    pub(crate) fn on_call_overdue(&self, host: &HostId, sent_at: Monotonic) {
        if self.must_wait() {
            return;
        }
        let now = self.clock.now();
        let mut suspicion = self.suspicion.lock().expect("no holder of the lock panics");
        if suspicion.on_overdue(now, host, sent_at) {
            tracing::warn!(%host, "call timed out; requests go to other hosts");
        }
    }

    /// Returns whether a host is suspected to be down, so that requests should go to other hosts.
    pub(crate) fn is_suspect(&self, host: &HostId) -> bool {
        let now = self.clock.now();
        self.suspicion.lock().expect("no holder of the lock panics").is_suspect(now, host)
    }

    /// Returns whether sending must wait, after a pause, until another process confirms the
    /// configuration in force.
    pub(crate) fn must_wait(&self) -> bool {
        let now = self.clock.now();
        self.pause.lock().expect("no holder of the lock panics").must_wait(now)
    }

    /// Records that another process, asked at `asked_at`, confirmed the configuration in force.
    pub(crate) fn on_confirmed(&self, asked_at: Monotonic) {
        self.pause.lock().expect("no holder of the lock panics").on_confirmed(asked_at);
    }

    /// Returns whether callers may be directed to this host: it is not leaving, operators have not
    /// taken it out, and it has been up long enough to take its seat.
    pub(crate) fn is_ready(&self) -> bool {
        let operational = self.operational.load();
        let allowed = operational
            .config
            .host(&self.me)
            .is_some_and(|host| operational.is_host_in_service(host));
        let settled = self.clock.now() > operational.config.fleet.timing.lease();
        allowed && settled && !self.leaving.is_cancelled()
    }
}
