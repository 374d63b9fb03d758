use std::collections::BTreeMap;

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn at(millis: u64) -> Monotonic {
    Monotonic::ZERO + ms(millis)
}

const fn reached(revision: u64, version: u64) -> Reached {
    Reached { position: Position { epoch: 0, revision }, plan: PlanOrder { series: 0, version } }
}

const fn host(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

const fn candidate(last: u8, reached: Reached, near: bool, suspect: bool) -> Candidate {
    Candidate { host: host(last), reached, near, suspect }
}

#[test]
fn asks_hosts_that_answer_first_then_near_ones_then_the_newest() {
    struct Case {
        name: &'static str,
        candidates: Vec<Candidate>,
        asked: Option<u8>,
    }
    let own = reached(5, 5);
    let cases = [
        Case {
            name: "nobody has more",
            candidates: vec![
                candidate(1, own, true, false),
                candidate(2, reached(4, 5), true, false),
            ],
            asked: None,
        },
        Case {
            name: "near before newer",
            candidates: vec![
                candidate(1, reached(9, 9), false, false),
                candidate(2, reached(6, 6), true, false),
            ],
            asked: Some(2),
        },
        Case {
            name: "a far one before a near one that does not answer",
            candidates: vec![
                candidate(1, reached(6, 6), false, false),
                candidate(2, reached(9, 9), true, true),
            ],
            asked: Some(1),
        },
        Case {
            name: "one that does not answer, if there is no other",
            candidates: vec![
                candidate(1, own, true, false),
                candidate(2, reached(9, 9), true, true),
            ],
            asked: Some(2),
        },
        Case {
            name: "only a newer plan",
            candidates: vec![candidate(1, reached(4, 6), true, false)],
            asked: Some(1),
        },
    ];
    for Case { name, candidates, asked } in cases {
        let mut rng = StdRng::seed_from_u64(7);
        let chosen = PullSchedule::choose(own, &candidates, &mut rng);
        assert_eq!(chosen, asked.map(host), "{name}");
    }
}

/// Guards against a host that all others ask for the same large plan at the same moment.
#[test]
fn hosts_that_lack_the_same_ask_different_ones() {
    let mut candidates: Vec<Candidate> =
        (0..20).map(|n| candidate(n, reached(9, 9), true, false)).collect();
    candidates.push(candidate(20, reached(9, 9), true, true));
    let mut asked: BTreeMap<Ipv4Addr, usize> = BTreeMap::new();
    let mut rng = StdRng::seed_from_u64(7);
    for _ in 0..80 {
        let chosen = PullSchedule::choose(reached(5, 5), &candidates, &mut rng);
        *asked.entry(chosen.expect("others have more")).or_default() += 1;
    }
    assert!(asked.len() >= 15 && asked.values().all(|count| *count <= 12), "{asked:?}");
    assert!(!asked.contains_key(&host(20)), "it does not answer");
}

#[test]
fn reads_itself_only_while_what_it_lacked_does_not_arrive() {
    let newest = |version| [candidate(1, reached(version, version), true, false)];
    let mut pulls = PullSchedule::default();
    pulls.update(at(0), reached(1, 1), &newest(1));
    assert!(!pulls.must_read(at(5_000)), "nothing is lacking");
    // Something newer exists at each moment, but each change arrives in time.
    for step in 1..20 {
        let now = 1_000 + step * 500;
        pulls.update(at(now), reached(step, step), &newest(step + 1));
        assert!(!pulls.must_read(at(now)), "step {step}");
    }
    pulls.update(at(11_400), reached(20, 20), &newest(21));
    pulls.update(at(12_000), reached(20, 20), &newest(22));
    assert!(!pulls.must_read(at(12_099)));
    assert!(pulls.must_read(at(12_100)), "revision 21 has been lacking for 700 ms");
    pulls.update(at(12_200), reached(21, 21), &newest(22));
    assert!(!pulls.must_read(at(12_200)), "revision 22 has been lacking for a shorter time");
}

#[test]
fn pull_is_overdue_once_unless_its_host_answers() {
    let mut pulls = PullSchedule::default();
    pulls.on_sent(at(0), host(1));
    assert_eq!(pulls.take_overdue(at(399)), None);
    pulls.on_answer(host(2));
    assert!(pulls.is_pending(), "another host has answered");
    assert_eq!(pulls.take_overdue(at(400)), Some(PendingPull { host: host(1), sent_at: at(0) }));
    assert_eq!(pulls.take_overdue(at(900)), None);
    pulls.on_sent(at(1_000), host(2));
    pulls.on_answer(host(2));
    assert!(!pulls.is_pending() && pulls.take_overdue(at(5_000)).is_none());
}
