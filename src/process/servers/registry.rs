//! The registry of known backend servers, ordered by the source's revisions.
//!
//! Changes can come from the platform or from a peer; both are applied in the same way. All entries
//! are of one epoch of the source, since revisions of different epochs can't be compared. A complete
//! snapshot of a later epoch replaces them; what the earlier epoch said last and the later one has
//! lost is retained for a bounded time, so that a server that is leaving gets no requests and one
//! that is live stays in use until both have been reported again. See `docs/PLATFORM.md`, sections
//! "Reading the platform" and "Epochs".

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::source_outage::SourceOutage;
use super::withheld::{Withheld, WithheldSubject};
use crate::clock::{Monotonic, millis};
use crate::flaw::flawed;
use crate::ids::{DomainId, Revision, ServerId, ServiceId};
use crate::position::Position;

/// The grace period of entries that lapsed during an outage of the source, counted from its
/// recovery: the platform restores the entries of live servers within about two seconds.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_000);

/// How long the source keeps the entry of a silent server, unless the settings say otherwise.
const DEFAULT_LAPSE_TIME: Duration = Duration::from_millis(3_600);

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
    /// The position of the source that the snapshot reflects.
    pub position: Position,
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

    /// Returns all servers that may get new requests.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<LiveServer>> {
        self.by_id.values()
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

#[derive(Debug, Clone, Default)]
struct Entry {
    revision: Revision,
    record: Option<ServerRecord>,
    cold_until: Monotonic,
    /// The end of the grace period, if the entry lapsed during an outage of the source.
    grace_until: Option<Monotonic>,
    /// The revision, in an earlier epoch, of the last known report of the server, if the present epoch
    /// may have lost it.
    earlier_revision: Option<Revision>,
    /// The end of the time for which the server gets no requests, if by that report it was leaving or
    /// removed.
    withheld_until: Option<Monotonic>,
}

impl Entry {
    /// Returns the record if the server may get new requests as far as its own entry is concerned.
    fn usable(&self) -> Option<&ServerRecord> {
        self.record.as_ref().filter(|record| record.ready && self.withheld_until.is_none())
    }
}

#[derive(Debug, Clone)]
struct DomainState {
    revision: Revision,
    out: bool,
    /// The revision, in an earlier epoch, of the last known report of the failure domain.
    earlier_revision: Option<Revision>,
    /// The end of the time for which the failure domain stays out because an earlier epoch reported
    /// it so, and the present one may only have lost that.
    withheld_until: Option<Monotonic>,
}

impl DomainState {
    const fn is_out(&self) -> bool {
        self.out || self.withheld_until.is_some()
    }
}

/// What a registry retained of the earlier epoch when it entered a later one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EpochChange {
    /// The last position in the earlier epoch.
    pub from: Position,
    /// The first position in the later epoch.
    pub to: Position,
    /// The number of servers that are withheld.
    pub withheld_servers: usize,
    /// The number of failure domains that stay out.
    pub withheld_domains: usize,
    /// The number of servers that stay in use although the later epoch does not list them.
    pub kept_servers: usize,
}

/// All server records and failure domain states received from the source.
#[derive(Debug, Clone)]
pub struct Registry {
    position: Position,
    /// The revision at which the present epoch was entered; changes after it were reported in it.
    first_revision: Revision,
    /// When the present epoch was entered.
    entered_at: Monotonic,
    /// The revision of the latest complete state. A server or failure domain that is unknown although
    /// a change of it is older than this state was removed before it.
    snapshot_revision: Revision,
    /// Whether there was an earlier epoch, from which facts may be retained.
    was_restored: bool,
    servers: BTreeMap<ServerId, Entry>,
    domains: HashMap<DomainId, DomainState>,
    outage: SourceOutage,
    /// Whether a peer that knows an earlier epoch has told what it withholds, since this registry
    /// entered the present one.
    heard_from_peer: bool,
    /// How long facts of an earlier epoch are retained.
    retention: Duration,
}

