//! Demand of other groups of instances, which their leads report with each heartbeat.

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_core::{PoolId, ZoneId};

use crate::event::GroupDemand;
use crate::time::Time;

/// Maximum number of availability zones with reports.
const MAX_ZONES: usize = 64;

/// Demand by pool.
pub type Demand = BTreeMap<PoolId, f64>;

/// Demand of other groups by availability zone, and when it was reported.
#[derive(Debug, Default)]
pub struct Groups {
    rows: BTreeMap<ZoneId, (Time, Demand)>,
}

impl Groups {
    /// Replaces a lead's previous report.
    pub fn update(&mut self, now: Time, report: GroupDemand) {
        if self.rows.len() >= MAX_ZONES && !self.rows.contains_key(&report.zone) {
            // Active leads report again at their next heartbeat.
            self.rows.clear();
        }
        let demand = report
            .demand
            .into_iter()
            .map(|d| (d.pool, d.rate))
            .collect();
        self.rows.insert(report.zone, (now, demand));
    }

    /// Iterates over reports younger than `age`.
    pub fn fresh(&self, now: Time, age: Duration) -> impl Iterator<Item = (&ZoneId, &Demand)> {
        let fresh = self.rows.iter().filter(move |(_, (at, _))| *at + age > now);
        fresh.map(|(zone, (_, demand))| (zone, demand))
    }
}
