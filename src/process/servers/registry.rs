//! The registry of known backend servers, ordered by the source's revisions.
//!
//! Changes can come from the platform or from a peer; both are applied in the same way. See
//! `docs/PLATFORM.md`, section "Reading the platform".

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Monotonic;
use crate::flaw::flawed;
use crate::ids::{DomainId, Revision, ServerId, ServiceId};

/// The grace period of entries that lapsed during an outage of the source, counted from its
/// recovery: the platform restores the entries of live servers within about two seconds.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_000);

/// A server's own description of itself and its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Identifies this incarnation of the server.
    pub id: ServerId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// The address on which it listens.
    pub addr: SocketAddr,
    /// The failure domain in which it runs.
    pub domain: DomainId,
    /// How many requests it processes at a time.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub ready: bool,
    /// The remaining time of its cold start, as of the revision.
    pub cold_left_ms: u64,
}

/// A statement of the source about one server or failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fact {
    /// The record of a server, or `None` if it was removed or its entry could not be parsed.
    Server(ServerId, Option<ServerRecord>),
    /// Whether operators have taken a failure domain out, so that its servers get no requests.
    DomainOut(DomainId, bool),
}

/// A change at the source.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The revision of the change; revisions order all changes.
    pub revision: Revision,
    /// What holds from this revision on.
    pub fact: Fact,
}

/// A server that may get new requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveServer {
    /// The server's record.
    pub record: ServerRecord,
    /// The end of its cold start.
    pub cold_until: Monotonic,
}

/// An immutable snapshot of the registry for the request path.
#[derive(Debug, Clone, Default)]
pub struct ServerView {
    /// The revision that the snapshot reflects.
    pub revision: Revision,
    by_service: HashMap<ServiceId, Vec<Arc<LiveServer>>>,
    by_id: HashMap<ServerId, Arc<LiveServer>>,
}

impl ServerView {
    /// Returns the servers of a service that may get new requests.
    pub fn of(&self, service: &str) -> &[Arc<LiveServer>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns a server if it may get new requests.
    pub fn get(&self, server: &str) -> Option<&Arc<LiveServer>> {
        self.by_id.get(server)
    }

    /// Tells whether a server may get new requests.
    pub fn may_send(&self, server: &str) -> bool {
        self.by_id.contains_key(server)
    }

    /// Returns how many servers may get new requests.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Tells whether no server may get new requests.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}

#[derive(Debug, Clone)]
struct Entry {
    revision: Revision,
    record: Option<ServerRecord>,
    cold_until: Monotonic,
    /// The end of the grace period, if the entry lapsed during an outage of the source.
    grace_until: Option<Monotonic>,
}

/// All server records and failure domain states received from the source.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    revision: Revision,
    servers: BTreeMap<ServerId, Entry>,
    domains_out: HashMap<DomainId, (Revision, bool)>,
    source_lost: bool,
    source_recovered_at: Option<Monotonic>,
}

impl Registry {
    /// Returns the revision up to which all changes were applied.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Records that the source does not answer.
    pub const fn on_source_lost(&mut self) {
        self.source_lost = true;
    }

    /// Records that the source answers; returns whether it was lost before.
    pub const fn on_source_answers(&mut self, now: Monotonic) -> bool {
        let was_lost = self.source_lost;
        if was_lost {
            self.source_lost = false;
            self.source_recovered_at = Some(now);
        }
        was_lost
    }

    /// Returns how long ago the source recovered, while the grace period of entries still runs.
    pub fn source_recovered_ago(&self, now: Monotonic) -> Option<Duration> {
        self.source_recovered_at.map(|at| now.saturating_sub(at)).filter(|ago| *ago < LAPSE_GRACE)
    }

    /// Records a peer's report that the source recovered `ago` before now.
    pub fn on_peer_reported_recovery(&mut self, now: Monotonic, ago: Duration) {
        let at = now.saturating_sub(ago);
        if self.source_recovered_at.is_none_or(|known| known < at) {
            self.source_recovered_at = Some(at);
        }
    }

    /// Applies changes up to a revision; returns whether any of them was new.
    pub fn apply(&mut self, now: Monotonic, changes: Vec<Change>, up_to: Revision) -> bool {
        let mut any = false;
        for change in changes {
            any |= match change.fact {
                Fact::Server(id, record) => self.on_server(now, id, record, change.revision),
                Fact::DomainOut(domain, out) => self.on_domain(domain, out, change.revision),
            };
        }
        self.revision = self.revision.max(up_to);
        any
    }

