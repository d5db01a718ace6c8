//! Rates at which the endpoints of each pool accept requests of this instance.

use std::collections::HashMap;

use firdock_core::resource::Tier;
use firdock_core::{PoolId, TierRank};

/// Weight of the newest period in smoothed rates.
const NEWEST_WEIGHT: f64 = 0.4;

/// Number of ranks that are counted.
const RANKS: usize = Tier::MAX_RANK as usize + 1;

/// Smoothed dispatches and arrivals per second, by pool.
#[derive(Debug, Default)]
pub struct DispatchRates {
    pools: HashMap<PoolId, PoolRates>,
}

#[derive(Debug, Default)]
struct PoolRates {
    dispatched: u32,
    rate: f64,
    arrived: [u32; RANKS],
    arrivals: [f64; RANKS],
    sent: [u32; RANKS],
    sends: [f64; RANKS],
}

impl DispatchRates {
    /// Records a dispatch.
    pub fn record_dispatch(&mut self, pool: &str, rank: TierRank) {
        let pool = self.pool(pool);
        pool.dispatched += 1;
        pool.sent[usize::from(rank)] += 1;
    }

    /// Records an arrival.
    pub fn record_arrival(&mut self, pool: &str, rank: TierRank) {
        self.pool(pool).arrived[usize::from(rank)] += 1;
    }

    fn pool(&mut self, pool: &str) -> &mut PoolRates {
        self.pools.entry(pool.to_owned()).or_default()
    }

    /// Ends a period of `secs` seconds.
    pub fn end_period(&mut self, secs: f64) {
        for rates in self.pools.values_mut() {
            smooth(&mut rates.rate, &mut rates.dispatched, secs);
            for (rate, arrived) in rates.arrivals.iter_mut().zip(&mut rates.arrived) {
                smooth(rate, arrived, secs);
            }
            for (rate, sent) in rates.sends.iter_mut().zip(&mut rates.sent) {
                smooth(rate, sent, secs);
            }
        }
    }

    /// Returns the dispatches per second left to a rank after arrivals of higher ranks, which go
    /// first; `None` if nothing was observed yet.
    #[must_use]
    pub fn rate_left_to(&self, pool: &str, rank: TierRank) -> Option<f64> {
        let rates = self.pools.get(pool)?;
        let rate = rates.rate.max(f64::from(rates.dispatched));
        let higher: f64 = rates.arrivals[..usize::from(rank)].iter().sum();
        Some(rate - higher)
    }

    /// Returns the dispatches per second of a rank and all lower ones; `None` if nothing was
    /// observed.
    ///
    /// Requests of lower ranks give way to this one, so it can have all of these. Refused arrivals
    /// of higher ranks take none of them.
    #[must_use]
    pub fn rate_from(&self, pool: &str, rank: TierRank) -> Option<f64> {
        let rates = self.pools.get(pool)?;
        let at = usize::from(rank);
        let smoothed: f64 = rates.sends[at..].iter().sum();
        let counted: u32 = rates.sent[at..].iter().sum();
        Some(smoothed.max(f64::from(counted)))
    }
}

/// Adds the count of a period of `secs` seconds to a smoothed rate, and resets the count.
pub fn smooth(rate: &mut f64, count: &mut u32, secs: f64) {
    *rate += NEWEST_WEIGHT * (f64::from(*count) / secs - *rate);
    *count = 0;
}
