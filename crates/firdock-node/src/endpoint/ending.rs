//! How an answer was framed, how it ended, and what was left over: the facts that tell whether it is whole.
//!
//! Nothing here knows sockets, so that each case can be tested by itself (see `docs/design/endings.md`).

use firdock_policy::event::BreakCause;
use hyper::header;
use hyper::{HeaderMap, Method, StatusCode};

/// How the head of an answer says where its body ends (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Framing {
    /// The answer has no body.
    Empty,
    /// The body has as many bytes as the head says.
    Length,
    /// The body ends with its last chunk.
    Chunks,
    /// The body ends with its connection.
    Connection,
}

impl Framing {
    /// Reads the framing of an answer to a request with this method.
    #[must_use]
    pub fn read(method: &Method, status: StatusCode, headers: &HeaderMap) -> Self {
        let bare = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&status);
        if method == Method::HEAD || status.is_informational() || bare {
            return Self::Empty;
        }
        if let Some(coding) = headers
            .get_all(header::TRANSFER_ENCODING)
            .iter()
            .next_back()
        {
            return if is_chunked(coding.as_bytes()) {
                Self::Chunks
            } else {
                Self::Connection
            };
        }
        if headers.contains_key(header::CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Connection
        }
    }

    /// Gives the word for it in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// Tells whether `chunked` is the last of the codings of a header line.
fn is_chunked(codings: &[u8]) -> bool {
    let last = codings.rsplit(|b| *b == b',').next();
    last.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked"))
}

/// How an answer came to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Ending {
    /// By its framing: all bytes or the last chunk came.
    Framed,
    /// The far end closed the connection in order, of an answer that ends with it.
    Closed,
    /// The far end closed the connection before the end that the framing told.
    Early,
    /// The connection was reset or lost.
    Reset,
    /// Nothing came for too long.
    Silent,
    /// The endpoint started again meanwhile.
    Restarted,
    /// What came is no answer by the protocol.
    Foreign,
}

impl Ending {
    /// Gives the word for it in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Framed => "framed",
            Self::Closed => "closed",
            Self::Early => "early",
            Self::Reset => "reset",
            Self::Silent => "silent",
            Self::Restarted => "restarted",
            Self::Foreign => "foreign",
        }
    }
}

impl From<Ending> for BreakCause {
    /// Gives what an end that makes an answer broken says of its dispatch.
    fn from(ending: Ending) -> Self {
        match ending {
            Ending::Framed | Ending::Closed | Ending::Early | Ending::Reset => Self::Closed,
            Ending::Silent => Self::Silent,
            Ending::Restarted => Self::Restarted,
            Ending::Foreign => Self::Foreign,
        }
    }
}

/// What is left of a stream of events after its last whole event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrailingData {
    /// Nothing, or lines that have ended and belong to no event.
    Nothing,
    /// A part of a comment.
    Comment,
    /// A part of an event.
    Event,
}

/// What the bytes of a body say of its end by themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyState {
    /// Nothing: any bytes are a body.
    Opaque,
    /// Events.
    Events {
        /// Whether any came whole.
        begun: bool,
        /// What is left after the last one.
        left: TrailingData,
    },
    /// The form has an end of its own, as JSON has, or a stream with an end mark.
    Delimited {
        /// Whether that end came.
        ended: bool,
    },
}

/// Whether an answer is whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completeness {
    /// It is.
    Complete,
    /// Nothing that came says that more was meant, and nothing that it was not.
    Unproven,
    /// It is not.
    Broken(BreakCause),
}

/// Decides whether an answer that has ended is whole; all who read one ask here.
///
/// A body that ends inside an event was broken off, however its framing ended. One that has no framing and
/// was closed in order is whole as far as HTTP can tell (RFC 9112, section 8), though an endpoint that
/// fails may close it as well; the caller is told no more than that. Without framing, a part of a comment
/// and a stream without any event count as cut too: nothing but the close says that they were meant so.
#[must_use]
pub fn assess_completeness(framing: Framing, ending: Ending, shape: BodyState) -> Completeness {
    let closed = framing == Framing::Connection && ending == Ending::Closed;
    if ending != Ending::Framed && !closed {
        return Completeness::Broken(ending.into());
    }
    let is_cut = match shape {
        BodyState::Opaque => false,
        BodyState::Delimited { ended } => !ended,
        BodyState::Events { begun, left } => {
            left == TrailingData::Event || (closed && (!begun || left == TrailingData::Comment))
        }
    };
    let has_proof = !closed || matches!(shape, BodyState::Delimited { .. });
    match (is_cut, has_proof) {
        (true, _) if closed => Completeness::Broken(BreakCause::Closed),
        (true, _) => Completeness::Broken(BreakCause::Foreign),
        (false, true) => Completeness::Complete,
        (false, false) => Completeness::Unproven,
    }
}

/// What came of one dispatch's answer, for the lines on its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerEnd {
    /// How it was framed.
    pub framing: Framing,
    /// How it ended; `None` while it is still read.
    pub ending: Option<Ending>,
    /// Bytes of its body that were read.
    pub bytes: u64,
    /// Whole events among them.
    pub events: u32,
    /// Bytes after the last whole event.
    pub leftover: usize,
}

impl AnswerEnd {
    /// Makes the record of an answer whose head has come.
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        Self {
            framing,
            ending: None,
            bytes: 0,
            events: 0,
            leftover: 0,
        }
    }
}
