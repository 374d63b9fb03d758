//! Hosts exchange the platform's facts, so that hosts that the platform refuses and hosts that have
//! just started receive them too.

use std::time::Duration;

use quetzalpoint::connection::peer_frame::{Facts, Frame, encode};
use quetzalpoint::ids::{Revision, SourceEpoch};
use quetzalpoint::position::Position;
use quetzalpoint::process::configuration::fact_exchange;
use quetzalpoint::process::servers::registry::{Change, Fact, LAPSE_GRACE, ServerRecord};
use quetzalpoint::version::plan::PlanDocument;
use serde::Deserialize;

use crate::fake::{LAPSE_TIME, NORTH, TestHost, server_record};

/// How long a host retains facts of an earlier epoch.
const RETENTION: Duration = LAPSE_TIME.saturating_add(LAPSE_GRACE);
/// A time before or after [`RETENTION`] that is longer than the resolution of what hosts exchange.
const MARGIN: Duration = Duration::from_millis(50);

fn removed(shard: usize, revision: u64) -> Change {
    Change { revision, fact: Fact::Server(server_record(shard, NORTH).id, None) }
}

fn reported(shard: usize, revision: Revision) -> Change {
    let record = server_record(shard, NORTH);
    Change { revision, fact: Fact::Server(record.id.clone(), Some(record)) }
}

fn draining(shard: usize, revision: Revision) -> Change {
    let record = ServerRecord { ready: false, ..server_record(shard, NORTH) };
    Change { revision, fact: Fact::Server(record.id.clone(), Some(record)) }
}

fn north_out(out: bool, revision: Revision) -> Change {
    Change { revision, fact: Fact::DomainOut(NORTH.into(), out) }
}

const fn at(epoch: SourceEpoch, revision: Revision) -> Position {
    Position { epoch, revision }
}

fn usable(host: &TestHost, shard: usize) -> bool {
    host.tier.servers.load().may_send(&server_record(shard, NORTH).id)
}

fn position(host: &TestHost) -> Position {
    host.tier.servers.load().position
}

/// Returns the facts that `to` gets when it pulls from `from`.
fn pulled(from: &TestHost, to: &TestHost) -> Facts {
    fact_exchange::facts_after(&from.tier, fact_exchange::known_versions(&to.tier))
}

fn pull(from: &TestHost, to: &TestHost) {
    fact_exchange::on_facts(&to.tier, pulled(from, to));
}

/// Creates a host that knows `earlier` of the first epoch, up to revision 80.
fn host_with(earlier: Vec<Change>) -> TestHost {
    let host = TestHost::new(2);
    host.tier.apply_changes(earlier, at(0, 80));
    host
}

/// Lets a host read the second epoch, at revision 60, from the source; both servers are listed as
/// ready with the revisions 40 and 41.
fn enter_second_epoch(host: &TestHost) {
    host.tier.apply_snapshot(vec![reported(0, 40), reported(1, 41)], at(1, 60));
}

fn plan_with_version(host: &TestHost, version: u64) -> PlanDocument {
    let document = host.tier.plan.load().document().as_ref().clone();
    PlanDocument { version, ..document }
}

#[tokio::test(start_paused = true)]
async fn pull_brings_host_up_to_date() {
    let mut first = TestHost::new(3);
    let second = TestHost::new(3);
    first.apply_changes(vec![removed(1, 7)], 9);
    fact_exchange::adopt(&first.tier, plan_with_version(&first, 4), 0);
    let facts =
        fact_exchange::facts_after(&first.tier, fact_exchange::known_versions(&second.tier));
    fact_exchange::on_facts(&second.tier, facts);
    assert_eq!(
        fact_exchange::known_versions(&second.tier),
        fact_exchange::known_versions(&first.tier)
    );
    assert!(!second.tier.servers.load().may_send(&server_record(1, NORTH).id));
    let nothing =
        fact_exchange::facts_after(&first.tier, fact_exchange::known_versions(&second.tier));
    assert!(nothing.changes.is_empty() && nothing.plan.is_none());
}

