//! What endpoints say of themselves with answers, beside the answer: that they leave, or that they want
//! nothing for a while (`docs/design/notices.md`).

use std::time::Duration;

use firdock_core::{InstanceId, StartId};
use serde::{Deserialize, Serialize};

use crate::time::Time;

/// What the head of an answer says of its endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Whether the endpoint leaves.
    pub leaving: bool,
    /// For how long it wants no request from the instance that it answered.
    pub backoff: Option<Duration>,
}

impl Notice {
    /// Longest time for which an endpoint is believed to want nothing.
    ///
    /// An endpoint that is not to be used for longer leaves, or starts again, which ends the time; a
    /// greater figure is a slip, and would take the endpoint out of use for good.
    pub const MAX_BACKOFF: Duration = Duration::from_hours(24);

    /// Tells whether nothing is said.
    #[must_use]
    pub fn is_empty(self) -> bool {
        !self.leaving && self.backoff.is_none()
    }
}

/// A notice, with the start of the endpoint that gave it and the time at which it was read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoticeReport {
    /// Start of the endpoint: what an earlier one said is over with it.
    pub endpoint: StartId,
    /// Instance that it answered; empty for the own one.
    pub member: InstanceId,
    /// What it said.
    pub notice: Notice,
    /// When the answer's head was read, by this process's clock.
    pub read: Time,
}