    /// Applies a full snapshot of the source at `up_to`: removes the servers that it does not
    /// contain, and readmits the failure domains that it does not list as out.
    pub fn apply_snapshot(&mut self, now: Monotonic, changes: Vec<Change>, up_to: Revision) {
        let server_id = |fact: &Fact| match fact {
            Fact::Server(id, _) => Some(id.clone()),
            Fact::DomainOut(..) => None,
        };
        let ids: HashSet<ServerId> = changes.iter().filter_map(|c| server_id(&c.fact)).collect();
        let out: HashSet<DomainId> = changes
            .iter()
            .filter_map(|c| match &c.fact {
                Fact::DomainOut(domain, true) => Some(domain.clone()),
                Fact::DomainOut(..) | Fact::Server(..) => None,
            })
            .collect();
        let removed: Vec<ServerId> =
            self.servers.keys().filter(|id| !ids.contains(*id)).cloned().collect();
        let readmitted: Vec<DomainId> =
            self.domains_out.keys().filter(|d| !out.contains(*d)).cloned().collect();
        self.apply(now, changes, up_to);
        for id in removed {
            self.on_server(now, id, None, up_to);
        }
        for domain in readmitted {
            self.on_domain(domain, false, up_to);
        }
    }

    /// Returns the changes after a revision, for a host that has all earlier ones.
    pub fn changes_after(&self, revision: Revision, now: Monotonic) -> Vec<Change> {
        let servers = self.servers.iter().filter(|(_, entry)| entry.revision > revision).map(
            |(id, entry)| {
                let record = entry.record.clone().filter(|_| entry.grace_until.is_none());
                let left = |mut record: ServerRecord| {
                    record.cold_left_ms =
                        crate::clock::millis(entry.cold_until.saturating_sub(now));
                    record
                };
                Change {
                    revision: entry.revision,
                    fact: Fact::Server(id.clone(), record.map(left)),
                }
            },
        );
        let domains = self.domains_out.iter().filter(|(_, (at, _))| *at > revision).map(
            |(domain, (at, out))| Change {
                revision: *at,
                fact: Fact::DomainOut(domain.clone(), *out),
            },
        );
        servers.chain(domains).collect()
    }

    /// Removes entries whose grace period is over; returns whether there were any.
    pub fn expire(&mut self, now: Monotonic) -> bool {
        let mut any = false;
        for entry in self.servers.values_mut() {
            if entry.grace_until.is_some_and(|until| now >= until) {
                entry.grace_until = None;
                entry.record = None;
                any = true;
            }
        }
        any
    }

    /// Builds the snapshot for the request path.
    pub fn view(&self) -> ServerView {
        let mut view = ServerView { revision: self.revision, ..ServerView::default() };
        for entry in self.servers.values() {
            let Some(record) = entry.record.as_ref().filter(|record| record.ready) else {
                continue;
            };
            if self.domains_out.get(&record.domain).is_some_and(|(_, out)| *out) {
                continue;
            }
            let live =
                Arc::new(LiveServer { record: record.clone(), cold_until: entry.cold_until });
            view.by_service.entry(record.service.clone()).or_default().push(live.clone());
            view.by_id.insert(record.id.clone(), live);
        }
        view
    }

    fn on_server(
        &mut self,
        now: Monotonic,
        id: ServerId,
        record: Option<ServerRecord>,
        revision: Revision,
    ) -> bool {
        let known = self.servers.get(&id);
        if known.is_some_and(|entry| entry.revision >= revision) && !flawed!(OlderRevisionWins) {
            return false;
        }
        let grace = record.is_none().then(|| self.grace_end(now)).flatten();
        let kept = known.filter(|_| grace.is_some()).and_then(|entry| entry.record.clone());
        let grace_until = grace.filter(|_| kept.is_some());
        let record = record.or(kept);
        let cold_left = record.as_ref().map_or(0, |record| record.cold_left_ms);
        let cold_until = now + Duration::from_millis(cold_left);
        self.servers.insert(id, Entry { revision, record, cold_until, grace_until });
        true
    }

    /// Returns the end of the grace period for an entry that is removed now, if it may have lapsed
    /// only because of an outage of the source.
    fn grace_end(&self, now: Monotonic) -> Option<Monotonic> {
        let until = self.source_recovered_at? + LAPSE_GRACE;
        (now < until).then_some(until)
    }

    fn on_domain(&mut self, domain: DomainId, out: bool, revision: Revision) -> bool {
        if self.domains_out.get(&domain).is_some_and(|(at, _)| *at >= revision) {
            return false;
        }
        self.domains_out.insert(domain, (revision, out));
        true
    }
}

#[cfg(test)]
mod tests;
