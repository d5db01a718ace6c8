//! Outcome of a request, and the reason that is returned to the caller.
//!
//! Every request ends in exactly one outcome. `docs/PROVED.md` states what each one guarantees.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// How a request ended, sent to the caller in the `Firdock-Outcome` header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The endpoint's answer was forwarded.
    Answered,
    /// The request provably did not run at any endpoint; the caller may retry it.
    NotRun,
    /// The request may have run; firdock does not dispatch it again unless it is repeatable.
    Unknown,
}

impl Outcome {
    /// Returns the value of the header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl Display for Outcome {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Why a request was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The instance or the account exceeded its limit on held work.
    Overload,
    /// The same, and the account had received more than its share of the work.
    OverShare,
    /// The request waited longer than its tier allows.
    WaitedTooLong,
    /// No endpoint of the service can accept work.
    NoEndpoint,
    /// All suitable endpoints are backing off for longer than the caller can wait.
    BackingOff,
    /// Several endpoints exited in succession while they ran requests with the same content.
    EndsEndpoints,
    /// The endpoint stopped answering after the request was sent.
    EndpointLost,
    /// The connection to a peer was lost after the request was handed over.
    PeerLost,
    /// The idempotency key belongs to a request that is still running.
    KeyInUse,
    /// The idempotency key was used for another request.
    KeyMismatch,
    /// The key is too old, or changed owner too recently, to determine whether its request ran.
    KeyUncertain,
    /// The key's owner cannot be confirmed while the log is unreachable.
    KeyUnconfirmed,
    /// The caller disconnected.
    CallerLeft,
    /// The time limit of the request expired.
    TimedOut,
    /// The account exceeded its rate limit.
    RateLimited,
    /// The time for the instance's planned stop was over.
    Stopping,
    /// The instance cannot determine whether its configuration is still in force.
    StateStale,
    /// The configuration changed while the request waited, and no longer admits it as it was admitted.
    AccessChanged,
    /// No endpoint of the software version that began the stream takes requests any more.
    VersionGone,
    /// The software version that began the stream is not known here.
    VersionUnknown,
}

impl Reason {
    /// Returns the reason as written to logs, metrics and problem documents.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::OverShare => "over-share",
            Self::WaitedTooLong => "waited-too-long",
            Self::NoEndpoint => "no-endpoint",
            Self::BackingOff => "backing-off",
            Self::EndsEndpoints => "ends-endpoints",
            Self::EndpointLost => "endpoint-lost",
            Self::PeerLost => "peer-lost",
            Self::KeyInUse => "key-in-use",
            Self::KeyMismatch => "key-mismatch",
            Self::KeyUncertain => "key-uncertain",
            Self::KeyUnconfirmed => "key-unconfirmed",
            Self::CallerLeft => "caller-left",
            Self::TimedOut => "timed-out",
            Self::RateLimited => "rate-limited",
            Self::Stopping => "stopping",
            Self::StateStale => "state-stale",
            Self::AccessChanged => "access-changed",
            Self::VersionGone => "version-gone",
            Self::VersionUnknown => "version-unknown",
        }
    }

    /// Returns the HTTP status for the reason and the outcome. 429 and 503 state that a request has not run,
    /// so they are never used for a request that may have run.
    #[must_use]
    pub fn status(self, outcome: Outcome) -> u16 {
        match (self, outcome) {
            (Self::KeyInUse, _) => 409,
            (Self::KeyMismatch, _) => 422,
            (Self::TimedOut, Outcome::Unknown) => 504,
            (_, Outcome::Unknown) => 502,
            (Self::Overload | Self::OverShare | Self::WaitedTooLong | Self::RateLimited, _) => 429,
            _ => 503,
        }
    }
}

impl Display for Reason {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
