//! Bounds and switches of the policy.

use std::time::Duration;

use firdock_core::ZoneId;
use firdock_core::settings::{Limits, Rollouts, Settings};
use uuid::Uuid;

use crate::event::Member;

/// Mechanisms that can be switched off, so that each can be shown to earn its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch is independent of the others"
)]
pub struct Mechanisms {
    /// Requests wait in firdock until an endpoint has room, instead of in its queue.
    pub late_binding: bool,
    /// Cached prefixes count in the choice of an endpoint.
    pub affinity: bool,
    /// Rates are learned from answers instead of taken from the resources.
    pub learning: bool,
    /// Budgets on endpoints follow the demand that peers tell.
    pub demand_shares: bool,
    /// Failing endpoints are ejected.
    pub ejection: bool,
    /// Broken streams are resumed on another engine.
    pub resume: bool,
    /// Requests wait a little for an endpoint that has their prefix cached.
    pub wait_for_cache: bool,
    /// Requests that can no longer be answered in time go after those that can.
    pub late_last: bool,
    /// Held requests go to peers when this instance is full or stops.
    pub hand_over: bool,
    /// Requests that cannot begin in time are refused while the caller can still go elsewhere.
    pub early_refusal: bool,
    /// The choice of an endpoint goes by the time to the first token more than by the whole.
    pub first_token: bool,
    /// Engines are shared by whole places that add up over all instances.
    pub integer_budgets: bool,
    /// Endpoints in the own availability zone are preferred.
    pub prefer_own_zone: bool,
}

impl Mechanisms {
    /// All mechanisms on that serve callers of the own interface.
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

    /// What serves at the edge of a platform, where callers try another instance by themselves.
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

/// Shares of accounts where room is short (`docs/design/shares.md`).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AccountShares {
    /// None: it goes by tier and arrival alone.
    #[default]
    Off,
    /// Of each tier by itself.
    ByTier,
    /// Over all tiers of the accounts of a rank.
    OverTiers,
}

impl AccountShares {
    /// Takes them from the instance's settings.
    #[must_use]
    pub fn new(limits: &Limits) -> Self {
        match (limits.account_shares, limits.shares_over_tiers) {
            (false, _) => Self::Off,
            (true, false) => Self::ByTier,
            (true, true) => Self::OverTiers,
        }
    }

    /// Tells whether accounts have any.
    #[must_use]
    pub fn is_on(self) -> bool {
        self != Self::Off
    }

    /// Tells whether they are over all tiers.
    #[must_use]
    pub fn is_over_tiers(self) -> bool {
        self == Self::OverTiers
    }
}

/// Bounds of the policy, taken from the instance's settings.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicySettings {
    /// Name of this instance and this start of it.
    pub member: Member,
    /// Availability zone of this instance.
    pub zone: ZoneId,
    /// Requests held at once.
    pub max_held: usize,
    /// Bytes of requests held or running at once.
    pub held_bytes: usize,
    /// Second tries allowed, as a part of the first.
    pub retry_ratio: f64,
    /// Second tries allowed on top, over all instances; `None` for a bound of this one alone.
    pub retry_slack: Option<f64>,
    /// Most endpoints of a service ejected at once, as a part of all.
    pub eject_ratio: f64,
    /// Account limits wait until it is known how many other instances there are.
    pub await_peers: bool,
    /// Broken dispatches in a row after which an endpoint is ejected.
    pub eject_after: u32,
    /// Age of the configuration beyond which requests with a key are refused.
    pub max_config_age: Option<Duration>,
    /// Age at which a peer's news is stale.
    pub peer_stale_after: Duration,
    /// Grace after a key changed owner (G in `docs/design/keys.md`).
    pub key_grace: Duration,
    /// Time for which a key is remembered.
    pub key_retention: Duration,
    /// Keys remembered at once.
    pub max_keys: usize,
    /// How much a version may be tried before it is known to be good.
    pub rollouts: Rollouts,
    /// Switches for measurements.
    pub mechanisms: Mechanisms,
    /// Whether these tables place requests of other instances on engines (`docs/design/placement.md`):
    /// limits and second tries are charged where a request came in.
    pub coordinates: bool,
    /// Unix time at which this process's clock stood at zero, by which the starts that endpoints tell
    /// are dated; `None` where it is not known.
    pub unix_zero: Option<Duration>,
    /// Which shares accounts have of what endpoints do.
    pub account_shares: AccountShares,
}

impl PolicySettings {
    /// Takes the policy's part of the instance's settings.
    #[must_use]
    pub fn new(settings: &Settings, incarnation: Uuid) -> Self {
        Self {
            member: Member {
                name: settings.instance.name.clone(),
                incarnation,
            },
            zone: settings.instance.zone.clone(),
            max_held: settings.limits.max_held,
            held_bytes: settings.limits.held_bytes,
            retry_ratio: settings.endpoints.retry_ratio,
            retry_slack: Some(settings.endpoints.retry_slack).filter(|slack| *slack > 0.0),
            eject_ratio: settings.endpoints.eject_ratio,
            await_peers: false,
            eject_after: 1,
            max_config_age: settings.freshness.serve(),
            peer_stale_after: settings.peers.stale_after(),
            key_grace: settings.keys.grace(),
            key_retention: settings.keys.keep(),
            max_keys: settings.keys.max_keys,
            rollouts: settings.rollouts,
            mechanisms: Mechanisms::ALL,
            coordinates: false,
            unix_zero: None,
            account_shares: AccountShares::new(&settings.limits),
        }
    }

    /// Makes the settings of a coordinator's tables from those of its instance.
    #[must_use]
    pub fn with_coordination(mut self) -> Self {
        self.coordinates = true;
        // Freshness is looked at where a request is sent.
        self.max_config_age = None;
        self
    }

    /// Lets account limits wait until it is known how many other instances there are.
    #[must_use]
    pub fn with_await_peers(mut self) -> Self {
        self.await_peers = true;
        self
    }

    /// Sets the Unix time at which this process's clock stood at zero.
    #[must_use]
    pub fn with_unix_zero(mut self, zero: Duration) -> Self {
        self.unix_zero = Some(zero);
        self
    }

    /// Sets how many dispatches in a row have to break before an endpoint is ejected.
    #[must_use]
    pub fn with_eject_after(mut self, dispatches: u32) -> Self {
        self.eject_after = dispatches;
        self
    }

    /// Switches mechanisms on or off.
    #[must_use]
    pub fn with_mechanisms(mut self, mechanisms: Mechanisms) -> Self {
        self.mechanisms = mechanisms;
        self
    }
}
