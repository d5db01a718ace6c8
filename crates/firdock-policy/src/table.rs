//! The tables of entities that the systems operate on.

pub mod absence;
pub mod account;
pub mod build_history;
pub mod dispatch_rates;
pub mod endpoint;
pub mod endpoint_exits;
pub mod endpoint_limit;
pub mod fragile;
pub mod group;
pub mod key;
pub mod limit;
pub mod linear_fit;
pub mod link;
pub mod notices;
pub mod peer;
pub mod permit_issuer;
pub mod pool_latency;
pub mod prefix_cache;
pub mod queue;
pub mod reported_pace;
pub mod request;
pub mod retry;
pub mod rollout;
pub mod rows;
pub mod segment_answers;
pub mod service;
pub mod share;
pub mod slow_phases;
pub mod start_history;
pub mod suspects;
pub mod transfer;
pub mod unavailable;
pub mod unproven_ends;
pub mod view;

use std::collections::BTreeSet;
use std::time::Duration;

use firdock_core::RequestId;

pub use self::suspects::Revision;
use crate::settings::PolicySettings;
use crate::stats::Stats;
use crate::time::Time;
use crate::usage::MergedCounts;

/// Number of instances up to which all of them are one group; in a larger site, each availability
/// zone is one.
pub const SINGLE_GROUP_LIMIT: usize = 16;
/// Number of peers up to which heartbeats are sent at full rate (see `docs/design/peers.md`).
const PEERS_AT_FULL_RATE: usize = 16;

/// The same for peers in other availability zones: their heartbeats are less frequent by the same
/// factor, and two of them may be lost.
const REMOTE_PEERS_AT_FULL_RATE: usize = 4;
/// Maximum factor by which their interval is stretched.
const MAX_REMOTE_FACTOR: u32 = 25;

/// Number of instances that the leads of all groups receive heartbeats from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReachableInstances {
    /// When it was reported to this instance.
    pub at: Time,
    /// Number of instances, including this one.
    pub count: usize,
}

/// All tables of one instance.
#[derive(Debug)]
pub struct Tables {
    /// Limits and switches.
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
    /// What all instances admitted under account limits, as counted by the leads of this instance's
    /// group.
    pub site_use: MergedCounts,
    /// Idempotency keys that this instance owns.
    pub keys: key::Keys,
    /// Transfers of keys from their previous owners.
    pub transfers: transfer::Transfers,
    /// Membership views from the log.
    pub views: view::Views,
    /// Last reading of the Unix time at zero of this process's clock.
    pub unix_zero: Option<Duration>,
    /// Whether the instance is stopping.
    pub draining: bool,
    /// Whether [`crate::Action::Drained`] has been issued.
    pub drained: bool,
    /// Requests finished since the rate was last updated.
    pub finished: u32,
    /// Finished requests per second, smoothed.
    pub finish_rate: f64,
    /// When the budgets of endpoints were last updated.
    pub budgets_updated_at: Time,
    /// Dispatch rates of this instance by pool.
    pub dispatch_rates: dispatch_rates::DispatchRates,
    /// Latency models of pools whose servers report their pace.
    pub pool_latencies: pool_latency::PoolLatencies,
    /// When the rates were last updated.
    pub rates_updated_at: Time,
    /// Retry budgets by pool.
    pub retry_budgets: retry::RetryBudgets,
    /// Number of other instances known, whether or not they have sent heartbeats; `None` until it
    /// is known.
    pub known_peers: Option<usize>,
    /// End of the last back-off that an endpoint asked of any instance.
    pub backoffs_until: Time,
    /// Builds that serve or served lately.
    pub builds: build_history::BuildHistory,
    /// Starts of endpoints that were replaced.
    pub starts: start_history::StartHistory,
    /// Held requests that continue a stream.
    pub continuing: Vec<RequestId>,
    /// What is known of the rate limits of all endpoints together.
    pub limits: endpoint_limit::LimitSummary,
    /// Pools whose endpoints fail if they refuse too many requests.
    pub fragile: fragile::FragilePools,
    /// State of the probes of this instance's links to endpoints.
    pub link_probes: link::LinkProbes,
    /// Permits that this instance grants for endpoints with rate limits.
    pub permit_issuer: permit_issuer::PermitIssuer,
    /// Demand of other groups, as reported by their leads.
    pub groups: group::Groups,
    /// Work that other groups did for accounts, as reported by their leads.
    pub reported_work: share::ReportedWork,
    /// Fair-share levels of accounts where capacity is short.
    pub levels: share::Levels,
    /// Number of instances that the leads of all groups last received heartbeats from.
    pub reachable: Option<ReachableInstances>,
    /// When the configuration in force was last confirmed to be the newest.
    pub config_confirmed_at: Option<Time>,
    /// Whether a coordinator places this instance's requests on engines.
    pub coordinated: bool,
    /// Roll-outs of pools.
    pub rollouts: rollout::Rollouts,
    /// Requests during which endpoints exited.
    pub suspects: suspects::Suspects,
    /// Exits of endpoints and broken runs of the last seconds.
    pub endpoint_exits: endpoint_exits::EndpointExits,
    /// Answers whose end may be a break.
    pub unproven_ends: unproven_ends::UnprovenEnds,
    /// Requests that are not to be sent any more, since the configuration in force does not admit them.
    pub withdrawn: BTreeSet<RequestId>,
    /// When the instance did not run, as its timer tells.
    pub absence: absence::Absence,
    /// The same for shorter times, as all events tell.
    pub stalls: absence::Absence,
    /// Counters.
    pub stats: Stats,
}

