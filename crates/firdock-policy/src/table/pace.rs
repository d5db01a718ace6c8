//! How fast the endpoints of each pool take requests of this instance.

use std::collections::HashMap;

use firdock_core::PoolId;

/// Weight of the newest period in smoothed rates.
const WEIGHT: f64 = 0.4;

/// Dispatches a second by pool, smoothed.
#[derive(Debug, Default)]
pub struct Paces {
    pools: HashMap<PoolId, Pace>,
}

#[derive(Debug, Default)]
struct Pace {
    dispatched: u32,
    rate: f64,
}

impl Paces {
    /// Notes a dispatch.
    pub fn note(&mut self, pool: &str) {
        if let Some(pace) = self.pools.get_mut(pool) {
            pace.dispatched += 1;
        } else {
            let pace = Pace {
                dispatched: 1,
                rate: 0.0,
            };
            self.pools.insert(pool.to_owned(), pace);
        }
    }

    /// Ends a period that took `secs` seconds.
    pub fn end_period(&mut self, secs: f64) {
        for pace in self.pools.values_mut() {
            pace.rate += WEIGHT * (f64::from(pace.dispatched) / secs - pace.rate);
            pace.dispatched = 0;
        }
    }

    /// Gives the dispatches a second; `None` where nothing was seen yet.
    #[must_use]
    pub fn rate(&self, pool: &str) -> Option<f64> {
        let pace = self.pools.get(pool)?;
        Some(pace.rate.max(f64::from(pace.dispatched)))
    }
}
