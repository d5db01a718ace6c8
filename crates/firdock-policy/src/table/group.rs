//! Demand of other groups of instances, as their leads tell at each heartbeat.

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_core::{PoolId, ZoneId};

use crate::event::GroupDemand;
use crate::time::Time;

/// Availability zones that are kept.
const MAX_ZONES: usize = 64;

/// Demand by pool.
pub type Demand = BTreeMap<PoolId, f64>;

/// Demand of other groups by availability zone, and when it was told.
#[derive(Debug, Default)]
pub struct Groups {
    rows: BTreeMap<ZoneId, (Time, Demand)>,
}

impl Groups {
    /// Takes a lead's word over.
    pub fn update(&mut self, now: Time, told: GroupDemand) {
        if self.rows.len() >= MAX_ZONES && !self.rows.contains_key(&told.zone) {
            // Those that are still there tell at the next heartbeat.
            self.rows.clear();
        }
        let demand = told.demand.into_iter().map(|d| (d.pool, d.rate)).collect();
        self.rows.insert(told.zone, (now, demand));
    }

    /// Goes over what was told within `age`.
    pub fn fresh(&self, now: Time, age: Duration) -> impl Iterator<Item = (&ZoneId, &Demand)> {
        let fresh = self.rows.iter().filter(move |(_, (at, _))| *at + age > now);
        fresh.map(|(zone, (_, demand))| (zone, demand))
    }
}
