//! Servers that state how many requests per second they take from all hosts together.

use std::time::Duration;

use quetzalpoint::Outcome;
use quetzalpoint::connection::exchange::RateStatement;
use tokio::time::sleep;

use crate::fake::{NORTH, SOUTH, TestHost, addr};

/// The span over which arrivals are counted.
const SPAN: Duration = Duration::from_secs(4);

/// Returns the most requests that may arrive within [`SPAN`] at a server with this limit.
fn tolerated(per_s: f64) -> usize {
    (per_s * SPAN.as_secs_f64() * 1.5 + 5.0) as usize
}

/// Guards against requests to a server beyond the rate limit that it states (LIMIT).
#[tokio::test(start_paused = true)]
async fn server_gets_no_more_requests_than_its_limit_and_others_take_the_rest() {
    let mut host = TestHost::new(1);
    for route in ["one", "all"] {
        host.warm_up().await;
        host.servers.set_rate(addr(0, NORTH), RateStatement::PerSecond(10.0));
        host.serve("all").await;
        host.servers.stats().arrived_at.clear();
        for n in 0..800 {
            let (served, _) = host.serve(route).await;
            assert!(matches!(served.outcome, Outcome::Answered(_)), "{route} {n}: {served:?}");
            sleep(Duration::from_millis(5)).await;
        }
        let most = host.servers.most_arrivals(addr(0, NORTH), SPAN);
        assert!(most <= tolerated(10.0), "{route}: {most} arrivals");
        assert!(most >= 30, "{route}: only {most} arrivals; the limit allows 40");
        assert!(host.servers.most_arrivals(addr(0, SOUTH), SPAN) > 150, "{route}");
    }
}

/// Guards against requests that wait for a limited server until their deadline.
#[tokio::test(start_paused = true)]
async fn requests_beyond_all_limits_are_refused_at_once() {
    let mut host = TestHost::new(10);
    host.warm_up().await;
    for shard in 0..10 {
        for domain in [NORTH, SOUTH] {
            host.servers.set_rate(addr(shard, domain), RateStatement::PerSecond(5.0));
        }
    }
    for _ in 0..4 {
        host.serve("all").await;
    }
    sleep(SPAN).await;
    host.servers.stats().arrived_at.clear();
    let mut answered = 0;
    for n in 0..800 {
        let (served, took) = host.serve("all").await;
        match &served.outcome {
            Outcome::Answered(_) => answered += 1,
            Outcome::NotRun(_) => {
                assert!(took < Duration::from_millis(5), "{n} was refused only after {took:?}");
                assert!(served.retry_after > Duration::ZERO, "{n}");
            }
            Outcome::Unknown(_) => panic!("{n}: {served:?}"),
        }
        sleep(Duration::from_millis(10)).await;
    }
    // Both servers of a shard take 10 requests a second.
    assert!(answered >= 40, "only {answered} of 800 requests were answered");
    for shard in 0..10 {
        for domain in [NORTH, SOUTH] {
            let most = host.servers.most_arrivals(addr(shard, domain), SPAN);
            assert!(most <= tolerated(5.0), "shard {shard} {domain}: {most} arrivals");
        }
    }
}

/// Guards against a limit that stays in force after the server has changed or lifted it.
#[tokio::test(start_paused = true)]
async fn changed_and_lifted_limits_take_effect() {
    struct Case {
        rate: RateStatement,
        least: usize,
        most: usize,
    }
    let mut host = TestHost::new(1);
    host.apply_changes(
        vec![quetzalpoint::process::servers::registry::Change {
            revision: 2,
            fact: quetzalpoint::process::servers::registry::Fact::Server("0-south".into(), None),
        }],
        2,
    );
    // Each limit is in force for a while before arrivals are counted.
    for case in [
        Case { rate: RateStatement::PerSecond(10.0), least: 30, most: tolerated(10.0) },
        Case { rate: RateStatement::PerSecond(0.5), least: 1, most: tolerated(0.5) },
        Case { rate: RateStatement::PerSecond(0.0), least: 0, most: tolerated(0.0) },
        Case { rate: RateStatement::PerSecond(20.0), least: 60, most: tolerated(20.0) },
        Case { rate: RateStatement::Invalid, least: 60, most: tolerated(20.0) },
        Case { rate: RateStatement::Unlimited, least: 190, most: usize::MAX },
    ] {
        host.servers.set_rate(addr(0, NORTH), case.rate);
        for _ in 0..800 {
            host.serve("one").await;
            sleep(Duration::from_millis(10)).await;
        }
        host.servers.stats().arrived_at.clear();
        for _ in 0..400 {
            host.serve("one").await;
            sleep(Duration::from_millis(10)).await;
        }
        let arrivals = host.servers.most_arrivals(addr(0, NORTH), SPAN);
        assert!(
            (case.least..=case.most).contains(&arrivals),
            "{:?}: {arrivals} arrivals, not {} to {}",
            case.rate,
            case.least,
            case.most
        );
    }
}
