//! Buckets of account limits, which all instances fill and empty together.
//!
//! Each instance keeps its own view of one shared bucket: it takes out what it lets pass, and what
//! its peers tell that they let pass. Views differ by what was told last, so that the sum over all
//! instances exceeds the limit by no more than one heartbeat's demand (`docs/design/limits.md`).

use firdock_core::resource::RateLimit;

use crate::time::Time;

/// One account's bucket as this instance sees it.
///
/// It starts empty: a process that just started does not know what was let pass before.
#[derive(Debug, Clone, Copy, Default)]
pub struct Bucket {
    limit: RateLimit,
    level: f64,
    filled: Time,
    /// Units that this instance has let pass since its start.
    pub used: f64,
    /// When this instance last let something pass.
    pub touched: Time,
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

    /// Fills the bucket up to `now`; `part` is the part of the limit that this instance may use.
    pub fn fill(&mut self, now: Time, part: f64) {
        let secs = now.saturating_sub(self.filled).as_secs_f64();
        let most = (self.limit.burst * part).max(self.level.min(0.0));
        self.level = (self.level + self.limit.per_second * part * secs).min(most);
        self.filled = now;
    }

    /// Takes a request's cost out; tells whether there was room.
    ///
    /// A bucket that is not overdrawn lets one request through, however large: a limit bounds the
    /// rate, and must not keep out what is larger than the burst for ever.
    pub fn take(&mut self, now: Time, cost: f64) -> bool {
        if self.level < 0.0 {
            return false;
        }
        self.level -= cost;
        self.used += cost;
        self.touched = now;
        true
    }

    /// Gives the cost of a request back that ran nowhere.
    pub fn give_back(&mut self, cost: f64) {
        self.level += cost;
        self.used -= cost;
    }

    /// Takes out what a peer let pass.
    pub fn take_peer(&mut self, units: f64) {
        self.level -= units;
    }

    /// Gives how long it takes until the bucket lets requests pass again, in seconds.
    #[must_use]
    pub fn wait_secs(&self) -> f64 {
        (-self.level).max(0.0) / self.limit.per_second.max(1.0)
    }
}
