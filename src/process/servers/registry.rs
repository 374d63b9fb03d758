//! The backend servers that are known at this moment, ordered by the source's revisions.
//!
//! Any source may be merged: a host that reads the platform itself and a host that hears from a
//! peer apply the same changes. See `docs/PLATFORM.md`, section "Reading the platform".

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Monotonic;
use crate::flaw::flawed;
use crate::ids::{DomainId, Revision, ServerId, ServiceId};

/// How long an entry that lapsed while the source was away is kept after the source's return;
/// the platform puts the entries of living servers back within about two seconds.
pub const LAPSE_HOLD: Duration = Duration::from_millis(2_000);

/// What a server says of itself, or operators of its failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Its name in this life.
    pub id: ServerId,
    /// The service that it serves.
    pub service: ServiceId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The failure domain it stands in.
    pub domain: DomainId,
    /// How many requests it works on at a time.
    pub slots: u32,
    /// It takes new work.
    pub ready: bool,
    /// How much longer it is cold, as of the revision.
    pub cold_left_ms: u64,
}

/// One thing that the source says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fact {
    /// A server is as it says, or can't be used where its entry made no sense.
    Server(ServerId, Option<ServerRecord>),
    /// Operators want nothing sent to the servers of a failure domain, or want it again.
    DomainOut(DomainId, bool),
}

/// A change of the source.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Orders all changes.
    pub revision: Revision,
    /// What is so from then on.
    pub fact: Fact,
}

/// A server that may be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveServer {
    /// What it says of itself.
    pub record: ServerRecord,
    /// It is cold before this.
    pub cold_until: Monotonic,
}

/// What the request path reads of the registry, as one immutable snapshot.
#[derive(Debug, Clone, Default)]
pub struct ServerView {
    /// The revision up to which it holds.
    pub revision: Revision,
    by_service: HashMap<ServiceId, Vec<Arc<LiveServer>>>,
    by_id: HashMap<ServerId, Arc<LiveServer>>,
}

impl ServerView {
    /// Returns the servers of a service that may get new work.
    pub fn of(&self, service: &str) -> &[Arc<LiveServer>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns a server that may get new work.
    pub fn get(&self, server: &str) -> Option<&Arc<LiveServer>> {
        self.by_id.get(server)
    }

    /// Tells whether a server may get new work.
    pub fn may_send(&self, server: &str) -> bool {
        self.by_id.contains_key(server)
    }

    /// Returns how many servers may get new work.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Tells whether no server may get new work.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}

#[derive(Debug, Clone)]
struct Entry {
    revision: Revision,
    record: Option<ServerRecord>,
    cold_until: Monotonic,
    /// The entry lapsed while the source was away; it is used before this.
    held_until: Option<Monotonic>,
}

/// All that the source said, and what of it holds.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    revision: Revision,
    servers: BTreeMap<ServerId, Entry>,
    domains_out: HashMap<DomainId, (Revision, bool)>,
    away: bool,
    returned_at: Option<Monotonic>,
}

impl Registry {
    /// Returns the revision up to which everything is known.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Takes in that the source does not answer.
    pub const fn on_source_lost(&mut self) {
        self.away = true;
    }

    /// Takes in that the source answers; returns whether it had been away.
    pub const fn on_source_answers(&mut self, now: Monotonic) -> bool {
        let was_away = self.away;
        if was_away {
            self.away = false;
            self.returned_at = Some(now);
        }
        was_away
    }

    /// Returns how long ago the source came back, where entries may still be on hold for it.
    pub fn returned_ago(&self, now: Monotonic) -> Option<Duration> {
        self.returned_at.map(|at| now.saturating_sub(at)).filter(|ago| *ago < LAPSE_HOLD)
    }

    /// Takes in a peer's word that the source came back a while ago.
    pub fn on_peer_saw_return(&mut self, now: Monotonic, ago: Duration) {
        let at = now.saturating_sub(ago);
        if self.returned_at.is_none_or(|known| known < at) {
            self.returned_at = Some(at);
        }
    }

    /// Takes in changes up to a revision; returns whether anything is new.
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

    /// Takes in a whole reading, which names all that there is at `up_to`; what it does not name
    /// was removed.
    pub fn replace(&mut self, now: Monotonic, changes: Vec<Change>, up_to: Revision) {
        let named = |fact: &Fact| match fact {
            Fact::Server(id, _) => Some(id.clone()),
            Fact::DomainOut(..) => None,
        };
        let ids: HashSet<ServerId> = changes.iter().filter_map(|c| named(&c.fact)).collect();
        let out: HashSet<DomainId> = changes
            .iter()
            .filter_map(|c| match &c.fact {
                Fact::DomainOut(domain, true) => Some(domain.clone()),
                Fact::DomainOut(..) | Fact::Server(..) => None,
            })
            .collect();
        let gone: Vec<ServerId> =
            self.servers.keys().filter(|id| !ids.contains(*id)).cloned().collect();
        let back: Vec<DomainId> =
            self.domains_out.keys().filter(|d| !out.contains(*d)).cloned().collect();
        self.apply(now, changes, up_to);
        for id in gone {
            self.on_server(now, id, None, up_to);
        }
        for domain in back {
            self.on_domain(domain, false, up_to);
        }
    }

    /// Returns what a host that knows everything up to a revision lacks.
    pub fn changes_after(&self, revision: Revision, now: Monotonic) -> Vec<Change> {
        let servers = self.servers.iter().filter(|(_, entry)| entry.revision > revision).map(
            |(id, entry)| {
                let record = entry.record.clone().filter(|_| entry.held_until.is_none());
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

    /// Drops entries whose hold has run out; returns whether there were any.
    pub fn expire(&mut self, now: Monotonic) -> bool {
        let mut any = false;
        for entry in self.servers.values_mut() {
            if entry.held_until.is_some_and(|until| now >= until) {
                entry.held_until = None;
                entry.record = None;
                any = true;
            }
        }
        any
    }

    /// Makes the snapshot for the request path.
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
        if known.is_some_and(|entry| entry.revision >= revision) && !flawed!(OldWordWins) {
            return false;
        }
        let held = record.is_none().then(|| self.hold(now)).flatten();
        let kept = known.filter(|_| held.is_some()).and_then(|entry| entry.record.clone());
        let held_until = held.filter(|_| kept.is_some());
        let record = record.or(kept);
        let cold_left = record.as_ref().map_or(0, |record| record.cold_left_ms);
        let cold_until = now + Duration::from_millis(cold_left);
        self.servers.insert(id, Entry { revision, record, cold_until, held_until });
        true
    }

    /// Returns until when an entry that is removed now is kept, if it may have lapsed only because
    /// the source was away.
    fn hold(&self, now: Monotonic) -> Option<Monotonic> {
        let until = self.returned_at? + LAPSE_HOLD;
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
