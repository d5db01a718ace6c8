//! What the endpoints of each pool did lately for each account, here and in other groups.
//!
//! Work is counted in seconds that it takes on an endpoint as declared, so that an account whose
//! requests came to slow endpoints is not charged for that.

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_core::{AccountId, PoolId, ZoneId};

use crate::event::AccountWork;
use crate::time::Time;

/// Time constant, in seconds, of what counts as done lately: callers who asked for nothing for a
/// while have their whole share again within a second, and so have those that had lent it.
const FADE_SECS: f64 = 1.0;
/// Availability zones whose word is kept.
const MAX_ZONES: usize = 64;
/// Work, in seconds, below which an account counts as having had none: an answer's smallest part.
const LEAST_SECS: f64 = 1e-6;

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

/// Work done lately for one account, by pool.
#[derive(Debug, Default)]
pub struct Work {
    pools: BTreeMap<PoolId, Fading>,
}

impl Work {
    /// Adds work, or takes back what was not done.
    pub fn add(&mut self, now: Time, pool: &str, secs: f64) {
        if let Some(done) = self.pools.get_mut(pool) {
            done.add(now, secs);
            return;
        }
        let mut done = Fading::default();
        done.add(now, secs);
        self.pools.insert(pool.to_owned(), done);
    }

    /// Gives the work done lately in a pool, in seconds.
    #[must_use]
    pub fn of(&self, now: Time, pool: &str) -> f64 {
        self.pools.get(pool).map_or(0.0, |done| done.at(now))
    }

    /// Goes over the pools in which something was done lately.
    pub fn iter(&self, now: Time) -> impl Iterator<Item = (&PoolId, f64)> {
        let all = self.pools.iter().map(move |(p, done)| (p, done.at(now)));
        all.filter(|(_, secs)| *secs > LEAST_SECS)
    }
}

/// Work of one group by pool and account.
type GroupWork = BTreeMap<PoolId, BTreeMap<AccountId, f64>>;

/// What the leads of other groups told of the work that their groups' endpoints did.
#[derive(Debug, Default)]
pub struct ToldWork {
    zones: BTreeMap<ZoneId, (Time, GroupWork)>,
}

impl ToldWork {
    /// Takes a lead's word over, in place of its last one.
    pub fn take(&mut self, now: Time, zone: ZoneId, work: Vec<AccountWork>) {
        if self.zones.len() >= MAX_ZONES && !self.zones.contains_key(&zone) {
            // Those that are still there tell at the next heartbeat.
            self.zones.clear();
        }
        let mut pools = GroupWork::new();
        for told in work {
            let accounts = pools.entry(told.pool).or_default();
            *accounts.entry(told.account).or_default() += told.secs;
        }
        self.zones.insert(zone, (now, pools));
    }

    /// Gives what other groups did for an account, as told within `age`.
    ///
    /// Words that are older count for nothing: the group goes by what it did itself, so that accounts
    /// have even shares of its own places, which no other group gives away.
    #[must_use]
    pub fn of(&self, now: Time, age: Duration, pool: &str, account: &str) -> f64 {
        let fresh = self.zones.values().filter(|(at, _)| *at + age > now);
        let told = fresh.filter_map(|(_, pools)| pools.get(pool)?.get(account));
        told.sum()
    }
}
