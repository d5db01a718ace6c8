//! Why an endpoint gets no work, and which source reported it.

use crate::time::Time;

/// Why an endpoint currently may not get work of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnavailableReason {
    /// The configuration in force no longer has it.
    Absent,
    /// It is leaving.
    Leaving,
    /// It wants no requests from the instance until the given time.
    BackingOff(Time),
    /// It named a rate limit, and there is no permit.
    RateLimited,
    /// It refused a request for want of room, and is too fragile to refuse many.
    Full,
    /// It failed and is ejected for a time.
    Ejected,
    /// It failed, and a probe request is in flight.
    Probing,
}

impl UnavailableReason {
    /// Returns whether only the endpoint's health or room makes it unavailable; a coordinator knows
    /// more about that than the sending instances.
    #[must_use]
    pub fn is_health_or_room(self) -> bool {
        matches!(self, Self::Full | Self::Ejected | Self::Probing)
    }
}

/// Source of the report that an endpoint is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingSource {
    /// The endpoint itself, in an answer.
    Answer,
    /// The endpoint itself, in its load report.
    Report,
    /// Its declaration: its own entry, or one by the operators.
    Declared,
    /// The platform's instance list.
    List,
    /// Another instance.
    Peer,
}

impl LeavingSource {
    /// Returns its name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Report => "report",
            Self::Declared => "declared",
            Self::List => "list",
            Self::Peer => "peer",
        }
    }
}
