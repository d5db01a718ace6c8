//! Decides where a message ends by its head, and rejects heads that contradict themselves.
//!
//! The library reads some of them leniently: a body with an unknown transfer coding ends with its connection, and a length
//! beside a coding is ignored. All answers pass [`Framing::read`] before anyone sees them, and requests
//! [`check_request`] (see `docs/design/endings.md`).

use firdock_policy::event::HeadFault;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Method, Request, StatusCode, Version};
use snafu::Snafu;

/// The head of a message that cannot be trusted.
#[derive(Debug, Clone, Copy, Snafu, PartialEq, Eq)]
#[snafu(display("invalid head: {}", fault.as_str()))]
pub struct InvalidHead {
    /// What is wrong with it.
    pub fault: HeadFault,
}

/// How the head of an answer delimits its body (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Framing {
    /// The answer has no body.
    Empty,
    /// The body has the length given by `Content-Length`.
    Length,
    /// The body ends with its last chunk.
    Chunks,
    /// The body ends when the connection is closed.
    Connection,
}

impl Framing {
    /// Determines the framing of an answer to a request with this method.
    ///
    /// # Errors
    ///
    /// Fails if the answer is not final, or if its head does not name one end alone.
    pub fn read(
        method: &Method,
        status: StatusCode,
        version: Version,
        headers: &HeaderMap,
    ) -> Result<Self, InvalidHead> {
        if !(200..=599).contains(&status.as_u16()) {
            let fault = HeadFault::Status;
            return InvalidHeadSnafu { fault }.fail();
        }
        let framing = named_end(version, headers)?;
        let bare = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&status);
        if bare || method == Method::HEAD {
            return Ok(Self::Empty);
        }
        Ok(framing)
    }

    /// Returns the name used in logs and metrics.
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

/// Checks that the head of a request names one end of its body alone, so that nobody between the caller and the endpoint
/// can read another request in it.
///
/// # Errors
///
/// Fails otherwise.
pub fn check_request<B>(request: &Request<B>) -> Result<(), InvalidHead> {
    named_end(request.version(), request.headers()).map(|_framing| ())
}

/// Returns the end of a body as its head names it.
fn named_end(version: Version, headers: &HeaderMap) -> Result<Framing, InvalidHead> {
    let has_length = headers.contains_key(header::CONTENT_LENGTH);
    let has_coding = headers.contains_key(header::TRANSFER_ENCODING);
    let (framing, valid, fault) = match (has_length, has_coding) {
        (false, false) => return Ok(Framing::Connection),
        (true, true) => {
            let fault = HeadFault::LengthAndCoding;
            return InvalidHeadSnafu { fault }.fail();
        }
        (true, false) => {
            let valid = single(headers, &header::CONTENT_LENGTH).is_some_and(is_length);
            (Framing::Length, valid, HeadFault::Length)
        }
        (false, true) => {
            let coding = single(headers, &header::TRANSFER_ENCODING);
            // HTTP/1.0 has no transfer codings.
            let valid = version >= Version::HTTP_11 && coding.is_some_and(is_chunked);
            (Framing::Chunks, valid, HeadFault::Coding)
        }
    };
    if valid {
        Ok(framing)
    } else {
        InvalidHeadSnafu { fault }.fail()
    }
}

/// Returns the value of a header that is given once.
fn single<'a>(headers: &'a HeaderMap, name: &header::HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())
}

fn is_length(value: &HeaderValue) -> bool {
    let digits = value.as_bytes();
    let text = value.to_str().unwrap_or_default();
    digits.iter().all(u8::is_ascii_digit) && text.parse::<u64>().is_ok()
}

/// Returns whether the only coding is `chunked`. Others would have to be undone, and nobody asks for them.
fn is_chunked(value: &HeaderValue) -> bool {
    value.as_bytes().eq_ignore_ascii_case(b"chunked")
}
