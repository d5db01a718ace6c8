//! Exponential backoff with jitter, so that instances do not retry all at the same time.

use std::time::Duration;

use rand::Rng as _;

/// Delays that grow with each consecutive failure.
#[derive(Debug, Clone)]
pub struct Backoff {
    base: Duration,
    max: Duration,
    failures: u32,
}

/// Limit on the doublings. The maximum delay is reached by then in all cases.
const MAX_DOUBLINGS: u32 = 10;

impl Backoff {
    /// Creates a backoff with an initial and a maximum delay.
    #[must_use]
    pub fn new(base: Duration, max: Duration) -> Self {
        Self {
            base,
            max,
            failures: 0,
        }
    }

    /// Resets the count of failures, after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records a failure and returns the delay before the next attempt: 50 to 100 % of the full delay.
    pub fn next_pause(&mut self) -> Duration {
        let full = (self.base * 2_u32.pow(self.failures.min(MAX_DOUBLINGS))).min(self.max);
        self.failures += 1;
        full.mul_f64(rand::rng().random_range(0.5..=1.0))
    }
}
