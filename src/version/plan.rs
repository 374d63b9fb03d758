//! The versioned plan: routes, services and caller limits.
//!
//! A plan is immutable. Servers and hosts, which can change every minute, are stored separately.
//! See `docs/PLATFORM.md`, section "State by lifetime".

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::error::{Error, Result};
use crate::ids::{ConfigVersion, PlanSeries, RegionId, ServiceId};
use crate::position::PlanOrder;

/// The percentage of a server's connections that hosts in its failure domain may use. The rest is
/// reserved for hosts in other domains that connect directly after a relay has failed.
const SAME_DOMAIN_PERCENT: usize = 90;

/// The minimum connections to one server that a connected host should have. With a single one, a
/// slow reply to one request delays all other requests of the host.
const MIN_CONNECTIONS_PER_HOST: usize = 2;

/// The name of a route in a plan.
pub type RouteId = SmolStr;

/// Whether a route's requests are idempotent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// It may run at most once.
    NonIdempotent,
}

/// The destination of a route's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Target {
    /// One server of a service.
    Service(ServiceId),
    /// One server of one of several services, chosen in proportion to their weights.
    Split(SmallVec<[(ServiceId, f64); 4]>),
    /// One server of each shard. The replies are merged into one answer.
    Gather(GatherRule),
}

/// How the replies of the shards are merged into an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GatherRule {
    /// The shards, each of which is a service.
    pub shards: Arc<[ServiceId]>,
    /// The number of records in the answer, which are the greatest of all shards.
    pub record_count: usize,
    /// The minimum coverage of an answer, as a fraction of the shards from 0 to 1.
    pub coverage_floor: f64,
}

impl GatherRule {
    /// Returns the minimum number of shards in an answer.
    pub fn parts_needed(&self) -> usize {
        let needed = (self.shards.len() as f64 * self.coverage_floor - 1e-9).ceil();
        (needed.max(1.0) as usize).min(self.shards.len().max(1))
    }
}

/// A rule for requests to one host name and path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub id: RouteId,
    /// The host name in the caller's request.
    pub host: SmolStr,
    /// The prefix of the paths that it matches. It begins and ends with a slash.
    pub prefix: SmolStr,
    /// Whether its requests may run more than once.
    pub repeat: Idempotency,
    /// The maximum number of attempts for one request, or for one shard of it.
    pub attempts: u32,
    /// The maximum time to answer a caller.
    pub timeout: Duration,
    /// The target for the time to answer a caller.
    pub latency_target: Duration,
    /// Its priority; 0 is the most urgent.
    pub priority: u32,
    /// The destination of its requests.
    pub target: Target,
    /// The regions whose servers may get its requests. An empty list allows all regions.
    pub regions: SmallVec<[RegionId; 2]>,
}

impl Route {
    /// Returns the services to which the route sends requests.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        let (one, split, shards) = match &self.target {
            Target::Service(service) => (Some(service), None, None),
            Target::Split(parts) => (None, Some(parts.iter().map(|(service, _)| service)), None),
            Target::Gather(rule) => (None, None, Some(rule.shards.iter())),
        };
        one.into_iter().chain(split.into_iter().flatten()).chain(shards.into_iter().flatten())
    }
}

/// The limits of a service's servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceLimits {
    /// The number of connections that one server accepts from all hosts together.
    pub max_connections: u32,
    /// The rate limit of a cold server in requests per second, or `None` if none is published.
    pub cold_per_s: Option<f64>,
}

/// The limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum size of a request head.
    pub max_header_bytes: usize,
    /// The maximum size of a request body.
    pub max_body_bytes: usize,
    /// The maximum time for a caller to send a request head.
    pub header_timeout: Duration,
    /// The maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply before the first plan is adopted.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 256 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// The content of one plan version, in the form that hosts exchange.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanDocument {
    /// The version. A newer version has a higher number.
    pub version: ConfigVersion,
    /// All routes.
    pub routes: Vec<Route>,
    /// The limits of each service's servers.
    pub services: HashMap<ServiceId, ServiceLimits>,
    /// The limits on callers.
    pub limits: CallerLimits,
}

/// The hosts that share a server's connections, from the point of view of one of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionSharers {
    /// Whether this host is in the server's failure domain.
    pub same_domain: bool,
    /// The number of hosts in the server's failure domain.
    pub same_domain_hosts: usize,
    /// The number of all hosts.
    pub hosts: usize,
}

/// One version of the plan with its routes indexed for lookup.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// The version. A newer version of the same series has a higher number.
    pub version: ConfigVersion,
    /// The series of versions to which the plan belongs.
    pub series: PlanSeries,
    /// The limits of each service's servers.
    pub services: HashMap<ServiceId, ServiceLimits>,
    /// The limits on callers.
    pub limits: CallerLimits,
    document: Arc<PlanDocument>,
    by_id: HashMap<RouteId, Arc<Route>>,
    by_host: HashMap<SmolStr, Vec<Arc<Route>>>,
}