impl Tables {
    /// Returns the number of other instances known.
    #[must_use]
    pub fn peers_known(&self) -> usize {
        self.known_peers.unwrap_or(0).max(self.peers.len())
    }

    /// Returns whether the site is small enough for all instances to be one group.
    #[must_use]
    pub fn is_single_group(&self) -> bool {
        self.known_peers.unwrap_or(self.peers.len()) < SINGLE_GROUP_LIMIT
    }

    /// Returns the maximum credit of a pool's retry budget.
    #[must_use]
    pub fn max_retry_credit(&self) -> f64 {
        retry::RetryBudgets::max_credit(&self.settings, self.peers_known())
    }

    /// Returns the age at which a peer's heartbeat is stale: heartbeats are less frequent where
    /// peers are many.
    #[must_use]
    pub fn peer_stale_after(&self) -> Duration {
        let factor = self.peers_known() / PEERS_AT_FULL_RATE;
        self.settings.peer_stale_after * u32::try_from(factor).unwrap_or(u32::MAX).max(1)
    }

    /// Returns whether a peer's heartbeat is recent. In a large site, peers in other availability
    /// zones send few heartbeats, since the leads of groups report for them.
    #[must_use]
    pub fn is_live(&self, peer: &peer::PeerRow, now: Time) -> bool {
        let same_zone =
            peer.zone.is_empty() || peer.zone == self.settings.zone || self.is_single_group();
        let stale = if same_zone {
            self.peer_stale_after()
        } else {
            let factor = self.peers_known() / REMOTE_PEERS_AT_FULL_RATE;
            let factor = u32::try_from(factor).unwrap_or(u32::MAX);
            self.settings.peer_stale_after * factor.clamp(1, MAX_REMOTE_FACTOR)
        };
        peer.last_seen > Time::ZERO && peer.last_seen + stale > now
    }

    /// Returns the Unix time at zero of this process's clock as last read.
    #[must_use]
    pub fn latest_zero(&self) -> Option<Duration> {
        self.unix_zero.or(self.settings.unix_zero)
    }

    /// Returns the Unix time, or the time of this process's clock if that is not known.
    #[must_use]
    pub fn unix_time(&self, now: Time) -> Duration {
        self.settings.unix_zero.unwrap_or_default() + now
    }

    /// Returns until when requests with a key may be sent under the configuration in force.
    #[must_use]
    pub fn config_valid_until(&self) -> Option<Time> {
        let limit = self.settings.max_config_age?;
        Some(self.config_confirmed_at.map_or(Time::ZERO, |at| at + limit))
    }

    /// Creates empty tables.
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
            unix_zero: None,
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
            builds: build_history::BuildHistory::default(),
            starts: start_history::StartHistory::default(),
            continuing: Vec::new(),
            limits: endpoint_limit::LimitSummary::default(),
            fragile: fragile::FragilePools::default(),
            link_probes: link::LinkProbes::default(),
            permit_issuer: permit_issuer::PermitIssuer::default(),
            groups: group::Groups::default(),
            reported_work: share::ReportedWork::default(),
            levels: share::Levels::default(),
            reachable: None,
            config_confirmed_at: None,
            coordinated: false,
            rollouts: rollout::Rollouts::default(),
            suspects: suspects::Suspects::default(),
            endpoint_exits: endpoint_exits::EndpointExits::default(),
            unproven_ends: unproven_ends::UnprovenEnds::default(),
            withdrawn: BTreeSet::new(),
            absence: absence::Absence::default(),
            stalls: absence::Absence::default(),
            stats: Stats::default(),
        }
    }
}
