//! The outcome that each request ends in, and the reason that callers are told.
//!
//! Every request ends in exactly one outcome. What each promises is set out in `docs/PROVED.md`.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// How a request ended, sent to the caller in the `Firdock-Outcome` header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The endpoint's answer was passed on.
    Answered,
    /// The request provably ran nowhere; the caller may send it again.
    NotRun,
    /// The request may have run; firdock does not dispatch it again if it may not be repeated.
    Unknown,
}

impl Outcome {
    /// Gives the header's value.
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
    /// More work was held than the instance or the account may hold.
    Overload,
    /// The same, and the account had more than its share of what was done.
    OverShare,
    /// The request waited longer than its tier allows.
    WaitedTooLong,
    /// No endpoint of the service can take work.
    NoEndpoint,
    /// All endpoints that could take it want no request for longer than the caller can wait.
    BackingOff,
    /// Endpoints ended one after the other under requests with the same content.
    EndsEndpoints,
    /// The endpoint stopped answering after the request was sent.
    EndpointLost,
    /// The link to a peer broke after the request was handed over.
    PeerLost,
    /// The idempotency key belongs to a request that is still running.
    KeyInUse,
    /// The idempotency key was used for another request.
    KeyMismatch,
    /// The key is too old, or changed owner too recently, to tell whether it ran.
    KeyUncertain,
    /// The key's owner cannot be confirmed while the log is out of reach.
    KeyUnconfirmed,
    /// The caller went away.
    CallerLeft,
    /// The request's time was up.
    TimedOut,
    /// The account had more than its limit served.
    RateLimited,
    /// The instance cannot tell whether its configuration is still the one in force.
    StateStale,
}

impl Reason {
    /// Gives the reason as it appears in logs, metrics and problem documents.
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
            Self::StateStale => "state-stale",
        }
    }

    /// Gives the HTTP status that goes with the reason and the outcome: 429 and 503 say that a request
    /// has not run, so that what may have run gets neither.
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
