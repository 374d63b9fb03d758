//! Requests that crash the servers which run them.

use std::time::Duration;

use quetzalpoint::{Outcome, UnknownReason};
use tokio::time::sleep;

use crate::fake::{CRASHING_PATH, Mode, NORTH, PROCESSING_TIME, SOUTH, TestHost, addr};

fn crashing(route: &str) -> String {
    format!("/{route}{CRASHING_PATH}")
}

/// Guards against a repeated request that takes down one server after another (BUDGET).
#[tokio::test(start_paused = true)]
async fn repeated_request_crashes_few_servers() {
    struct Case {
        route: &'static str,
        most_crashes: usize,
    }
    for Case { route, most_crashes } in [
        Case { route: "one", most_crashes: 2 },
        Case { route: "once", most_crashes: 2 },
        // Each of the ten shards has one server that gets the request first.
        Case { route: "all", most_crashes: 21 },
    ] {
        let mut host = TestHost::new(10);
        host.warm_up().await;
        for _ in 0..40 {
            let runs_before = host.servers.stats().runs.len();
            let (served, took) = host.serve_path(&crashing(route)).await;
            let ran = host.servers.stats().runs.len() > runs_before;
            let says_not_run = matches!(served.outcome, Outcome::NotRun(_));
            assert!(!(ran && says_not_run), "{route}: it ran, but {served:?}");
            assert!(took < Duration::from_millis(400), "{route}: {served:?} after {took:?}");
            sleep(Duration::from_secs(1)).await;
        }
        let crashes = host.servers.stats().crashes;
        assert!(crashes <= most_crashes, "{route}: {crashes} crashes");
    }
}

/// Guards against innocent requests that are refused because they were in flight beside a request
/// that crashed their server.
#[tokio::test(start_paused = true)]
async fn requests_beside_a_crashing_one_are_served() {
    let mut host = TestHost::new(1);
    host.warm_up().await;
    for round in 0..3 {
        let innocent = host.request_path("/one/popular");
        let crashing = host.request_path(&crashing("one"));
        let tier = host.tier.clone();
        let (first, second) = tokio::join!(
            quetzalpoint::request::entry::serve(&tier, innocent),
            quetzalpoint::request::entry::serve(&tier, crashing),
        );
        assert!(!matches!(second.outcome, Outcome::Answered(_)), "{round}: {second:?}");
        // Both servers of the service may be down.
        drop(first);
        sleep(Duration::from_secs(3)).await;
        for n in 0..3 {
            let (served, _) = host.serve_path("/one/popular").await;
            assert!(matches!(served.outcome, Outcome::Answered(_)), "{round} {n}: {served:?}");
        }
    }
}

/// Guards against lost connections that are taken for crashes.
#[tokio::test(start_paused = true)]
async fn servers_that_only_drop_connections_do_not_incriminate_requests() {
    let mut host = TestHost::new(1);
    host.warm_up().await;
    for domain in [NORTH, SOUTH] {
        host.servers.set_behaviour(addr(0, domain), Mode::AbortsConnection, PROCESSING_TIME);
    }
    for n in 0..20 {
        let (served, _) = host.serve_path("/one/x").await;
        let lost = matches!(served.outcome, Outcome::Unknown(UnknownReason::ConnectionLost));
        assert!(lost, "{n}: {served:?}");
        sleep(Duration::from_secs(1)).await;
    }
}
