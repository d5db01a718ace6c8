//! What takes part in a run: a policy, and what it tells its peers.

use firdock_policy::event::{PeerUpdate, PoolDemand};
use firdock_policy::{Policy, pool_demand};

use crate::measure::baseline::Baseline;

/// What a policy tells of itself to its peers.
pub trait Contestant: Policy {
    /// Gives the news for peers, if the policy has any.
    fn news(&self, name: &str) -> Option<PeerUpdate>;
}

impl Contestant for firdock_policy::Scheduler {
    fn news(&self, name: &str) -> Option<PeerUpdate> {
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

impl Contestant for Baseline {
    fn news(&self, _name: &str) -> Option<PeerUpdate> {
        None
    }
}
