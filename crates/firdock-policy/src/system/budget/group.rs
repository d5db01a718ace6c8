//! Budgets of a coordinator: engines are divided among the groups of instances.
//!
//! Each group is entitled to the fraction of a pool that matches its fraction of the total demand.
//! It uses engines of its own availability zone first, and covers the rest with capacity that other
//! groups leave, so that few requests cross availability zones and no place stays unused.

use std::collections::BTreeMap;

use firdock_core::{PoolId, ZoneId};

use super::{Allotment, integer_budgets};
use crate::system::demand::on_endpoint;
use crate::system::rollout;
use crate::table::Tables;
use crate::table::endpoint::EndpointRow;
use crate::time::Time;

/// Minimum demand, in requests per second, assumed for each group: one without reported demand may
/// start to have some.
const MIN_DEMAND: f64 = 0.1;

/// Sets the group's budget on every endpoint.
pub fn set_budgets(t: &mut Tables, now: Time) {
    let zones = demand_by_zone(t, now);
    let own = zones.keys().position(|zone| *zone == t.settings.zone);
    let shared = own.filter(|_| !t.is_single_group());
    let budgets: Vec<(usize, u32)> = match shared {
        Some(own) => shared_budgets(t, &zones, own),
        None => t
            .endpoints
            .iter()
            .map(|(at, e)| (at, e.declared.slots))
            .collect(),
    };
    for (at, budget) in budgets {
        t.endpoints.get_mut(at).budget = budget;
    }
}

/// Demand by pool of the instances in each availability zone.
type DemandByZone = BTreeMap<ZoneId, BTreeMap<PoolId, f64>>;

/// Returns the demand of each availability zone with live instances, including the own one.
fn demand_by_zone(t: &Tables, now: Time) -> DemandByZone {
    let mut zones = DemandByZone::new();
    zones.entry(t.settings.zone.clone()).or_default();
    let live = t
        .peers
        .iter()
        .filter(|(_, p)| t.is_live(p, now) && !p.draining);
    for (_, peer) in live {
        let zone = zones.entry(peer.zone.clone()).or_default();
        for (pool, rate) in &peer.demand {
            *zone.entry(pool.clone()).or_default() += rate;
        }
    }
    // A lead's report on its whole group is more recent than the reports of its instances, which
    // arrive over longer paths.
    for (zone, demand) in t.groups.fresh(now, t.settings.peer_stale_after) {
        if *zone != t.settings.zone {
            zones.insert(zone.clone(), demand.clone());
        }
    }
    zones
}

/// Returns the own group's places on every endpoint.
fn shared_budgets(t: &Tables, zones: &DemandByZone, own: usize) -> Vec<(usize, u32)> {
    // Both versions of a roll-out are divided separately: requests for one cannot use the other.
    let mut pools: BTreeMap<(&str, bool), Vec<(usize, &EndpointRow)>> = BTreeMap::new();
    for (at, e) in t.endpoints.iter() {
        let key = (e.declared.pool.as_str(), rollout::is_new(t, e));
        pools.entry(key).or_default().push((at, e));
    }
    let mut budgets = Vec::new();
    for endpoints in pools.values() {
        let split = PoolSplit::new(zones, endpoints);
        for (at, e) in endpoints {
            let shares = zones.keys().zip(split.shares(&e.declared.zone));
            let part = |(zone, share): (&ZoneId, f64)| Allotment {
                name: zone.clone(),
                share,
                weight: 1.0,
            };
            let parts: Vec<Allotment> = shares.map(part).collect();
            let places = f64::from(e.declared.slots);
            budgets.push((*at, integer_budgets(&parts, own, places, e, 0)));
        }
    }
    budgets
}

/// Division of the engines of one pool among the groups, in order of zone name.
#[derive(Debug)]
struct PoolSplit {
    rows: Vec<GroupRow>,
    /// Places in availability zones without instances of this site.
    elsewhere: f64,
}

/// Counts the slots of the `wanted` engines that accept new work.
fn open_slots(endpoints: &[(usize, &EndpointRow)], wanted: impl Fn(&EndpointRow) -> bool) -> f64 {
    let rows = endpoints.iter().map(|(_, e)| *e);
    let open = rows.filter(|e| e.present && !e.declared.leaving && wanted(e));
    open.map(|e| f64::from(e.declared.slots)).sum()
}

/// One group's part of a pool.
#[derive(Debug)]
struct GroupRow {
    zone: ZoneId,
    /// Places in its availability zone.
    capacity: f64,
    /// Places that it uses in its availability zone.
    own: f64,
    /// Places that it needs elsewhere.
    shortfall: f64,
}

impl GroupRow {
    fn spare(&self) -> f64 {
        self.capacity - self.own
    }
}

impl PoolSplit {
    fn new(zones: &DemandByZone, endpoints: &[(usize, &EndpointRow)]) -> Self {
        let all = open_slots(endpoints, |_| true);
        let demand = |rates: &BTreeMap<PoolId, f64>| match endpoints.first() {
            Some((_, e)) => on_endpoint(rates, e).max(MIN_DEMAND),
            None => MIN_DEMAND,
        };
        let total: f64 = zones.values().map(demand).sum();
        let row = |(zone, rates): (&ZoneId, &BTreeMap<PoolId, f64>)| {
            let capacity = open_slots(endpoints, |e| e.declared.zone == *zone);
            let right = all * demand(rates) / total;
            let own = right.min(capacity);
            GroupRow {
                zone: zone.clone(),
                capacity,
                own,
                shortfall: right - own,
            }
        };
        let rows: Vec<GroupRow> = zones.iter().map(row).collect();
        let known: f64 = rows.iter().map(|r| r.capacity).sum();
        Self {
            rows,
            elsewhere: (all - known).max(0.0),
        }
    }

    /// Returns each group's share of the engines in an availability zone, from 0 to 1.
    fn shares(&self, zone: &str) -> Vec<f64> {
        let left: f64 = self.rows.iter().map(GroupRow::spare).sum::<f64>() + self.elsewhere;
        let total_shortfall: f64 = self.rows.iter().map(|r| r.shortfall).sum();
        let here = self.rows.iter().find(|r| r.zone == zone);
        let free = here.map_or(1.0, |r| r.spare() / r.capacity.max(1.0));
        let share = |r: &GroupRow| {
            let own = if r.zone == zone {
                r.own / r.capacity.max(1.0)
            } else {
                0.0
            };
            let taken = if left > 0.0 && total_shortfall > 0.0 {
                free * r.shortfall / total_shortfall
            } else {
                0.0
            };
            own + taken
        };
        self.rows.iter().map(share).collect()
    }
}
