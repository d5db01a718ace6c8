//! Decides whether an answer is complete, by its framing, how it ended and what was left over.
//!
//! This module has no I/O, so that each case can be tested in isolation (see
//! `docs/design/endings.md`).

use firdock_policy::Time;
use firdock_policy::event::{BreakCause, HeadFault};

use crate::http::Framing;

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Ending {
    /// As its framing says: all bytes or the last chunk arrived.
    Framed,
    /// The endpoint closed the connection in order, which ends an answer without framing.
    Closed,
    /// The endpoint closed the connection before the end given by the framing.
    Early,
    /// The connection was reset or lost.
    Reset,
    /// The peer that passes the connection on ended it without saying that the endpoint did.
    PeerLost,
    /// No data arrived within the time limit.
    Silent,
    /// The endpoint restarted in the meantime.
    Restarted,
    /// The received data is not a valid answer of the protocol.
    Foreign,
    /// The head of the answer cannot be trusted.
    InvalidHead(HeadFault),
    /// Bytes that are no other answer follow the end that the head names.
    Excess,
    /// The endpoint wrote too much that is part of no answer.
    Endless,
}

impl Ending {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Framed => "framed",
            Self::Closed => "closed",
            Self::Early => "early",
            Self::Reset => "reset",
            Self::PeerLost => "peer-lost",
            Self::Silent => "silent",
            Self::Restarted => "restarted",
            Self::Foreign => "foreign",
            Self::InvalidHead(fault) => fault.as_str(),
            Self::Excess => "excess-bytes",
            Self::Endless => "endless",
        }
    }
}

impl From<Ending> for BreakCause {
    /// Maps the ending of a broken answer to the break cause of its dispatch.
    fn from(ending: Ending) -> Self {
        match ending {
            Ending::Framed | Ending::Closed | Ending::Early | Ending::Reset | Ending::PeerLost => {
                Self::Closed
            }
            Ending::Silent => Self::Silent,
            Ending::Restarted => Self::Restarted,
            Ending::Foreign => Self::Foreign,
            Ending::InvalidHead(fault) => Self::InvalidHead(fault),
            Ending::Excess => Self::Excess,
            Ending::Endless => Self::Endless,
        }
    }
}

/// What an event stream holds after its last complete event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrailingData {
    /// Nothing, or complete lines that belong to no event.
    Nothing,
    /// An incomplete comment.
    Comment,
    /// An incomplete event.
    Event,
}

/// What the body itself reveals about its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyState {
    /// Nothing: any sequence of bytes is a valid body.
    Opaque,
    /// A stream of events.
    Events {
        /// Whether any complete event arrived.
        begun: bool,
        /// What follows the last complete event.
        left: TrailingData,
    },
    /// The format marks its own end, as JSON does or a stream with an end marker.
    Delimited {
        /// Whether that end was reached.
        ended: bool,
    },
}

/// Whether an answer is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completeness {
    /// The answer is complete.
    Complete,
    /// Nothing shows that the answer is incomplete, and nothing proves that it is complete.
    Unproven,
    /// The answer is incomplete.
    Broken(BreakCause),
}

/// Decides whether an answer that has ended is complete. All readers of answers use this function.
///
/// A body that ends inside an event was cut off, whatever its framing says. A body without framing
/// whose connection was closed in order is complete as far as HTTP can tell (RFC 9112, section 8),
/// although a failing endpoint may close it the same way; the caller is told no more than that.
/// Without framing, an incomplete comment or a stream without any event also counts as cut off,
/// since only the close suggests that it was meant to end there.
#[must_use]
pub fn assess_completeness(framing: Framing, ending: Ending, state: BodyState) -> Completeness {
    let closed = framing == Framing::Connection && ending == Ending::Closed;
    if ending != Ending::Framed && !closed {
        return Completeness::Broken(ending.into());
    }
    let is_cut = match state {
        BodyState::Opaque => false,
        BodyState::Delimited { ended } => !ended,
        BodyState::Events { begun, left } => {
            left == TrailingData::Event || (closed && (!begun || left == TrailingData::Comment))
        }
    };
    let has_proof = !closed || matches!(state, BodyState::Delimited { .. });
    match (is_cut, has_proof) {
        (true, _) if closed => Completeness::Broken(BreakCause::Closed),
        (true, _) => Completeness::Broken(BreakCause::Foreign),
        (false, true) => Completeness::Complete,
        (false, false) => Completeness::Unproven,
    }
}

/// Statistics on the answer of one dispatch, for the log lines about its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerEnd {
    /// Framing of the answer.
    pub framing: Framing,
    /// How the answer ended; `None` while it is being read.
    pub ending: Option<Ending>,
    /// Bytes of the body that were read.
    pub bytes: u64,
    /// When the last of them arrived.
    pub last_bytes: Option<Time>,
    /// Complete events in them.
    pub events: u32,
    /// Bytes after the last complete event.
    pub leftover: usize,
}

impl AnswerEnd {
    /// Creates the record of an answer whose head has arrived.
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        Self {
            framing,
            ending: None,
            bytes: 0,
            last_bytes: None,
            events: 0,
            leftover: 0,
        }
    }
}
