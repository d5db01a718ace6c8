//! Demand: arrivals per second by pool, and the rate at which requests end.

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_core::PoolId;

use crate::table::Tables;
use crate::table::dispatch_rates::smooth;
use crate::table::endpoint::EndpointRow;
use crate::time::Time;

/// Interval over which rates are measured.
const RATE_PERIOD: Duration = Duration::from_millis(500);

/// Updates the rates of arrivals, dispatches and ends, once per interval.
pub fn update_rates(t: &mut Tables, now: Time) {
    let period = now.saturating_sub(t.rates_updated_at);
    if period < RATE_PERIOD {
        return;
    }
    let secs = period.as_secs_f64();
    t.rates_updated_at = now;
    smooth(&mut t.finish_rate, &mut t.finished, secs);
    t.dispatch_rates.end_period(secs);
    for (_, s) in t.services.iter_mut() {
        smooth(&mut s.rate, &mut s.arrivals, secs);
    }
}

/// Returns this instance's demand by pool, omitting pools without any.
#[must_use]
pub fn by_pool(t: &Tables) -> BTreeMap<PoolId, f64> {
    let mut demand = BTreeMap::new();
    for (_, s) in t.services.iter() {
        let all = s.demand();
        if all <= f64::EPSILON {
            continue;
        }
        let split = &s.declared.split;
        let total: f64 = split.iter().map(|p| f64::from(p.weight)).sum();
        if split.is_empty() {
            *demand.entry(s.declared.name.clone()).or_default() += all;
        }
        for part in split {
            let rate = all * f64::from(part.weight) / total.max(1.0);
            *demand.entry(part.pool.clone()).or_default() += rate;
        }
    }
    demand
}

/// Returns the part of a demand that an endpoint can serve, by its services and its pool.
#[must_use]
pub fn on_endpoint(demand: &BTreeMap<PoolId, f64>, e: &EndpointRow) -> f64 {
    let names = e.declared.services.iter().chain(Some(&e.declared.pool));
    names.filter_map(|name| demand.get(name)).sum()
}
