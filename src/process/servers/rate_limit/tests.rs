use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{LimitReport, REPORT_INTERVAL, RateLimits};
use crate::clock::Monotonic;
use crate::connection::exchange::RateStatement;
use crate::ids::ServerId;

const START: Monotonic = Duration::from_secs(100);
const STEP: Duration = Duration::from_millis(5);
/// How long a report takes to reach another host.
const REPORT_DELAY: Duration = Duration::from_millis(20);
/// The span over which requests are counted, and what servers tolerate beyond their limit in it.
const SPAN: Duration = Duration::from_secs(4);
const TOLERATED_RATIO: f64 = 1.5;
const TOLERATED_EXTRA: f64 = 5.0;

fn host(n: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, (n / 250) as u8, (n % 250) as u8 + 1)
}

fn at(ms: u64) -> Monotonic {
    START + Duration::from_millis(ms)
}

/// Hosts that send to one server, which states a limit that may change.
struct Fleet {
    now: Monotonic,
    hosts: Vec<Option<RateLimits>>,
    reports: VecDeque<(Monotonic, usize, Vec<LimitReport>)>,
    rng: StdRng,
    sent_at: Vec<Monotonic>,
    wanted: u64,
}

impl Fleet {
    fn new(hosts: usize) -> Self {
        Self {
            now: START,
            hosts: (0..hosts).map(|n| Some(RateLimits::new(host(n)))).collect(),
            reports: VecDeque::new(),
            rng: StdRng::seed_from_u64(5),
            sent_at: Vec::new(),
            wanted: 0,
        }
    }

    /// Runs for some time. Host `n` has `demand(n)` requests per second.
    fn run(&mut self, time: Duration, limit: Option<f64>, demand: impl Fn(usize) -> f64) {
        let server = ServerId::from("s");
        let statement = limit.map_or(RateStatement::Unlimited, RateStatement::PerSecond);
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            while self.reports.front().is_some_and(|(at, ..)| *at <= self.now) {
                let (_, from, reports) = self.reports.pop_front().expect("it was seen above");
                for (n, other) in self.hosts.iter_mut().enumerate().filter(|(n, _)| *n != from) {
                    let Some(other) = other else { continue };
                    assert_ne!(n, from);
                    for report in &reports {
                        other.on_report(self.now, host(from), report);
                    }
                }
            }
            for n in 0..self.hosts.len() {
                let Some(limits) = &mut self.hosts[n] else { continue };
                if self.rng.random_bool((demand(n) * STEP.as_secs_f64()).min(1.0)) {
                    self.wanted += 1;
                    if limits.wait(self.now, &server).is_some() {
                        limits.on_denied(self.now, &server);
                    } else if limits.try_take(self.now, &server) {
                        self.sent_at.push(self.now);
                        limits.on_reply(self.now, &server, self.now, statement);
                    }
                }
                if self.now.as_millis().is_multiple_of(REPORT_INTERVAL.as_millis()) {
                    let reports = limits.reports(self.now);
                    self.reports.push_back((self.now + REPORT_DELAY, n, reports));
                }
            }
        }
    }

    /// Returns the most requests that the server got in any span that begins after `from`.
    fn most_in_span(&self, from: Monotonic) -> usize {
        let starts = self.sent_at.iter().filter(|at| **at >= from);
        let in_span = |start: &Monotonic| {
            self.sent_at.iter().filter(|at| **at >= *start && **at < *start + SPAN).count()
        };
        starts.map(in_span).max().unwrap_or(0)
    }

    fn sent_since(&self, from: Monotonic) -> usize {
        self.sent_at.iter().filter(|at| **at >= from).count()
    }
}

fn tolerated(limit: f64) -> usize {
    (limit * SPAN.as_secs_f64() * TOLERATED_RATIO + TOLERATED_EXTRA) as usize
}

