//! Weighted distribution of requests over services.

use std::collections::BTreeMap;

use super::route::Route;
use crate::ids::ServiceName;

/// Smooth weighted round-robin over the services of each route.
///
/// Each request adds its share of the weights to the credit of every service and goes to the
/// service with the highest credit. So in any sequence of requests, the number sent to a service
/// differs from its share by less than one request.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplit {
    credits: BTreeMap<(String, ServiceName), f64>,
}

impl TrafficSplit {
    /// Returns the service for the next request of a route, `None` if the route has no service.
    ///
    /// `initial_credit` is a random value in 0..1, used with a route's first request, so that
    /// many gateways do not all send their first requests to the same service.
    pub fn next(&mut self, route: &Route, initial_credit: f64) -> Option<ServiceName> {
        if let [only] = route.shares.as_slice() {
            return Some(only.service.clone());
        }
        let total: f64 = route.shares.iter().map(|share| share.weight).sum();
        if total <= 0.0 {
            return route.shares.first().map(|share| share.service.clone());
        }
        let mut best: Option<(f64, &ServiceName)> = None;
        for share in &route.shares {
            let share_of_total = share.weight / total;
            let key = (route.name.clone(), share.service.clone());
            let credit = self.credits.entry(key).or_insert(share_of_total * initial_credit);
            *credit += share_of_total;
            if share_of_total > 0.0 && best.is_none_or(|(highest, _)| *credit > highest) {
                best = Some((*credit, &share.service));
            }
        }
        let (_, service) = best?;
        if let Some(credit) = self.credits.get_mut(&(route.name.clone(), service.clone())) {
            *credit -= 1.0;
        }
        Some(service.clone())
    }

    /// Removes the credits of routes that are not among `routes`.
    pub fn retain(&mut self, routes: &[Route]) {
        self.credits.retain(|(name, _), _| routes.iter().any(|route| route.name == *name));
    }
}
