//! Recent work of the endpoints of each pool for each account, here and in other groups.
//!
//! Work is measured in seconds at an endpoint's declared rates, so that an account is not charged
//! more because its requests reached slow endpoints.

use std::collections::BTreeMap;
use std::iter;
use std::time::Duration;

use firdock_core::{AccountId, PoolId, TierRank, ZoneId};

use crate::event::AccountWork;
use crate::time::Time;

/// Time constant of recent work, in seconds: accounts that were idle have their whole share again
/// within a second, and so do those that had lent theirs.
const DECAY_SECS: f64 = 1.0;
/// Maximum number of availability zones with reports.
const MAX_ZONES: usize = 64;
/// Minimum work, in seconds, that is reported to other groups: a thousandth of one endpoint.
const MIN_REPORTED_SECS: f64 = 1e-3;

/// Exponentially decaying sum of work.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingWork {
    secs: f64,
    at: Time,
}

impl DecayingWork {
    fn at(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.secs * (-age / DECAY_SECS).exp()
    }

    /// Adds work, or subtracts it when negative; the sum never falls below zero.
    fn add(&mut self, now: Time, secs: f64) {
        self.secs = (self.at(now) + secs).max(0.0);
        self.at = self.at.max(now);
    }
}

/// Work recently requested of one pool and done for one account, at one declared rank.
#[derive(Debug, Clone, Copy, Default)]
struct PoolUse {
    asked: DecayingWork,
    done: DecayingWork,
}

/// Work recently requested by and done for one account, by pool and rank.
#[derive(Debug, Default)]
pub struct Work {
    pools: BTreeMap<PoolId, BTreeMap<TierRank, PoolUse>>,
}

impl Work {
    fn of(&mut self, pool: &str, rank: TierRank) -> &mut PoolUse {
        let ranks = self.pools.entry(pool.to_owned()).or_default();
        ranks.entry(rank).or_default()
    }

    /// Adds requested work.
    pub fn add_asked(&mut self, now: Time, pool: &str, rank: TierRank, secs: f64) {
        self.of(pool, rank).asked.add(now, secs);
    }

    /// Adds work done, or subtracts what was not done.
    pub fn add_done(&mut self, now: Time, pool: &str, rank: TierRank, secs: f64) {
        self.of(pool, rank).done.add(now, secs);
    }

    /// Returns the recent work of a pool for requests of a rank and all higher ones.
    #[must_use]
    pub fn done(&self, now: Time, pool: &str, rank: TierRank) -> f64 {
        let Some(ranks) = self.pools.get(pool) else {
            return 0.0;
        };
        ranks.range(..=rank).map(|(_, u)| u.done.at(now)).sum()
    }

    /// Returns the work recently requested of a pool.
    #[must_use]
    pub fn asked(&self, now: Time, pool: &str) -> f64 {
        let ranks = self.pools.get(pool).into_iter().flatten();
        ranks.map(|(_, u)| u.asked.at(now)).sum()
    }

    /// Iterates over the pools that it sent requests to.
    pub fn pools(&self) -> impl Iterator<Item = &PoolId> {
        self.pools.keys()
    }

    /// Returns the recent work as reported to other groups.
    pub fn reports(&self, now: Time, account: &str) -> impl Iterator<Item = AccountWork> {
        let ranks = |(pool, ranks)| iter::repeat(pool).zip::<&BTreeMap<TierRank, PoolUse>>(ranks);
        let entries = self.pools.iter().flat_map(ranks);
        let entries = entries.map(move |(pool, (rank, used))| AccountWork {
            account: account.to_owned(),
            pool: pool.clone(),
            rank: *rank,
            asked: used.asked.at(now),
            done: used.done.at(now),
        });
        entries.filter(|w| w.asked.max(w.done) > MIN_REPORTED_SECS)
    }
}

/// Report of one group's lead, by pool and account.
type GroupRows = BTreeMap<PoolId, BTreeMap<AccountId, Vec<AccountWork>>>;

/// Work of other groups' endpoints, as reported by their leads.
#[derive(Debug, Default)]
pub struct ReportedWork {
    zones: BTreeMap<ZoneId, (Time, GroupRows)>,
}

impl ReportedWork {
    /// Replaces a lead's previous report.
    pub fn update(&mut self, now: Time, zone: ZoneId, work: Vec<AccountWork>) {
        if self.zones.len() >= MAX_ZONES && !self.zones.contains_key(&zone) {
            // Active leads report again at their next heartbeat.
            self.zones.clear();
        }
        let mut rows = GroupRows::new();
        for entry in work {
            let accounts = rows.entry(entry.pool.clone()).or_default();
            accounts
                .entry(entry.account.clone())
                .or_default()
                .push(entry);
        }
        self.zones.insert(zone, (now, rows));
    }

    /// Iterates over the work of other groups for an account in a pool, from reports younger than
    /// `age`.
    ///
    /// Older reports are ignored: the group then relies on its own counts, which give accounts even
    /// shares of its own slots, and no other group allocates those.
    pub fn of<'a>(
        &'a self,
        now: Time,
        age: Duration,
        pool: &'a str,
        account: &'a str,
    ) -> impl Iterator<Item = &'a AccountWork> {
        let fresh = self.zones.values().filter(move |(at, _)| *at + age > now);
        fresh
            .filter_map(move |(_, rows)| rows.get(pool)?.get(account))
            .flatten()
    }
}

/// Rank of an account, which applies to all its requests.
pub type AccountRank = u8;

/// Fair-share levels: the work per unit of weight that accounts of a rank may have of a pool where
/// capacity is short.
#[derive(Debug, Default)]
pub struct Levels {
    pools: BTreeMap<PoolId, BTreeMap<AccountRank, f64>>,
    /// When the levels were computed.
    pub taken: Time,
}

impl Levels {
    /// Creates levels as of now, with no shortage anywhere.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            taken: now,
            ..Self::default()
        }
    }

    /// Replaces a level.
    pub fn set(&mut self, pool: &str, rank: AccountRank, level: f64) {
        let ranks = self.pools.entry(pool.to_owned()).or_default();
        ranks.insert(rank, level);
    }

    /// Returns the level; `None` where capacity suffices for all.
    #[must_use]
    pub fn of(&self, pool: &str, rank: AccountRank) -> Option<f64> {
        self.pools.get(pool)?.get(&rank).copied()
    }
}
