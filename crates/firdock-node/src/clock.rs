//! The process's monotonic clock. Adapters read it and pass the time to the policy, which reads no clock.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use firdock_policy::Time;

/// Reads a time that never goes back.
pub type ReadTime = fn() -> Duration;

/// Monotonic clock that counts from the start of the instance.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    read: ReadTime,
    start: Duration,
}

/// Time of the clock at the start of the process. It is not zero, so that a time of zero is long past.
const START_TIME: Duration = Duration::from_hours(1);

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock {
    /// Starts a clock.
    #[must_use]
    pub fn new() -> Self {
        Self::with_source(steady_time)
    }

    /// Starts a clock that reads another source of time.
    #[must_use]
    pub fn with_source(read: ReadTime) -> Self {
        Self {
            read,
            start: read(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Duration {
        START_TIME + (self.read)().saturating_sub(self.start)
    }

    /// Returns the Unix time that corresponds to zero on this clock.
    #[must_use]
    pub fn unix_zero(&self) -> Duration {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        unix.unwrap_or_default().saturating_sub(self.now())
    }
}

/// Returns the time since the first call in this process.
fn steady_time() -> Duration {
    static FIRST: OnceLock<Instant> = OnceLock::new();
    FIRST.get_or_init(Instant::now).elapsed()
}

/// Returns the time since `at` in milliseconds; negative if `at` lies ahead of `now`.
#[must_use]
pub fn age_millis(now: Time, at: Time) -> i64 {
    let signed = |time: Duration| i64::try_from(millis(time)).unwrap_or(i64::MAX);
    if at > now {
        -signed(at.saturating_sub(now))
    } else {
        signed(now.saturating_sub(at))
    }
}

/// Converts a time to whole milliseconds, the unit of messages and log lines.
#[must_use]
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
