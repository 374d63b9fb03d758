//! Property tests of single decisions: random inputs to the registry, the extra-attempt budget and
//! the attempts of one shard, each checked against a short model.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use quickcheck::{Arbitrary, Gen};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

use super::injected_fault::{InjectedFault, with_fault};
use crate::clock::Monotonic;
use crate::ids::{Revision, ServerId, ServiceId, SourceEpoch};
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::position::Position;
use crate::process::budgets::extra_attempt_budget::{ExtraAttemptBudget, ExtraAttemptLimit};
use crate::process::servers::registry::{Change, Fact, LAPSE_GRACE, Registry, ServerRecord};
use crate::process::servers::withheld::Withheld;
use crate::request::shard_run::{Next, ShardRun};

const FIRST_SEED: u64 = 20_612;
const SEEDS: u64 = 300;
const STEPS: usize = 60;
const SERVERS: u64 = 4;
const DOMAINS: [&str; 2] = ["north", "south"];
/// How long a registry retains facts of an earlier epoch.
const RETENTION: Duration = Duration::from_millis(3_600).saturating_add(LAPSE_GRACE);

/// Checks a property with many seeds; returns the first seed that violates it, and the violation.
fn first_failure(
    property: fn(&mut SmallRng) -> Result<(), String>,
    fault: Option<InjectedFault>,
) -> Option<(u64, String)> {
    (FIRST_SEED..FIRST_SEED + SEEDS).find_map(|seed| {
        let checked = with_fault(fault, || property(&mut SmallRng::seed_from_u64(seed)));
        checked.err().map(|violation| (seed, violation))
    })
}

fn random_change(rng: &mut SmallRng, revision: Revision) -> Change {
    let domain = DOMAINS[rng.random_range(0..DOMAINS.len())];
    let id: ServerId = format!("s{}", rng.random_range(0..SERVERS)).into();
    let mut g = Gen::from_size_and_seed(8, rng.random());
    let record = ServerRecord {
        id: id.clone(),
        service: "desk".into(),
        addr: "127.0.0.1:9000".parse().expect("a valid address"),
        domain: domain.into(),
        slots: u32::arbitrary(&mut g),
        ready: rng.random_bool(0.7),
        cold_left_ms: 0,
    };
    let fact = match rng.random_range(0..4) {
        0 => Fact::DomainOut(domain.into(), rng.random_bool(0.5)),
        1 => Fact::Server(id, None),
        _ => Fact::Server(id, Some(record)),
    };
    Change { revision, fact }
}

/// In any order, repetition and batching of changes, the highest revision of each fact wins.
fn highest_revision_wins(rng: &mut SmallRng) -> Result<(), String> {
    let mut changes: Vec<Change> = (1..=STEPS as u64).map(|at| random_change(rng, at)).collect();
    let mut servers: BTreeMap<ServerId, Option<ServerRecord>> = BTreeMap::new();
    let mut out: BTreeMap<_, bool> = BTreeMap::new();
    for change in &changes {
        match change.fact.clone() {
            Fact::Server(id, record) => {
                servers.insert(id, record);
            }
            Fact::DomainOut(domain, is_out) => {
                out.insert(domain, is_out);
            }
        }
    }
    let repeated: Vec<Change> = changes.iter().filter(|_| rng.random_bool(0.3)).cloned().collect();
    changes.extend(repeated);
    changes.shuffle(rng);
    let (mut left, mut right) = (Registry::default(), Registry::default());
    let now = Duration::from_secs(9);
    for batch in changes.chunks(7) {
        let registry = if rng.random_bool(0.5) { &mut left } else { &mut right };
        registry.apply(now, batch.to_vec(), Position::default());
    }
    // Two hosts that know different changes agree once they have exchanged them.
    let all = Position { epoch: 0, revision: STEPS as u64 };
    right.apply(now, left.changes_after(0, now), all);
    left.apply(now, right.changes_after(0, now), all);
    for (id, record) in &servers {
        let record = record.as_ref().filter(|record| record.ready);
        let expected = record.is_some_and(|r| !out.get(&r.domain).copied().unwrap_or_default());
        for registry in [&left, &right] {
            let may_send = registry.view().may_send(id);
            if may_send != expected {
                return Err(format!(
                    "{id} may be sent requests: {may_send}, by its newest revision: {expected}"
                ));
            }
        }
    }
    Ok(())
}

