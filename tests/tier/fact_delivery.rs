//! A change that the platform has acknowledged reaches every host in time, whichever paths between
//! hosts and to the platform fail.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use crate::simulated_fleet::{DOMAINS, Fleet, Node};

/// The bound from the users' pages, and the time after which a host must keep it that was cut off
/// from the platform, or has started.
const APPLY_TIME: Duration = Duration::from_millis(3_000);
const STABLE_TIME: Duration = Duration::from_millis(4_000);

/// Guards against changes that are never applied at a host that another one can't answer: the host
/// that has them is in its domain, is up, and gets what this host sends, or gets nothing from it.
#[tokio::test(start_paused = true)]
async fn change_is_applied_at_hosts_that_another_one_cannot_answer() {
    struct Case {
        name: &'static str,
        hosts: usize,
        /// The hosts that can't reach host 4, and those that it can't reach.
        cut_to: &'static [usize],
        cut_from: &'static [usize],
    }
    let cases = [
        Case { name: "answers of the reader are lost", hosts: 8, cut_to: &[0], cut_from: &[] },
        Case { name: "pulls are lost", hosts: 8, cut_to: &[], cut_from: &[0] },
        Case {
            name: "nothing that the host sends arrives",
            hosts: 8,
            cut_to: &[],
            cut_from: &[0, 1, 2, 3, 5, 6, 7],
        },
        Case {
            name: "only heartbeats of other domains arrive",
            hosts: 8,
            cut_to: &[0, 1, 2, 3],
            cut_from: &[0, 1, 2, 3],
        },
        Case { name: "all hosts but one", hosts: 4, cut_to: &[], cut_from: &[] },
    ];
    for case in cases {
        let mut fleet = Fleet::start(case.hosts).await;
        {
            let mut network = fleet.network.lock().expect("no holder of the lock panics");
            for host in case.cut_to {
                network.cut(Node::Host(*host), Node::Host(4));
            }
            for host in case.cut_from {
                network.cut(Node::Host(4), Node::Host(*host));
            }
        }
        fleet.run_for(Duration::from_secs(1)).await;
        for _ in 0..3 {
            fleet.change();
            fleet.run_for(APPLY_TIME).await;
            let outdated = fleet.outdated(STABLE_TIME, APPLY_TIME);
            assert!(outdated.is_empty(), "{}: {outdated:?}", case.name);
        }
    }
}

/// Guards against changes that are late at a host that was cut off from the others: its connections
/// to them wait for their next retransmission, for as long again as the cut lasted.
#[tokio::test(start_paused = true)]
async fn change_is_applied_at_once_after_a_cut_between_hosts() {
    for cut_for_ms in [1_500, 3_500, 5_000, 7_000, 13_000] {
        let mut fleet = Fleet::start(8).await;
        let cut = |fleet: &Fleet, begins: bool| {
            let mut network = fleet.network.lock().expect("no holder of the lock panics");
            for other in (0..8).filter(|other| *other != 4) {
                for (from, to) in [(4, other), (other, 4)] {
                    let (from, to) = (Node::Host(from), Node::Host(to));
                    if begins { network.cut(from, to) } else { network.restore(from, to) }
                }
            }
        };
        cut(&fleet, true);
        for _ in 0..cut_for_ms / 500 {
            fleet.change();
            fleet.run_for(Duration::from_millis(500)).await;
        }
        cut(&fleet, false);
        let returned_at = Instant::now();
        while returned_at.elapsed() < Duration::from_secs(8) {
            fleet.change();
            fleet.run_for(Duration::from_millis(500)).await;
            let outdated = fleet.outdated(STABLE_TIME, APPLY_TIME);
            assert!(outdated.is_empty(), "cut for {cut_for_ms} ms: {outdated:?}");
        }
    }
}

/// A disturbance that ends at a time.
struct Disturbance {
    until: Instant,
    paths: Vec<(Node, Node)>,
}

fn draw_paths(rng: &mut StdRng, hosts: usize) -> Vec<(Node, Node)> {
    let host = rng.random_range(0..hosts);
    let me = Node::Host(host);
    let all: Vec<Node> = (0..hosts).filter(|n| *n != host).map(Node::Host).collect();
    let one_of = |rng: &mut StdRng| vec![*all.choose(rng).expect("there are other hosts")];
    let in_domain = |n: &usize| n % DOMAINS == host % DOMAINS;
    match rng.random_range(0..9) {
        0 => one_of(rng).into_iter().map(|other| (other, me)).collect(),
        1 => one_of(rng).into_iter().map(|other| (me, other)).collect(),
        2 => all.into_iter().map(|other| (other, me)).collect(),
        3 => all.into_iter().map(|other| (me, other)).collect(),
        4 => all.into_iter().flat_map(|other| [(other, me), (me, other)]).collect(),
        5 => vec![(Node::Source, me)],
        6 => vec![(me, Node::Source)],
        // A frozen host neither gets nor sends anything.
        7 => {
            let others = all.into_iter().chain([Node::Source]);
            others.flat_map(|other| [(other, me), (me, other)]).collect()
        }
        _ => {
            let (own, others): (Vec<usize>, Vec<usize>) = (0..hosts).partition(in_domain);
            let pairs =
                |from: usize| others.iter().map(move |to| (Node::Host(from), Node::Host(*to)));
            own.into_iter().flat_map(pairs).collect()
        }
    }
}

