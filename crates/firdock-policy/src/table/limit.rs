//! Buckets of account limits, which all instances fill and empty together.
//!
//! Each instance keeps its own view of one shared bucket: it takes out what it lets pass, and what
//! its peers tell that they let pass. Views differ by what was told last, so that the sum over all
//! instances exceeds the limit by no more than one heartbeat's demand (`docs/design/limits.md`).

use std::time::Duration;

use firdock_core::resource::RateLimit;

use crate::event::UseTotals;
use crate::time::Time;

/// Time for which an account that was used is told of in heartbeats: several of them, in case
/// that some are lost.
pub const REPORT_AFTER_USE: Duration = Duration::from_secs(5);
/// Time constant, in seconds, of what counts as asked for lately: about three times the age that
/// other instances' words have where instances are many.
const RECENT_SECS: f64 = 1.5;
/// Part of a limit that all parts give out together: a little less, so that the common level, which
/// stops all at once, is seldom overdrawn.
const PART_RATE: f64 = 0.97;
/// Seconds of a limit that all instances together let pass at once when they start: callers that
/// found all of them dark come back in one moment, within their limits, and would be refused for a
/// bucket that is empty only because nobody knows what it held. After a fall of all for 1.3 s, 155 of
/// some 1,200 of worth that callers asked for in four seconds was refused so. More adds nothing (0.7 s
/// measured the same), and a limit holds to within a tenth of what nine seconds of it are.
const START_SECS: f64 = 0.4;
/// Part of a limit below which the demand counts as calm: near the limit, the parts count already.
const CALM_PART: f64 = 0.9;

/// One account's bucket as this instance sees it.
///
/// It starts empty: a process that just started does not know what was let pass before.
#[derive(Debug, Clone, Copy, Default)]
pub struct Bucket {
    limit: RateLimit,
    level: f64,
    filled: Time,
    /// Whether it has what a start gives.
    begun: bool,
    /// Units that this instance has let pass since its start.
    pub used: f64,
    /// The most that these ever were: what is given back lowers them, and others may know either figure.
    peak_usage: f64,
    /// Units that callers asked this instance for since its start.
    pub asked: f64,
    /// When this instance was last asked.
    pub last_asked: Time,
    /// What it had let pass and was asked for before it was told of this time.
    pub before: UseTotals,
    /// Asked for lately here, and everywhere else as others tell.
    own: Recent,
    others: Recent,
    /// This instance's own part of the limit, which counts while more is asked for than it allows.
    part_level: f64,
    part_filled: Time,
}

/// What was asked for lately: a sum that fades.
#[derive(Debug, Clone, Copy, Default)]
struct Recent {
    units: f64,
    at: Time,
}

impl Recent {
    fn add(&mut self, now: Time, units: f64) {
        self.units = self.at(now) + units;
        self.at = now;
    }

    fn at(&self, now: Time) -> f64 {
        let secs = now.saturating_sub(self.at).as_secs_f64();
        self.units * (-secs / RECENT_SECS).exp()
    }
}

impl Bucket {
    /// Makes the empty bucket of a limit.
    #[must_use]
    pub fn new(now: Time, limit: RateLimit) -> Self {
        Self {
            limit,
            filled: now,
            ..Self::default()
        }
    }

    /// Puts a changed limit in force.
    pub fn set_limit(&mut self, limit: RateLimit) {
        self.limit = limit;
        self.level = self.level.min(limit.burst);
    }

    /// Gives what a request of `tokens` tokens counts as.
    #[must_use]
    pub fn cost(&self, tokens: u32) -> f64 {
        self.limit.cost(tokens)
    }

    /// Notes what a request that arrived asks for.
    pub fn record_demand(&mut self, now: Time, units: f64) {
        if self.last_asked + REPORT_AFTER_USE <= now {
            self.before = UseTotals {
                units: self.used,
                asked: self.asked,
            };
        }
        self.asked += units;
        self.last_asked = now;
        self.own.add(now, units);
    }

    /// Notes what callers asked other instances for.
    pub fn record_peer_demand(&mut self, now: Time, units: f64) {
        self.others.add(now, units.max(0.0));
    }

    /// Tells whether this instance's own part of the limit still allows something, where more is
    /// asked for everywhere than the limit allows.
    ///
    /// What others let pass is known late. If all went by the common level alone, all would let
    /// everything pass at once when it rises above nothing, and nothing for seconds after. `phase`,
    /// from 0 to 1, sets the instances' parts apart, so that they do not fill at one moment.
    pub fn own_part_allows(&mut self, now: Time, phase: f64) -> bool {
        let (own, others) = (self.own.at(now), self.others.at(now));
        let share = own / (own + others).max(f64::MIN_POSITIVE);
        let most = self.limit.burst * share;
        let since = std::mem::replace(&mut self.part_filled, now);
        if (own + others) / RECENT_SECS <= self.limit.per_second * CALM_PART {
            self.part_level = most * (2.0 * phase - 1.0);
            return true;
        }
        // While the common level is overdrawn, nobody's part fills: all would be full at its end.
        if self.level >= 0.0 {
            let secs = now.saturating_sub(since).as_secs_f64();
            let rate = self.limit.per_second * PART_RATE * share;
            self.part_level = (self.part_level + rate * secs).min(most);
        }
        self.part_level >= 0.0
    }

    /// Gives the bucket once what an instance may let pass at its start, of which it has this part.
    pub fn add_start_units(&mut self, part: f64) {
        if !std::mem::replace(&mut self.begun, true) {
            self.level += self.limit.per_second * START_SECS * part;
        }
    }

    /// Fills the bucket up to `now`; `part` is the part of the limit that this instance may use.
    pub fn refill(&mut self, now: Time, part: f64) {
        let secs = now.saturating_sub(self.filled).as_secs_f64();
        let most = (self.limit.burst * part).max(self.level.min(0.0));
        self.level = (self.level + self.limit.per_second * part * secs).min(most);
        self.filled = now;
    }

    /// Takes a request's cost out; tells whether there was room.
    ///
    /// A bucket that is not overdrawn lets one request through, however large: a limit bounds the
    /// rate, and must not keep out what is larger than the burst for ever.
    pub fn try_take(&mut self, cost: f64) -> bool {
        if self.level < 0.0 {
            return false;
        }
        self.level -= cost;
        self.part_level -= cost;
        self.used += cost;
        self.peak_usage = self.peak_usage.max(self.used);
        true
    }

    /// Gives the cost of a request back that ran nowhere.
    pub fn refund(&mut self, cost: f64) {
        self.level += cost;
        self.part_level += cost;
        self.used -= cost;
    }

    /// Gives the most that this instance is known to have let pass since its start, and what it was
    /// asked for.
    #[must_use]
    pub fn peak_usage(&self) -> UseTotals {
        UseTotals {
            units: self.peak_usage,
            asked: self.asked,
        }
    }

    /// Takes out what a peer let pass.
    pub fn deduct_peer_use(&mut self, units: f64) {
        self.level -= units;
    }

    /// Gives how long it takes until the bucket lets requests pass again, in seconds.
    #[must_use]
    pub fn wait_secs(&self) -> f64 {
        (-self.level).max(0.0) / self.limit.per_second.max(1.0)
    }
}
