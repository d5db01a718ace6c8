//! The process's clock, read at the edges and passed to everything that decides.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Counts from the start of the instance and never steps back.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

/// Time that is already past when a process starts, so that "long ago" can be told from "now".
const HEAD_START: Duration = Duration::from_hours(1);

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock {
    /// Starts a clock.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Gives the present time.
    #[must_use]
    pub fn now(&self) -> Duration {
        HEAD_START + self.start.elapsed()
    }

    /// Gives the Unix time at which this clock stood at zero.
    #[must_use]
    pub fn unix_zero(&self) -> Duration {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        unix.unwrap_or_default().saturating_sub(self.now())
    }
}

/// Gives a time in whole milliseconds, as messages and lines of the log carry it.
#[must_use]
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
