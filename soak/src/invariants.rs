//! Checks the invariants of a run against the observations of callers and backend servers.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use quetzal_platform_standin::settings::{self, added_route_shard};

use crate::bounds;
use crate::callers::{Answer, DEADLINE, Outcome, Route, SentRequest};
use crate::cold;
use crate::world::{COVERAGE_FLOOR, World, records, top_records};

/// How long after its deadline an answer may still arrive, since the machine is shared.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(500);
/// A disruption may affect requests that end up to this long before it or start up to this long
/// after it.
const DISRUPTION_MARGIN: Duration = Duration::from_millis(500);
/// The statuses that guarantee that a request did not run and will not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// The minimum share of requests served after the recovery time that follows the last fault.
const MIN_SERVED_SHARE: f64 = 0.95;
/// The number of queries at the hosts of a failure domain that reach all of its servers.
const MIN_DOMAIN_REQUESTS: usize = 50;

/// A broken promise.
#[derive(Debug)]
pub struct Violation {
    pub reason: &'static str,
    /// The request or server, and what was seen.
    pub detail: String,
}

/// Returns all violations; from `recovered_by` on, requests must be served again.
pub fn check_invariants(
    world: &World,
    requests: &[SentRequest],
    recovered_by: Instant,
) -> Vec<Violation> {
    let mut violations: Vec<Violation> =
        requests.iter().filter_map(|request| check_request(world, request)).collect();
    violations.extend(bounds::check(world, requests));
    violations.extend(bounds::check_rate_limits(world));
    violations.extend(bounds::check_crashes(world));
    violations.extend(cold::check(world));
    let is_owed =
        |r: &&SentRequest| r.sent_at >= recovered_by && matches!(r.route, Route::All | Route::One);
    let after_recovery: Vec<&SentRequest> = requests.iter().filter(is_owed).collect();
    let is_served =
        |r: &&&SentRequest| matches!(&r.outcome, Outcome::Answered(a) if a.status == 200);
    let served = after_recovery.iter().filter(is_served).count();
    if after_recovery.is_empty() || (served as f64) < after_recovery.len() as f64 * MIN_SERVED_SHARE
    {
        let detail = format!("{served} of {}", after_recovery.len());
        violations.push(Violation { reason: "too few requests were served at the end", detail });
    }
    violations.extend(check_servers(world, &after_recovery, recovered_by));
    violations
}

/// Checks that hosts use every ready server at the end of a run. Hosts prefer the servers of their
/// failure domain, so that those of a domain whose hosts get few requests are not checked.
fn check_servers(
    world: &World,
    after_recovery: &[&SentRequest],
    recovered_by: Instant,
) -> Vec<Violation> {
    let is_asked = |domain: &str| {
        let is_here = |r: &&&SentRequest| {
            let mut hosts = world.hosts.iter().filter(|host| host.domain == domain);
            hosts.any(|host| r.route == Route::All && host.ip == r.host.ip())
        };
        after_recovery.iter().filter(is_here).count() >= MIN_DOMAIN_REQUESTS
    };
    let asked: Vec<&str> =
        world.domains.iter().copied().filter(|domain| is_asked(domain)).collect();
    let arrivals = world.request_log.arrivals();
    let used: BTreeSet<&str> = arrivals
        .iter()
        .filter(|arrival| arrival.at >= recovered_by)
        .map(|arrival| arrival.server.as_str())
        .collect();
    let endpoints = world.endpoints.iter().filter(|e| asked.contains(&e.domain));
    let ids = endpoints.map(|endpoint| endpoint.server().id);
    ids.filter(|id| !used.contains(id.as_str()))
        .map(|id| {
            let entry = world.writers.store.value(&settings::server_key(&id));
            let detail = format!("{id}, in the store as {}", entry.unwrap_or_default());
            Violation { reason: "at the end no request reached a server", detail }
        })
        .collect()
}

fn check_request(world: &World, request: &SentRequest) -> Option<Violation> {
    let non_idempotent = matches!(request.route, Route::One | Route::Crashing);
    let violation = |reason| {
        let detail = format!("{}: {:?}", request.id, request.outcome);
        Some(Violation { reason, detail })
    };
    let runs =
        world.shards.iter().map(|shard| world.request_log.runs(shard, &request.id)).sum::<u32>();
    if non_idempotent && runs > 1 {
        return violation("a non-idempotent request ran more than once");
    }
    let host = world.hosts.iter().find(|host| request.host.ip() == host.ip);
    let disrupted = host.is_none_or(|host| {
        let from = request.sent_at.checked_sub(DISRUPTION_MARGIN).unwrap_or(request.sent_at);
        host.disruptions.overlap(from, request.ended_at + DISRUPTION_MARGIN)
    });
    let answer = match &request.outcome {
        Outcome::Answered(answer) => answer,
        Outcome::Closed if !disrupted && runs > 0 => {
            return violation("the request ran, but the connection was closed without an answer");
        }
        Outcome::Silent if !disrupted => return violation("the caller got no answer"),
        Outcome::Closed | Outcome::Silent => return None,
    };
    if non_idempotent && runs > 0 && NOT_RUN_STATUSES.contains(&answer.status) {
        return violation("the request ran, but the status of the answer says that it did not");
    }
    if !disrupted && request.ended_at - request.sent_at > DEADLINE + DEADLINE_TOLERANCE {
        return violation("the answer came after its deadline");
    }
    match (answer.status, request.route) {
        (200, Route::All) => check_gathered(&world.shards, &request.id, answer).and_then(violation),
        (200, Route::One | Route::Crashing) => {
            check_single(&world.shards, 0, &request.id, answer).and_then(violation)
        }
        (200, Route::Added(n)) => {
            let shard = added_route_shard(n, world.shards.len());
            check_single(&world.shards, shard, &request.id, answer).and_then(violation)
        }
        (429 | 502 | 503 | 504, _) | (404, Route::Added(_)) => None,
        _ => violation("unexpected status"),
    }
}

/// Checks an answer that one server of a shard gave.
fn check_single(
    shards: &[String],
    expected: usize,
    id: &str,
    answer: &Answer,
) -> Option<&'static str> {
    let [signature] = &answer.signatures[..] else {
        return Some("the answer does not have exactly one signature");
    };
    let fields: Vec<&str> = signature.split('/').collect();
    match fields[..] {
        [shard, _server, request] if shard == shards[expected] && request == id => {
            (answer.body != records(expected)).then_some("the body is not that of the server")
        }
        _ => Some("the signature is of another request or shard"),
    }
}

/// Checks an answer that was merged from several shards.
fn check_gathered(shards: &[String], id: &str, answer: &Answer) -> Option<&'static str> {
    let mut parts = BTreeSet::new();
    for signature in &answer.signatures {
        let fields: Vec<&str> = signature.split('/').collect();
        let [shard, _server, request] = fields[..] else {
            return Some("malformed signature");
        };
        let Some(shard) = shards.iter().position(|name| name == shard) else {
            return Some("a part has an unknown shard");
        };
        if request != id {
            return Some("a part belongs to another request");
        }
        if !parts.insert(shard) {
            return Some("two parts have the same shard");
        }
    }
    if parts.len() + answer.missing != shards.len() {
        return Some("the number of missing parts is wrong");
    }
    if (parts.len() as f64) < COVERAGE_FLOOR * shards.len() as f64 {
        return Some("fewer parts than the coverage floor");
    }
    let expected = top_records(parts.into_iter());
    (answer.body != expected).then_some("the body does not have the greatest records of the parts")
}

#[cfg(test)]
mod tests;
