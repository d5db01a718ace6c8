//! The clock by which an instance decides. Adapters read it and pass the time to the policy, which reads no clock.
//!
//! It counts the time for which the machine is suspended, which the steady clock of the operating system leaves out:
//! ages, leases and deadlines go on while nothing runs. Timers of the runtime go by the steady clock, so what carries a
//! bound waits by [`Clock::sleep_until`] (`docs/design/time.md`).

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use firdock_policy::Time;
use tokio::time::sleep;

/// Reads a time that never goes back.
pub type ReadTime = fn() -> Duration;

/// Clock that counts from the start of the instance.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    read: ReadTime,
    start: Duration,
    read_steady: ReadTime,
    steady_start: Duration,
}

/// Longest sleep without a look at the clock: by how much at most a suspension delays a timer beyond its own length.
const MAX_SLEEP: Duration = Duration::from_millis(200);
/// Time of the clock at the start of the process. It is not zero, so that a time of zero is long past.
const START_TIME: Duration = Duration::from_hours(1);

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock {
    /// Starts a clock that counts suspensions, or the steady clock where the system has none that does
    /// ([`counts_suspensions`]).
    #[must_use]
    pub fn new() -> Self {
        let read = if counts_suspensions() {
            boot_time
        } else {
            steady_time
        };
        Self::with_source(read).with_steady_source(steady_time)
    }

    /// Starts a clock that reads another source of time, which is its steady clock as well.
    #[must_use]
    pub fn with_source(read: ReadTime) -> Self {
        let start = read();
        Self {
            read,
            start,
            read_steady: read,
            steady_start: start,
        }
    }

    /// Sets the source of the steady clock, which does not count suspensions.
    #[must_use]
    pub fn with_steady_source(mut self, read_steady: ReadTime) -> Self {
        self.read_steady = read_steady;
        self.steady_start = read_steady();
        self
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Duration {
        START_TIME + (self.read)().saturating_sub(self.start)
    }

    /// Returns for how long the machine was suspended from the start until `now`, which was just read: the time that
    /// the steady clock left out.
    #[must_use]
    pub fn suspended(&self, now: Time) -> Duration {
        let steady = (self.read_steady)().saturating_sub(self.steady_start);
        now.saturating_sub(START_TIME + steady)
    }

    /// Waits until a time of this clock, also if the machine is suspended meanwhile.
    pub async fn sleep_until(&self, at: Time) {
        loop {
            let left = at.saturating_sub(self.now());
            if left.is_zero() {
                return;
            }
            sleep(left.min(MAX_SLEEP)).await;
        }
    }

    /// Returns the Unix time that corresponds to zero on this clock.
    #[must_use]
    pub fn unix_zero(&self) -> Duration {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        unix.unwrap_or_default().saturating_sub(self.now())
    }
}

/// Returns whether the system has a clock that counts suspensions.
#[cfg(target_os = "linux")]
#[must_use]
pub fn counts_suspensions() -> bool {
    use rustix::time::{DynamicClockId, clock_gettime_dynamic};
    static IS_READABLE: OnceLock<bool> = OnceLock::new();
    *IS_READABLE.get_or_init(|| clock_gettime_dynamic(DynamicClockId::Boottime).is_ok())
}

/// Returns whether the system has a clock that counts suspensions.
#[cfg(not(target_os = "linux"))]
#[must_use]
pub fn counts_suspensions() -> bool {
    false
}

/// Returns the time since the boot of the machine, suspensions included.
#[cfg(target_os = "linux")]
fn boot_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::try_from(time).expect("the time since the boot is not negative")
}

#[cfg(not(target_os = "linux"))]
fn boot_time() -> Duration {
    steady_time()
}

/// Returns the time since the first call in this process, without suspensions.
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