/// The histories of a source that is restored from older states, one for each epoch. The change at
/// revision `n` is the `n`th of its history.
struct Histories(Vec<Vec<Change>>);

impl Histories {
    /// Returns the changes of an epoch up to a position.
    fn up_to(&self, position: Position) -> &[Change] {
        &self.0[position.epoch as usize][..position.revision as usize]
    }

    fn position(&self) -> Position {
        let epoch = self.0.len() - 1;
        Position { epoch: epoch as SourceEpoch, revision: self.0[epoch].len() as Revision }
    }

    fn write_random(&mut self, rng: &mut SmallRng) {
        let Position { epoch, revision } = self.position();
        self.0[epoch as usize].push(random_change(rng, revision + 1));
    }

    /// Loses some of the latest changes.
    fn restore(&mut self, rng: &mut SmallRng) {
        let last = self.up_to(self.position());
        let kept = last.len() - rng.random_range(0..=last.len().min(8));
        self.0.push(last[..kept].to_vec());
    }

    /// Returns the last change of each server and failure domain.
    fn state(&self, position: Position) -> BTreeMap<&str, &Change> {
        self.up_to(position).iter().map(|change| (subject(change), change)).collect()
    }

    /// Returns what a complete read gets.
    fn read_all(&self) -> Delivery {
        let up_to = self.position();
        let mut changes: Vec<Change> = self.state(up_to).into_values().cloned().collect();
        changes.retain(|c| !matches!(c.fact, Fact::Server(_, None) | Fact::DomainOut(_, false)));
        Delivery { after: 0, changes, up_to, whole: true, from_peer: None }
    }

    /// Returns what a waiting call after a position of the present epoch gets.
    fn read_after(&self, after: Revision) -> Delivery {
        let up_to = self.position();
        let changes = self.up_to(up_to)[after as usize..].to_vec();
        Delivery { after, changes, up_to, whole: false, from_peer: None }
    }
}

fn subject(change: &Change) -> &str {
    match &change.fact {
        Fact::Server(id, _) => id,
        Fact::DomainOut(domain, _) => domain,
    }
}

/// What a host learns at once, from the source or from another host.
#[derive(Clone)]
struct Delivery {
    after: Revision,
    changes: Vec<Change>,
    up_to: Position,
    whole: bool,
    from_peer: Option<FromPeer>,
}

/// What only another host adds.
#[derive(Clone)]
struct FromPeer {
    recovered_ago: Option<Duration>,
    knows_earlier: bool,
    withheld: Vec<Withheld>,
}

/// A registry, and what it has been told that forbids requests.
#[derive(Default)]
struct Informed {
    registry: Registry,
    /// When the present epoch was entered.
    entered_at: Revision,
    /// The last known reports of the present epoch, and whether they forbid requests.
    reported: BTreeMap<String, (Revision, bool)>,
    /// What the last known reports of the earlier epoch forbid, and until when.
    lost: BTreeMap<String, (Revision, Monotonic)>,
}

impl Informed {
    /// Returns the facts that another host gets which is at a position.
    fn facts_after(&self, now: Monotonic, known: Position) -> Delivery {
        let up_to = self.registry.position();
        let lacks_changes = !self.registry.has_changes_after(known.revision);
        let whole = known.epoch < up_to.epoch || (known.epoch == up_to.epoch && lacks_changes);
        let after = if whole { 0 } else { known.revision };
        let changes = if known.epoch > up_to.epoch {
            Vec::new()
        } else {
            self.registry.changes_after(after, now)
        };
        let from_peer = Some(FromPeer {
            recovered_ago: self.registry.source_recovered_ago(now),
            knows_earlier: self.registry.knows_earlier_epoch(),
            withheld: self.registry.withheld(now),
        });
        Delivery { after, changes, up_to, whole, from_peer }
    }

