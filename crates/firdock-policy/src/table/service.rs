//! Services with their tier, endpoints and queue.

use std::time::Duration;

use firdock_core::resource::{Service, Tier};

use super::queue::FairQueue;
use super::rows::Rows;

/// Table of services.
pub type Services = Rows<ServiceRow>;

impl Services {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }
}

/// Weight of a new sample in the learned answer length.
const LEARN_WEIGHT: f64 = 0.05;
/// Assumed answer length before any was observed, in tokens.
const DEFAULT_OUTPUT: f64 = 128.0;

/// One service.
#[derive(Debug)]
pub struct ServiceRow {
    /// Declaration by the operators.
    pub declared: Service,
    /// Its tier.
    pub tier: Tier,
    /// Whether the configuration in force still has it.
    pub present: bool,
    /// Rows of its endpoints.
    pub endpoints: Vec<usize>,
    /// Held requests.
    pub queue: FairQueue,
    /// Requests that have not ended, held or not.
    pub live: u32,
    /// Learned mean answer length in tokens.
    pub output: f64,
    /// Learned mean of the natural logarithm of that length: lengths differ a hundredfold, and half
    /// of them are far below the mean.
    pub output_log: f64,
    /// Longest timeout that a caller set, which is taken as that of a first attempt.
    pub longest_timeout: Duration,
    /// Arrivals since the rate was last updated.
    pub arrivals: u32,
    /// Arrivals per second, smoothed.
    pub rate: f64,
}

impl ServiceRow {
    /// Creates a row from a declaration.
    #[must_use]
    pub fn new(declared: Service, tier: Tier) -> Self {
        Self {
            declared,
            tier,
            present: true,
            endpoints: Vec::new(),
            queue: FairQueue::default(),
            live: 0,
            output: DEFAULT_OUTPUT,
            output_log: DEFAULT_OUTPUT.ln(),
            longest_timeout: Duration::ZERO,
            arrivals: 0,
            rate: 0.0,
        }
    }

    /// Estimates the time since the caller's first attempt from the timeout of this one.
    ///
    /// Callers do not mark retries. They set each attempt's timeout to the rest of their time, so
    /// the longest timeout seen is that of a first attempt.
    pub fn since_first_attempt(&mut self, timeout: Option<Duration>) -> Duration {
        let Some(timeout) = timeout else {
            return Duration::ZERO;
        };
        self.longest_timeout = self.longest_timeout.max(timeout);
        self.longest_timeout.saturating_sub(timeout)
    }

    /// Learns the length of an answer.
    pub fn learn_output(&mut self, tokens: u32) {
        self.output += LEARN_WEIGHT * (f64::from(tokens) - self.output);
        let log = f64::from(tokens.max(1)).ln();
        self.output_log += LEARN_WEIGHT * (log - self.output_log);
    }

    /// Returns the demand reported to peers: arrivals per second plus held requests.
    #[must_use]
    pub fn demand(&self) -> f64 {
        self.rate + self.queue.len() as f64
    }
}