impl Default for Registry {
    fn default() -> Self {
        Self::new(DEFAULT_LAPSE_TIME)
    }
}

impl Registry {
    /// Creates an empty registry; `lapse_time` is how long the source keeps the entry of a server
    /// that no longer reports.
    pub fn new(lapse_time: Duration) -> Self {
        Self {
            position: Position::default(),
            first_revision: 0,
            entered_at: Monotonic::ZERO,
            snapshot_revision: 0,
            was_restored: false,
            servers: BTreeMap::new(),
            domains: HashMap::new(),
            outage: SourceOutage::default(),
            heard_from_peer: false,
            // A removed server may be in the copy from which the source was restored. Its entry
            // lapses again, at the latest after the lapse time and the usual delay after an outage.
            retention: lapse_time + LAPSE_GRACE,
        }
    }

    /// Returns the position up to which all changes were applied.
    pub const fn position(&self) -> Position {
        self.position
    }

    /// Records that the source does not answer this host.
    pub fn on_source_lost(&mut self, now: Monotonic) {
        self.outage.on_failure(now);
    }

    /// Records that the source answers this host; returns whether it was away before.
    pub fn on_source_answers(&mut self, now: Monotonic) -> bool {
        self.outage.on_answer(now)
    }

    /// Records that the source answered another host at a time.
    pub fn on_source_answered_peer(&mut self, at: Monotonic) {
        self.outage.on_peer_answer(at);
    }

    /// Returns how long ago the source recovered, while the grace period of entries still runs.
    pub fn source_recovered_ago(&self, now: Monotonic) -> Option<Duration> {
        let ago = self.outage.returned_at().map(|at| now.saturating_sub(at));
        ago.filter(|ago| *ago < LAPSE_GRACE)
    }

    /// Records a peer's report that the source recovered `ago` before now.
    pub fn on_peer_reported_recovery(&mut self, now: Monotonic, ago: Duration) {
        self.outage.on_peer_reported_return(now.saturating_sub(ago));
    }

    /// Records that the source answers from a later epoch: it was away, however shortly, and live
    /// servers may have to report again.
    pub fn on_source_restored(&mut self, now: Monotonic) {
        self.outage.on_restored(now);
    }

    /// Applies changes up to a position; returns whether any of them was new. Changes of another
    /// epoch are ignored, since only a complete snapshot can replace the entries of this one.
    pub fn apply(&mut self, now: Monotonic, changes: Vec<Change>, up_to: Position) -> bool {
        if up_to.epoch != self.position.epoch {
            return false;
        }
        let mut any = false;
        for change in changes {
            any |= match change.fact {
                Fact::Server(id, record) => self.on_server(now, id, record, change.revision),
                Fact::DomainOut(domain, out) => self.on_domain(domain, out, change.revision),
            };
        }
        self.position = self.position.max(up_to);
        any
    }

    /// Applies a complete snapshot of the source at `up_to`: removes the servers that it does not
    /// contain, and readmits the failure domains that it does not list as out. Returns what was
    /// retained if this enters a later epoch. A snapshot of an earlier epoch is ignored.
    pub fn apply_snapshot(
        &mut self,
        now: Monotonic,
        changes: Vec<Change>,
        up_to: Position,
    ) -> Option<EpochChange> {
        if up_to.epoch < self.position.epoch {
            return None;
        }
        if up_to.epoch > self.position.epoch {
            return self.enter_epoch(now, changes, up_to);
        }
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
        // A domain that is withheld is not listed as out; only a change readmits it early.
        let is_readmitted =
            |(domain, state): &(&DomainId, &DomainState)| state.out && !out.contains(*domain);
        let readmitted: Vec<DomainId> =
            self.domains.iter().filter(is_readmitted).map(|(domain, _)| domain.clone()).collect();
        // A state that is as new as everything known may list any server.
        let snapshot_revision = self.snapshot_revision;
        if up_to >= self.position {
            self.snapshot_revision = 0;
        }
        self.apply(now, changes, up_to);
        for id in removed {
            self.on_server(now, id, None, up_to.revision);
        }
        for domain in readmitted {
            self.on_domain(domain, false, up_to.revision);
        }
        self.snapshot_revision = snapshot_revision.max(up_to.revision);
        None
    }

