//! What an instance observes of its own link to an endpoint.

use std::time::Duration;

use crate::time::Time;

/// Time for which an endpoint counts as reached after a connection to it.
const REACHED_FOR: Duration = Duration::from_secs(3);

/// This instance's own link to one start of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointLink {
    /// When a connection over it was last known to work.
    pub worked_at: Option<Time>,
    /// When a connection over it last failed.
    pub failed_at: Option<Time>,
    /// When it was last probed.
    pub probed_at: Time,
}

impl EndpointLink {
    /// Returns whether the latest connection failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failed_at > self.worked_at
    }

    /// Returns whether a connection worked recently, and none failed since.
    #[must_use]
    pub fn is_reached(&self, now: Time) -> bool {
        let recent = self.worked_at.is_some_and(|at| at + REACHED_FOR > now);
        recent && !self.is_failing()
    }

    /// Records a connection that works, established at `at`.
    pub fn record_success(&mut self, at: Time) {
        self.worked_at = self.worked_at.max(Some(at));
    }

    /// Records that no connection could be established.
    pub fn record_failure(&mut self, now: Time) {
        self.failed_at = Some(now);
    }
}

/// State of the probes of links that fail.
#[derive(Debug, Clone, Copy, Default)]
pub struct LinkProbes {
    /// When the last one began.
    pub last: Time,
    /// When one last succeeded.
    pub succeeded: Option<Time>,
}
