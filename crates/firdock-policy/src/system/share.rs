//! Budgets: each endpoint's slots are split among the instances by their demand.

use std::time::Duration;

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
    for (_, s) in t.services.iter_mut() {
        s.rate += RATE_WEIGHT * (f64::from(s.arrivals) / secs - s.rate);
        s.arrivals = 0;
    }
}

/// Sets this instance's budget on every endpoint.
pub fn set_budgets(t: &mut Tables, now: Time) {
    let budgets: Vec<(usize, u32)> = t
        .endpoints
        .iter()
        .map(|(i, e)| (i, budget(t, now, e)))
        .collect();
    for (at, budget) in budgets {
        t.endpoints.get_mut(at).budget = budget;
    }
}

fn budget(t: &Tables, now: Time, e: &EndpointRow) -> u32 {
    let share = share(t, now, e);
    let slots = f64::from(e.declared.slots) * share;
    (slots.round() as u32).max(1)
}

/// Gives this instance's part of an endpoint, from 0 to 1.
fn share(t: &Tables, now: Time, e: &EndpointRow) -> f64 {
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
    let own = own_demand(t, e);
    let theirs: f64 = peers().map(|(_, p)| peer_demand(&p.demand, e)).sum();
    let total = own + theirs;
    if total <= f64::EPSILON {
        return even;
    }
    EVEN_PART * even + (1.0 - EVEN_PART) * own / total
}

fn own_demand(t: &Tables, e: &EndpointRow) -> f64 {
    let rows = e
        .declared
        .services
        .iter()
        .filter_map(|s| t.services.find(s));
    rows.map(|s| t.services.get(s).demand()).sum()
}

fn peer_demand(demand: &std::collections::BTreeMap<String, f64>, e: &EndpointRow) -> f64 {
    e.declared
        .services
        .iter()
        .filter_map(|s| demand.get(s))
        .sum()
}
