//! Services with their tier, endpoints and queue.

use std::time::Duration;

use firdock_core::resource::{Service, Tier};

use super::queue::FairQueue;
use super::rows::Rows;

/// Table of services.
pub type Services = Rows<ServiceRow>;

impl Services {
    /// Makes an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }
}

/// Weight of a new sample in the learned length of answers.
const LEARN: f64 = 0.05;
/// Length of an answer before any was seen, in tokens.
const FIRST_GUESS: f64 = 128.0;

/// One service.
#[derive(Debug)]
pub struct ServiceRow {
    /// What operators declared.
    pub declared: Service,
    /// Its tier.
    pub tier: Tier,
    /// Whether the configuration in force still has it.
    pub present: bool,
    /// Rows of its endpoints.
    pub endpoints: Vec<usize>,
    /// Requests that wait.
    pub queue: FairQueue,
    /// Requests that have not ended, held or not.
    pub live: u32,
    /// Mean length of its answers in tokens, learned.
    pub output: f64,
    /// Mean natural logarithm of that length, learned: of lengths that differ a hundredfold, half are
    /// far shorter than the mean.
    pub output_log: f64,
    /// Longest time that a caller left a request of it, which is that of a first try.
    pub longest_timeout: Duration,
    /// Arrivals since the demand was last told.
    pub arrivals: u32,
    /// Arrivals a second, smoothed.
    pub rate: f64,
}

impl ServiceRow {
    /// Makes a row from what operators declared.
    #[must_use]
    pub fn new(declared: Service, tier: Tier) -> Self {
        Self {
            declared,
            tier,
            present: true,
            endpoints: Vec::new(),
            queue: FairQueue::default(),
            live: 0,
            output: FIRST_GUESS,
            output_log: FIRST_GUESS.ln(),
            longest_timeout: Duration::ZERO,
            arrivals: 0,
            rate: 0.0,
        }
    }

    /// Gives how long ago a caller first tried a request, by the time that it leaves this try.
    ///
    /// Callers do not say that they come back. They leave each try what is left of their time, so that
    /// the longest that is seen is that of a first try.
    pub fn since_first_attempt(&mut self, left: Option<Duration>) -> Duration {
        let Some(left) = left else {
            return Duration::ZERO;
        };
        self.longest_timeout = self.longest_timeout.max(left);
        self.longest_timeout.saturating_sub(left)
    }

    /// Learns the length of an answer.
    pub fn learn_output(&mut self, tokens: u32) {
        self.output += LEARN * (f64::from(tokens) - self.output);
        let log = f64::from(tokens.max(1)).ln();
        self.output_log += LEARN * (log - self.output_log);
    }

    /// Gives the demand that peers are told: requests a second with those that wait.
    #[must_use]
    pub fn demand(&self) -> f64 {
        self.rate + self.queue.len() as f64
    }
}
