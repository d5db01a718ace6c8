//! Events from endpoints: progress of dispatches, results of liveness checks, and load reports.

use std::time::Duration;

use firdock_core::prefix::BlockHash;
use firdock_core::{EndpointId, RequestId, StartId};
use serde::{Deserialize, Serialize};

use crate::time::Time;

/// An endpoint's update on a dispatch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEvent {
    /// Request.
    pub id: RequestId,
    /// Number of the dispatch, to recognise late updates of an earlier one.
    pub dispatch: u32,
    /// The update.
    #[serde(rename = "news")]
    pub update: DispatchUpdate,
}

/// Progress of a dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DispatchUpdate {
    /// No connection to the endpoint was established; the update that ends the dispatch follows.
    ConnectFailed(ConnectFailure),
    /// A connection was established by way of the route's peer.
    PassedOn,
    /// The route's peer did not pass the connection on; the request was not sent.
    NotPassedOn,
    /// The connection failed or the endpoint refused the request; it did not run there.
    Refused {
        /// Whether the endpoint could not be reached.
        unreachable: bool,
    },
    /// The key's confirmation or the configuration's validity expired before the write; the request
    /// was not sent.
    Lapsed,
    /// The endpoint announced in the meantime that it takes no new work; the request was not sent.
    Withheld,
    /// The answer began.
    Started {
        /// Whether its head was passed on, so that no other answer can be given.
        head_sent: bool,
    },
    /// Tokens were received and passed on.
    Tokens {
        /// Tokens of the whole answer passed on so far.
        delivered: u32,
        /// Prompt tokens that the engine read from its cache.
        cached: u32,
    },
    /// The complete answer has been passed on.
    Ended {
        /// Prompt tokens as counted by the endpoint.
        prompt: u32,
        /// Prompt tokens that the engine read from its cache.
        cached: u32,
        /// Tokens of the complete answer.
        output: u32,
    },
    /// The endpoint answered with a failure; an update that ends the dispatch follows.
    Failed,
    /// That answer is buffered completely and can be passed on instead of an answer of firdock's
    /// own.
    FailureKept,
    /// The answer ended with its connection, so it is not proven complete. The dispatch waits for
    /// [`Action::JudgeEnd`](crate::Action::JudgeEnd).
    Unproven,
    /// The caller has received a part of the answer from which no other endpoint can resume.
    Unresumable,
    /// When the last bytes of a stream arrived that is about to end, or of any answer that is about to break.
    LastBytes(Time),
    /// Cause of the break that the next update reports.
    Breaking(BreakCause),
    /// The connection broke or fell silent after the request was sent.
    Broke {
        /// Tokens of the answer that have been passed on.
        delivered: u32,
    },
}

/// Why no connection to an endpoint was established.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConnectFailure {
    /// The connection was refused or reset.
    Refused,
    /// Nothing was received for too long.
    TimedOut,
    /// The operating system reported another error.
    Failed,
}

impl ConnectFailure {
    /// Returns its name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "connect-refused",
            Self::TimedOut => "connect-timed-out",
            Self::Failed => "connect-failed",
        }
    }
}

/// Cause of a broken dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BreakCause {
    /// The connection ended before the answer was complete.
    Closed,
    /// Nothing was received for too long.
    Silent,
    /// What was received is not an answer to the request.
    Foreign,
    /// The head of the answer contradicts the protocol or itself.
    InvalidHead(HeadFault),
    /// Bytes that are no other answer follow the end that the head names.
    Excess,
    /// The endpoint wrote too much that is part of no answer.
    Endless,
    /// The endpoint answered with a failure.
    Failed,
    /// The endpoint restarted in the meantime.
    Restarted,
}

impl BreakCause {
    /// Returns its name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Silent => "silent",
            Self::Foreign => "foreign",
            Self::InvalidHead(fault) => fault.as_str(),
            Self::Excess => "excess-bytes",
            Self::Endless => "endless",
            Self::Failed => "failed",
            Self::Restarted => "restarted",
        }
    }
}

/// What is wrong with the head of a message (RFC 9112, sections 2.2, 4 and 6).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HeadFault {
    /// The status is not that of a final answer.
    Status,
    /// A line ends with something other than CRLF.
    LineEnd,
    /// The length is not a number, or given more than once.
    Length,
    /// The transfer coding is not `chunked` alone.
    Coding,
    /// Both a length and a transfer coding are given.
    LengthAndCoding,
}

