//! Why an endpoint gets no work, and who says so.

use crate::time::Time;

/// Why an endpoint may not get work of an instance now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnavailableReason {
    /// The configuration in force has it no more.
    Absent,
    /// It leaves.
    Leaving,
    /// It wants no request from the instance until the time given.
    BackingOff(Time),
    /// It failed, and is out for a while.
    Ejected,
    /// It failed, and a request is on its way by which that is tried.
    Probing,
}

impl UnavailableReason {
    /// Tells whether the endpoint's health alone closes it, of which a coordinator knows more than the
    /// instances that send.
    #[must_use]
    pub fn is_health(self) -> bool {
        matches!(self, Self::Ejected | Self::Probing)
    }
}

/// Who said that an endpoint leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingSource {
    /// The endpoint itself, with an answer.
    Answer,
    /// The endpoint itself, with its report.
    Report,
    /// Its declaration: its own entry, or the operators.
    Declared,
    /// The platform's instance list.
    List,
    /// Another instance.
    Peer,
}

impl LeavingSource {
    /// Gives the word that logs have.
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
