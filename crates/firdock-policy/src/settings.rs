//! Limits and switches of the policy.

use std::time::Duration;

use firdock_core::ZoneId;
use firdock_core::settings::{Limits, Rollouts, Settings};
use uuid::Uuid;

use crate::event::Member;

/// Mechanisms that can be switched off to measure the effect of each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch is independent of the others"
)]
pub struct Mechanisms {
    /// Requests wait in firdock, not in an endpoint's queue, until an endpoint has capacity.
    pub late_binding: bool,
    /// Cached prefixes count in the choice of an endpoint.
    pub affinity: bool,
    /// Rates are learned from answers rather than taken from the declarations.
    pub learning: bool,
    /// Budgets of endpoints follow the demand reported by peers.
    pub demand_shares: bool,
    /// Failing endpoints are ejected.
    pub ejection: bool,
    /// Broken streams are resumed on another engine.
    pub resume: bool,
    /// Requests wait for a short time for an endpoint that has their prefix cached.
    pub wait_for_cache: bool,
    /// Requests that can no longer be answered in time are served after those that can.
    pub late_last: bool,
    /// Held requests are handed over to peers when this instance is full or stopping.
    pub hand_over: bool,
    /// Requests that cannot begin in time are refused while the caller can still go elsewhere.
    pub early_refusal: bool,
    /// The choice of an endpoint weighs the time to the first token more than the total time.
    pub first_token: bool,
    /// Endpoint budgets are whole slots that add up over all instances.
    pub integer_budgets: bool,
    /// Endpoints in the instance's own availability zone are preferred.
    pub prefer_own_zone: bool,
}

impl Mechanisms {
    /// All mechanisms for callers of firdock's own interface.
    pub const ALL: Self = Self {
        late_binding: true,
        affinity: true,
        learning: true,
        demand_shares: true,
        ejection: true,
        resume: true,
        wait_for_cache: true,
        late_last: true,
        hand_over: true,
        early_refusal: false,
        first_token: false,
        integer_budgets: false,
        prefer_own_zone: false,
    };

    /// Mechanisms at the edge of a platform, where callers retry at another instance by themselves.
    pub const EDGE: Self = Self {
        affinity: false,
        wait_for_cache: false,
        hand_over: false,
        early_refusal: true,
        first_token: true,
        integer_budgets: true,
        prefer_own_zone: true,
        ..Self::ALL
    };
}

/// Shares of accounts when capacity is short (`docs/design/shares.md`).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AccountShares {
    /// No shares: the order is by tier and arrival.
    #[default]
    Off,
    /// Shares within each tier.
    ByTier,
    /// Shares over all tiers of accounts of a rank.
    OverTiers,
}

impl AccountShares {
    /// Reads them from the instance's settings.
    #[must_use]
    pub fn new(limits: &Limits) -> Self {
        match (limits.account_shares, limits.shares_over_tiers) {
            (false, _) => Self::Off,
            (true, false) => Self::ByTier,
            (true, true) => Self::OverTiers,
        }
    }

    /// Returns whether shares are on.
    #[must_use]
    pub fn is_on(self) -> bool {
        self != Self::Off
    }

    /// Returns whether shares span all tiers.
    #[must_use]
    pub fn is_over_tiers(self) -> bool {
        self == Self::OverTiers
    }
}

