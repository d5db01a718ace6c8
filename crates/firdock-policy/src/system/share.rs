//! Budgets: each endpoint's slots are split among the instances by their demand.

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_core::PoolId;

use crate::table::Tables;
use crate::table::endpoint::EndpointRow;
use crate::time::Time;

/// Time between two takings of rates.
const RATE_PERIOD: Duration = Duration::from_millis(500);
/// Weight of the newest period in smoothed rates.
const RATE_WEIGHT: f64 = 0.4;
/// Part of each endpoint that is split evenly, so that a burst finds some room at once.
const EVEN_PART: f64 = 0.25;

/// Takes the rates of arrivals and ends, once a period.
pub fn take_rates(t: &mut Tables, now: Time) {
    let period = now.saturating_sub(t.rates_taken);
    if period < RATE_PERIOD {
        return;
    }
    let secs = period.as_secs_f64();
    t.rates_taken = now;
    t.end_rate += RATE_WEIGHT * (f64::from(t.ended) / secs - t.end_rate);
    t.ended = 0;
    t.paces.end_period(secs);
    for (_, s) in t.services.iter_mut() {
        s.rate += RATE_WEIGHT * (f64::from(s.arrivals) / secs - s.rate);
        s.arrivals = 0;
    }
}

/// Sets this instance's budget on every endpoint.
pub fn set_budgets(t: &mut Tables, now: Time) {
    let own = demand(t);
    let budgets: Vec<(usize, u32)> = t
        .endpoints
        .iter()
        .map(|(i, e)| (i, budget(t, now, &own, e)))
        .collect();
    for (at, budget) in budgets {
        t.endpoints.get_mut(at).budget = budget;
    }
}

fn budget(t: &Tables, now: Time, own: &BTreeMap<PoolId, f64>, e: &EndpointRow) -> u32 {
    let share = share(t, now, own, e);
    let slots = f64::from(e.declared.slots) * share;
    (slots.round() as u32).max(1)
}

/// Gives this instance's part of an endpoint, from 0 to 1.
fn share(t: &Tables, now: Time, own: &BTreeMap<PoolId, f64>, e: &EndpointRow) -> f64 {
    let fresh = |heard: Time| heard + t.settings.peer_stale > now;
    let peers = || {
        t.peers
            .iter()
            .filter(|(_, p)| fresh(p.heard) && !p.draining)
    };
    let even = 1.0 / (1.0 + peers().count() as f64);
    if !t.settings.mechanisms.demand_shares {
        return even;
    }
    let own = demand_on(own, e);
    let theirs: f64 = peers().map(|(_, p)| demand_on(&p.demand, e)).sum();
    let total = own + theirs;
    if total <= f64::EPSILON {
        return even;
    }
    EVEN_PART * even + (1.0 - EVEN_PART) * own / total
}

/// Gives this instance's demand by pool; pools without any are left out.
#[must_use]
pub fn demand(t: &Tables) -> BTreeMap<PoolId, f64> {
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

/// Gives the part of a demand that an endpoint can serve: by its services and its pool.
fn demand_on(demand: &BTreeMap<PoolId, f64>, e: &EndpointRow) -> f64 {
    let names = e.declared.services.iter().chain(Some(&e.declared.pool));
    names.filter_map(|name| demand.get(name)).sum()
}
