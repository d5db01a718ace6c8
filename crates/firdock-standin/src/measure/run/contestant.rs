//! What takes part in a run: a policy, and what it tells its peers.

use firdock_policy::Policy;
use firdock_policy::event::PeerNews;

use crate::measure::baseline::Baseline;

/// What a policy tells of itself to its peers.
pub trait Contestant: Policy {
    /// Gives the news for peers, if the policy has any.
    fn news(&self, name: &str) -> Option<PeerNews>;
}

impl Contestant for firdock_policy::Scheduler {
    fn news(&self, name: &str) -> Option<PeerNews> {
        let t = self.tables();
        let demand =
            |s: &firdock_policy::table::service::ServiceRow| firdock_policy::event::ServiceDemand {
                service: s.declared.name.clone(),
                rate: s.demand(),
            };
        Some(PeerNews {
            name: name.to_owned(),
            zone: "zone".to_owned(),
            held: t.requests.held_by_rank().to_vec(),
            demand: t.services.iter().map(|(_, s)| demand(s)).collect(),
            draining: false,
            leaving: Vec::new(),
        })
    }
}

impl Contestant for Baseline {
    fn news(&self, _name: &str) -> Option<PeerNews> {
        None
    }
}