/// Settings of the policy, taken from the instance's settings.
#[derive(Debug, Clone, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch is independent of the others"
)]
pub struct PolicySettings {
    /// Name and start of this instance.
    pub member: Member,
    /// Availability zone of this instance.
    pub zone: ZoneId,
    /// Maximum number of requests held.
    pub max_held: usize,
    /// Bytes of requests held or running beyond which some are shed.
    pub held_bytes: usize,
    /// Retries allowed, as a fraction of first attempts.
    pub retry_ratio: f64,
    /// Additional retries allowed over all instances; `None` for a limit per instance.
    pub retry_slack: Option<f64>,
    /// Maximum fraction of a service's endpoints that may be ejected at once.
    pub eject_ratio: f64,
    /// Whether account limits wait until the number of other instances is known.
    pub await_peers: bool,
    /// Whether the instances of the site request permits for endpoints with rate limits from each
    /// other; otherwise each one grants itself an even part of a limit.
    pub shares_permits: bool,
    /// Whether requests may go to endpoints by way of peers.
    pub routes_by_peers: bool,
    /// Consecutive broken dispatches after which an endpoint is ejected.
    pub eject_after: u32,
    /// Age of the configuration above which requests with a key are refused.
    pub max_config_age: Option<Duration>,
    /// Age at which a peer's heartbeat is stale.
    pub peer_stale_after: Duration,
    /// Grace period after a key's owner changes (G in `docs/design/keys.md`).
    pub key_grace: Duration,
    /// Time for which a key is kept.
    pub key_retention: Duration,
    /// Maximum number of keys.
    pub max_keys: usize,
    /// Limits on a version's traffic before it is known to be good.
    pub rollouts: Rollouts,
    /// Switches for measurements.
    pub mechanisms: Mechanisms,
    /// Whether these tables place requests of other instances on engines
    /// (`docs/design/placement.md`); limits and retries are then charged where a request arrived.
    pub coordinates: bool,
    /// Whether the builds that serve are recorded in the platform's store, from which an instance learns what served
    /// before it started.
    pub records_builds: bool,
    /// Unix time at zero of this process's clock, by which the start times that endpoints report
    /// are dated; `None` if not known.
    pub unix_zero: Option<Duration>,
    /// Kind of account shares.
    pub account_shares: AccountShares,
}

impl PolicySettings {
    /// Creates the policy's settings from those of the instance.
    #[must_use]
    pub fn new(settings: &Settings, incarnation: Uuid) -> Self {
        Self {
            member: Member {
                name: settings.instance.name.clone(),
                incarnation,
            },
            zone: settings.instance.zone.clone(),
            max_held: settings.limits.max_held,
            held_bytes: settings.limits.shed_bytes(),
            retry_ratio: settings.endpoints.retry_ratio,
            retry_slack: Some(settings.endpoints.retry_slack).filter(|slack| *slack > 0.0),
            eject_ratio: settings.endpoints.eject_ratio,
            await_peers: false,
            shares_permits: false,
            routes_by_peers: false,
            eject_after: 1,
            max_config_age: settings.freshness.serve(),
            peer_stale_after: settings.peers.stale_after(),
            key_grace: settings.keys.grace,
            key_retention: settings.keys.keep_time,
            max_keys: settings.keys.max_keys,
            rollouts: settings.rollouts,
            mechanisms: Mechanisms::ALL,
            coordinates: false,
            records_builds: false,
            unix_zero: None,
            account_shares: AccountShares::new(&settings.limits),
        }
    }

    /// Creates the settings of a coordinator's tables from those of its instance.
    #[must_use]
    pub fn with_coordination(mut self) -> Self {
        self.coordinates = true;
        self.records_builds = false;
        // The members choose the routes of what they send.
        self.routes_by_peers = false;
        // The configuration's age is checked where a request is sent.
        self.max_config_age = None;
        self
    }

    /// Makes account limits wait until the number of other instances is known.
    #[must_use]
    pub fn with_await_peers(mut self) -> Self {
        self.await_peers = true;
        self
    }

    /// Makes the instances of the site share the permits for endpoints with rate limits.
    #[must_use]
    pub fn with_shared_permits(mut self) -> Self {
        self.shares_permits = true;
        self
    }

    /// Lets requests go to endpoints by way of peers.
    #[must_use]
    pub fn with_routes_by_peers(mut self) -> Self {
        self.routes_by_peers = true;
        self
    }

    /// Makes the instance learn from the platform's store which builds served before it started.
    #[must_use]
    pub fn with_recorded_builds(mut self) -> Self {
        self.records_builds = true;
        self
    }

    /// Sets the Unix time at zero of this process's clock.
    #[must_use]
    pub fn with_unix_zero(mut self, zero: Duration) -> Self {
        self.unix_zero = Some(zero);
        self
    }

    /// Sets the number of consecutive broken dispatches after which an endpoint is ejected.
    #[must_use]
    pub fn with_eject_after(mut self, dispatches: u32) -> Self {
        self.eject_after = dispatches;
        self
    }

    /// Sets the mechanisms.
    #[must_use]
    pub fn with_mechanisms(mut self, mechanisms: Mechanisms) -> Self {
        self.mechanisms = mechanisms;
        self
    }
}
