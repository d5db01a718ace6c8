//! Token buckets of account limits, shared by all instances.
//!
//! Each instance keeps its own view of one shared bucket: it deducts what it admits and what its
//! peers report that they admitted. Views differ by the latest reports, so the sum over all
//! instances exceeds the limit by at most the demand of one heartbeat interval
//! (`docs/design/limits.md`).

use std::time::Duration;

use firdock_core::resource::RateLimit;

use crate::event::UseTotals;
use crate::time::Time;

/// Time for which a used account is reported in heartbeats: several of them, as some may be lost.
pub const REPORT_AFTER_USE: Duration = Duration::from_secs(5);
/// Time constant of recent demand, in seconds: about three times the age of other instances'
/// reports in a large site.
const DEMAND_TIME_CONSTANT: f64 = 1.5;
/// Fraction of a limit that all instances' shares give out together: slightly less than the whole,
/// so that the common level, which stops all of them at once, is seldom overdrawn.
const SHARE_RATE: f64 = 0.97;
/// Seconds' worth of a limit that all instances together may admit at once when they start. Callers
/// that found all instances down return in one moment, within their limits, and would be refused
/// because the bucket's level is unknown and assumed to be empty. A limit still holds within a
/// tenth of nine seconds' worth of it.
const START_ALLOWANCE_SECS: f64 = 0.4;
/// Fraction of a limit below which demand counts as low; close to the limit, the shares already
/// apply.
const LOW_DEMAND_FRACTION: f64 = 0.9;

/// One account's bucket as this instance sees it.
///
/// It starts empty: a new process does not know what was admitted before.
#[derive(Debug, Clone, Copy, Default)]
pub struct Bucket {
    limit: RateLimit,
    level: f64,
    refilled: Time,
    /// Whether the units for the start were added.
    start_added: bool,
    /// Units that this instance has admitted since its start.
    pub used: f64,
    /// Highest value of `used`: refunds lower it, and other instances may know either value.
    peak_usage: f64,
    /// Units that callers have requested from this instance since its start.
    pub asked: f64,
    /// When units were last requested from this instance.
    pub last_asked: Time,
    /// Totals before the present period of use, as reported with it.
    pub before: UseTotals,
    /// Recent demand here, and everywhere else as reported.
    own_demand: DecayingSum,
    peer_demand: DecayingSum,
    /// This instance's own share of the limit, which applies while demand exceeds the limit.
    share_level: f64,
    share_refilled: Time,
}

/// Recent demand: an exponentially decaying sum.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingSum {
    units: f64,
    at: Time,
}

impl DecayingSum {
    fn add(&mut self, now: Time, units: f64) {
        self.units = self.at(now) + units;
        self.at = now;
    }

    fn at(&self, now: Time) -> f64 {
        let secs = now.saturating_sub(self.at).as_secs_f64();
        self.units * (-secs / DEMAND_TIME_CONSTANT).exp()
    }
}

impl Bucket {
    /// Creates the empty bucket of a limit.
    #[must_use]
    pub fn new(now: Time, limit: RateLimit) -> Self {
        Self {
            limit,
            refilled: now,
            ..Self::default()
        }
    }

    /// Applies a changed limit.
    pub fn set_limit(&mut self, limit: RateLimit) {
        self.limit = limit;
        self.level = self.level.min(limit.burst);
    }

    /// Returns the cost of a request with `tokens` tokens.
    #[must_use]
    pub fn cost(&self, tokens: u32) -> f64 {
        self.limit.cost(tokens)
    }

    /// Records the demand of a new request.
    pub fn record_demand(&mut self, now: Time, units: f64) {
        if self.last_asked + REPORT_AFTER_USE <= now {
            self.before = UseTotals {
                units: self.used,
                asked: self.asked,
            };
        }
        self.asked += units;
        self.last_asked = now;
        self.own_demand.add(now, units);
    }

    /// Records demand at other instances.
    pub fn record_peer_demand(&mut self, now: Time, units: f64) {
        self.peer_demand.add(now, units.max(0.0));
    }

    /// Returns whether this instance's own share of the limit allows a request, where total demand
    /// exceeds the limit.
    ///
    /// What other instances admit is known late. With the common level alone, all instances would
    /// admit everything at once when it rises above zero, and then nothing for seconds. `phase`,
    /// from 0 to 1, offsets the shares of the instances so that they do not fill at the same
    /// moment.
    pub fn own_part_allows(&mut self, now: Time, phase: f64) -> bool {
        let (own_demand, peer_demand) = (self.own_demand.at(now), self.peer_demand.at(now));
        let share = own_demand / (own_demand + peer_demand).max(f64::MIN_POSITIVE);
        let max_level = self.limit.burst * share;
        let since = std::mem::replace(&mut self.share_refilled, now);
        if (own_demand + peer_demand) / DEMAND_TIME_CONSTANT
            <= self.limit.per_second * LOW_DEMAND_FRACTION
        {
            self.share_level = max_level * (2.0 * phase - 1.0);
            return true;
        }
        // While the common level is overdrawn, no share fills; otherwise all would be full when it
        // recovers.
        if self.level >= 0.0 {
            let secs = now.saturating_sub(since).as_secs_f64();
            let rate = self.limit.per_second * SHARE_RATE * share;
            self.share_level = (self.share_level + rate * secs).min(max_level);
        }
        self.share_level >= 0.0
    }

    /// Adds, once, the units that an instance may admit at its start; `fraction` is its part of
    /// them.
    pub fn add_start_units(&mut self, fraction: f64) {
        if !std::mem::replace(&mut self.start_added, true) {
            self.level += self.limit.per_second * START_ALLOWANCE_SECS * fraction;
        }
    }

    /// Refills the bucket up to `now`; `fraction` is the fraction of the limit that this instance
    /// may use.
    pub fn refill(&mut self, now: Time, fraction: f64) {
        let secs = now.saturating_sub(self.refilled).as_secs_f64();
        let max_level = (self.limit.burst * fraction).max(self.level.min(0.0));
        self.level = (self.level + self.limit.per_second * fraction * secs).min(max_level);
        self.refilled = now;
    }

    /// Deducts a request's cost; returns whether the bucket allowed it.
    ///
    /// A bucket that is not overdrawn admits one request of any size: a limit bounds the rate, and
    /// must not exclude requests larger than the burst forever.
    pub fn try_take(&mut self, cost: f64) -> bool {
        if self.level < 0.0 {
            return false;
        }
        self.level -= cost;
        self.share_level -= cost;
        self.used += cost;
        self.peak_usage = self.peak_usage.max(self.used);
        true
    }

    /// Refunds the cost of a request that ran nowhere.
    pub fn refund(&mut self, cost: f64) {
        self.level += cost;
        self.share_level += cost;
        self.used -= cost;
    }

    /// Returns the highest total that this instance is known to have admitted since its start, and
    /// the demand.
    #[must_use]
    pub fn peak_usage(&self) -> UseTotals {
        UseTotals {
            units: self.peak_usage,
            asked: self.asked,
        }
    }

    /// Deducts what a peer admitted.
    pub fn deduct_peer_use(&mut self, units: f64) {
        self.level -= units;
    }

    /// Returns the time until the bucket admits requests again, in seconds.
    #[must_use]
    pub fn wait_secs(&self) -> f64 {
        (-self.level).max(0.0) / self.limit.per_second.max(1.0)
    }
}
