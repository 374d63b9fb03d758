//! Hosts that stop reading the platform, one by one or all at once, are replaced in time.

use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use crate::simulated_fleet::{DOMAINS, Departure, Fleet};

/// The bounds from the users' pages for large fleets, and the time after which a host must keep them.
const APPLY_TIME: Duration = Duration::from_millis(5_000);
const STABLE_TIME: Duration = Duration::from_millis(5_000);
/// The bound on requests to servers that left, in small fleets.
const SMALL_FLEET_DRAIN_TIME: Duration = Duration::from_millis(3_000);

/// Changes the source and returns the hosts that lack the change after the bound, with the time by
/// which the last host in touch had it.
async fn change_and_wait(fleet: &mut Fleet, bound: Duration) -> (Vec<String>, Duration) {
    fleet.change();
    let changed_at = Instant::now();
    while changed_at.elapsed() < bound * 2 {
        fleet.step().await;
        if fleet.outdated(STABLE_TIME, Duration::ZERO).is_empty() {
            break;
        }
    }
    let took = changed_at.elapsed();
    let late = if took > bound { fleet.outdated(STABLE_TIME, bound) } else { Vec::new() };
    (late, took)
}

/// Guards against a succession in which each host that can't read costs a time-out before the next
/// one tries, so that the bound is exceeded if many hosts of each domain lose the platform.
#[tokio::test(start_paused = true)]
async fn change_is_applied_in_time_when_many_hosts_lose_the_platform() {
    struct Case {
        hosts: usize,
        /// The first hosts of each domain, and those that read, lose their paths to the platform.
        cut_per_domain: usize,
        /// Whether all hosts have lost the platform for some seconds before.
        after_outage: bool,
    }
    let cases = [
        Case { hosts: 8, cut_per_domain: 1, after_outage: false },
        Case { hosts: 80, cut_per_domain: 7, after_outage: false },
        Case { hosts: 80, cut_per_domain: 10, after_outage: false },
        Case { hosts: 80, cut_per_domain: 10, after_outage: true },
        Case { hosts: 300, cut_per_domain: 25, after_outage: false },
        Case { hosts: 300, cut_per_domain: 50, after_outage: true },
    ];
    let mut failed = Vec::new();
    for Case { hosts, cut_per_domain, after_outage } in cases {
        let mut fleet = Fleet::start(hosts).await;
        if after_outage {
            fleet.set_source_cut(0..hosts, true);
            fleet.run_for(Duration::from_millis(4_500)).await;
            fleet.set_source_cut(0..hosts, false);
            fleet.run_for(Duration::from_secs(7)).await;
        }
        let mut cut: BTreeSet<usize> = (0..cut_per_domain * DOMAINS).collect();
        cut.extend(fleet.readers());
        fleet.set_source_cut(cut, true);
        let (late, took) = change_and_wait(&mut fleet, APPLY_TIME).await;
        println!("{hosts} hosts, {cut_per_domain} of each domain, {after_outage}: {took:?}");
        if !late.is_empty() {
            let count = late.len();
            failed.push(format!("{hosts} hosts, {cut_per_domain} cut: {count} late, {took:?}"));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against removed servers that stay in use because a host that takes over the reading counts
/// an outage of long ago as having just ended.
#[tokio::test(start_paused = true)]
async fn removed_server_gets_no_requests_after_the_readers_are_killed() {
    struct Case {
        hosts: usize,
        /// The time between the end of the outage and the kill.
        calm: Duration,
    }
    let cases = [
        Case { hosts: 8, calm: Duration::from_secs(7) },
        Case { hosts: 8, calm: Duration::from_secs(30) },
        Case { hosts: 80, calm: Duration::from_secs(7) },
        Case { hosts: 300, calm: Duration::from_secs(7) },
    ];
    let mut failed = Vec::new();
    for Case { hosts, calm } in cases {
        let mut fleet = Fleet::start(hosts).await;
        fleet.source.lock().expect("no holder of the lock panics").departure = Departure::Removed;
        fleet.set_source_cut(0..hosts, true);
        fleet.run_for(Duration::from_millis(4_000)).await;
        fleet.set_source_cut(0..hosts, false);
        fleet.run_for(calm).await;
        fleet.readers().into_iter().for_each(|host| fleet.kill(host));
        fleet.run_for(Duration::from_millis(50)).await;
        let (late, took) = change_and_wait(&mut fleet, SMALL_FLEET_DRAIN_TIME).await;
        println!("{hosts} hosts, {calm:?}: {took:?}");
        if !late.is_empty() {
            failed.push(format!("{hosts} hosts, {calm:?}: {} late, {took:?}", late.len()));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
