//! Detects backend servers that this host can't reach although other hosts may.
//!
//! A host that has lost its paths to the servers looks, from the inside, like a platform whose servers
//! have all failed. What counts is that connections to several servers can't be opened and that none
//! has answered since. A pure state machine: time is an argument. See `docs/PLATFORM.md`, section
//! "Hosts without paths to servers".

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::clock::Monotonic;
use crate::ids::{ServerId, ServiceId};

/// The number of servers that must be unreachable, unless fewer are known, before a service is, and
/// before this host counts as cut off. A single one may have failed itself.
const MIN_OF_SERVICE: usize = 2;
const MIN_OF_ALL: usize = 3;
/// The interval between probes of what is unreachable; it doubles up to [`MAX_PROBE_INTERVAL`].
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(200);
const MAX_PROBE_INTERVAL: Duration = Duration::from_millis(800);
/// Servers are checked at most this often because one is silent or can't be reached.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A service that was not used for this long is no longer probed.
const PROBE_USED_WITHIN: Duration = Duration::from_secs(10);

/// The servers of one service, or all servers.
#[derive(Debug, Clone)]
struct Scope {
    answered_at: Monotonic,
    failed: SmallVec<[ServerId; MIN_OF_ALL]>,
    /// A server that was picked to confirm the failures of others has failed as well.
    confirmed: bool,
    unreachable_since: Option<Monotonic>,
    probe_at: Monotonic,
    probe_interval: Duration,
    used_at: Monotonic,
}

impl Scope {
    const fn new(now: Monotonic) -> Self {
        Self {
            answered_at: Monotonic::ZERO,
            failed: SmallVec::new_const(),
            confirmed: false,
            unreachable_since: None,
            probe_at: Monotonic::ZERO,
            probe_interval: MIN_PROBE_INTERVAL,
            used_at: now,
        }
    }

    /// Records a server's answer; returns whether the scope was unreachable.
    fn on_answer(&mut self, now: Monotonic) -> bool {
        let was_unreachable = self.unreachable_since.is_some();
        *self = Self { answered_at: now, used_at: self.used_at, ..Self::new(now) };
        was_unreachable
    }

    /// Records a failure to connect; returns whether the scope is newly unreachable.
    fn on_failure(
        &mut self,
        now: Monotonic,
        server: &ServerId,
        Failure { tried_at, confirms }: Failure,
        needed: usize,
    ) -> bool {
        self.used_at = now;
        if self.answered_at >= tried_at && self.answered_at > Monotonic::ZERO {
            return false;
        }
        if !self.failed.contains(server) && self.failed.len() < MIN_OF_ALL {
            self.failed.push(server.clone());
        }
        self.confirmed |= confirms;
        if self.unreachable_since.is_some() || self.failed.len() < needed.max(1) {
            return false;
        }
        self.unreachable_since = Some(now);
        self.probe_at = now + self.probe_interval;
        true
    }

    fn take_probe(&mut self, now: Monotonic) -> bool {
        let due = self.unreachable_since.is_some() && now >= self.probe_at;
        if due {
            self.probe_interval = (self.probe_interval * 2).min(MAX_PROBE_INTERVAL);
            self.probe_at = now + self.probe_interval;
        }
        due
    }
}

/// A failure to connect to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// When the connection was tried.
    pub tried_at: Monotonic,
    /// Whether the server was picked to confirm the failure of another one.
    pub confirms: bool,
}

/// What one server's answer or failure changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PathChange {
    /// The reachability of its service has changed.
    pub service: bool,
    /// Whether this host is cut off from all servers has changed.
    pub all: bool,
}

/// A server to which a connection is opened to see whether it can be reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Probe {
    /// Any server.
    Any,
    /// Any server of a service.
    Service(ServiceId),
    /// A server that is silent or can't be reached, and others beside it.
    Check(ServerId),
}

/// Which backend servers this host can reach.
#[derive(Debug)]
pub struct Reachability {
    all: Scope,
    services: HashMap<ServiceId, Scope>,
    next_check_at: Monotonic,
    check: Option<ServerId>,
}

impl Default for Reachability {
    fn default() -> Self {
        Self {
            all: Scope::new(Monotonic::ZERO),
            services: HashMap::new(),
            next_check_at: Monotonic::ZERO,
            check: None,
        }
    }
}

impl Reachability {
    /// Records that a server of a service has answered, or accepted a connection.
    pub fn on_answer(&mut self, now: Monotonic, service: &ServiceId) -> PathChange {
        let scope = self.services.get_mut(service);
        let service = scope.is_some_and(|scope| scope.on_answer(now));
        PathChange { service, all: self.all.on_answer(now) }
    }

    /// Records that a connection to a server could not be opened. `known` is the number of servers of
    /// the service.
    ///
    /// The host is cut off only once a server has failed that was picked to confirm this, since
    /// requests may have been sent to servers of one failure domain only.
    pub fn on_failure(
        &mut self,
        now: Monotonic,
        (service, server): (&ServiceId, &ServerId),
        failure: Failure,
        known: usize,
    ) -> PathChange {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Scope::new(now));
        }
        let scope = self.services.get_mut(service).expect("it was inserted above");
        let of_service = scope.on_failure(now, server, failure, known.min(MIN_OF_SERVICE));
        let needed = if self.all.confirmed || failure.confirms { MIN_OF_ALL } else { usize::MAX };
        let all = self.all.on_failure(now, server, failure, needed);
        if !self.is_cut_off() && self.all.answered_at < failure.tried_at {
            self.want_check(now, server);
        }
        PathChange { service: of_service, all }
    }

    /// Records that a server has not answered in time what was sent to it at `sent_at`. Returns
    /// whether the paths to servers are in doubt, because no server at all, or none of its service,
    /// has answered since. Then servers are checked.
    pub fn on_silence(
        &mut self,
        now: Monotonic,
        service: &str,
        server: &ServerId,
        sent_at: Monotonic,
    ) -> bool {
        let service_silent = self.services.get(service).is_some_and(|s| s.answered_at < sent_at);
        let silent = self.all.answered_at < sent_at || service_silent;
        if silent && !self.is_unreachable(service) {
            self.want_check(now, server);
        }
        silent
    }

    fn want_check(&mut self, now: Monotonic, server: &ServerId) {
        if now >= self.next_check_at {
            self.next_check_at = now + CHECK_INTERVAL;
            self.check = Some(server.clone());
        }
    }

    /// Returns the probes that are due.
    pub fn take_probes(&mut self, now: Monotonic) -> Vec<Probe> {
        let mut probes: Vec<Probe> = self.check.take().map(Probe::Check).into_iter().collect();
        if self.all.take_probe(now) {
            probes.push(Probe::Any);
        }
        if self.all.unreachable_since.is_none() {
            self.services.retain(|_, scope| now < scope.used_at + PROBE_USED_WITHIN);
            let due = self.services.iter_mut().filter_map(|(service, scope)| {
                scope.take_probe(now).then(|| Probe::Service(service.clone()))
            });
            probes.extend(due);
        }
        probes
    }

    /// Returns whether this host can reach no server at all.
    pub const fn is_cut_off(&self) -> bool {
        self.all.unreachable_since.is_some()
    }

    /// Returns whether this host can reach no server of a service.
    pub fn is_unreachable(&self, service: &str) -> bool {
        self.is_cut_off()
            || self.services.get(service).is_some_and(|scope| scope.unreachable_since.is_some())
    }
}

#[cfg(test)]
mod tests;