/// Runs a random series of cuts, losses, restarts and changes; returns what was late.
async fn run_series(seed: u64, hosts: usize, seconds: u64) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::start(hosts).await;
    fleet.network.lock().expect("no holder of the lock panics").loss = rng.random_range(0.0..0.2);
    let mut disturbances: Vec<Disturbance> = Vec::new();
    let ends_at = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < ends_at {
        if rng.random_bool(0.4) {
            fleet.change();
        }
        if disturbances.len() < 3 && rng.random_bool(0.3) {
            let paths = draw_paths(&mut rng, hosts);
            let mut network = fleet.network.lock().expect("no holder of the lock panics");
            paths.iter().for_each(|(from, to)| network.cut(*from, *to));
            let until = Instant::now() + Duration::from_millis(rng.random_range(300..9_000));
            disturbances.push(Disturbance { until, paths });
        }
        if rng.random_bool(0.06) {
            let host = rng.random_range(0..hosts);
            fleet.restart(host);
        }
        fleet.run_for(Duration::from_millis(rng.random_range(50..600))).await;
        let now = Instant::now();
        let (ended, lasting): (Vec<_>, Vec<_>) =
            disturbances.into_iter().partition(|disturbance| disturbance.until <= now);
        disturbances = lasting;
        let mut network = fleet.network.lock().expect("no holder of the lock panics");
        for (from, to) in ended.iter().flat_map(|disturbance| &disturbance.paths) {
            network.restore(*from, *to);
        }
        drop(network);
        let outdated = fleet.outdated(STABLE_TIME, APPLY_TIME);
        if !outdated.is_empty() {
            return outdated;
        }
    }
    Vec::new()
}

/// Guards against changes that are late under any series of disturbances between hosts and on the
/// way to the platform. `FACT_DELIVERY_SEEDS` sets the number of seeds.
#[tokio::test(start_paused = true)]
async fn changes_are_applied_in_time_in_random_series_of_disturbances() {
    struct Case {
        hosts: usize,
        seeds: u64,
        seconds: u64,
    }
    let seeds = std::env::var("FACT_DELIVERY_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let cases = [
        Case { hosts: 3, seeds: 12, seconds: 40 },
        Case { hosts: 8, seeds: 12, seconds: 40 },
        Case { hosts: 60, seeds: 1, seconds: 20 },
        Case { hosts: 300, seeds: 1, seconds: 6 },
    ];
    let mut late = Vec::new();
    for Case { hosts, seeds: usual, seconds } in cases {
        for seed in 0..seeds.unwrap_or(usual) {
            let outdated = run_series(seed, hosts, seconds).await;
            if !outdated.is_empty() {
                late.push(format!("{hosts} hosts, seed {seed}: {outdated:?}"));
            }
        }
    }
    assert!(late.is_empty(), "{} series: {late:#?}", late.len());
}

/// Guards against a bound that the steps between the platform and the hosts exceed together: a dead
/// connection of the reader, the next host that reads, the exchange between hosts. Prints how long
/// each step took.
#[tokio::test(start_paused = true)]
async fn change_is_applied_in_time_when_readers_lose_the_platform_as_it_is_made() {
    struct Case {
        hosts: usize,
        /// The first hosts, which read, lose their paths from the platform.
        cut: usize,
    }
    let cases = [
        Case { hosts: 8, cut: 0 },
        Case { hosts: 8, cut: 1 },
        Case { hosts: 8, cut: 4 },
        Case { hosts: 60, cut: 0 },
        Case { hosts: 60, cut: 4 },
        Case { hosts: 60, cut: 8 },
        Case { hosts: 300, cut: 8 },
    ];
    let mut late = Vec::new();
    for Case { hosts, cut } in cases {
        let moments = if hosts > 8 { 2 } else { 6 };
        for moment in 0..moments {
            let mut fleet = Fleet::start(hosts).await;
            // Over these moments the change meets a waiting call at any time of its wait.
            fleet.run_for(Duration::from_millis(170 * moment)).await;
            {
                let mut network = fleet.network.lock().expect("no holder of the lock panics");
                (0..cut).for_each(|host| network.cut(Node::Source, Node::Host(host)));
            }
            let revision = fleet.change();
            let changed_at = Instant::now();
            let mut reached_ms = Vec::new();
            while reached_ms.len() < hosts && changed_at.elapsed() < APPLY_TIME * 2 {
                fleet.step().await;
                let reached = fleet.hosts.iter().filter(|h| h.tier.plan.load().version >= revision);
                reached_ms.resize(reached.count(), changed_at.elapsed().as_millis());
            }
            let stages = (reached_ms.first(), reached_ms.get(hosts / 2), reached_ms.last());
            println!("{hosts} hosts, {cut} cut, first, half and all after (ms): {stages:?}");
            if reached_ms.len() < hosts || changed_at.elapsed() > APPLY_TIME {
                late.push(format!("{hosts} hosts, {cut} cut: {stages:?}"));
            }
        }
    }
    assert!(late.is_empty(), "{late:#?}");
}
