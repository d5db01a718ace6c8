//! Log lines and metrics on suspensions of the machine.

use std::sync::Arc;
use std::time::Duration;

use firdock_policy::Time;
use slog::{Logger, warn};

use super::Metrics;
use crate::clock::{Clock, counts_suspensions, millis};

/// Time left out by the steady clock from which on it counts as a suspension.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);

/// Logs at the start if the system has no clock that counts suspensions.
pub fn log_uncounted_suspensions(log: &Logger) {
    if !counts_suspensions() {
        warn!(log, "no clock counts suspensions of the machine";
            "effect" => "after one, keys and endpoints count as known for as long as before it");
    }
}

/// Notices suspensions of the machine by what the steady clock leaves out.
#[derive(Debug)]
pub struct SuspensionLog {
    log: Logger,
    metrics: Arc<Metrics>,
    clock: Clock,
    /// Time for which the machine was suspended since the start, as of the last suspension.
    suspended: Duration,
}

impl SuspensionLog {
    /// Creates the log of an instance that begins now.
    #[must_use]
    pub fn new(log: Logger, metrics: Arc<Metrics>, clock: Clock) -> Self {
        Self {
            log,
            metrics,
            clock,
            suspended: clock.suspended(clock.now()),
        }
    }

    /// Logs and counts a suspension since the last check, if there was one.
    ///
    /// `config_confirmed` is when the configuration in force was last known to be the newest.
    pub fn check(&mut self, now: Time, config_confirmed: Option<Time>) {
        let suspended = self.clock.suspended(now);
        let length = suspended.saturating_sub(self.suspended);
        if length < MIN_SUSPENSION {
            return;
        }
        self.suspended = suspended;
        self.metrics.record_suspension(length);
        warn!(self.log, "machine was suspended"; "millis" => millis(length),
            "config_age_millis" => config_confirmed.map(|at| millis(now.saturating_sub(at))));
    }
}
