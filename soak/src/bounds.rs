//! Checks the bounds in time on plans, evacuations and leaving servers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use quetzal_platform_standin::server::Arrival;
use quetzal_platform_standin::settings::ADDED_ROUTES;

use crate::callers::{Outcome, Route, SentRequest};
use crate::invariants::Violation;
use crate::world::{Endpoint, Host, World};

/// A host may handle a request by an older plan for this long after a newer one took effect.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// The span in which requests to a server with a rate limit are counted, and the time after which a
/// host must know of the limit.
const LIMIT_SPAN: Duration = Duration::from_secs(4);
const LIMIT_NOTICE: Duration = Duration::from_millis(500);
/// How often a request may reach servers although it has crashed three of them.
const MAX_LATER_RUNS: usize = 3;

/// Returns all violations of bounds.
pub fn check(world: &World, requests: &[SentRequest]) -> Vec<Violation> {
    let mut violations = check_plans(world, requests);
    let by_id: HashMap<&str, &SentRequest> =
        requests.iter().map(|request| (request.id.as_str(), request)).collect();
    violations.extend(world.request_log.arrivals().iter().filter_map(|arrival| {
        let request = by_id.get(arrival.request.as_str())?;
        let reason = check_arrival(world, request, arrival)?;
        let after_ms = (arrival.at - request.sent_at).as_millis();
        let detail = format!("{}: {} after {after_ms} ms", request.id, arrival.server);
        Some(Violation { reason, detail })
    }));
    violations
}

/// Checks that servers which stated a rate limit did not get more requests than it tolerates, while
/// all hosts were undisturbed.
pub fn check_rate_limits(world: &World) -> Vec<Violation> {
    let arrivals = world.request_log.arrivals();
    let limits = world.rate_limits.lock().expect("no holder of the lock panics");
    let mut violations = Vec::new();
    for limit in limits.iter() {
        let at: Vec<Instant> = arrivals
            .iter()
            .filter(|arrival| arrival.server == limit.server)
            .map(|arrival| arrival.at)
            .filter(|at| *at >= limit.from + LIMIT_NOTICE && *at < limit.until)
            .collect();
        let tolerated = limit.per_s * LIMIT_SPAN.as_secs_f64() * 1.5 + 5.0;
        let spans = at.iter().map(|from| {
            (*from, at.iter().filter(|at| **at >= *from && **at < *from + LIMIT_SPAN).count())
        });
        let steady =
            |from: Instant| world.hosts.iter().all(|h| h.is_steady(from, from + LIMIT_SPAN));
        let worst = spans.filter(|(from, _)| steady(*from)).max_by_key(|(_, count)| *count);
        if let Some((_, count)) = worst.filter(|(_, count)| *count as f64 > tolerated) {
            let detail =
                format!("{}: {count} in {LIMIT_SPAN:?}, limit {}", limit.server, limit.per_s);
            let reason = "a server got more requests than its rate limit tolerates";
            violations.push(Violation { reason, detail });
        }
    }
    violations
}

/// Checks that a request is hardly sent any more some time after it has crashed three servers.
pub fn check_crashes(world: &World) -> Vec<Violation> {
    let crashes = world.request_log.crashes_after(0);
    let Some(third) = crashes.get(2) else { return Vec::new() };
    let counts_from = third.at + world.bounds.stable_window;
    let later = |arrival: &&Arrival| arrival.path == third.path && arrival.at > counts_from;
    let count = world.request_log.arrivals().iter().filter(later).count();
    if count <= MAX_LATER_RUNS {
        return Vec::new();
    }
    let detail = format!("{count} times, {} crashes in all", crashes.len());
    vec![Violation { reason: "a request that had crashed three servers was sent again", detail }]
}

