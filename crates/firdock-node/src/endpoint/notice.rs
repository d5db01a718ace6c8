//! Reads an endpoint's notice about itself from the head of an answer.
//!
//! `Retry-After` is standard HTTP and is therefore read here for every protocol; the header that
//! announces that an endpoint is leaving depends on the protocol.

use std::time::Duration;

use firdock_policy::notice::Notice;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{HeaderMap, StatusCode};

/// Value that announces that the endpoint is leaving.
const LEAVING: &[u8] = b"1";
/// Value with the same meaning as an absent header.
const NOT_LEAVING: &[u8] = b"0";
/// Longest accepted text of a time: whole seconds and the significant digits of a fraction.
const MAX_TIME_BYTES: usize = 32;
/// Maximum number of lines read for one header. Answers normally have one.
const MAX_HEADER_LINES: usize = 8;
/// Maximum length of a malformed value that is kept for the log.
const MAX_LOGGED_BYTES: usize = 64;

/// The readable part of a notice in the head of an answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeadNotice {
    /// The notice.
    pub notice: Notice,
    /// Start of a malformed value, which is ignored.
    pub malformed: Option<String>,
}

impl HeadNotice {
    /// Reads the notice from the head of an answer, where the header `leaving` announces that the
    /// endpoint is leaving.
    ///
    /// Only the value `1` means that it is leaving. A back-off is read only with status 503, where
    /// `Retry-After` concerns the endpoint; with other statuses it concerns the request. The
    /// longest of several values counts, capped at [`Notice::MAX_BACKOFF`]. A date is ignored like
    /// any other value that is not a number of seconds, since it would require synchronized clocks.
    #[must_use]
    pub fn read(status: StatusCode, headers: &HeaderMap, leaving: &HeaderName) -> Self {
        let mut read = Self::default();
        for value in headers.get_all(leaving).iter().take(MAX_HEADER_LINES) {
            match value.as_bytes().trim_ascii() {
                LEAVING => read.notice.leaving = true,
                NOT_LEAVING => {}
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
        for value in values.iter().take(MAX_HEADER_LINES) {
            let Some(time) = parse_seconds(value.as_bytes().trim_ascii()) else {
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

/// Returns the start of a malformed header value, for the log.
#[must_use]
pub fn value_prefix(value: &HeaderValue) -> String {
    let bytes = value.as_bytes();
    let start = &bytes[..bytes.len().min(MAX_LOGGED_BYTES)];
    String::from_utf8_lossy(start).into_owned()
}

/// Parses a number of seconds with an optional fraction; `None` for anything else.
///
/// Values beyond the range of the time type yield its maximum.
fn parse_seconds(text: &[u8]) -> Option<Duration> {
    let text = std::str::from_utf8(text).ok()?;
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_number = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
    if text.len() > MAX_TIME_BYTES || !is_number(whole) || !is_number(fraction) {
        return None;
    }
    let secs: f64 = text.parse().ok()?;
    Some(Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX))
}