    /// Applies what arrives in the way in which hosts do.
    fn receive(&mut self, now: Monotonic, histories: &Histories, delivery: Delivery) {
        let Delivery { after, changes, up_to, whole, from_peer } = delivery;
        let before = self.registry.position();
        let enters = up_to.epoch > before.epoch;
        if up_to.epoch < before.epoch || (enters && !whole) {
            return;
        }
        match &from_peer {
            Some(FromPeer { recovered_ago, .. }) => {
                recovered_ago
                    .iter()
                    .for_each(|ago| self.registry.on_peer_reported_recovery(now, *ago));
            }
            None if enters && before.revision > 0 => self.registry.on_source_restored(now),
            None => {}
        }
        if enters {
            self.entered_at = up_to.revision;
            for (subject, (revision, forbids)) in std::mem::take(&mut self.reported) {
                if forbids {
                    self.lost.entry(subject).or_insert((revision, now));
                }
            }
            self.lost.values_mut().for_each(|(_, until)| *until = now + RETENTION);
        }
        let is_snapshot = whole && (from_peer.is_none() || up_to > before);
        if is_snapshot {
            // A server that is not listed is known to be removed only if it was known before.
            let is_told = |report: &&Change| !matches!(&report.fact, Fact::Server(id, None) if !self.reported.contains_key(&**id));
            let told: Vec<&Change> = histories.state(up_to).into_values().filter(is_told).collect();
            self.note(now, told);
        } else {
            // A registry infers removals and readmissions from snapshots, with their revisions.
            for change in changes.iter().filter(|change| change.revision > before.revision) {
                let at = Position { revision: change.revision, ..up_to };
                self.note(now, histories.state(at).remove(subject(change)));
            }
        }
        if is_snapshot {
            self.registry.apply_snapshot(now, changes, up_to);
        } else {
            let is_complete = after <= before.revision && up_to > before;
            self.registry.apply(now, changes, if is_complete { up_to } else { before });
        }
        if let Some(FromPeer { knows_earlier, withheld, .. }) = from_peer {
            self.registry.on_peer_withholds(now, up_to, knows_earlier, withheld);
        }
    }

    /// Records what the source has reported.
    fn note<'a>(&mut self, now: Monotonic, reports: impl IntoIterator<Item = &'a Change>) {
        // Entries that lapse after an outage are not reported as removed by the server.
        let may_lapse = self.registry.source_recovered_ago(now).is_some();
        for report in reports {
            let (subject, revision) = (subject(report), report.revision);
            let (forbids, is_server) = match &report.fact {
                Fact::Server(_, Some(record)) => (!record.ready, true),
                Fact::Server(_, None) => (!may_lapse, true),
                Fact::DomainOut(_, out) => (*out, false),
            };
            if self.reported.get(subject).is_some_and(|(known, _)| *known >= revision) {
                continue;
            }
            self.reported.insert(subject.to_owned(), (revision, forbids));
            // Another fact with the revision of the lost one was written after the restoration.
            let entered_at = self.entered_at;
            let is_newer = |lost| revision > entered_at || (is_server && revision >= lost);
            if self.lost.get(subject).is_some_and(|(lost, _)| is_newer(*lost)) {
                self.lost.remove(subject);
            }
        }
    }

    /// Returns why a server must get no requests, if it does.
    fn violation(&mut self, now: Monotonic) -> Option<String> {
        self.registry.expire(now);
        self.lost.retain(|_, (_, until)| now < *until);
        let view = self.registry.view();
        view.of("desk").iter().find_map(|live| {
            let record = &live.record;
            [record.id.as_str(), record.domain.as_str()].into_iter().find_map(|subject| {
                let forbids = |why: &str| {
                    let epoch = view.position.epoch;
                    Some(format!("{} is used in epoch {epoch} although {subject} {why}", record.id))
                };
                if self.reported.get(subject).is_some_and(|(_, forbids)| *forbids) {
                    return forbids("is reported out of use");
                }
                if self.lost.contains_key(subject) {
                    return forbids("was reported out of use in the earlier epoch");
                }
                None
            })
        })
    }
}

