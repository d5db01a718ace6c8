//! Jittered exponential backoff, so that instances do not come back all at once.

use std::time::Duration;

use rand::Rng as _;

/// Pauses that grow with each failure in a row.
#[derive(Debug, Clone)]
pub struct Backoff {
    base: Duration,
    most: Duration,
    failures: u32,
}

/// Doublings after which the longest pause is reached in any case.
const MAX_DOUBLINGS: u32 = 10;

impl Backoff {
    /// Makes a backoff with a first and a longest pause.
    #[must_use]
    pub fn new(base: Duration, most: Duration) -> Self {
        Self {
            base,
            most,
            failures: 0,
        }
    }

    /// Forgets the failures.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Notes a failure and gives the pause before the next try: half to all of the full pause.
    pub fn next_pause(&mut self) -> Duration {
        let full = (self.base * 2_u32.pow(self.failures.min(MAX_DOUBLINGS))).min(self.most);
        self.failures += 1;
        full.mul_f64(rand::rng().random_range(0.5..=1.0))
    }
}
