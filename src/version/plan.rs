//! The versioned plan: routes, services and the limits on callers.
//!
//! A plan never changes; servers and hosts, which come and go by the minute, are kept apart from
//! it. See `docs/PLATFORM.md`, section "State apart from versions".

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use smol_str::SmolStr;

use crate::error::{Error, Result};
use crate::ids::{ConfigVersion, RegionId, ServiceId};

/// The part of a server's connections that hosts of its failure domain may use, in percent; the
/// rest is left to hosts that send from afar because a relay failed.
const NEAR_PERCENT: usize = 90;

/// The connections to one server that a host should have room for: with a single one, a server that
/// is slow to answer one request keeps all others of the host waiting.
const HOLDER_CONNECTIONS: usize = 2;

/// Names a route of a plan.
pub type RouteId = SmolStr;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// It may run any number of times.
    Idempotent,
    /// It may run at most once.
    NonIdempotent,
}

/// Where the requests of a route go.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Target {
    /// To one server of a service.
    Service(ServiceId),
    /// To one server of one of several services, in proportion to the weights.
    Split(SmallVec<[(ServiceId, f64); 4]>),
    /// To one server of each shard; the parts make up the answer.
    Gather(GatherRule),
}

/// How the parts of the shards make up an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GatherRule {
    /// The services that are the shards.
    pub shards: Arc<[ServiceId]>,
    /// How many of the greatest records the answer holds.
    pub record_count: usize,
    /// The least share of the shards that makes an answer, from 0 to 1.
    pub coverage_floor: f64,
}

impl GatherRule {
    /// Returns the least number of parts that makes an answer.
    pub fn parts_needed(&self) -> usize {
        let needed = (self.shards.len() as f64 * self.coverage_floor - 1e-9).ceil();
        (needed.max(1.0) as usize).min(self.shards.len().max(1))
    }
}

/// One route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub id: RouteId,
    /// The host name that callers ask for.
    pub host: SmolStr,
    /// The beginning of the paths that it takes; it begins and ends with a slash.
    pub prefix: SmolStr,
    /// Whether its requests may run more than once.
    pub repeat: Repeat,
    /// The most servers that one request, or one shard of it, may be sent to.
    pub attempts: u32,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer has its full worth.
    pub latency_target: Duration,
    /// Its rank; 0 is the most urgent.
    pub priority: u32,
    /// Where its requests go.
    pub target: Target,
    /// The only regions whose servers may get its requests; none listed means any.
    pub regions: SmallVec<[RegionId; 2]>,
}

impl Route {
    /// Returns the services that the route sends to.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        let (one, split, shards) = match &self.target {
            Target::Service(service) => (Some(service), None, None),
            Target::Split(parts) => (None, Some(parts.iter().map(|(service, _)| service)), None),
            Target::Gather(rule) => (None, None, Some(rule.shards.iter())),
        };
        one.into_iter().chain(split.into_iter().flatten()).chain(shards.into_iter().flatten())
    }
}

/// What a service's servers bear.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceTerms {
    /// The connections that one server accepts from all hosts together.
    pub max_connections: u32,
    /// The requests per second that a cold server bears, or `None` where no limit is published.
    pub cold_per_s: Option<f64>,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The longest request head, in bytes.
    pub max_header_bytes: usize,
    /// The longest request body, in bytes.
    pub max_body_bytes: usize,
    /// How long a caller may take to send a request head.
    pub header_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// The limits in force before the first plan is known.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 256 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// The content of a version, as hosts pass it on.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanDocument {
    /// The version, which only ever grows.
    pub version: ConfigVersion,
    /// All routes.
    pub routes: Vec<Route>,
    /// The terms of each service.
    pub services: HashMap<ServiceId, ServiceTerms>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// The hosts that share a server's connections, as one of them sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sharers {
    /// The asking host stands in the server's failure domain.
    pub near: bool,
    /// The hosts of the server's failure domain.
    pub near_hosts: usize,
    /// All hosts.
    pub hosts: usize,
}