impl HeadFault {
    /// Returns its name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Status => "invalid-status",
            Self::LineEnd => "invalid-line-end",
            Self::Length => "invalid-length",
            Self::Coding => "invalid-coding",
            Self::LengthAndCoding => "length-and-coding",
        }
    }
}

/// What is known of the process of an endpoint whose answer ended with its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndEvidence {
    /// It accepts connections.
    Open,
    /// It accepts connections, but may have been replaced, since this instance did not run when the answer ended.
    SeenLate,
    /// Other answers of it go on.
    OthersGoOn,
    /// It refuses connections, but served on after it had stopped listening or announced that it leaves.
    StoppedListening,
    /// Its address is silent.
    Silent,
    /// It accepted a connection, which stays open, and refuses others since, or closed others before.
    Ambiguous,
    /// It refuses connections.
    Refused,
    /// Another answer of it broke at the same time.
    OthersBroke,
    /// It had stopped listening, and another answer ended at the same time.
    EndedTogether,
    /// Another process has taken its place.
    Restarted,
}

impl EndEvidence {
    /// Returns whether it speaks for or against the process, and is more than a lack of evidence.
    #[must_use]
    pub fn is_sign(self) -> bool {
        !matches!(self, Self::SeenLate | Self::Silent | Self::Ambiguous)
    }

    /// Returns whether it shows that the process outlived the answer.
    #[must_use]
    pub fn shows_life(self) -> bool {
        matches!(self, Self::Open | Self::OthersGoOn)
    }

    /// Returns its name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::SeenLate => "seen-late",
            Self::OthersGoOn => "others-go-on",
            Self::StoppedListening => "stopped-listening",
            Self::Silent => "silent",
            Self::Ambiguous => "ambiguous",
            Self::Refused => "refused",
            Self::OthersBroke => "others-broke",
            Self::EndedTogether => "ended-together",
            Self::Restarted => "restarted",
        }
    }
}

/// Whether the end of an answer that proves nothing is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndVerdict {
    /// Whether the answer ends with it; it is broken otherwise.
    pub accepted: bool,
    /// Why.
    pub evidence: EndEvidence,
}

impl EndVerdict {
    /// Creates the verdict that the answer has ended.
    #[must_use]
    pub fn accepted(evidence: EndEvidence) -> Self {
        let accepted = true;
        Self { accepted, evidence }
    }

    /// Creates the verdict that the answer is broken.
    #[must_use]
    pub fn rejected(evidence: EndEvidence) -> Self {
        let accepted = false;
        Self { accepted, evidence }
    }
}

/// Result of a probe of this instance's own link to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkProbe {
    /// Start of the endpoint.
    pub start: StartId,
    /// Whether a connection was established.
    pub connected: bool,
}

/// Result of a liveness check of an endpoint whose connection ended early.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LivenessResult {
    /// Start of the endpoint.
    pub start: StartId,
    /// Result.
    pub found: Liveness,
}

/// Whether an endpoint is alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// Its address accepts connections.
    Open,
    /// Its address refuses connections: its process has exited.
    Ended,
    /// Its address accepted a connection, which stays open, and refuses others since: its process is ending or stops in
    /// order, or a link has been cut.
    StoppedListening,
    /// Its address closed or reset each connection at once, which says nothing about the process: it may be ending, or be at
    /// its limit of connections.
    ClosesAtOnce,
    /// Its address does not respond, which says nothing about the process.
    Silent,
}

impl Liveness {
    /// Returns its name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Ended => "ended",
            Self::StoppedListening => "stopped-listening",
            Self::ClosesAtOnce => "closes-at-once",
            Self::Silent => "silent",
        }
    }

    /// Returns whether the check said nothing about the process.
    #[must_use]
    pub fn is_nothing(self) -> bool {
        matches!(self, Self::ClosesAtOnce | Self::Silent)
    }
}

/// Load and cache changes that an endpoint published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Age of the report when it was read.
    pub age: Duration,
    /// Requests that the endpoint is processing.
    pub running: u32,
    /// Requests waiting in the endpoint's own queue.
    pub waiting: u32,
    /// Prompt tokens that the endpoint has yet to compute.
    pub backlog: u32,
    /// Whether the endpoint reports that it is leaving.
    pub leaving: bool,
    /// Whether earlier cache events were missed.
    pub gap: bool,
    /// Blocks added to the cache.
    pub added: Vec<BlockHash>,
    /// Blocks evicted from the cache.
    pub removed: Vec<BlockHash>,
}
