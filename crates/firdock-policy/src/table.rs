//! The tables of entities that the systems run over.

pub mod account;
pub mod dispatch_rates;
pub mod endpoint;
pub mod endpoint_exits;
pub mod group;
pub mod key;
pub mod limit;
pub mod linear_fit;
pub mod notices;
pub mod peer;
pub mod pool_latency;
pub mod prefix_cache;
pub mod queue;
pub mod reported_pace;
pub mod request;
pub mod retry;
pub mod rollout;
pub mod rows;
pub mod service;
pub mod share;
pub mod slow_phases;
pub mod suspects;
pub mod transfer;
pub mod unavailable;
pub mod view;

use std::time::Duration;

use crate::settings::PolicySettings;
use crate::stats::Stats;
use crate::time::Time;
use crate::usage::MergedCounts;

/// Instances up to which all of them are one group; of more, each availability zone is one.
pub const SINGLE_GROUP_LIMIT: usize = 16;
/// Peers up to which heartbeats come at their full pace (see `docs/design/peers.md`).
const PEERS_AT_PACE: usize = 16;

/// The same for peers in other availability zones: their heartbeats are as many times rarer, and two
/// of them may be lost.
const FAR_PEERS_AT_PACE: usize = 4;
/// Most that their pace is stretched by.
const MAX_FAR_TIMES: u32 = 25;

/// How many instances the leads of all groups hear.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReachableInstances {
    /// When this instance was told.
    pub at: Time,
    /// Instances, this one among them.
    pub count: usize,
}

/// Every table of one instance.
#[derive(Debug)]
pub struct Tables {
    /// Bounds and switches.
    pub settings: PolicySettings,
    /// Version of the configuration in force.
    pub version: u64,
    /// Requests that have not ended.
    pub requests: request::Requests,
    /// Endpoints.
    pub endpoints: endpoint::Endpoints,
    /// Services with their queues.
    pub services: service::Services,
    /// Accounts.
    pub accounts: account::Accounts,
    /// Peers.
    pub peers: peer::Peers,
    /// What all instances let pass of account limits, as the leads of this one's group count it.
    pub site_use: MergedCounts,
    /// Idempotency keys that this instance owns.
    pub keys: key::Keys,
    /// Transfers of keys from their earlier owners.
    pub transfers: transfer::Transfers,
    /// Member views by the log.
    pub views: view::Views,
    /// Whether the instance is stopping.
    pub draining: bool,
    /// Whether [`crate::Action::Drained`] has been given.
    pub drained: bool,
    /// Requests answered since the rate was last taken.
    pub finished: u32,
    /// Requests that end a second, smoothed.
    pub finish_rate: f64,
    /// When the budgets on endpoints were last set.
    pub budgets_updated_at: Time,
    /// How fast the endpoints of each pool take requests.
    pub dispatch_rates: dispatch_rates::DispatchRates,
    /// Pools whose servers tell how long work takes there now.
    pub pool_latencies: pool_latency::PoolLatencies,
    /// When the rates were last taken.
    pub rates_updated_at: Time,
    /// Second tries that the budgets still allow.
    pub retry_budgets: retry::RetryBudgets,
    /// Other instances that are known of, whether heard from or not; `None` before anyone told.
    pub known_peers: Option<usize>,
    /// When the last time ends in which an endpoint wants no request of some instance.
    pub backoffs_until: Time,
    /// Demand of other groups, as their leads tell.
    pub groups: group::Groups,
    /// Work that other groups did for accounts, as their leads tell.
    pub reported_work: share::ReportedWork,
    /// What accounts may have where room is short.
    pub levels: share::Levels,
    /// How many instances the leads of all groups heard last.
    pub reachable: Option<ReachableInstances>,
    /// When the configuration in force was last known to be the newest.
    pub config_confirmed_at: Option<Time>,
    /// Whether a coordinator places this instance's requests on engines.
    pub coordinated: bool,
    /// Roll-outs of pools.
    pub rollouts: rollout::Rollouts,
    /// Requests under which endpoints ended.
    pub suspects: suspects::Suspects,
    /// Ends of endpoints and runs that broke, of the last seconds.
    pub endpoint_exits: endpoint_exits::EndpointExits,
    /// Counters.
    pub stats: Stats,
}

impl Tables {
    /// Counts the other instances that are known of.
    #[must_use]
    pub fn peers_known(&self) -> usize {
        self.known_peers.unwrap_or(0).max(self.peers.len())
    }

    /// Tells whether instances are so few that all of them are one group.
    #[must_use]
    pub fn is_single_group(&self) -> bool {
        self.known_peers.unwrap_or(self.peers.len()) < SINGLE_GROUP_LIMIT
    }

    /// Gives the most second tries that the budget of one pool saves up.
    #[must_use]
    pub fn max_retry_credit(&self) -> f64 {
        retry::RetryBudgets::most(&self.settings, self.peers_known())
    }

    /// Gives the age at which a peer's news is stale: where peers are many, heartbeats are rarer.
    #[must_use]
    pub fn peer_stale_after(&self) -> Duration {
        let times = self.peers_known() / PEERS_AT_PACE;
        self.settings.peer_stale_after * u32::try_from(times).unwrap_or(u32::MAX).max(1)
    }

    /// Tells whether a peer's news is recent; where instances are many, those of other availability
    /// zones tell seldom, since leads of groups tell for them.
    #[must_use]
    pub fn is_live(&self, peer: &peer::PeerRow, now: Time) -> bool {
        let near =
            peer.zone.is_empty() || peer.zone == self.settings.zone || self.is_single_group();
        let stale = if near {
            self.peer_stale_after()
        } else {
            let times = self.peers_known() / FAR_PEERS_AT_PACE;
            let times = u32::try_from(times).unwrap_or(u32::MAX);
            self.settings.peer_stale_after * times.clamp(1, MAX_FAR_TIMES)
        };
        peer.last_seen > Time::ZERO && peer.last_seen + stale > now
    }

    /// Gives until when requests with a key may be sent by the configuration in force.
    #[must_use]
    pub fn config_valid_until(&self) -> Option<Time> {
        let limit = self.settings.max_config_age?;
        Some(self.config_confirmed_at.map_or(Time::ZERO, |at| at + limit))
    }

    /// Makes empty tables.
    #[must_use]
    pub fn new(settings: PolicySettings) -> Self {
        let views = view::Views::new(settings.member.clone());
        Self {
            settings,
            version: 0,
            requests: request::Requests::new(),
            endpoints: endpoint::Endpoints::new(),
            services: service::Services::new(),
            accounts: account::Accounts::new(),
            peers: peer::Peers::new(),
            site_use: MergedCounts::default(),
            keys: key::Keys::new(),
            transfers: transfer::Transfers::new(),
            views,
            draining: false,
            drained: false,
            finished: 0,
            finish_rate: 0.0,
            budgets_updated_at: Time::ZERO,
            dispatch_rates: dispatch_rates::DispatchRates::default(),
            pool_latencies: pool_latency::PoolLatencies::default(),
            rates_updated_at: Time::ZERO,
            retry_budgets: retry::RetryBudgets::new(),
            known_peers: None,
            backoffs_until: Time::ZERO,
            groups: group::Groups::default(),
            reported_work: share::ReportedWork::default(),
            levels: share::Levels::default(),
            reachable: None,
            config_confirmed_at: None,
            coordinated: false,
            rollouts: rollout::Rollouts::default(),
            suspects: suspects::Suspects::default(),
            endpoint_exits: endpoint_exits::EndpointExits::default(),
            stats: Stats::default(),
        }
    }
}
