//! Reading of what the head of an answer says of its endpoint.
//!
//! `Retry-After` is HTTP's own, so that all ways of speaking to endpoints read it here; how an endpoint
//! says that it leaves is its protocol's.

use std::time::Duration;

use firdock_policy::notice::Notice;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{HeaderMap, StatusCode};

/// Value by which an endpoint says that it leaves.
const LEAVES: &[u8] = b"1";
/// Value that says nothing, as if the header was absent.
const STAYS: &[u8] = b"0";
/// Longest text of a time that is read: its whole seconds and as many digits of a fraction as matter.
const MAX_TIME_BYTES: usize = 32;
/// Lines of one header that are read: an answer has one.
const MAX_LINES: usize = 8;
/// Longest part of a value that cannot be read that is kept for the log.
const UNREAD_BYTES: usize = 64;

/// What the head of an answer says of its endpoint, as far as it can be read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeadNotice {
    /// What was read.
    pub notice: Notice,
    /// The start of a value that could not be read; it is passed over.
    pub malformed: Option<String>,
}

impl HeadNotice {
    /// Reads the head of an answer of a protocol in which `leaving` says that an endpoint leaves.
    ///
    /// Any value but `1` says nothing of leaving. A back-off is read on an answer of status 503 alone,
    /// where `Retry-After` is the endpoint's word on itself; elsewhere it is about the request. Of
    /// several values the longest counts, and one beyond [`Notice::MAX_BACKOFF`] is cut to that. A date
    /// is passed over like any other value that is no number of seconds: it would need a clock that
    /// both ends share.
    #[must_use]
    pub fn read(status: StatusCode, headers: &HeaderMap, leaving: &HeaderName) -> Self {
        let mut read = Self::default();
        for value in headers.get_all(leaving).iter().take(MAX_LINES) {
            match value.as_bytes().trim_ascii() {
                LEAVES => read.notice.leaving = true,
                STAYS => {}
                _ => read.record_malformed(value),
            }
        }
        if status == StatusCode::SERVICE_UNAVAILABLE {
            read.read_backoff(headers);
        }
        read
    }

    fn read_backoff(&mut self, headers: &HeaderMap) {
        let values = headers.get_all(header::RETRY_AFTER);
        for value in values.iter().take(MAX_LINES) {
            let Some(time) = read_seconds(value.as_bytes().trim_ascii()) else {
                self.record_malformed(value);
                continue;
            };
            let backoff = time.min(Notice::MAX_BACKOFF);
            let longer = self.notice.backoff.is_none_or(|known| known < backoff);
            if longer && !backoff.is_zero() {
                self.notice.backoff = Some(backoff);
            }
        }
    }

    fn record_malformed(&mut self, value: &HeaderValue) {
        self.malformed = Some(value_prefix(value));
    }
}

/// Gives the start of a header's value that cannot be read, as the log tells it.
#[must_use]
pub fn value_prefix(value: &HeaderValue) -> String {
    let bytes = value.as_bytes();
    let start = &bytes[..bytes.len().min(UNREAD_BYTES)];
    String::from_utf8_lossy(start).into_owned()
}

/// Reads a number of seconds, whole or with a fraction; `None` for anything else.
///
/// A whole part that is too large for the time type is the longest time there is.
fn read_seconds(text: &[u8]) -> Option<Duration> {
    let text = std::str::from_utf8(text).ok()?;
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_number = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
    if text.len() > MAX_TIME_BYTES || !is_number(whole) || !is_number(fraction) {
        return None;
    }
    let secs: f64 = text.parse().ok()?;
    Some(Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX))
}
