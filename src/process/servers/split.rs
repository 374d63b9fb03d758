//! Distributes the requests of a split route over its services by smooth weighted round-robin.

use std::collections::HashMap;

use crate::ids::ServiceId;
use crate::version::plan::RouteId;

/// The weighted round-robin state: the credit of each service of each split route.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    routes: HashMap<RouteId, HashMap<ServiceId, f64>>,
}

impl WeightedRoundRobin {
    /// Returns the service for the next request: the one furthest below its share.
    ///
    /// A request is not moved to another service with spare capacity, since that would change the
    /// proportions that operators configured.
    pub fn next_service(
        &mut self,
        route: &RouteId,
        parts: &[(ServiceId, f64)],
    ) -> Option<ServiceId> {
        let credits = self.routes.entry(route.clone()).or_default();
        credits.retain(|service, _| parts.iter().any(|(part, _)| part == service));
        let total: f64 = parts.iter().map(|(_, weight)| weight).sum();
        let mut best: Option<(&ServiceId, f64)> = None;
        for (service, weight) in parts {
            let credit =
                credits.entry(service.clone()).or_insert_with(|| rand::random::<f64>() - 0.5);
            *credit += weight / total;
            if best.is_none_or(|(_, best_credit)| *credit > best_credit) {
                best = Some((service, *credit));
            }
        }
        let service = best?.0.clone();
        *credits.get_mut(&service)? -= 1.0;
        Some(service)
    }
}

#[cfg(test)]
mod tests;