#[tokio::test(start_paused = true)]
async fn gap_before_pushed_facts_is_still_pulled() {
    let mut first = TestHost::new(3);
    let second = TestHost::new(3);
    first.apply_changes(vec![removed(0, 5)], 5);
    let known = fact_exchange::known_versions(&first.tier);
    first.apply_changes(vec![removed(1, 7)], 7);
    fact_exchange::on_facts(&second.tier, fact_exchange::facts_after(&first.tier, known));
    assert!(
        !second.tier.servers.load().may_send(&server_record(1, NORTH).id),
        "received facts must be applied"
    );
    assert_eq!(
        fact_exchange::known_versions(&second.tier).revision,
        1,
        "the missing facts must still be pulled"
    );
    fact_exchange::on_facts(
        &second.tier,
        fact_exchange::facts_after(&first.tier, fact_exchange::known_versions(&second.tier)),
    );
    assert!(!second.tier.servers.load().may_send(&server_record(0, NORTH).id));
}

#[tokio::test(start_paused = true)]
async fn older_plan_is_ignored() {
    struct Case {
        name: &'static str,
        versions: Vec<u64>,
        in_force: u64,
    }
    let cases = [
        Case { name: "newer version after older", versions: vec![3, 5], in_force: 5 },
        Case { name: "older version after newer", versions: vec![5, 3], in_force: 5 },
        Case { name: "same version twice", versions: vec![5, 5], in_force: 5 },
    ];
    for case in cases {
        let host = TestHost::new(1);
        for version in case.versions {
            fact_exchange::adopt(&host.tier, plan_with_version(&host, version), 0);
        }
        assert_eq!(host.tier.plan.load().version, case.in_force, "{}", case.name);
    }
}

/// Guards against requests to a server that has left, for good, after the platform was restored: a
/// reader that read the new epoch before the server's removal pushes what it read, and this arrives
/// after the push of one that read it later.
#[tokio::test(start_paused = true)]
async fn late_push_of_a_new_epoch_does_not_bring_back_a_removed_server() {
    let position = |epoch, revision| Position { epoch, revision };
    let server = server_record(0, NORTH);
    let ready = Change { revision: 1, fact: Fact::Server(server.id.clone(), Some(server.clone())) };
    let mut hosts = [TestHost::new(1), TestHost::new(1), TestHost::new(1)];
    for host in &mut hosts {
        // The platform loses this removal; the copy from which it is restored lists the server.
        host.apply_changes(vec![removed(0, 95)], 100);
    }
    let [early, late, receiver] = &hosts;
    let known = fact_exchange::known_versions(&receiver.tier);
    early.tier.apply_snapshot(vec![ready], position(1, 110));
    // Here the server is removed in the new epoch as well.
    late.tier.apply_snapshot(vec![], position(1, 120));
    for reader in [late, early] {
        fact_exchange::on_facts(&receiver.tier, fact_exchange::facts_after(&reader.tier, known));
    }
    assert_eq!(receiver.tier.servers.load().position, position(1, 120));
    tokio::time::sleep(Duration::from_secs(60)).await;
    receiver.tier.sweep();
    assert!(!receiver.tier.servers.load().may_send(&server.id), "gone since revision 120");
}

/// Guards against requests to a server that has left: a host that enters an epoch asks one peer what
/// that one retains, and must not be satisfied by a peer that knows nothing of earlier epochs.
#[tokio::test(start_paused = true)]
async fn host_without_earlier_facts_does_not_answer_for_those_that_have_them() {
    let position = |epoch, revision| Position { epoch, revision };
    let (joined, starts) = (TestHost::without_facts(1), TestHost::new(1));
    // A host that has just started reads the new epoch, and pushes it before it has asked anyone.
    joined.tier.apply_snapshot(vec![], position(1, 110));
    let known = fact_exchange::known_versions(&starts.tier);
    fact_exchange::on_facts(&starts.tier, fact_exchange::facts_after(&joined.tier, known));
    assert_eq!(starts.tier.servers.load().position, position(1, 110));
    let asks =
        |host: &TestHost| host.tier.registry(|registry| registry.asks_peers(host.tier.now()));
    assert!(asks(&joined));
    assert!(
        asks(&starts),
        "it asks nobody any more, although its peer has not heard from any host itself"
    );
}

