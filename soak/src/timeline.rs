//! What the store held and had acknowledged, over the time of a run, and what follows for hosts.
//!
//! The bounds are those of the platform's rules. They hold for hosts in touch only, which the
//! caller of these functions checks.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use quetzal_platform_standin::settings::{
    EVACUATION_PREFIX, PLAN_KEY, SERVER_PREFIX, is_ready, plan_number,
};
use quetzal_platform_standin::store::Copy;
use serde_json::Value;

/// The bounds of the platform's rules, which depend on the size of the deployment.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// The store and hosts count as undisturbed this long after their latest disruption.
    pub stable_window: Duration,
    /// A server gets no request later than this after the store acknowledged that it leaves or left.
    pub drain_time: Duration,
    /// A plan is in force at this time after its acknowledgement.
    pub apply_time: Duration,
    /// An evacuation is in force at this time after its acknowledgement.
    pub evacuation_time: Duration,
}

/// The bounds of deployments with few hosts.
pub const SMALL_FLEET: Bounds = Bounds {
    stable_window: Duration::from_millis(4_000),
    drain_time: Duration::from_millis(3_000),
    apply_time: Duration::from_millis(3_000),
    evacuation_time: Duration::from_millis(5_000),
};
/// The bounds of deployments with dozens of hosts.
pub const LARGE_FLEET: Bounds = Bounds {
    stable_window: Duration::from_millis(5_000),
    drain_time: Duration::from_millis(5_000),
    apply_time: Duration::from_millis(5_000),
    evacuation_time: Duration::from_millis(5_000),
};
/// The smallest fleet that has the bounds of a large one.
const LARGE_FLEET_HOSTS: usize = 40;

impl Bounds {
    /// Returns the bounds of a fleet.
    pub const fn of_fleet(hosts: usize) -> Self {
        if hosts < LARGE_FLEET_HOSTS { SMALL_FLEET } else { LARGE_FLEET }
    }
}

/// A number that the store held, with the time of each change.
#[derive(Debug, Default)]
struct Held(Vec<(Instant, u64)>);

impl Held {
    fn set(&mut self, at: Instant, number: u64) {
        self.0.push((at, number));
    }

    /// Returns the smallest number held in a period; 0 before the first change.
    fn minimum(&self, from: Instant, until: Instant) -> u64 {
        let first = self.0.iter().rev().find(|(at, _)| *at <= from).map_or(0, |(_, n)| *n);
        let later = self.0.iter().filter(|(at, _)| *at > from && *at <= until);
        later.map(|(_, n)| *n).fold(first, u64::min)
    }
}

/// A step in the life of a server, as the store's writers saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// An entry of the server as a ready one was sent to the store.
    Offered,
    /// The store acknowledged that the server leaves, or that it is gone.
    Withdrawn,
}

/// The acknowledgements of a run.
#[derive(Debug)]
pub struct Timeline {
    bounds: Bounds,
    plan: Held,
    sent_plans: Vec<(Instant, u64)>,
    evacuations: BTreeMap<String, Held>,
    servers: BTreeMap<String, Vec<(Instant, Step)>>,
}

impl Timeline {
    /// Creates a timeline without acknowledgements.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            plan: Held::default(),
            sent_plans: Vec::new(),
            evacuations: BTreeMap::new(),
            servers: BTreeMap::new(),
        }
    }

    /// Records that a value is sent to the store; `None` stands for a removal.
    pub fn on_send(&mut self, at: Instant, key: &str, value: Option<&Value>) {
        if let Some(number) = value.filter(|_| key == PLAN_KEY).and_then(plan_number) {
            self.sent_plans.push((at, number));
        } else if let (Some(id), Some(true)) =
            (key.strip_prefix(SERVER_PREFIX), value.map(is_ready))
        {
            self.servers.entry(id.to_owned()).or_default().push((at, Step::Offered));
        } else if let (Some(domain), None) = (key.strip_prefix(EVACUATION_PREFIX), value) {
            self.evacuations.entry(domain.to_owned()).or_default().set(at, 0);
        }
    }

    /// Records that the store acknowledged a value.
    pub fn on_acknowledged(&mut self, at: Instant, key: &str, value: Option<&Value>) {
        if let Some(number) = value.filter(|_| key == PLAN_KEY).and_then(plan_number) {
            self.plan.set(at, number);
        } else if let Some(id) = key.strip_prefix(SERVER_PREFIX) {
            if !value.is_some_and(is_ready) {
                self.servers.entry(id.to_owned()).or_default().push((at, Step::Withdrawn));
            }
        } else if let Some(domain) = key.strip_prefix(EVACUATION_PREFIX) {
            self.evacuations.entry(domain.to_owned()).or_default().set(at, value.is_some().into());
        }
    }

    /// Records that the store returned from a copy.
    pub fn on_restored(&mut self, at: Instant, copy: &Copy) {
        self.plan.set(at, copy.value(PLAN_KEY).as_ref().and_then(plan_number).unwrap_or(0));
        for (domain, held) in &mut self.evacuations {
            let key = format!("{EVACUATION_PREFIX}{domain}");
            held.set(at, copy.value(&key).is_some().into());
        }
    }

    /// Returns the number of the oldest plan that may handle a request sent at this time.
    pub fn oldest_plan(&self, at: Instant) -> u64 {
        self.plan.minimum(at.checked_sub(self.bounds.apply_time).unwrap_or(at), at)
    }

    /// Returns the number of the newest plan that was sent to the store by this time.
    pub fn newest_plan(&self, by: Instant) -> u64 {
        let sent = self.sent_plans.iter().filter(|(at, _)| *at <= by);
        sent.map(|(_, number)| *number).max().unwrap_or(0)
    }

    /// Returns whether no request may reach the servers of a domain at this time.
    pub fn is_evacuated(&self, domain: &str, at: Instant) -> bool {
        let from = at.checked_sub(self.bounds.evacuation_time).unwrap_or(at);
        self.evacuations.get(domain).is_some_and(|held| held.minimum(from, at) > 0)
    }

    /// Returns whether no request may reach a server at this time. An acknowledgement binds if the
    /// store was stable, and goes on binding if the store loses it later.
    pub fn is_withdrawn(
        &self,
        server: &str,
        at: Instant,
        store_is_stable: impl Fn(Instant) -> bool,
    ) -> bool {
        let steps = self.servers.get(server).map_or(&[][..], |steps| steps);
        let until = steps.partition_point(|(step_at, _)| *step_at <= at);
        let since_offer = steps[..until].iter().rev().take_while(|(_, s)| *s == Step::Withdrawn);
        since_offer
            .into_iter()
            .any(|(step_at, _)| at > *step_at + self.bounds.drain_time && store_is_stable(*step_at))
    }
}

#[cfg(test)]
mod tests;
