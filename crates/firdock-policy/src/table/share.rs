//! What the endpoints of each pool did lately for each account, here and in other groups.
//!
//! Work is counted in seconds that it takes on an endpoint as declared, so that an account whose
//! requests came to slow endpoints is not charged for that.

use std::collections::BTreeMap;
use std::iter;
use std::time::Duration;

use firdock_core::{AccountId, PoolId, TierRank, ZoneId};

use crate::event::AccountWork;
use crate::time::Time;

/// Time constant, in seconds, of what counts as done lately: callers who asked for nothing for a
/// while have their whole share again within a second, and so have those that had lent it.
const FADE_SECS: f64 = 1.0;
/// Availability zones whose word is kept.
const MAX_ZONES: usize = 64;
/// Work, in seconds, of which other groups are told at least: a thousandth of one endpoint.
const LEAST_SECS: f64 = 1e-3;

/// Work that fades.
#[derive(Debug, Clone, Copy, Default)]
struct Fading {
    secs: f64,
    at: Time,
}

impl Fading {
    fn at(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.secs * (-age / FADE_SECS).exp()
    }

    /// Adds work, or takes it back; what was done never falls below nothing.
    fn add(&mut self, now: Time, secs: f64) {
        self.secs = (self.at(now) + secs).max(0.0);
        self.at = self.at.max(now);
    }
}

/// What one account asked for and had of one pool lately, by the declared rank of its requests.
#[derive(Debug, Clone, Copy, Default)]
struct Used {
    asked: Fading,
    done: Fading,
}

/// What one account asked for and had lately, by pool and rank.
#[derive(Debug, Default)]
pub struct Work {
    pools: BTreeMap<PoolId, BTreeMap<TierRank, Used>>,
}

impl Work {
    fn of(&mut self, pool: &str, rank: TierRank) -> &mut Used {
        let ranks = self.pools.entry(pool.to_owned()).or_default();
        ranks.entry(rank).or_default()
    }

    /// Adds work that callers asked for.
    pub fn add_asked(&mut self, now: Time, pool: &str, rank: TierRank, secs: f64) {
        self.of(pool, rank).asked.add(now, secs);
    }

    /// Adds work that is done, or takes back what was not.
    pub fn add_done(&mut self, now: Time, pool: &str, rank: TierRank, secs: f64) {
        self.of(pool, rank).done.add(now, secs);
    }

    /// Gives what it had of a pool lately, in its requests of a rank and of all above.
    #[must_use]
    pub fn done(&self, now: Time, pool: &str, rank: TierRank) -> f64 {
        let Some(ranks) = self.pools.get(pool) else {
            return 0.0;
        };
        ranks.range(..=rank).map(|(_, u)| u.done.at(now)).sum()
    }

    /// Gives what it asked of a pool lately.
    #[must_use]
    pub fn asked(&self, now: Time, pool: &str) -> f64 {
        let ranks = self.pools.get(pool).into_iter().flatten();
        ranks.map(|(_, u)| u.asked.at(now)).sum()
    }

    /// Goes over the pools that it asked for.
    pub fn pools(&self) -> impl Iterator<Item = &PoolId> {
        self.pools.keys()
    }

    /// Gives what it asked for and had lately, as other groups are told.
    pub fn reports(&self, now: Time, account: &str) -> impl Iterator<Item = AccountWork> {
        let ranks = |(pool, ranks)| iter::repeat(pool).zip::<&BTreeMap<TierRank, Used>>(ranks);
        let told = self.pools.iter().flat_map(ranks);
        let told = told.map(move |(pool, (rank, used))| AccountWork {
            account: account.to_owned(),
            pool: pool.clone(),
            rank: *rank,
            asked: used.asked.at(now),
            done: used.done.at(now),
        });
        told.filter(|w| w.asked.max(w.done) > LEAST_SECS)
    }
}

/// What one group's lead told of accounts, by pool and account.
type GroupRows = BTreeMap<PoolId, BTreeMap<AccountId, Vec<AccountWork>>>;

/// What the leads of other groups told of the work that their groups' endpoints did.
#[derive(Debug, Default)]
pub struct ReportedWork {
    zones: BTreeMap<ZoneId, (Time, GroupRows)>,
}

impl ReportedWork {
    /// Takes a lead's word over, in place of its last one.
    pub fn update(&mut self, now: Time, zone: ZoneId, work: Vec<AccountWork>) {
        if self.zones.len() >= MAX_ZONES && !self.zones.contains_key(&zone) {
            // Those that are still there tell at the next heartbeat.
            self.zones.clear();
        }
        let mut rows = GroupRows::new();
        for told in work {
            let accounts = rows.entry(told.pool.clone()).or_default();
            accounts.entry(told.account.clone()).or_default().push(told);
        }
        self.zones.insert(zone, (now, rows));
    }

    /// Goes over what other groups did for an account in a pool, as told within `age`.
    ///
    /// Words that are older count for nothing: the group goes by what it did itself, so that accounts
    /// have even shares of its own places, which no other group gives away.
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

/// Rank of an account, which its requests have in common.
pub type AccountRank = u8;

/// What accounts may have of each pool for each unit of their weights, where room is short.
#[derive(Debug, Default)]
pub struct Levels {
    pools: BTreeMap<PoolId, BTreeMap<AccountRank, f64>>,
    /// When they were taken.
    pub taken: Time,
}

impl Levels {
    /// Makes levels that are taken now: room is short nowhere yet.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            taken: now,
            ..Self::default()
        }
    }

    /// Puts a level in place of the last one.
    pub fn set(&mut self, pool: &str, rank: AccountRank, level: f64) {
        let ranks = self.pools.entry(pool.to_owned()).or_default();
        ranks.insert(rank, level);
    }

    /// Gives the level; `None` where there is room for all.
    #[must_use]
    pub fn of(&self, pool: &str, rank: AccountRank) -> Option<f64> {
        self.pools.get(pool)?.get(&rank).copied()
    }
}
