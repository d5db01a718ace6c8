//! Notices that endpoints send with their answers: that they are leaving, or that they want no
//! requests for a while (`docs/design/notices.md`).

use std::time::Duration;

use firdock_core::{InstanceId, StartId};
use serde::{Deserialize, Serialize};

use crate::time::Time;

/// Notice in the head of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Whether the endpoint is leaving.
    pub leaving: bool,
    /// How long it wants no requests from the instance that it answered.
    pub backoff: Option<Duration>,
}

impl Notice {
    /// Maximum back-off that is accepted.
    ///
    /// An endpoint that is out of use for longer leaves or restarts, which ends the back-off; a
    /// greater value is a mistake that would take the endpoint out of use for good.
    pub const MAX_BACKOFF: Duration = Duration::from_hours(24);

    /// Returns whether the notice is empty.
    #[must_use]
    pub fn is_empty(self) -> bool {
        !self.leaving && self.backoff.is_none()
    }
}

/// A notice with the start of the endpoint that gave it and the time at which it was read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoticeReport {
    /// Start of the endpoint; notices of an earlier start end with it.
    pub endpoint: StartId,
    /// Instance that it answered; empty for this instance.
    pub member: InstanceId,
    /// The notice.
    pub notice: Notice,
    /// When the answer's head was read, by this process's clock.
    pub read: Time,
}
