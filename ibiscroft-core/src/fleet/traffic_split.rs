//! Choice of a service by weight.

use std::collections::BTreeMap;

use super::route::Route;
use crate::ids::ServiceName;

/// Distributes the requests of routes over their services in the proportions of the weights.
///
/// Each request raises the credit of every service by its part and goes to the highest, so any
/// run of requests is off its proportions by less than one request a service.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplit {
    credits: BTreeMap<(String, ServiceName), f64>,
}

impl TrafficSplit {
    /// Returns the service for the next request of a route, `None` if the route has no service.
    ///
    /// `start` in 0..1 is random; it spreads the first requests of many gateways.
    pub fn next(&mut self, route: &Route, start: f64) -> Option<ServiceName> {
        if let [only] = route.shares.as_slice() {
            return Some(only.service.clone());
        }
        let total: f64 = route.shares.iter().map(|share| share.weight).sum();
        if total <= 0.0 {
            return route.shares.first().map(|share| share.service.clone());
        }
        let mut best: Option<(f64, &ServiceName)> = None;
        for share in &route.shares {
            let part = share.weight / total;
            let key = (route.name.clone(), share.service.clone());
            let credit = self.credits.entry(key).or_insert(part * start);
            *credit += part;
            if part > 0.0 && best.is_none_or(|(highest, _)| *credit > highest) {
                best = Some((*credit, &share.service));
            }
        }
        let (_, service) = best?;
        if let Some(credit) = self.credits.get_mut(&(route.name.clone(), service.clone())) {
            *credit -= 1.0;
        }
        Some(service.clone())
    }

    /// Forgets routes that are no longer configured.
    pub fn retain(&mut self, routes: &[Route]) {
        self.credits.retain(|(name, _), _| routes.iter().any(|route| route.name == *name));
    }
}