fn check_plans(world: &World, requests: &[SentRequest]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for host in &world.hosts {
        // The answers that show that a plan, or a later one, was in force in a process.
        let mut seen: Vec<(usize, Instant, u64)> = Vec::new();
        let mut at_host: Vec<&SentRequest> =
            requests.iter().filter(|request| request.host.ip() == host.ip).collect();
        at_host.sort_by_key(|request| request.sent_at);
        for request in &at_host {
            if let (Route::Added(n), Some(200)) = (request.route, status(request)) {
                seen.push((host.starts(request.sent_at), request.ended_at, n));
            }
        }
        for request in at_host {
            let (Route::Added(n), Some(status)) = (request.route, status(request)) else {
                continue;
            };
            let process = host.starts(request.sent_at);
            let earlier = seen.iter().filter(|(other, at, _)| {
                *other == process && request.sent_at > *at + ROLLBACK_SLACK
            });
            let seen_plan = earlier.map(|(.., n)| *n).max().unwrap_or(0);
            let newest = world.writers.read_timeline(|t| t.newest_plan(request.ended_at));
            let reason = if !may_handle(seen_plan, newest, n, status) {
                "a host went back to an older plan"
            } else if is_in_touch(world, host, request.sent_at, request.ended_at) {
                let due = world.writers.read_timeline(|t| t.oldest_plan(request.sent_at));
                if may_handle(due, newest, n, status) {
                    continue;
                }
                "a host used a plan that was no longer in force"
            } else {
                continue;
            };
            let detail =
                format!("{}: status {status} on added route {n}, plans up to {newest}", request.id);
            violations.push(Violation { reason, detail });
        }
    }
    violations
}

fn status(request: &SentRequest) -> Option<u16> {
    match &request.outcome {
        Outcome::Answered(answer) => Some(answer.status),
        Outcome::Closed | Outcome::Silent => None,
    }
}

/// Returns whether one of the plans from `oldest` to `newest` allows a status on an added route.
fn may_handle(oldest: u64, newest: u64, route: u64, status: u16) -> bool {
    let names_route = |plan: u64| route >= 1 && (route..route + ADDED_ROUTES).contains(&plan);
    match status {
        200 => (oldest..=newest).any(names_route),
        404 => !(oldest..=newest).all(names_route),
        _ => true,
    }
}

fn check_arrival(world: &World, request: &SentRequest, arrival: &Arrival) -> Option<&'static str> {
    // Hosts ask each other for the parts of a gathered answer, so that any of them may have sent the
    // request to the server. To a single server it is sent by the host that took it.
    let may_have_sent = |host: &&Host| request.route == Route::All || host.ip == request.host.ip();
    let in_touch = |host: &Host| is_in_touch(world, host, request.sent_at, arrival.at);
    let is_withdrawn = world.writers.read_timeline(|timeline| {
        timeline.is_withdrawn(&arrival.server, arrival.at, |at| world.store_is_stable(at, at))
    });
    let endpoint = world.endpoints.iter().find(|e| e.server().id == arrival.server);
    let is_evacuated = endpoint.is_some_and(|endpoint| {
        world.writers.read_timeline(|timeline| timeline.is_evacuated(endpoint.domain, arrival.at))
    });
    if !is_withdrawn && !is_evacuated {
        return None;
    }
    let link_from = arrival.at.checked_sub(world.bounds.stable_window).unwrap_or(arrival.at);
    let is_held_up = |endpoint: &Endpoint| endpoint.link_disruptions.overlap(link_from, arrival.at);
    if !world.hosts.iter().filter(may_have_sent).all(in_touch) || endpoint.is_some_and(is_held_up) {
        return None;
    }
    Some(if is_withdrawn {
        "a request reached a server that had left or was leaving"
    } else {
        "a request reached a server of an evacuated failure domain"
    })
}

fn is_in_touch(world: &World, host: &Host, from: Instant, until: Instant) -> bool {
    host.is_steady(from, until) && world.store_is_stable(from, until)
}

#[cfg(test)]
mod tests;