/// Guards against hosts that each keep the whole limit, and against shares that nobody uses.
#[test]
fn hosts_together_keep_a_limit_and_use_it() {
    struct Case {
        name: &'static str,
        hosts: usize,
        limit: f64,
        demand: fn(usize) -> f64,
        /// The least share of the limit that is used, or of the demand if that is lower.
        least_used: f64,
    }
    let cases = [
        Case { name: "one host", hosts: 1, limit: 20.0, demand: |_| 100.0, least_used: 0.85 },
        Case { name: "equal loads", hosts: 8, limit: 20.0, demand: |_| 10.0, least_used: 0.85 },
        Case {
            name: "one host has nearly all the load",
            hosts: 8,
            limit: 20.0,
            demand: |n| if n == 0 { 60.0 } else { 0.2 },
            least_used: 0.85,
        },
        Case {
            name: "less than the limit",
            hosts: 8,
            limit: 40.0,
            demand: |_| 2.0,
            least_used: 0.85,
        },
        Case { name: "half a request", hosts: 8, limit: 0.5, demand: |_| 5.0, least_used: 0.4 },
        Case { name: "zero", hosts: 8, limit: 0.0, demand: |_| 5.0, least_used: 0.0 },
        Case { name: "many hosts", hosts: 60, limit: 10.0, demand: |_| 2.0, least_used: 0.7 },
        Case {
            name: "many hosts, low limit",
            hosts: 60,
            limit: 2.0,
            demand: |_| 1.0,
            least_used: 0.6,
        },
    ];
    for Case { name, hosts, limit, demand, least_used } in cases {
        let mut fleet = Fleet::new(hosts);
        fleet.run(Duration::from_secs(4), Some(limit), demand);
        let from = fleet.now;
        fleet.wanted = 0;
        fleet.run(Duration::from_secs(40), Some(limit), demand);
        let most = fleet.most_in_span(from);
        assert!(most <= tolerated(limit), "{name}: {most} requests in {SPAN:?}");
        let usable = (limit * 40.0).min(fleet.wanted as f64);
        let used = fleet.sent_since(from) as f64 / usable.max(1.0);
        assert!(used >= least_used, "{name}: only {used} of what is allowed and wanted was sent");
    }
}

/// Guards against shares that are still divided by the hosts or loads of before.
#[test]
fn limit_is_kept_while_hosts_and_loads_change() {
    type Change = fn(&mut Fleet);
    struct Case {
        name: &'static str,
        change: Change,
        demand: fn(usize) -> f64,
    }
    let limit = 20.0;
    let cases = [
        Case {
            name: "hosts go",
            change: |fleet| fleet.hosts[2..].fill_with(|| None),
            demand: |_| 20.0,
        },
        Case {
            name: "a host is restarted",
            change: |fleet| fleet.hosts[0] = Some(RateLimits::new(host(0))),
            demand: |_| 20.0,
        },
        Case {
            name: "hosts come",
            change: |fleet| {
                let hosts = fleet.hosts.len();
                fleet.hosts.extend((hosts..hosts + 8).map(|n| Some(RateLimits::new(host(n)))));
            },
            demand: |_| 20.0,
        },
        Case { name: "load moves", change: |_| {}, demand: |n| if n == 7 { 160.0 } else { 0.0 } },
        Case { name: "load rises tenfold", change: |_| {}, demand: |_| 200.0 },
        Case { name: "load ends", change: |_| {}, demand: |_| 0.0 },
    ];
    for Case { name, change, demand } in cases {
        let mut fleet = Fleet::new(8);
        fleet.run(Duration::from_secs(8), Some(limit), |_| 20.0);
        let from = fleet.now;
        change(&mut fleet);
        fleet.run(Duration::from_secs(6), Some(limit), demand);
        let settled = fleet.now;
        fleet.run(Duration::from_secs(20), Some(limit), demand);
        let most = fleet.most_in_span(from.saturating_sub(SPAN));
        assert!(most <= tolerated(limit), "{name}: {most} requests in {SPAN:?}");
        if demand(7) > 0.0 {
            let used = fleet.sent_since(settled) as f64 / (limit * 20.0);
            assert!(used >= 0.85, "{name}: only {used} of the limit was used");
        }
    }
}

/// Guards against a limit that outlives what the server says, on hosts that send to it seldom.
#[test]
fn limits_that_fall_rise_and_end_take_effect_on_all_hosts() {
    let mut fleet = Fleet::new(8);
    let demand = |n: usize| if n < 2 { 30.0 } else { 1.0 };
    for limit in [20.0, 5.0, 40.0, 0.5] {
        fleet.run(Duration::from_secs(4), Some(limit), demand);
        let from = fleet.now;
        fleet.run(Duration::from_secs(12), Some(limit), demand);
        let most = fleet.most_in_span(from);
        assert!(most <= tolerated(limit), "{limit}: {most} requests in {SPAN:?}");
    }
    fleet.run(Duration::from_secs(20), None, demand);
    let (from, server) = (fleet.now, ServerId::from("s"));
    fleet.run(Duration::from_secs(10), None, demand);
    assert!(fleet.sent_since(from) > 500, "only {} after the limit ended", fleet.sent_since(from));
    for limits in fleet.hosts.iter().flatten() {
        assert_eq!(limits.share(fleet.now, &server), None);
    }
}