/// Guards against hosts of older builds that use a removed server for good while a fleet is upgraded:
/// they take the complete state of a new epoch for changes, and hear of no removal.
#[tokio::test(start_paused = true)]
async fn older_build_hears_of_removals_when_a_new_epoch_is_pushed() {
    let position = |epoch, revision| Position { epoch, revision };
    let server = server_record(0, NORTH);
    let (mut reader, mut older) = (TestHost::new(1), TestHost::new(1));
    for host in [&mut reader, &mut older] {
        host.apply_changes(vec![], 100);
    }
    let before = fact_exchange::known_versions(&reader.tier);
    reader.tier.apply_snapshot(vec![], position(1, 130));
    let pushed = fact_exchange::facts_after(&reader.tier, before);
    // What a build without epochs does with facts.
    assert_eq!(pushed.after, 0);
    older.apply_changes(pushed.changes, pushed.up_to);
    assert_eq!(older.tier.servers.load().position.revision, 130);
    assert!(!older.tier.servers.load().may_send(&server.id), "gone since before revision 130");
}

/// Guards against requests to a server that has left, when only a host that can't read knows so: a
/// later epoch that it receives must neither make it forget that nor leave it with a mix.
#[tokio::test(start_paused = true)]
async fn host_of_earlier_epoch_gets_complete_state_and_retains_what_it_knew() {
    struct Case {
        name: &'static str,
        /// What only the receiving host knows of the earlier epoch.
        earlier: Vec<Change>,
        /// The complete state of the later epoch.
        later: Vec<Change>,
        usable_soon: bool,
        usable_later: bool,
    }
    let both = || vec![reported(0, 40), reported(1, 41)];
    let cases = [
        Case {
            name: "nothing lost",
            earlier: vec![],
            later: both(),
            usable_soon: true,
            usable_later: true,
        },
        Case {
            name: "removed",
            earlier: vec![removed(0, 70)],
            later: both(),
            usable_soon: false,
            usable_later: true,
        },
        Case {
            name: "draining",
            earlier: vec![draining(0, 70)],
            later: both(),
            usable_soon: false,
            usable_later: true,
        },
        Case {
            name: "draining, later epoch does not list it",
            earlier: vec![draining(0, 70)],
            later: vec![reported(1, 41)],
            usable_soon: false,
            usable_later: false,
        },
        Case {
            name: "draining, later epoch as well",
            earlier: vec![draining(0, 70)],
            later: vec![draining(0, 50), reported(1, 41)],
            usable_soon: false,
            usable_later: false,
        },
        Case {
            name: "draining, reported again since",
            earlier: vec![draining(0, 30)],
            later: both(),
            usable_soon: true,
            usable_later: true,
        },
        Case {
            name: "ready, draining in the later epoch under a lower revision",
            earlier: vec![reported(0, 70)],
            later: vec![draining(0, 50), reported(1, 41)],
            usable_soon: false,
            usable_later: false,
        },
        Case {
            name: "domain out",
            earlier: vec![north_out(true, 70)],
            later: both(),
            usable_soon: false,
            usable_later: true,
        },
        Case {
            name: "domain readmitted, out in the later epoch",
            earlier: vec![north_out(true, 60), north_out(false, 70)],
            later: vec![reported(0, 40), reported(1, 41), north_out(true, 45)],
            usable_soon: false,
            usable_later: false,
        },
    ];
    let mut wrong = Vec::new();
    for case in cases {
        let (reader, host) = (TestHost::new(2), host_with(case.earlier));
        reader.tier.apply_snapshot(case.later, at(1, 60));
        pull(&reader, &host);
        let soon = usable(&host, 0);
        tokio::time::sleep(RETENTION + MARGIN).await;
        host.tier.sweep();
        let later = usable(&host, 0);
        let reached = position(&host);
        if (soon, later, reached) != (case.usable_soon, case.usable_later, at(1, 60)) {
            wrong.push(format!("{}: usable {soon}, later {later}, {reached:?}", case.name));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against servers that get requests again, or lose them, because a slow host still passes on
/// facts of an earlier epoch with higher revisions; plans are confirmed in any epoch.
#[tokio::test(start_paused = true)]
async fn late_facts_of_earlier_epoch_change_nothing_but_the_plan() {
    struct Case {
        name: &'static str,
        /// Whether the late facts are the complete state of their epoch.
        whole: bool,
        late: Change,
        in_force: u64,
        published: u64,
    }
    let cases = [
        Case { name: "removed", whole: false, late: removed(0, 90), in_force: 3, published: 4 },
        Case { name: "removed", whole: true, late: removed(0, 90), in_force: 3, published: 4 },
        Case { name: "ready", whole: false, late: reported(1, 90), in_force: 4, published: 3 },
        Case { name: "ready", whole: true, late: reported(1, 90), in_force: 4, published: 3 },
        Case { name: "out", whole: false, late: north_out(true, 90), in_force: 3, published: 4 },
        Case { name: "out", whole: true, late: north_out(true, 90), in_force: 3, published: 4 },
    ];
    for Case { name, whole, late, in_force, published } in cases {
        let (slow, host, other) = (TestHost::new(2), TestHost::new(2), TestHost::new(2));
        enter_second_epoch(&slow);
        slow.tier.apply_changes(vec![late], at(1, 95));
        fact_exchange::adopt(&slow.tier, plan_with_version(&slow, published), 0);
        if !whole {
            enter_second_epoch(&other);
        }
        host.tier.apply_snapshot(vec![reported(0, 40), draining(1, 41)], at(2, 50));
        fact_exchange::adopt(&host.tier, plan_with_version(&host, in_force), 0);
        let facts = pulled(&slow, &other);
        assert_eq!(facts.extension.as_ref().map(|extension| extension.whole), Some(whole));
        fact_exchange::on_facts(&host.tier, facts);
        assert!(usable(&host, 0) && !usable(&host, 1), "{name}, whole: {whole}");
        assert_eq!(position(&host), at(2, 50), "{name}, whole: {whole}");
        assert!(host.tier.registry(|r| r.withheld(host.tier.now())).is_empty(), "{name}");
        assert_eq!(host.tier.plan.load().version, 4, "{name}, whole: {whole}");
        assert!(pulled(&slow, &host).changes.is_empty(), "{name}: nothing is sent to later epochs");
    }
}

/// Guards against a registry that mixes two epochs, in which lower revisions of the later one are
/// ignored for good: changes of a later epoch must wait for its complete state.
#[tokio::test(start_paused = true)]
async fn changes_of_later_epoch_wait_for_its_complete_state() {
    let (reader, host) = (TestHost::new(2), host_with(vec![]));
    enter_second_epoch(&reader);
    let before = fact_exchange::known_versions(&reader.tier);
    reader.tier.apply_changes(vec![draining(1, 90)], at(1, 90));
    fact_exchange::adopt(&reader.tier, plan_with_version(&reader, 4), 0);
    fact_exchange::on_facts(&host.tier, fact_exchange::facts_after(&reader.tier, before));
    assert_eq!(position(&host), at(0, 80), "the epoch is entered only with its complete state");
    assert!(usable(&host, 0) && usable(&host, 1), "changes of another epoch are not applied");
    assert_eq!(host.tier.plan.load().version, 4, "plans are ordered across epochs");
    pull(&reader, &host);
    assert_eq!(position(&host), at(1, 90));
    assert!(usable(&host, 0) && !usable(&host, 1));
    // From here on, changes are enough again, also below the revisions of the earlier epoch.
    let before = fact_exchange::known_versions(&reader.tier);
    reader.tier.apply_changes(vec![draining(0, 91)], at(1, 91));
    fact_exchange::on_facts(&host.tier, fact_exchange::facts_after(&reader.tier, before));
    assert!(position(&host) == at(1, 91) && !usable(&host, 0));
}

/// Guards against requests to leaving servers at a host that has never seen the earlier epoch, and
/// against servers that are withheld longer there than elsewhere.
#[tokio::test(start_paused = true)]
async fn late_host_withholds_what_its_peer_does_for_the_remaining_time() {
    struct Case {
        name: &'static str,
        lost: Change,
    }
    let cases = [
        Case { name: "removed", lost: removed(0, 70) },
        Case { name: "draining", lost: draining(0, 70) },
        Case { name: "domain out", lost: north_out(true, 70) },
    ];
    let joins_after = RETENTION / 2;
    for Case { name, lost } in cases {
        let (peer, late) = (host_with(vec![lost]), TestHost::new(2));
        enter_second_epoch(&peer);
        tokio::time::sleep(joins_after).await;
        enter_second_epoch(&late);
        assert!(usable(&late, 0), "{name}: the later epoch lists the server as ready");
        pull(&peer, &late);
        assert!(!usable(&late, 0), "{name}, after the pull");
        tokio::time::sleep(RETENTION - joins_after - MARGIN).await;
        late.tier.sweep();
        assert!(!usable(&late, 0), "{name}, before the end of the retention");
        tokio::time::sleep(MARGIN * 2).await;
        late.tier.sweep();
        assert!(usable(&late, 0), "{name}, after the retention");
    }
}

/// Guards against a live server that is lost for good because hosts remind each other of what they
/// withhold: it must end at its time at all of them, in whichever order they clean up.
#[tokio::test(start_paused = true)]
async fn exchanged_facts_are_withheld_no_longer_than_by_one_host() {
    struct Case {
        name: &'static str,
        lost: Change,
        /// Whether each host cleans up just before it receives facts, rather than just after.
        sweeps_first: bool,
    }
    let cases = [
        Case { name: "server", lost: removed(0, 70), sweeps_first: false },
        Case { name: "server", lost: removed(0, 70), sweeps_first: true },
        Case { name: "domain", lost: north_out(true, 70), sweeps_first: false },
        Case { name: "domain", lost: north_out(true, 70), sweeps_first: true },
    ];
    // No whole number of milliseconds, so that rounding would add up.
    let pause = Duration::from_micros(37_300);
    let mut wrong = Vec::new();
    for Case { name, lost, sweeps_first } in cases {
        let hosts = [host_with(vec![lost.clone()]), host_with(vec![lost])];
        hosts.iter().for_each(enter_second_epoch);
        let entered_at = hosts[0].tier.now();
        let mut receives = 0;
        while hosts[0].tier.now() - entered_at < RETENTION * 2 {
            let (host, peer) = (&hosts[receives], &hosts[1 - receives]);
            if sweeps_first {
                host.tier.sweep();
                pull(peer, host);
            } else {
                pull(peer, host);
                host.tier.sweep();
            }
            let is_early = host.tier.now() - entered_at < RETENTION - MARGIN;
            assert!(!is_early || !usable(host, 0), "{name}: used before the retention ends");
            tokio::time::sleep(pause).await;
            receives = 1 - receives;
        }
        let usable = hosts.each_ref().map(|host| usable(host, 0));
        if usable != [true, true] {
            wrong.push(format!("{name}, cleans up first: {sweeps_first}: usable {usable:?}"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against changes of an unknown epoch from hosts that are not upgraded yet, and against plans
/// that do not arrive from them.
#[tokio::test(start_paused = true)]
async fn facts_of_older_build_bring_only_newer_plans() {
    struct Case {
        name: &'static str,
        published: u64,
        in_force: u64,
    }
    let cases = [
        Case { name: "older plan", published: 2, in_force: 3 },
        Case { name: "same plan", published: 3, in_force: 3 },
        Case { name: "newer plan", published: 4, in_force: 4 },
    ];
    for Case { name, published, in_force } in cases {
        for whole in [false, true] {
            let host = host_with(vec![]);
            if whole {
                enter_second_epoch(&host);
            }
            let before = position(&host);
            fact_exchange::adopt(&host.tier, plan_with_version(&host, 3), 0);
            let facts = Facts {
                after: 0,
                changes: vec![removed(0, 90), north_out(true, 91)],
                up_to: 95,
                plan: Some(plan_with_version(&host, published)),
                returned_ms_ago: Some(100),
                extension: None,
                pass_on: false,
            };
            fact_exchange::on_facts(&host.tier, facts);
            assert!(usable(&host, 0) && usable(&host, 1), "{name}");
            assert_eq!(position(&host), before, "{name}");
            assert_eq!(host.tier.plan.load().version, in_force, "{name}");
        }
    }
}

/// [`Facts`] as builds without epochs define it.
#[derive(Debug, PartialEq, Deserialize)]
struct OldFacts {
    after: Revision,
    changes: Vec<Change>,
    up_to: Revision,
    plan: Option<PlanDocument>,
    returned_ms_ago: Option<u32>,
}

/// Guards against hosts that get no facts, or wrong ones, from upgraded hosts.
#[tokio::test(start_paused = true)]
async fn older_build_reads_facts_of_new_one() {
    struct Case {
        name: &'static str,
        /// Whether the sender has entered the second epoch, and withholds a server.
        restored: bool,
        /// Whether the receiver is of an earlier epoch than the sender, which only new builds tell.
        whole: bool,
    }
    let cases = [
        Case { name: "first epoch", restored: false, whole: false },
        Case { name: "changes of the second epoch", restored: true, whole: false },
        Case { name: "complete state of the second epoch", restored: true, whole: true },
    ];
    for Case { name, restored, whole } in cases {
        let sender = host_with(vec![removed(0, 70)]);
        if restored {
            enter_second_epoch(&sender);
            sender.tier.apply_changes(vec![draining(1, 61)], at(1, 62));
        }
        fact_exchange::adopt(&sender.tier, plan_with_version(&sender, 4), 0);
        let mut known = fact_exchange::known_versions(&TestHost::new(2).tier);
        if !whole {
            known.epochs = None;
        }
        let facts = fact_exchange::facts_after(&sender.tier, known);
        let extension = facts.extension.clone().expect("new builds send it");
        assert_eq!((extension.whole, extension.withheld.is_empty()), (whole, !restored), "{name}");
        // The second epoch lists two of four servers; the others are removed.
        assert_eq!(facts.changes.len(), if restored { 4 } else { 1 }, "{name}");
        assert!(facts.plan.is_some(), "{name}");
        let bytes = encode(&Frame::Facts(facts.clone()));
        // The index of the frame's kind precedes its fields.
        let (kind, read): (u32, OldFacts) = postcard::from_bytes(&bytes).expect("it is readable");
        let Facts { after, changes, up_to, plan, returned_ms_ago, .. } = facts;
        assert_eq!(read, OldFacts { after, changes, up_to, plan, returned_ms_ago }, "{name}");
        assert_eq!(kind, 4, "{name}");
    }
}

/// Guards against hosts that stay on a plan that the source has lost after the others have replaced
/// it, and against hosts that change back and forth between the two.
#[tokio::test(start_paused = true)]
async fn new_series_replaces_higher_version_and_stays() {
    struct Case {
        name: &'static str,
        /// The plan that arrives after the new series, and its series.
        late: (u64, u64),
        in_force: u64,
    }
    let cases = [
        Case { name: "the lost plan", late: (0, 9), in_force: 7 },
        Case { name: "a newer plan of the earlier series", late: (0, 12), in_force: 7 },
        Case { name: "an older plan of the new series", late: (1, 6), in_force: 7 },
        Case { name: "a newer plan of the new series", late: (1, 8), in_force: 8 },
        Case { name: "a later series", late: (2, 5), in_force: 5 },
    ];
    for Case { name, late: (series, version), in_force } in cases {
        let hosts = [TestHost::new(2), TestHost::new(2), TestHost::new(2)];
        for host in &hosts {
            fact_exchange::adopt(&host.tier, plan_with_version(host, 9), 0);
        }
        let [reader, host, slow] = &hosts;
        fact_exchange::adopt(&reader.tier, plan_with_version(reader, 7), 1);
        pull(reader, host);
        assert_eq!(host.tier.plan.load().version, 7, "{name}");
        fact_exchange::adopt(&slow.tier, plan_with_version(slow, version), series);
        // The reply to a pull that was sent before the new series arrived.
        let mut late = fact_exchange::facts_after(
            &slow.tier,
            fact_exchange::known_versions(&TestHost::new(2).tier),
        );
        for _ in 0..2 {
            fact_exchange::on_facts(&host.tier, late.clone());
            assert_eq!(host.tier.plan.load().version, in_force, "{name}");
        }
        late.extension = None;
        fact_exchange::on_facts(&host.tier, late);
        assert_eq!(host.tier.plan.load().version, in_force, "{name}, from an older build");
        // All agree after they have exchanged what they have, and nothing is left to send.
        for _ in 0..2 {
            for (from, to) in [(host, reader), (reader, slow), (slow, host)] {
                pull(from, to);
            }
        }
        for other in [reader, slow] {
            assert_eq!(other.tier.plan.load().order(), host.tier.plan.load().order(), "{name}");
            assert!(pulled(host, other).plan.is_none(), "{name}");
        }
    }
}

/// Guards against a server that gets requests, or a failure domain that stays out, for good at a host
/// that had no connection for a moment: a peer that has entered the epoch later knows what has ended
/// before only from what the source does not list.
#[tokio::test(start_paused = true)]
async fn host_that_lags_within_epoch_learns_what_ended_before_its_peer_entered() {
    struct Case {
        name: &'static str,
        /// What the lagging host has read of the epoch, up to revision 60.
        read: Vec<Change>,
        /// What its peer has read of the epoch, up to revision 70.
        read_later: Vec<Change>,
        usable: bool,
    }
    let both = || vec![reported(0, 40), reported(1, 41)];
    let cases = [
        Case {
            name: "server removed",
            read: both(),
            read_later: vec![reported(1, 41)],
            usable: false,
        },
        Case {
            name: "server drains",
            read: both(),
            read_later: vec![draining(0, 65), reported(1, 41)],
            usable: false,
        },
        Case {
            name: "domain readmitted",
            read: vec![reported(0, 40), reported(1, 41), north_out(true, 45)],
            read_later: both(),
            usable: true,
        },
    ];
    let mut wrong = Vec::new();
    for Case { name, read, read_later, usable: expected } in cases {
        let (host, peer) = (TestHost::new(2), TestHost::new(2));
        host.tier.apply_snapshot(read, at(1, 60));
        peer.tier.apply_snapshot(read_later, at(1, 70));
        pull(&peer, &host);
        assert_eq!(position(&host), at(1, 70), "{name}");
        tokio::time::sleep(RETENTION + MARGIN).await;
        host.tier.sweep();
        let usable = [&host, &peer].map(|host| usable(host, 0));
        if usable != [expected; 2] {
            wrong.push(format!("{name}: usable {usable:?}"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against a removed server that gets requests for good: facts of the same epoch that arrive
/// late still list it, and a host that entered the epoch after its removal has no entry for it.
#[tokio::test(start_paused = true)]
async fn late_facts_do_not_bring_back_what_ended_before_host_entered_epoch() {
    struct Case {
        name: &'static str,
        /// Whether the late facts are the complete state of the epoch.
        whole: bool,
        late: Change,
    }
    let cases = [
        Case { name: "server", whole: true, late: reported(0, 45) },
        Case { name: "server", whole: false, late: reported(0, 45) },
        Case { name: "domain", whole: true, late: north_out(true, 45) },
        Case { name: "domain", whole: false, late: north_out(true, 45) },
    ];
    let mut wrong = Vec::new();
    for Case { name, whole, late } in cases {
        let (host, slow, other) = (TestHost::new(2), TestHost::new(2), TestHost::new(2));
        slow.tier.apply_snapshot(vec![reported(1, 41)], at(1, 42));
        slow.tier.apply_changes(vec![late], at(1, 50));
        if !whole {
            other.tier.apply_snapshot(vec![reported(1, 41)], at(1, 42));
        }
        host.tier.apply_snapshot(vec![reported(1, 41)], at(1, 60));
        fact_exchange::on_facts(&host.tier, pulled(&slow, &other));
        let usable = [0, 1].map(|shard| usable(&host, shard));
        if usable != [false, true] {
            wrong.push(format!("{name}, whole: {whole}: usable {usable:?}"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