impl Plan {
    /// Builds a plan and validates its routes.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Invalid`] for a prefix that does not begin and end with a slash, a weight
    /// that is not positive, a coverage floor outside of 0 to 1, a route without services or
    /// attempts, and a duplicate route name.
    pub fn new(document: PlanDocument) -> Result<Self> {
        let document = Arc::new(document);
        let PlanDocument { version, routes, services, limits } = (*document).clone();
        let mut plan = Self { version, services, limits, document, ..Self::default() };
        for route in routes {
            check(&route)?;
            let route = Arc::new(route);
            if plan.by_id.insert(route.id.clone(), route.clone()).is_some() {
                return Err(Error::invalid("route", &route.id, "use each route name only once"));
            }
            plan.by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in plan.by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Ok(plan)
    }

    /// Puts the plan into a series of versions; without this it belongs to the first.
    pub const fn in_series(mut self, series: PlanSeries) -> Self {
        self.series = series;
        self
    }

    /// Returns the plan's place in the order in which hosts adopt plans.
    pub const fn order(&self) -> PlanOrder {
        PlanOrder { series: self.series, version: self.version }
    }

    /// Returns the document from which the plan was built.
    pub const fn document(&self) -> &Arc<PlanDocument> {
        &self.document
    }

    /// Returns the route of the host name with the longest prefix that matches the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.by_host.get(host)?.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the route with the given name.
    pub fn route_named(&self, id: &str) -> Option<&Arc<Route>> {
        self.by_id.get(id)
    }

    /// Returns all routes in arbitrary order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_id.values()
    }

    /// Returns the maximum number of hosts of a failure domain that connect to the domain's servers
    /// of a service. Further hosts of the domain relay requests through them, since servers reset
    /// connections above their limit.
    pub fn max_connected_hosts(&self, service: &str) -> usize {
        let max_hosts = |limits: &ServiceLimits| {
            let same_domain = limits.max_connections as usize * SAME_DOMAIN_PERCENT / 100;
            (same_domain / MIN_CONNECTIONS_PER_HOST).max(1)
        };
        self.services.get(service).map_or(usize::MAX, max_hosts)
    }

    /// Returns the maximum number of connections that one host may open to one server of a service
    /// that processes `slots` requests concurrently.
    ///
    /// Hosts in the server's failure domain come first, since the others relay through them. The
    /// maximum is one more than the slots, for a waiting request: further connections don't help.
    /// The server counts the connections of a host that lost power until it detects the failure, so
    /// a host that knows no other hosts yet opens no more than this either.
    pub fn connection_share(&self, service: &str, slots: u32, sharers: ConnectionSharers) -> usize {
        let max = self.services.get(service).map_or(1, |limits| limits.max_connections as usize);
        let useful = slots as usize + 1;
        let connected_hosts = sharers.same_domain_hosts.min(self.max_connected_hosts(service));
        let same_domain =
            (max * SAME_DOMAIN_PERCENT / 100 / connected_hosts.max(1)).clamp(1, useful);
        if sharers.same_domain {
            return same_domain;
        }
        let remaining = max.saturating_sub(same_domain * connected_hosts);
        let other_hosts = sharers.hosts.saturating_sub(sharers.same_domain_hosts);
        (remaining / other_hosts.max(1)).clamp(1, useful)
    }
}

fn check(route: &Route) -> Result<()> {
    let field = |name: &str| format!("route {} {name}", route.id);
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(Error::invalid(
            field("prefix"),
            &route.prefix,
            "begin and end the prefix with a slash",
        ));
    }
    if route.attempts == 0 {
        return Err(Error::invalid(field("attempts"), 0, "set it to at least 1"));
    }
    if route.services().next().is_none() {
        return Err(Error::invalid(field("target"), "empty", "list at least one service"));
    }
    match &route.target {
        Target::Split(parts) => {
            match parts.iter().find(|(_, weight)| weight.is_nan() || *weight <= 0.0) {
                Some((_, weight)) => {
                    Err(Error::invalid(field("weight"), weight, "set it to a positive number"))
                }
                None => Ok(()),
            }
        }
        Target::Gather(rule) if !(0.0..=1.0).contains(&rule.coverage_floor) => Err(Error::invalid(
            field("coverage floor"),
            rule.coverage_floor,
            "set it to a number from 0 to 1",
        )),
        Target::Gather(_) | Target::Service(_) => Ok(()),
    }
}

#[cfg(test)]
mod tests;