#[test]
fn statements_are_ordered_by_the_requests_that_they_answer() {
    struct Case {
        name: &'static str,
        /// Milliseconds at which the request was sent and the reply received, and what it states.
        replies: &'static [(u64, u64, RateStatement)],
        expected: Option<f64>,
    }
    use RateStatement::{Invalid, PerSecond, Unlimited};
    let cases = [
        Case { name: "none", replies: &[(0, 10, Unlimited)], expected: None },
        Case { name: "one", replies: &[(0, 10, PerSecond(5.0))], expected: Some(5.0) },
        Case {
            name: "lifted",
            replies: &[(0, 10, PerSecond(5.0)), (11, 20, Unlimited)],
            expected: None,
        },
        Case {
            name: "an earlier reply arrives late",
            replies: &[(0, 10, PerSecond(5.0)), (5, 20, Unlimited)],
            expected: Some(5.0),
        },
        Case {
            name: "the newer value stays",
            replies: &[(5, 10, PerSecond(5.0)), (0, 20, PerSecond(9.0))],
            expected: Some(5.0),
        },
        Case {
            name: "an invalid value changes nothing",
            replies: &[(0, 10, PerSecond(5.0)), (11, 20, Invalid)],
            expected: Some(5.0),
        },
        Case { name: "only an invalid value", replies: &[(0, 10, Invalid)], expected: None },
    ];
    let server = ServerId::from("s");
    for Case { name, replies, expected } in cases {
        let mut limits = RateLimits::new(host(0));
        for (sent, received, statement) in replies {
            limits.on_reply(at(*received), &server, at(*sent), *statement);
        }
        assert_eq!(limits.share(at(50), &server), expected, "{name}");
    }
}

#[test]
fn newest_statement_wins_between_hosts() {
    struct Case {
        name: &'static str,
        report: LimitReport,
        expected: Option<f64>,
    }
    let report =
        |per_s, age_ms| LimitReport { server: "s".into(), per_s, age_ms, demand_per_s: 0.0 };
    let cases = [
        Case { name: "newer", report: report(Some(8.0), 100), expected: Some(8.0) },
        Case { name: "older", report: report(Some(8.0), 900), expected: Some(5.0) },
        Case { name: "newer, lifted", report: report(None, 100), expected: None },
        Case { name: "older, lifted", report: report(None, 900), expected: Some(5.0) },
        Case { name: "not a number", report: report(Some(f32::NAN), 100), expected: Some(5.0) },
        Case { name: "negative", report: report(Some(-1.0), 100), expected: Some(5.0) },
        Case { name: "infinite", report: report(Some(f32::INFINITY), 100), expected: Some(5.0) },
    ];
    let server = ServerId::from("s");
    for Case { name, report, expected } in cases {
        let mut limits = RateLimits::new(host(0));
        limits.on_reply(at(1_000), &server, at(990), RateStatement::PerSecond(5.0));
        limits.on_report(at(1_500), host(1), &report);
        assert_eq!(limits.share(at(1_500), &server), expected, "{name}");
    }
}

#[test]
fn unused_and_lifted_limits_are_evicted() {
    let server = ServerId::from("s");
    let mut limits = RateLimits::new(host(0));
    limits.on_reply(at(0), &server, at(0), RateStatement::PerSecond(5.0));
    limits.evict(at(30_000));
    assert_eq!(limits.in_force(), 1, "a limit in force is kept while its server may be used");
    limits.evict(at(61_000));
    assert_eq!(limits.in_force(), 0);
    assert!(limits.try_take(at(61_000), &server), "the server's next reply tells its limit again");
}

/// Guards against low limits that are left to hosts which hardly send to the server.
#[test]
fn low_limit_goes_to_hosts_with_demand() {
    for busy in 0..4_usize {
        let demand = |n: usize| if n == busy || n == (busy + 1) % 4 { 50.0 } else { 0.3 };
        let mut fleet = Fleet::new(4);
        fleet.run(Duration::from_secs(20), Some(0.5), demand);
        let from = fleet.now;
        fleet.run(Duration::from_secs(40), Some(0.5), demand);
        let sent = fleet.sent_since(from);
        assert!((14..=24).contains(&sent), "{busy}: {sent} requests in 40 s");
        let from = fleet.now;
        fleet.run(Duration::from_secs(8), None, demand);
        assert!(fleet.sent_since(from) > 20, "{busy}: the end of the limit was not noticed");
    }
}