/// Guards against servers that get requests, or get none for good, after the source has lost changes
/// and reused their revisions: hosts that read and exchange facts in any order use no server that the
/// earlier epoch, as far as they know it, or the present one forbids, and agree in the end.
fn hosts_agree_across_epochs(rng: &mut SmallRng) -> Result<(), String> {
    const HOSTS: usize = 3;
    const EPOCHS: usize = 3;
    let mut histories = Histories(vec![Vec::new()]);
    let mut hosts: [Informed; HOSTS] = Default::default();
    let mut sent: Vec<(usize, Delivery)> = Vec::new();
    let mut now = Duration::from_secs(9);
    for step in 0..STEPS * EPOCHS {
        now += Duration::from_millis(rng.random_range(0..200));
        if step > 0 && step % STEPS == 0 {
            histories.restore(rng);
        }
        let (to, from) = (rng.random_range(0..HOSTS), rng.random_range(0..HOSTS));
        let known = hosts[to].registry.position();
        match rng.random_range(0..8) {
            0..3 => histories.write_random(rng),
            3 if known.epoch == histories.position().epoch => {
                hosts[to].receive(now, &histories, histories.read_after(known.revision));
            }
            3 => hosts[to].receive(now, &histories, histories.read_all()),
            4 | 5 => sent.push((to, hosts[from].facts_after(now, known))),
            6 if !sent.is_empty() => {
                let (to, facts) = sent.swap_remove(rng.random_range(0..sent.len()));
                hosts[to].receive(now, &histories, facts);
            }
            _ => {
                hosts[to].registry.end_retention(now);
            }
        }
        for host in &mut hosts {
            if let Some(violation) = host.violation(now) {
                return Err(format!("step {step}: {violation}"));
            }
        }
    }
    hosts[0].receive(now, &histories, histories.read_all());
    for to in 1..HOSTS {
        let facts = hosts[0].facts_after(now, hosts[to].registry.position());
        hosts[to].receive(now, &histories, facts);
    }
    now += RETENTION;
    let state = histories.state(histories.position());
    let is_out = |domain: &str| {
        state.get(domain).is_some_and(|change| matches!(change.fact, Fact::DomainOut(_, true)))
    };
    for (host, Informed { registry, .. }) in hosts.iter_mut().enumerate() {
        registry.expire(now);
        registry.end_retention(now);
        let view = registry.view();
        for id in (0..SERVERS).map(|n| format!("s{n}")) {
            let expected = state.get(id.as_str()).is_some_and(|change| match &change.fact {
                Fact::Server(_, Some(record)) => record.ready && !is_out(&record.domain),
                Fact::Server(_, None) | Fact::DomainOut(..) => false,
            });
            let is_used = view.may_send(&id);
            if is_used != expected || view.position != histories.position() {
                return Err(format!(
                    "in the end, {id} is used by host {host} at {:?}: {is_used}, by the source's \
                     last state: {expected}",
                    view.position
                ));
            }
        }
    }
    Ok(())
}

/// In every window, all hosts together make at most as many extra attempts as the limit allows for
/// the first attempts of that window, of the window before it or of the one half a window earlier.
///
/// The values are those of a platform of eight hosts. Hosts evaluate their windows at different
/// times, so with an allowance of only a few attempts the limit would at times be exceeded by one.
fn extra_attempts_stay_within_limit(rng: &mut SmallRng) -> Result<(), String> {
    const HOSTS: usize = 8;
    let window = Duration::from_secs(10);
    let limit = ExtraAttemptLimit { ratio: 0.2, allowance: 54.0, window };
    let service = ServiceId::from("desk");
    let mut hosts: Vec<ExtraAttemptBudget> =
        (0..HOSTS).map(|_| ExtraAttemptBudget::new(limit)).collect();
    let (mut first_attempts, mut extra_attempts) = (Vec::new(), Vec::new());
    let mut now = Duration::from_secs(100);
    for step in 0..STEPS * 40 {
        // The request rate alternates between high and low, as with bursts of callers.
        let pause_ms = if step / 300 % 2 == 0 { 20 } else { 60 };
        now += Duration::from_millis(rng.random_range(0..pause_ms));
        let host = &mut hosts[rng.random_range(0..HOSTS)];
        if rng.random_bool(0.5) {
            host.on_first(now, &service);
            first_attempts.push(now);
        } else if host.try_spend(now, &service, Some(HOSTS)) {
            extra_attempts.push(now);
        }
        let count_in_window = |times: &[Duration], end: Duration| {
            times.iter().filter(|at| **at > end.saturating_sub(window) && **at <= end).count()
                as f64
        };
        let ends = [now, now - window / 2, now - window];
        let most =
            ends.into_iter().map(|end| count_in_window(&first_attempts, end)).fold(0.0, f64::max);
        let spent = count_in_window(&extra_attempts, now);
        if spent > most.mul_add(limit.ratio, limit.allowance) {
            return Err(format!("{spent} extra attempts to {most} first attempts"));
        }
    }
    Ok(())
}

