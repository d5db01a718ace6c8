//! How fast the endpoints of each pool take requests of this instance.

use std::collections::HashMap;

use firdock_core::resource::Tier;
use firdock_core::{PoolId, TierRank};

/// Weight of the newest period in smoothed rates.
const WEIGHT: f64 = 0.4;

/// Ranks that arrivals are counted for.
const RANKS: usize = Tier::MAX_RANK as usize + 1;

/// Dispatches and arrivals a second by pool, smoothed.
#[derive(Debug, Default)]
pub struct DispatchRates {
    pools: HashMap<PoolId, Pace>,
}

#[derive(Debug, Default)]
struct Pace {
    dispatched: u32,
    rate: f64,
    arrived: [u32; RANKS],
    arrivals: [f64; RANKS],
    sent: [u32; RANKS],
    sends: [f64; RANKS],
}

impl DispatchRates {
    /// Notes a dispatch.
    pub fn record_dispatch(&mut self, pool: &str, rank: TierRank) {
        let pool = self.pool(pool);
        pool.dispatched += 1;
        pool.sent[usize::from(rank)] += 1;
    }

    /// Notes an arrival.
    pub fn record_arrival(&mut self, pool: &str, rank: TierRank) {
        self.pool(pool).arrived[usize::from(rank)] += 1;
    }

    fn pool(&mut self, pool: &str) -> &mut Pace {
        self.pools.entry(pool.to_owned()).or_default()
    }

    /// Ends a period that took `secs` seconds.
    pub fn end_period(&mut self, secs: f64) {
        for pace in self.pools.values_mut() {
            smooth(&mut pace.rate, &mut pace.dispatched, secs);
            for (rate, arrived) in pace.arrivals.iter_mut().zip(&mut pace.arrived) {
                smooth(rate, arrived, secs);
            }
            for (rate, sent) in pace.sends.iter_mut().zip(&mut pace.sent) {
                smooth(rate, sent, secs);
            }
        }
    }

    /// Gives the dispatches a second that are left to a rank, after those of higher ranks that
    /// arrive meanwhile and go first; `None` where nothing was seen yet.
    #[must_use]
    pub fn rate_left_to(&self, pool: &str, rank: TierRank) -> Option<f64> {
        let pace = self.pools.get(pool)?;
        let rate = pace.rate.max(f64::from(pace.dispatched));
        let higher: f64 = pace.arrivals[..usize::from(rank)].iter().sum();
        Some(rate - higher)
    }

    /// Gives the dispatches a second that a rank and all lower ones have; `None` where nothing was seen.
    ///
    /// Requests of lower ranks give way to this one, so that it can have all of these. Arrivals of higher
    /// ranks that are refused take none of them.
    #[must_use]
    pub fn rate_from(&self, pool: &str, rank: TierRank) -> Option<f64> {
        let pace = self.pools.get(pool)?;
        let at = usize::from(rank);
        let smoothed: f64 = pace.sends[at..].iter().sum();
        let counted: u32 = pace.sent[at..].iter().sum();
        Some(smoothed.max(f64::from(counted)))
    }
}

/// Takes the count of a period of `secs` seconds into a smoothed rate, and begins the next count.
pub fn smooth(rate: &mut f64, count: &mut u32, secs: f64) {
    *rate += WEIGHT * (f64::from(*count) / secs - *rate);
    *count = 0;
}
