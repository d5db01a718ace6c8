//! What instances and groups tell of accounts and pools: use of limits, demand, work, and what was seen
//! of roll-outs.

use firdock_core::{AccountId, InstanceId, PoolId, TierRank, ZoneId};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::rollout::Evidence;

/// What one instance has let pass of account limits since its start.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerUse {
    /// The instance.
    pub name: InstanceId,
    /// Start of its process.
    pub incarnation: Uuid,
    /// Totals by account, those that changed at least.
    pub used: Vec<AccountUse>,
}

/// What the lead of a group counted of what instances let pass of account limits.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct UseCounts {
    /// The lead.
    pub lead: InstanceId,
    /// When it began to count, which tells these counts from earlier ones.
    pub began: Uuid,
    /// Whether nothing rose yet: whoever hears that knows all counts from their beginning.
    pub fresh: bool,
    /// Counts by account, those that rose at least.
    pub counts: Vec<AccountUse>,
}

/// What one instance has let pass of one account's limit since its start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountUse {
    /// Account.
    pub account: AccountId,
    /// Units of the limit.
    pub units: f64,
    /// Units that its callers asked for, with those refused for the limit.
    #[serde(default)]
    pub asked: f64,
    /// The same before callers last came after a while in which none did: what rose since then is recent,
    /// also for who did not follow the account before.
    #[serde(default, skip_serializing_if = "UseTotals::is_zero")]
    pub before: UseTotals,
}

impl AccountUse {
    /// Gives the totals without the account's name.
    #[must_use]
    pub fn totals(&self) -> UseTotals {
        UseTotals {
            units: self.units,
            asked: self.asked,
        }
    }
}

/// Totals of one account at one instance since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct UseTotals {
    /// Units of the limit that were let pass.
    pub units: f64,
    /// Units that callers asked for.
    pub asked: f64,
}

impl UseTotals {
    /// Gives the totals with the account's name.
    #[must_use]
    pub fn named(self, account: AccountId) -> AccountUse {
        AccountUse {
            account,
            units: self.units,
            asked: self.asked,
            before: UseTotals::default(),
        }
    }
}

/// Demand of one instance for the endpoints of one pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolDemand {
    /// Pool, or a service without a split, which stands for the endpoints that name it.
    #[serde(rename = "service")] // As recorded sessions name it.
    pub pool: PoolId,
    /// Requests a second, with those held.
    pub rate: f64,
}

/// Demand of the instances of one availability zone.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupDemand {
    /// Availability zone.
    pub zone: ZoneId,
    /// Demand by pool.
    pub demand: Vec<PoolDemand>,
}

/// What the endpoints of one group did lately for accounts.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupWork {
    /// Availability zone.
    pub zone: ZoneId,
    /// Work by pool and account.
    pub work: Vec<AccountWork>,
}

/// What one account asked for and had of one pool lately, in requests of one rank.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AccountWork {
    /// Account.
    pub account: AccountId,
    /// Pool.
    pub pool: PoolId,
    /// Declared rank of the requests.
    pub rank: TierRank,
    /// Work that was asked for, in seconds that it takes on an endpoint as declared.
    pub asked: f64,
    /// Work that is done, likewise.
    pub done: f64,
}

/// What the instances of one availability zone saw of roll-outs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupEvidence {
    /// Availability zone.
    pub zone: ZoneId,
    /// What they saw, by roll-out.
    pub seen: Vec<Evidence>,
}