/// A request reaches at most as many servers as its route allows attempts.
fn servers_reached_stay_within_attempts(rng: &mut SmallRng) -> Result<(), String> {
    let attempts = rng.random_range(1..4);
    let servers: Vec<ServerId> = (0..SERVERS + 2).map(|n| format!("s{n}").into()).collect();
    let mut run = ShardRun::default();
    let mut running: Vec<ServerId> = Vec::new();
    let mut may_have_run: BTreeSet<ServerId> = BTreeSet::new();
    let mut now = Duration::from_secs(1);
    for _ in 0..STEPS {
        now += Duration::from_millis(rng.random_range(1..50));
        let allowed: Vec<&ServerId> =
            servers.iter().filter(|id| run.allows(id, attempts)).collect();
        if rng.random_bool(0.5) && run.may_send(attempts) {
            match allowed.first() {
                Some(id) => {
                    run.on_sent(id, now + Duration::from_millis(20));
                    running.push((*id).clone());
                }
                None => run.on_no_server(now),
            }
        } else if let Some(id) = running.pop() {
            let outcome = match rng.random_range(0..5) {
                0 => Outcome::NotRun(NotRunReason::Shed),
                1 => Outcome::NotRun(NotRunReason::Unreachable),
                2 => Outcome::NotRun(NotRunReason::ServerLeaving),
                _ => Outcome::Unknown(UnknownReason::ConnectionLost),
            };
            if matches!(outcome, Outcome::Unknown(_)) {
                may_have_run.insert(id.clone());
            }
            let next = run.on_failure(now, &id, outcome, attempts);
            if next == Next::Retry && !run.may_send(attempts) {
                return Err("retries although no further attempt is allowed".into());
            }
        }
        let reached: BTreeSet<&ServerId> = may_have_run.iter().chain(&running).collect();
        if reached.len() as u32 > attempts {
            return Err(format!("{} servers reached, {attempts} allowed", reached.len()));
        }
    }
    Ok(())
}

struct Case {
    property: fn(&mut SmallRng) -> Result<(), String>,
    fault: InjectedFault,
    /// Part of the violation that the fault must cause.
    expected: &'static str,
}

const CASES: [Case; 3] = [
    Case {
        property: highest_revision_wins,
        fault: InjectedFault::OlderRevisionWins,
        expected: "by its newest revision",
    },
    Case {
        property: extra_attempts_stay_within_limit,
        fault: InjectedFault::ExtraAttemptUncounted,
        expected: "extra attempts to",
    },
    Case {
        property: servers_reached_stay_within_attempts,
        fault: InjectedFault::UnknownOutcomeUncounted,
        expected: "servers reached",
    },
];

const ACROSS_EPOCHS: Case = Case {
    property: hosts_agree_across_epochs,
    fault: InjectedFault::OlderRevisionWins,
    expected: "is used",
};

#[test]
fn random_inputs_satisfy_every_property() {
    for case in CASES {
        if let Some((seed, violation)) = first_failure(case.property, None) {
            panic!("seed {seed}: {violation}");
        }
    }
}

#[test]
fn random_hosts_agree_across_epochs() {
    if let Some((seed, violation)) = first_failure(ACROSS_EPOCHS.property, None) {
        panic!("seed {seed}: {violation}");
    }
}

#[test]
fn injected_faults_violate_their_properties() {
    for case in CASES.into_iter().chain([ACROSS_EPOCHS]) {
        let found = first_failure(case.property, Some(case.fault));
        let (seed, violation) = found.unwrap_or_else(|| panic!("{:?} was not found", case.fault));
        assert!(
            violation.contains(case.expected),
            "{:?} with seed {seed}: {violation}",
            case.fault
        );
    }
}
