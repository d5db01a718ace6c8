//! How fast the endpoints of each pool take requests of this instance.

use std::collections::HashMap;

use firdock_core::resource::Tier;
use firdock_core::{PoolId, TierRank};

/// Weight of the newest period in smoothed rates.
const WEIGHT: f64 = 0.4;

/// Requests of a rank from which on the part of them that was sent on says something.
const LEAST_CAME: f64 = 4.0;

/// Part of how often the ranks above are served below which a rank lags: served just as often, its short
/// requests earn more than theirs, which also come late and break off, and are paid for by them.
const LAG_PART: f64 = 0.7;

/// Ranks that arrivals are counted for.
const RANKS: usize = Tier::MAX_RANK as usize + 1;

/// Dispatches and arrivals a second by pool, smoothed.
#[derive(Debug, Default)]
pub struct Paces {
    pools: HashMap<PoolId, Pace>,
}

#[derive(Debug, Default)]
struct Pace {
    dispatched: u32,
    rate: f64,
    arrived: [u32; RANKS],
    arrivals: [f64; RANKS],
    served: [Served; RANKS],
}

/// How many requests of a rank came, and how many of them were sent on; older ones count for less.
#[derive(Debug, Clone, Copy, Default)]
struct Served {
    came: f64,
    sent: f64,
}

impl Served {
    /// Gives the part that was sent on; `None` while too few came to tell.
    fn part(self) -> Option<f64> {
        (self.came >= LEAST_CAME).then(|| self.sent / self.came)
    }

    fn age(&mut self) {
        self.came *= 1.0 - WEIGHT;
        self.sent *= 1.0 - WEIGHT;
    }
}

impl Paces {
    /// Notes a dispatch.
    pub fn note(&mut self, pool: &str, rank: TierRank) {
        let pace = self.pool(pool);
        pace.dispatched += 1;
        pace.served[usize::from(rank)].sent += 1.0;
    }

    /// Notes an arrival.
    pub fn note_arrival(&mut self, pool: &str, rank: TierRank) {
        let pace = self.pool(pool);
        pace.arrived[usize::from(rank)] += 1;
        pace.served[usize::from(rank)].came += 1.0;
    }

    /// Tells whether a rank is served much less often than each one above it of which some came.
    #[must_use]
    pub fn lags(&self, pool: &str, rank: TierRank) -> bool {
        let Some(pace) = self.pools.get(pool) else {
            return false;
        };
        let Some(own) = pace.served[usize::from(rank)].part() else {
            return false;
        };
        let above = pace.served[..usize::from(rank)].iter();
        let least = above.filter_map(|s| s.part()).reduce(f64::min);
        least.is_some_and(|least| own < LAG_PART * least)
    }

    fn pool(&mut self, pool: &str) -> &mut Pace {
        self.pools.entry(pool.to_owned()).or_default()
    }

    /// Ends a period that took `secs` seconds.
    pub fn end_period(&mut self, secs: f64) {
        for pace in self.pools.values_mut() {
            smooth(&mut pace.rate, &mut pace.dispatched, secs);
            pace.served.iter_mut().for_each(Served::age);
            for (rate, arrived) in pace.arrivals.iter_mut().zip(&mut pace.arrived) {
                smooth(rate, arrived, secs);
            }
        }
    }

    /// Gives the dispatches a second that are left to a rank, after those of higher ranks that
    /// arrive meanwhile and go first; `None` where nothing was seen yet.
    #[must_use]
    pub fn left_to(&self, pool: &str, rank: TierRank) -> Option<f64> {
        let pace = self.pools.get(pool)?;
        let rate = pace.rate.max(f64::from(pace.dispatched));
        let higher: f64 = pace.arrivals[..usize::from(rank)].iter().sum();
        Some(rate - higher)
    }
}

/// Takes the count of a period of `secs` seconds into a smoothed rate, and begins the next count.
pub fn smooth(rate: &mut f64, count: &mut u32, secs: f64) {
    *rate += WEIGHT * (f64::from(*count) / secs - *rate);
    *count = 0;
}
