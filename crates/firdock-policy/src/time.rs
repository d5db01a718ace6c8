//! The two clocks that decisions see, both given from outside.

use std::time::Duration;

/// Time since some fixed point in this process, from a clock that never steps back.
pub type Time = Duration;
/// Time by the clock of the platform's log, since the Unix epoch.
pub type LogTime = Duration;
