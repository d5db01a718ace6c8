//! Fair shares of accounts in each pool that is short of capacity, by weight and demand.

use std::collections::BTreeSet;
use std::time::Duration;

use firdock_core::resource::Account;
use firdock_core::{PoolId, TierRank};

use super::work_done_up_to;
use crate::table::Tables;
use crate::table::share::{AccountRank, Levels};
use crate::time::Time;

/// Factor by which demand must exceed the work done before capacity counts as short: requests that
/// arrived within the last tenth of a second may still be on their way to an endpoint.
const SHORTAGE_FACTOR: f64 = 1.1;

/// Interval between two updates of the levels: a tenth of the time over which recent work decays.
const LEVEL_INTERVAL: Duration = Duration::from_millis(100);

/// Recomputes the share level of each pool from recent demand and work.
pub fn update_levels(t: &mut Tables, now: Time) {
    if !t.settings.account_shares.is_on() || now < t.levels.taken + LEVEL_INTERVAL {
        return;
    }
    let mut levels = Levels::new(now);
    for pool in pools(t) {
        for rank in 0..=Account::MAX_RANK {
            let fair_shares = fair_shares(t, now, &pool, rank);
            if let Some(level) = share_per_weight(&fair_shares) {
                levels.set(&pool, rank, level);
            }
        }
    }
    t.levels = levels;
}

/// Fair shares of the accounts of one rank in a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolFairShares {
    /// Pool.
    pub pool: PoolId,
    /// Whether capacity is short for these accounts.
    pub short: bool,
    /// Accounts with recent demand or work.
    pub rows: Vec<FairShare>,
}

/// Returns the fair shares of all accounts by pool and rank; ranks without any are omitted.
#[must_use]
pub fn fair_shares_by_pool(t: &Tables, now: Time) -> Vec<PoolFairShares> {
    let mut all = Vec::new();
    for pool in pools(t) {
        for rank in 0..=Account::MAX_RANK {
            let rows = fair_shares(t, now, &pool, rank);
            if rows.is_empty() {
                continue;
            }
            all.push(PoolFairShares {
                pool: pool.clone(),
                short: t.levels.of(&pool, rank).is_some(),
                rows,
            });
        }
    }
    all
}

fn pools(t: &Tables) -> BTreeSet<PoolId> {
    let accounts = t.accounts.iter();
    accounts
        .flat_map(|(_, a)| a.work.pools())
        .cloned()
        .collect()
}

/// Returns the share per unit of weight of the accounts with unmet demand, or `None` if capacity is
/// not short.
fn share_per_weight(fair_shares: &[FairShare]) -> Option<f64> {
    let done: f64 = fair_shares.iter().map(|s| s.done).sum();
    let asked: f64 = fair_shares.iter().map(|s| s.asked).sum();
    if asked <= done * SHORTAGE_FACTOR {
        return None;
    }
    let levels = fair_shares.iter().map(|s| s.share / s.weight);
    levels.max_by(f64::total_cmp)
}

/// Recent demand and work of an account in a pool, and its fair share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FairShare {
    /// Row of the account.
    pub account: usize,
    /// Its weight.
    pub weight: f64,
    /// Work requested, in seconds.
    pub asked: f64,
    /// Work done, in seconds.
    pub done: f64,
    /// Share of all work done for accounts of its rank, by weight and demand, in seconds.
    pub share: f64,
}

/// Returns the fair shares of the accounts of a rank with recent demand or work in a pool.
fn fair_shares(t: &Tables, now: Time, pool: &str, rank: AccountRank) -> Vec<FairShare> {
    let mut rows: Vec<FairShare> = Vec::new();
    for (at, account) in t.accounts.iter().filter(|(_, a)| a.rank == rank) {
        let row = FairShare {
            account: at,
            weight: account.weight,
            asked: work_asked(t, now, at, pool),
            done: work_done_up_to(t, now, at, pool, TierRank::MAX),
            share: 0.0,
        };
        if row.asked.max(row.done) > 0.0 {
            rows.push(row);
        }
    }
    let capacity: f64 = rows.iter().map(|r| r.done).sum();
    let demand = |r: &FairShare| ShareDemand {
        weight: r.weight,
        amount: r.asked.max(r.done),
    };
    let demands: Vec<ShareDemand> = rows.iter().map(demand).collect();
    for (row, share) in rows.iter_mut().zip(max_min_shares(capacity, &demands)) {
        row.share = share;
    }
    rows
}

/// Demand of one account, with its weight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareDemand {
    /// Weight.
    pub weight: f64,
    /// Demand.
    pub amount: f64,
}

/// Divides `capacity` by weighted max-min fairness: what an account does not ask for is divided
/// among the others by weight.
///
/// No account gets more than it asks for, `capacity` is used up as far as there is demand, and an
/// account gets less per weight than another only if its demand is met.
#[must_use]
pub fn max_min_shares(capacity: f64, demands: &[ShareDemand]) -> Vec<f64> {
    let mut by_need: Vec<usize> = (0..demands.len()).collect();
    let need = |i: &usize| demands[*i].amount / demands[*i].weight;
    by_need.sort_by(|a, b| need(a).total_cmp(&need(b)));
    let mut left = capacity;
    let mut weights: f64 = demands.iter().map(|a| a.weight).sum();
    let mut parts = vec![0.0; demands.len()];
    for i in by_need {
        let demand = demands[i];
        let even = left * demand.weight / weights.max(f64::MIN_POSITIVE);
        parts[i] = demand.amount.min(even).max(0.0);
        left -= parts[i];
        weights -= demand.weight;
    }
    parts
}

/// Returns the recent demand of an account in a pool, over all groups.
fn work_asked(t: &Tables, now: Time, account: usize, pool: &str) -> f64 {
    let row = t.accounts.get(account);
    let remote = t
        .reported_work
        .of(now, t.settings.peer_stale_after, pool, &row.name);
    let elsewhere: f64 = remote.map(|w| w.asked).sum();
    row.work.asked(now, pool) + elsewhere
}
