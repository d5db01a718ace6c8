//! Notices that endpoints send with their answers: that they are leaving, that they want no requests
//! for a while, or how many they take (`docs/design/notices.md`).

use std::time::Duration;

use firdock_core::{InstanceId, StartId};
use serde::{Deserialize, Serialize};

use crate::rate::RequestRate;
use crate::time::Time;

/// Notice in the head of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Whether the endpoint is leaving.
    pub leaving: bool,
    /// How long it wants no requests from the instance that it answered.
    pub backoff: Option<Duration>,
    /// Requests per second that it can refuse for want of room without failing, if it is that fragile.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal_limit: Option<u32>,
    /// What it says about its rate limit.
    #[serde(default, skip_serializing_if = "LimitNotice::is_unknown")]
    pub limit: LimitNotice,
}

/// What an answer says about the rate limit of its endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LimitNotice {
    /// Nothing: there is no answer, or its value is malformed.
    #[default]
    Unknown,
    /// The endpoint has no limit.
    Unlimited,
    /// The endpoint takes this many requests from all instances together.
    Limited(RequestRate),
}

impl LimitNotice {
    /// Returns whether the answer says nothing about a limit.
    #[must_use]
    pub fn is_unknown(&self) -> bool {
        *self == Self::Unknown
    }

    /// Returns the limit, if there is one.
    #[must_use]
    pub fn rate(self) -> Option<RequestRate> {
        match self {
            Self::Limited(rate) => Some(rate),
            Self::Unknown | Self::Unlimited => None,
        }
    }
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
        let fragile = self.refusal_limit.is_some();
        !self.leaving && self.backoff.is_none() && self.limit.is_unknown() && !fragile
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
