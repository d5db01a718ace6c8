//! What instances and groups report about accounts and pools: use of limits, demand, work, and
//! evidence on roll-outs.

use firdock_core::{AccountId, InstanceId, PoolId, TierRank, ZoneId};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::rollout::Evidence;
use crate::time::Time;

/// What one instance has admitted under account limits since its start.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerUse {
    /// The instance.
    pub name: InstanceId,
    /// Start of its process.
    pub incarnation: Uuid,
    /// Totals by account, at least those that changed.
    pub used: Vec<AccountUse>,
}

/// Counts by a group's lead of what instances admitted under account limits.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct UseCounts {
    /// The lead.
    pub lead: InstanceId,
    /// Id of the count, which distinguishes it from earlier counts of the same lead.
    pub began: Uuid,
    /// Whether nothing was counted yet: a receiver of such a report knows the counts from their
    /// start.
    pub fresh: bool,
    /// Counts by account, at least those that increased.
    pub counts: Vec<AccountUse>,
}

/// What one instance has admitted under one account's limit since its start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountUse {
    /// Account.
    pub account: AccountId,
    /// Units admitted under the limit.
    pub units: f64,
    /// Units that its callers requested, including those refused for the limit.
    #[serde(default)]
    pub asked: f64,
    /// The totals before the present period of use by callers. The increase since then is recent,
    /// also for receivers that did not track the account before.
    #[serde(default, skip_serializing_if = "UseTotals::is_zero")]
    pub before: UseTotals,
}

impl AccountUse {
    /// Returns the totals without the account's name.
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
    /// Units admitted under the limit.
    pub units: f64,
    /// Units that callers requested.
    pub asked: f64,
}

impl UseTotals {
    /// Returns the totals with the account's name.
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
    /// Pool; for a service without a traffic split its name, which stands for the endpoints that
    /// declare it.
    #[serde(rename = "service")] // As recorded sessions name it.
    pub pool: PoolId,
    /// Requests per second, including those held.
    pub rate: f64,
}

/// Links of one instance to the endpoints of one pool.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLinks {
    /// Pool.
    pub pool: PoolId,
    /// Endpoints to which connections worked lately.
    pub reached: u32,
    /// Endpoints to which the latest connection failed.
    pub failing: u32,
}

/// Report that the endpoints of a pool fail if they refuse too many requests in a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FragilePoolReport {
    /// Pool.
    pub pool: PoolId,
    /// Refusals per second that an endpoint bears.
    pub limit: u32,
    /// When an answer that said so was read, by this process's clock.
    pub read: Time,
}

/// Demand of the instances of one availability zone.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupDemand {
    /// Availability zone.
    pub zone: ZoneId,
    /// Demand by pool.
    pub demand: Vec<PoolDemand>,
}

/// Recent work of one group's endpoints for accounts.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupWork {
    /// Availability zone.
    pub zone: ZoneId,
    /// Work by pool and account.
    pub work: Vec<AccountWork>,
}

/// Recent work requested by one account of one pool and done for it, for requests of one rank.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AccountWork {
    /// Account.
    pub account: AccountId,
    /// Pool.
    pub pool: PoolId,
    /// Declared rank of the requests.
    pub rank: TierRank,
    /// Work requested, in seconds at an endpoint's declared rates.
    pub asked: f64,
    /// Work done, in the same unit.
    pub done: f64,
}

/// Evidence on roll-outs from the instances of one availability zone.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupEvidence {
    /// Availability zone.
    pub zone: ZoneId,
    /// Evidence by roll-out.
    pub seen: Vec<Evidence>,
}
