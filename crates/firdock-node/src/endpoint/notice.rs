//! Reads an endpoint's notice about itself from the head of an answer.
//!
//! `Retry-After` is standard HTTP and is therefore read here for every protocol; the names of the
//! other headers depend on the protocol.

use std::time::Duration;

use firdock_policy::notice::{LimitNotice, Notice};
use firdock_policy::rate::RequestRate;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{HeaderMap, StatusCode};

/// Value that announces that the endpoint is leaving.
const LEAVING: &[u8] = b"1";
/// Value with the same meaning as an absent header.
const NOT_LEAVING: &[u8] = b"0";
/// Longest accepted text of a number: whole digits and the significant digits of a fraction.
const MAX_NUMBER_BYTES: usize = 32;
/// Maximum number of lines read for one header. Answers normally have one.
const MAX_HEADER_LINES: usize = 8;
/// Maximum length of a malformed value that is kept for the log.
const MAX_LOGGED_BYTES: usize = 64;

/// Names of the headers that a protocol's endpoints use for notices.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoticeHeaders {
    /// Announces that the endpoint is leaving.
    pub leaving: HeaderName,
    /// Requests per second that the endpoint takes from all instances together.
    pub limit: HeaderName,
    /// Requests per second that the endpoint can refuse for want of room without failing.
    pub refusal_limit: HeaderName,
}

/// The readable part of a notice in the head of an answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeadNotice {
    /// The notice.
    pub notice: Notice,
    /// Start of a malformed value, which is ignored.
    pub malformed: Option<String>,
}

impl HeadNotice {
    /// Reads the notice from the head of an answer.
    ///
    /// Only the value `1` means that the endpoint is leaving. A back-off is read only with status
    /// 503, where `Retry-After` concerns the endpoint; with other statuses it concerns the request.
    /// The longest of several values counts, capped at [`Notice::MAX_BACKOFF`]. A date is ignored
    /// like any other value that is not a number of seconds, since it would require synchronized
    /// clocks.
    ///
    /// Of several rate limits the lowest counts, within the bounds of [`RequestRate`]. An answer
    /// without the header says that there is no limit; one with malformed values alone says nothing.
    #[must_use]
    pub fn read(status: StatusCode, headers: &HeaderMap, names: &NoticeHeaders) -> Self {
        let mut read = Self::default();
        for value in headers
            .get_all(&names.leaving)
            .iter()
            .take(MAX_HEADER_LINES)
        {
            match value.as_bytes().trim_ascii() {
                LEAVING => read.notice.leaving = true,
                NOT_LEAVING => {}
                _ => read.record_malformed(value),
            }
        }
        if status == StatusCode::SERVICE_UNAVAILABLE {
            read.read_backoff(headers);
        }
        read.read_limit(headers, &names.limit);
        read.read_refusal_limit(headers, &names.refusal_limit);
        read
    }

    /// Removes what the absence of a header says, because the head is not known to be the
    /// endpoint's own.
    pub fn ignore_absent_headers(&mut self) {
        if self.notice.limit == LimitNotice::Unlimited {
            self.notice.limit = LimitNotice::Unknown;
        }
    }

    fn read_limit(&mut self, headers: &HeaderMap, name: &HeaderName) {
        if !headers.contains_key(name) {
            self.notice.limit = LimitNotice::Unlimited;
            return;
        }
        for value in headers.get_all(name).iter().take(MAX_HEADER_LINES) {
            let rate = parse_number(value.as_bytes().trim_ascii());
            let Some(rate) = rate.and_then(RequestRate::from_per_second) else {
                self.record_malformed(value);
                continue;
            };
            let known = self.notice.limit.rate();
            let lowest = known.map_or(rate, |known| known.min(rate));
            self.notice.limit = LimitNotice::Limited(lowest);
        }
    }

    /// Of several limits the lowest counts.
    fn read_refusal_limit(&mut self, headers: &HeaderMap, name: &HeaderName) {
        for value in headers.get_all(name).iter().take(MAX_HEADER_LINES) {
            let Some(limit) = parse_number(value.as_bytes().trim_ascii()) else {
                self.record_malformed(value);
                continue;
            };
            let limit = limit as u32;
            let lowest = self.notice.refusal_limit.map_or(limit, |l| l.min(limit));
            self.notice.refusal_limit = Some(lowest);
        }
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
    let secs = parse_number(text)?;
    Some(Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX))
}

/// Parses digits with an optional fraction; `None` for anything else.
fn parse_number(text: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(text).ok()?;
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_number = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
    if text.len() > MAX_NUMBER_BYTES || !is_number(whole) || !is_number(fraction) {
        return None;
    }
    text.parse().ok()
}