    /// Replaces all entries by those of a later epoch, and retains what that epoch may have lost.
    ///
    /// An entry of the later epoch with a lower revision than the earlier one's is either an older
    /// state of the server or a new report under a reused revision; it can't be told which. Of the
    /// two, the one that allows fewer requests counts until the server has reported again or the
    /// retention time is over. An entry with a higher revision is newer in either case.
    fn enter_epoch(
        &mut self,
        now: Monotonic,
        changes: Vec<Change>,
        up_to: Position,
    ) -> Option<EpochChange> {
        let from = std::mem::replace(&mut self.position, up_to);
        let earlier_first = std::mem::replace(&mut self.first_revision, up_to.revision);
        let servers = std::mem::take(&mut self.servers);
        let domains = std::mem::take(&mut self.domains);
        self.entered_at = now;
        self.snapshot_revision = 0;
        self.heard_from_peer = false;
        self.apply(now, changes, up_to);
        self.snapshot_revision = up_to.revision;
        for (id, earlier) in servers {
            let reported = earlier.revision > earlier_first;
            self.retain_server(now, id, earlier, reported);
        }
        for (domain, earlier) in domains {
            let until = earlier.is_out().then_some(now + self.retention);
            let earlier_revision = earlier.earlier_revision.unwrap_or(earlier.revision);
            self.retain_domain(domain, earlier_revision, until);
        }
        let servers = self.servers.values();
        let change = EpochChange {
            from,
            to: up_to,
            withheld_servers: servers.clone().filter(|e| e.withheld_until.is_some()).count(),
            withheld_domains: self.domains.values().filter(|d| d.withheld_until.is_some()).count(),
            kept_servers: servers.filter(|entry| entry.grace_until.is_some()).count(),
        };
        // A registry that had read nothing before has lost nothing.
        self.was_restored = from.revision > 0;
        self.was_restored.then_some(change)
    }

    /// Returns whether the source was restored so recently that what it lost may be missing.
    pub fn was_restored_recently(&self, now: Monotonic) -> bool {
        self.was_restored && now < self.entered_at + self.retention
    }

    /// Retains what an earlier epoch said of a server; `reported` tells whether the server had been
    /// reported in that epoch, rather than retained from one before.
    fn retain_server(&mut self, now: Monotonic, id: ServerId, earlier: Entry, reported: bool) {
        let is_usable = earlier.usable().is_some();
        let earlier_revision = earlier.earlier_revision.unwrap_or(earlier.revision);
        let (first_revision, retention, grace) =
            (self.first_revision, self.retention, self.grace_end(now));
        let absent = Entry { revision: first_revision, ..Entry::default() };
        let entry = self.servers.entry(id).or_insert(absent);
        if entry.record.is_none() {
            entry.earlier_revision = Some(earlier_revision);
            if !is_usable {
                return;
            }
            // A server that was removed while entries could lapse has no more time than it had.
            let grace = earlier.grace_until.filter(|_| reported).or(grace);
            if grace.is_some() {
                let (revision, earlier_revision) = (entry.revision, entry.earlier_revision);
                *entry = Entry { revision, earlier_revision, grace_until: grace, ..earlier };
            }
            return;
        }
        // The cold start may be part of what was lost.
        entry.cold_until = entry.cold_until.max(earlier.cold_until);
        let is_new_report = entry.revision > first_revision;
        if entry.revision < earlier_revision && !is_new_report {
            entry.earlier_revision = Some(earlier_revision);
            entry.withheld_until = (!is_usable).then_some(now + retention);
        }
    }

