//! Pools whose endpoints fail if they refuse too many requests for want of room.

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_core::PoolId;

use crate::time::Time;

/// Time for which a pool counts as fragile after an answer that said so: all answers do meanwhile.
const FRAGILE_FOR: Duration = Duration::from_secs(5);

/// A fragile pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FragilePool {
    /// Refusals per second that one of its endpoints bears.
    pub limit: u32,
    /// When an answer last said so.
    pub read: Time,
    /// When an answer to this instance last did.
    pub own_read: Option<Time>,
}

/// Fragile pools, by name.
#[derive(Debug, Clone, Default)]
pub struct FragilePools(BTreeMap<PoolId, FragilePool>);

impl FragilePools {
    /// Records that an endpoint of a pool said that it is fragile, to this instance or another one.
    pub fn record(&mut self, pool: &PoolId, limit: u32, read: Time, is_own: bool) {
        let known = self.0.entry(pool.clone()).or_insert(FragilePool {
            limit,
            read,
            own_read: None,
        });
        if known.read <= read {
            known.limit = limit;
            known.read = read;
        }
        if is_own {
            known.own_read = known.own_read.max(Some(read));
        }
    }

    /// Returns a pool that is fragile now.
    #[must_use]
    pub fn get(&self, pool: &str, now: Time) -> Option<FragilePool> {
        let known = self.0.get(pool).copied();
        known.filter(|p| p.read + FRAGILE_FOR > now)
    }

    /// Iterates over the pools that are fragile now.
    pub fn iter(&self, now: Time) -> impl Iterator<Item = (&PoolId, &FragilePool)> {
        self.0
            .iter()
            .filter(move |(_, p)| p.read + FRAGILE_FOR > now)
    }
}
