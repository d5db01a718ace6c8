//! Totals over the instances that use the endpoints. On large sites, an instance computes its
//! budgets from these totals, because computing every other instance's share takes too long.

use std::collections::{BTreeMap, HashMap};

use firdock_core::PoolId;
use firdock_core::rendezvous;

use super::{SAME_ZONE_WEIGHT, demand_share, rounded_places};
use crate::settings::Mechanisms;
use crate::system::demand::{by_pool, on_endpoint};
use crate::system::limit::live_and_known;
use crate::table::Tables;
use crate::table::endpoint::EndpointRow;
use crate::time::Time;

/// Totals over the instances that use the endpoints.
pub(super) struct InstanceTotals<'a> {
    name: &'a str,
    zone: &'a str,
    /// Demand of this instance, and total demand.
    own: BTreeMap<PoolId, f64>,
    all: BTreeMap<PoolId, f64>,
    /// Number of instances, in total and by availability zone.
    count: usize,
    zones: HashMap<&'a str, usize>,
    /// Number of instances that this one does not hear from; their availability zones are unknown.
    unobserved: usize,
    by_demand: bool,
}

impl<'a> InstanceTotals<'a> {
    pub(super) fn new(t: &'a Tables, now: Time) -> Self {
        let own = by_pool(t);
        let zone = t.settings.zone.as_str();
        let mut totals = Self {
            name: &t.settings.member.name,
            zone,
            all: own.clone(),
            own,
            count: 1,
            zones: HashMap::from([(zone, 1)]),
            unobserved: 0,
            by_demand: t.settings.mechanisms.demand_shares,
        };
        let live = t.peers.iter().filter(|(_, p)| t.is_live(p, now));
        for (_, peer) in live.filter(|(_, p)| !p.draining) {
            totals.count += 1;
            *totals.zones.entry(&peer.zone).or_default() += 1;
            for (pool, rate) in &peer.demand {
                if let Some(sum) = totals.all.get_mut(pool) {
                    *sum += rate;
                } else {
                    totals.all.insert(pool.clone(), *rate);
                }
            }
        }
        totals.scale_to(live_and_known(t, now).0);
        totals
    }

    /// Scales the totals up to `count` instances, taking the observed ones as representative: on
    /// very large sites, only those of the own group are observed.
    fn scale_to(&mut self, count: usize) {
        let others = count.saturating_sub(self.count);
        if others == 0 {
            return;
        }
        let times = count as f64 / self.count as f64;
        for rate in self.all.values_mut() {
            *rate *= times;
        }
        self.count = count;
        self.unobserved = others;
    }

    /// Returns this instance's share of an endpoint, from 0 to 1.
    pub(super) fn own_share(&self, e: &EndpointRow) -> f64 {
        let total = on_endpoint(&self.all, e);
        if !self.by_demand || total <= f64::EPSILON {
            return 1.0 / self.count as f64;
        }
        demand_share(on_endpoint(&self.own, e), total, self.count)
    }

    /// Returns this instance's budget on an endpoint, rounded by a pseudorandom draw.
    pub(super) fn budget(
        &self,
        mechanisms: Mechanisms,
        places: f64,
        e: &EndpointRow,
        share: f64,
    ) -> u32 {
        if !(mechanisms.integer_budgets && e.is_engine()) {
            return rounded_places(e, share);
        }
        let part = places * f64::from(e.declared.slots) * share;
        let key = rendezvous::hash_key(e.declared.name.as_bytes());
        let draw = rendezvous::weight(key, self.name) as f64 / u64::MAX as f64;
        part.floor() as u32 + u32::from(draw < part.fract())
    }

    /// Returns the number of instances in an availability zone. A zone whose instances are not
    /// observed is assumed to have as many as the own zone.
    fn instances_in_zone(&self, zone: &str) -> f64 {
        let observed = self.zones.get(zone).copied().unwrap_or(0);
        let in_own_zone = self.zones.get(self.zone).copied().unwrap_or(0);
        if self.unobserved > 0 {
            observed.max(in_own_zone) as f64
        } else {
            observed as f64
        }
    }

    /// Returns the factor by which an instance's share of an endpoint differs from the even share:
    /// more than 1 in its own availability zone, less than 1 elsewhere, and 1 on average over all
    /// instances.
    pub(super) fn zone_factor(&self, zone: &str) -> f64 {
        let near = self.instances_in_zone(zone);
        let all = self.count as f64;
        let mean = (near * SAME_ZONE_WEIGHT + (all - near)) / all;
        let weight = if self.zone == zone {
            SAME_ZONE_WEIGHT
        } else {
            1.0
        };
        weight / mean
    }
}