    /// Retains what an earlier epoch said of a failure domain; keeps it out until `until`, unless the
    /// present epoch has reported that it is not.
    fn retain_domain(
        &mut self,
        domain: DomainId,
        earlier_revision: Revision,
        until: Option<Monotonic>,
    ) {
        let revision = self.first_revision;
        let state = self.domains.entry(domain).or_insert(DomainState {
            revision,
            out: false,
            earlier_revision: None,
            withheld_until: None,
        });
        let knows_later = state.earlier_revision.is_some_and(|known| known > earlier_revision);
        if !state.out && state.revision <= revision && !knows_later {
            state.earlier_revision = Some(earlier_revision);
            state.withheld_until = state.withheld_until.max(until);
        }
    }

    /// Returns the facts of earlier epochs that are still withheld, for other hosts.
    pub fn withheld(&self, now: Monotonic) -> Vec<Withheld> {
        let left_ms =
            |until: Monotonic| u32::try_from(millis(until.saturating_sub(now))).unwrap_or(u32::MAX);
        let servers = self.servers.iter().filter_map(|(id, entry)| {
            let (until, lost_revision) = (entry.withheld_until?, entry.earlier_revision?);
            let (id, revision) = (id.clone(), entry.revision);
            let subject = WithheldSubject::Server { id, revision, lost_revision };
            Some(Withheld { subject, left_ms: left_ms(until) })
        });
        let domains = self.domains.iter().filter_map(|(domain, state)| {
            let (until, lost_revision) = (state.withheld_until?, state.earlier_revision?);
            let subject = WithheldSubject::Domain { domain: domain.clone(), lost_revision };
            Some(Withheld { subject, left_ms: left_ms(until) })
        });
        servers.chain(domains).collect()
    }

    /// Withholds what a peer at `from` withholds, unless the peer lags: then it may not have heard yet
    /// of a new report. What this host knows from a later report, of the present or an earlier epoch, is
    /// not withheld.
    /// `knows_earlier` tells whether the peer knows an earlier epoch.
    pub fn on_peer_withholds(
        &mut self,
        now: Monotonic,
        from: Position,
        knows_earlier: bool,
        withheld: Vec<Withheld>,
    ) {
        if from.epoch != self.position.epoch || from < self.position {
            return;
        }
        self.heard_from_peer |= knows_earlier;
        // Hosts that remind each other of a fact must not extend its time, since each transfer takes
        // a little.
        let latest = self.entered_at + self.retention;
        for Withheld { subject, left_ms } in withheld {
            let until = (now + Duration::from_millis(u64::from(left_ms))).min(latest);
            if until <= now {
                continue;
            }
            match subject {
                WithheldSubject::Server { id, revision, lost_revision } => {
                    let known = revision.min(self.first_revision);
                    let is_lost = |entry: &&mut Entry| {
                        entry.revision <= known && entry.earlier_revision <= Some(lost_revision)
                    };
                    if let Some(entry) = self.servers.get_mut(&id).filter(is_lost) {
                        entry.earlier_revision = Some(lost_revision);
                        entry.withheld_until = entry.withheld_until.max(Some(until));
                    }
                }
                WithheldSubject::Domain { domain, lost_revision } => {
                    self.retain_domain(domain, lost_revision, Some(until));
                }
            }
        }
    }

    /// Returns whether this host knows an earlier epoch, itself or from a peer.
    pub const fn knows_earlier_epoch(&self) -> bool {
        self.was_restored || self.heard_from_peer
    }

    /// Returns whether to ask a peer what it withholds: none that knows an earlier epoch has told it
    /// since this host entered the present one, and it may still matter.
    pub fn asks_peers(&self, now: Monotonic) -> bool {
        !self.heard_from_peer && now < self.entered_at + self.retention
    }