/// One version of the configuration, ready for use.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// The version, which only ever grows.
    pub version: ConfigVersion,
    /// The terms of each service.
    pub services: HashMap<ServiceId, ServiceTerms>,
    /// What callers may send.
    pub limits: CallerLimits,
    document: Arc<PlanDocument>,
    by_id: HashMap<RouteId, Arc<Route>>,
    by_host: HashMap<SmolStr, Vec<Arc<Route>>>,
}

impl Plan {
    /// Builds a plan and checks that its routes can be served.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Invalid`] for a prefix without slashes at its ends, a weight that is not
    /// positive, a coverage floor outside of 0 to 1, a route without services or attempts, and a
    /// second route of the same name.
    pub fn new(document: PlanDocument) -> Result<Self> {
        let document = Arc::new(document);
        let PlanDocument { version, routes, services, limits } = (*document).clone();
        let mut plan = Self { version, services, limits, document, ..Self::default() };
        for route in routes {
            check(&route)?;
            let route = Arc::new(route);
            if plan.by_id.insert(route.id.clone(), route.clone()).is_some() {
                return Err(Error::invalid("route", &route.id, "give each route its own name"));
            }
            plan.by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in plan.by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Ok(plan)
    }

    /// Returns the content from which the plan was built.
    pub const fn document(&self) -> &Arc<PlanDocument> {
        &self.document
    }

    /// Returns the route with the longest prefix that begins a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.by_host.get(host)?.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the route of a name.
    pub fn route_named(&self, id: &str) -> Option<&Arc<Route>> {
        self.by_id.get(id)
    }

    /// Returns all routes, in no order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_id.values()
    }

    /// Returns how many hosts of a failure domain may hold connections to its servers of a service.
    /// In a domain with more hosts, the others send by these, since servers reset what is too much.
    pub fn holders(&self, service: &str) -> usize {
        let holders = |terms: &ServiceTerms| {
            let near = terms.max_connections as usize * NEAR_PERCENT / 100;
            (near / HOLDER_CONNECTIONS).max(1)
        };
        self.services.get(service).map_or(usize::MAX, holders)
    }

    /// Returns the connections that one host may hold to one server of a service that works on
    /// `slots` requests at a time.
    ///
    /// Near hosts come first, since others send by them. More than the slots and one to wait helps
    /// nobody; and connections of hosts that lost power count at the server until it notices, so a
    /// host that knows no other yet takes no more.
    pub fn connection_share(&self, service: &str, slots: u32, sharers: Sharers) -> usize {
        let max = self.services.get(service).map_or(1, |terms| terms.max_connections as usize);
        let most = slots as usize + 1;
        let near_hosts = sharers.near_hosts.min(self.holders(service));
        let near = (max * NEAR_PERCENT / 100 / near_hosts.max(1)).clamp(1, most);
        if sharers.near {
            return near;
        }
        let left = max.saturating_sub(near * near_hosts);
        let far_hosts = sharers.hosts.saturating_sub(sharers.near_hosts);
        (left / far_hosts.max(1)).clamp(1, most)
    }
}

fn check(route: &Route) -> Result<()> {
    let field = |name: &str| format!("route {} {name}", route.id);
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(Error::invalid(
            field("prefix"),
            &route.prefix,
            "begin and end it with a slash",
        ));
    }
    if route.attempts == 0 {
        return Err(Error::invalid(field("attempts"), 0, "allow at least one attempt"));
    }
    if route.services().next().is_none() {
        return Err(Error::invalid(field("target"), "empty", "name at least one service"));
    }
    match &route.target {
        Target::Split(parts) => {
            match parts.iter().find(|(_, weight)| weight.is_nan() || *weight <= 0.0) {
                Some((_, weight)) => {
                    Err(Error::invalid(field("weight"), weight, "give a positive number"))
                }
                None => Ok(()),
            }
        }
        Target::Gather(rule) if !(0.0..=1.0).contains(&rule.coverage_floor) => Err(Error::invalid(
            field("coverage floor"),
            rule.coverage_floor,
            "give a share from 0 to 1",
        )),
        Target::Gather(_) | Target::Service(_) => Ok(()),
    }
}

#[cfg(test)]
mod tests;
