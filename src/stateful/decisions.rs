//! Random inputs to the decision code of plans and registries, each against a short oracle.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use quickcheck::{Arbitrary, Gen};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

use super::flaw::{Flaw, with};
use crate::ids::{Revision, ServerId, ServiceId};
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::process::budgets::extra_attempt_budget::{ExtraAttemptBudget, ExtraAttemptLimit};
use crate::process::servers::registry::{Change, Fact, Registry, ServerRecord};
use crate::request::shard_run::{Next, ShardRun};

const SEED: u64 = 20_612;
const CASES: u64 = 300;
const STEPS: usize = 60;
const SERVERS: u64 = 4;
const DOMAINS: [&str; 2] = ["north", "south"];

/// Plays a property for many seeds; returns the first seed that breaks it, and why.
fn first_failure(
    property: fn(&mut SmallRng) -> Result<(), String>,
    flaw: Option<Flaw>,
) -> Option<(u64, String)> {
    (SEED..SEED + CASES).find_map(|seed| {
        let played = with(flaw, || property(&mut SmallRng::seed_from_u64(seed)));
        played.err().map(|why| (seed, why))
    })
}

fn some_change(rng: &mut SmallRng, revision: Revision) -> Change {
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

/// Whatever the order, repetition and batching of changes, the newest word on each thing decides.
fn newest_word_decides(rng: &mut SmallRng) -> Result<(), String> {
    let mut changes: Vec<Change> = (1..=STEPS as u64).map(|at| some_change(rng, at)).collect();
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
    let (mut one, mut other) = (Registry::default(), Registry::default());
    let now = Duration::from_secs(9);
    for batch in changes.chunks(7) {
        let registry = if rng.random_bool(0.5) { &mut one } else { &mut other };
        registry.apply(now, batch.to_vec(), 0);
    }
    // Two hosts that know different parts agree once each has told the other.
    other.apply(now, one.changes_after(0, now), STEPS as u64);
    one.apply(now, other.changes_after(0, now), STEPS as u64);
    for (id, record) in &servers {
        let record = record.as_ref().filter(|record| record.ready);
        let expected = record.is_some_and(|r| !out.get(&r.domain).copied().unwrap_or_default());
        for registry in [&one, &other] {
            let may_send = registry.view().may_send(id);
            if may_send != expected {
                return Err(format!(
                    "{id} may get work: {may_send}, by its newest word: {expected}"
                ));
            }
        }
    }
    Ok(())
}

/// In no window do hosts together make more extra attempts than the limit allows for the first
/// attempts of that window, the one before it or the one half a window before it.
///
/// The figures are those of a platform of eight hosts. Hosts look at their windows at different
/// moments, so that with an allowance of a few attempts the limit is exceeded by one at times.
fn extra_attempts_stay_within_the_limit(rng: &mut SmallRng) -> Result<(), String> {
    const HOSTS: usize = 8;
    let window = Duration::from_secs(10);
    let limit = ExtraAttemptLimit { ratio: 0.2, allowance: 54.0, window };
    let service = ServiceId::from("desk");
    let mut hosts: Vec<ExtraAttemptBudget> =
        (0..HOSTS).map(|_| ExtraAttemptBudget::new(limit)).collect();
    let (mut first, mut extra) = (Vec::new(), Vec::new());
    let mut now = Duration::from_secs(100);
    for step in 0..STEPS * 40 {
        // Traffic swells and falls, as it does when callers crowd and leave.
        let pause_ms = if step / 300 % 2 == 0 { 20 } else { 60 };
        now += Duration::from_millis(rng.random_range(0..pause_ms));
        let host = &mut hosts[rng.random_range(0..HOSTS)];
        if rng.random_bool(0.5) {
            host.on_first(now, &service);
            first.push(now);
        } else if host.try_spend(now, &service, HOSTS) {
            extra.push(now);
        }
        let inside = |times: &[Duration], end: Duration| {
            times.iter().filter(|at| **at > end.saturating_sub(window) && **at <= end).count()
                as f64
        };
        let ends = [now, now - window / 2, now - window];
        let most = ends.into_iter().map(|end| inside(&first, end)).fold(0.0, f64::max);
        let spent = inside(&extra, now);
        if spent > most.mul_add(limit.ratio, limit.allowance) {
            return Err(format!("{spent} extra attempts to {most} first ones"));
        }
    }
    Ok(())
}

/// One request never runs at more servers than its route's attempts.
fn a_request_reaches_no_more_servers_than_allowed(rng: &mut SmallRng) -> Result<(), String> {
    let attempts = rng.random_range(1..4);
    let servers: Vec<ServerId> = (0..SERVERS + 2).map(|n| format!("s{n}").into()).collect();
    let mut run = ShardRun::default();
    let mut running: Vec<ServerId> = Vec::new();
    let mut may_have_run: BTreeSet<ServerId> = BTreeSet::new();
    let mut now = Duration::from_secs(1);
    for _ in 0..STEPS {
        now += Duration::from_millis(rng.random_range(1..50));
        let fit: Vec<&ServerId> = servers.iter().filter(|id| run.allows(id, attempts)).collect();
        if rng.random_bool(0.5) && run.may_send(attempts) {
            match fit.first() {
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
                return Err("asks for an attempt that is not allowed".into());
            }
        }
        let together: BTreeSet<&ServerId> = may_have_run.iter().chain(&running).collect();
        if together.len() as u32 > attempts {
            return Err(format!("{} servers reached, {attempts} allowed", together.len()));
        }
    }
    Ok(())
}

struct Case {
    property: fn(&mut SmallRng) -> Result<(), String>,
    flaw: Flaw,
    says: &'static str,
}

const CASES_OF_FLAWS: [Case; 3] = [
    Case { property: newest_word_decides, flaw: Flaw::OldWordWins, says: "by its newest word" },
    Case {
        property: extra_attempts_stay_within_the_limit,
        flaw: Flaw::ExtraUncounted,
        says: "extra attempts to",
    },
    Case {
        property: a_request_reaches_no_more_servers_than_allowed,
        flaw: Flaw::LostIsUnreached,
        says: "servers reached",
    },
];

#[test]
fn no_input_breaks_a_property() {
    for case in CASES_OF_FLAWS {
        if let Some((seed, why)) = first_failure(case.property, None) {
            panic!("seed {seed}: {why}");
        }
    }
}

#[test]
fn deliberate_faults_break_their_properties() {
    for case in CASES_OF_FLAWS {
        let found = first_failure(case.property, Some(case.flaw));
        let (seed, why) = found.unwrap_or_else(|| panic!("{:?} was not found", case.flaw));
        assert!(why.contains(case.says), "{:?} with seed {seed}: {why}", case.flaw);
    }
}