    /// Returns whether the changes after a revision of this epoch are complete. They are not if this
    /// host has read the state since as a whole, which does not tell what was removed.
    pub const fn has_changes_after(&self, revision: Revision) -> bool {
        revision >= self.snapshot_revision
    }

    /// Returns the changes after a revision, for a host that has all earlier ones of this epoch.
    pub fn changes_after(&self, revision: Revision, now: Monotonic) -> Vec<Change> {
        let servers = self.servers.iter().filter(|(_, entry)| entry.revision > revision).map(
            |(id, entry)| {
                let record = entry.record.clone().filter(|_| entry.grace_until.is_none());
                let left = |mut record: ServerRecord| {
                    record.cold_left_ms = millis(entry.cold_until.saturating_sub(now));
                    record
                };
                Change {
                    revision: entry.revision,
                    fact: Fact::Server(id.clone(), record.map(left)),
                }
            },
        );
        // A domain that is only retained has no fact of this epoch.
        let is_reported = |state: &DomainState| state.out || state.revision > self.first_revision;
        let reported = self.domains.iter().filter(|(_, d)| d.revision > revision && is_reported(d));
        let domains = reported.map(|(domain, state)| Change {
            revision: state.revision,
            fact: Fact::DomainOut(domain.clone(), state.out),
        });
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

    /// Ends the retention of facts of earlier epochs whose time is over; returns how many there
    /// were. From then on, what the present epoch says counts alone.
    pub fn end_retention(&mut self, now: Monotonic) -> usize {
        let mut count = 0;
        for entry in self.servers.values_mut() {
            if entry.withheld_until.is_some_and(|until| now >= until) {
                entry.withheld_until = None;
                count += 1;
            }
        }
        for state in self.domains.values_mut() {
            if state.withheld_until.is_some_and(|until| now >= until) {
                state.withheld_until = None;
                count += 1;
            }
        }
        count
    }

    /// Builds the snapshot for the request path.
    pub fn view(&self) -> ServerView {
        let mut view = ServerView { position: self.position, ..ServerView::default() };
        for entry in self.servers.values() {
            let Some(record) = entry.usable() else {
                continue;
            };
            if self.domains.get(&record.domain).is_some_and(DomainState::is_out) {
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
        let known_at = known.map_or(self.snapshot_revision, |entry| entry.revision);
        if known_at >= revision && !flawed!(OlderRevisionWins) {
            return false;
        }
        let grace = record.is_none().then(|| self.grace_end(now)).flatten();
        let kept = known.filter(|_| grace.is_some()).and_then(|entry| entry.record.clone());
        let grace_until = grace.filter(|_| kept.is_some());
        // The entry of a server that is withheld may lapse; then it is still withheld.
        let withheld = known.filter(|_| grace_until.is_some());
        let earlier_revision = withheld.and_then(|entry| entry.earlier_revision);
        let withheld_until = withheld.and_then(|entry| entry.withheld_until);
        let record = record.or(kept);
        let cold_left = record.as_ref().map_or(0, |record| record.cold_left_ms);
        let cold_until = now + Duration::from_millis(cold_left);
        let entry =
            Entry { revision, record, cold_until, grace_until, earlier_revision, withheld_until };
        self.servers.insert(id, entry);
        true
    }

    /// Returns the end of the grace period for an entry that is removed now, if it may have lapsed
    /// only because of an outage of the source.
    fn grace_end(&self, now: Monotonic) -> Option<Monotonic> {
        let until = self.outage.returned_at()? + LAPSE_GRACE;
        (now < until).then_some(until)
    }

    fn on_domain(&mut self, domain: DomainId, out: bool, revision: Revision) -> bool {
        let known = self.domains.get(&domain);
        if known.map_or(self.snapshot_revision, |known| known.revision) >= revision {
            return false;
        }
        self.domains.insert(
            domain,
            DomainState { revision, out, earlier_revision: None, withheld_until: None },
        );
        true
    }
}

#[cfg(test)]
mod tests;
