//! The two clocks that decisions use; both are passed in.

use std::time::Duration;

/// Time since a fixed point in this process, from a monotonic clock.
pub type Time = Duration;
/// Time by the clock of the platform's log, since the Unix epoch.
pub type LogTime = Duration;
