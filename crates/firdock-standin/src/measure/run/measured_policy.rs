//! Policies under measurement and their heartbeats to peers.

use firdock_policy::event::{PeerUpdate, PoolDemand};
use firdock_policy::{Policy, pool_demand};

use crate::measure::baseline::Baseline;

/// A policy under measurement.
pub trait MeasuredPolicy: Policy {
    /// Returns the content of the next heartbeat to peers; `None` for a policy without heartbeats.
    fn heartbeat(&self, name: &str) -> Option<PeerUpdate>;
}

impl MeasuredPolicy for firdock_policy::Scheduler {
    fn heartbeat(&self, name: &str) -> Option<PeerUpdate> {
        let t = self.tables();
        Some(PeerUpdate {
            name: name.to_owned(),
            zone: "zone".to_owned(),
            held: t.requests.held_by_rank().to_vec(),
            demand: pool_demand(t)
                .into_iter()
                .map(|(pool, rate)| PoolDemand { pool, rate })
                .collect(),
            draining: false,
            ..PeerUpdate::default()
        })
    }
}

impl MeasuredPolicy for Baseline {
    fn heartbeat(&self, _name: &str) -> Option<PeerUpdate> {
        None
    }
}
