//! Answers that firdock itself gives: problem documents (RFC 9457) with outcome and reason.

use std::time::Duration;

use bytes::Bytes;
use firdock_core::{AccountId, Outcome, Reason};
use firdock_policy::Verdict;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode};
use serde_json::json;

use super::body::AnswerBody;
use crate::site::Denial;

/// Header with the outcome of a request.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("firdock-outcome");
/// Header with the id of a request.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// Problem type of a request during which endpoints exited.
const ENDS_ENDPOINTS_TYPE: &str = "urn:firdock:problem:ends-endpoints";
/// Detail that the caller of a quarantined request gets.
const QUARANTINED: &str = "The request did not run. Endpoints ended one after the other under the same \
    request, so that nothing of it is sent until an operator lets it go.";

/// A problem document.
#[derive(Debug, Clone)]
pub struct Problem {
    status: StatusCode,
    outcome: Outcome,
    reason: String,
    detail: String,
    retry_after: Option<Duration>,
    time_left: Option<Duration>,
    body: Option<RefusedBody>,
    closes: bool,
}

/// A body for which there was no room, for the logs.
#[derive(Debug, Clone)]
pub(super) struct RefusedBody {
    /// Account that sent it.
    pub account: AccountId,
    /// Memory that it asked for, in bytes.
    pub bytes: usize,
}

impl Problem {
    /// Creates a problem for a request that the ingress refused, so that it did not run.
    #[must_use]
    pub fn new(status: StatusCode, reason: &str, detail: impl Into<String>) -> Self {
        Self {
            status,
            outcome: Outcome::NotRun,
            reason: reason.to_owned(),
            detail: detail.into(),
            retry_after: None,
            time_left: None,
            body: None,
            closes: false,
        }
    }

    /// Sets the time after which the caller should retry.
    #[must_use]
    pub fn with_retry(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Sets the time left until the caller's deadline; an answer after it is of no use to the caller.
    #[must_use]
    pub fn with_time_left(mut self, left: Option<Duration>) -> Self {
        self.time_left = left;
        self
    }

    /// Sets the body for which there was no room: the memory that it asked for, and by whom.
    #[must_use]
    pub(super) fn with_body(mut self, account: &AccountId, bytes: usize) -> Self {
        let account = account.clone();
        self.body = Some(RefusedBody { account, bytes });
        self
    }

    /// Has the connection closed after the answer: where the next request begins is unknown.
    #[must_use]
    pub(super) fn with_close(mut self) -> Self {
        self.closes = true;
        self
    }

    /// Returns whether the connection is closed after the answer.
    #[must_use]
    pub(super) fn closes(&self) -> bool {
        self.closes
    }

    /// Returns the body for which there was no room.
    #[must_use]
    pub(super) fn body(&self) -> Option<&RefusedBody> {
        self.body.as_ref()
    }

    /// Returns the status.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the outcome.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Returns the reason as the identifier used in logs and metrics.
    #[must_use]
    pub fn reason(&self) -> &str {
        &self.reason
    }

    /// Returns the description of the problem.
    #[must_use]
    pub fn detail(&self) -> &str {
        &self.detail
    }

    /// Returns the time after which the caller should retry, if a retry may succeed.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }

    /// Returns the time left until the caller's deadline, if known.
    #[must_use]
    pub fn time_left(&self) -> Option<Duration> {
        self.time_left
    }

    /// Sets the outcome to unknown: the request may have run.
    pub(super) fn set_unknown(&mut self) {
        self.outcome = Outcome::Unknown;
    }

    /// Creates the problem that reports a verdict.
    #[must_use]
    pub fn from_verdict(verdict: Verdict) -> Self {
        let code = verdict.reason.status(verdict.outcome);
        let detail = match (verdict.reason, verdict.outcome) {
            (Reason::EndsEndpoints, Outcome::NotRun) => QUARANTINED,
            (_, Outcome::NotRun) => "The request did not run anywhere and may be sent again.",
            _ => "The request may have run. Sent again, it may run a second time.",
        };
        Self {
            status: StatusCode::from_u16(code).unwrap_or(StatusCode::SERVICE_UNAVAILABLE),
            outcome: verdict.outcome,
            reason: verdict.reason.as_str().to_owned(),
            detail: detail.to_owned(),
            retry_after: verdict.retry_after,
            time_left: None,
            body: None,
            closes: false,
        }
    }

    /// Returns the problem type. Quarantine has a type of its own, so that callers do not mistake it for
    /// overload.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        if self.reason == Reason::EndsEndpoints.as_str() {
            ENDS_ENDPOINTS_TYPE
        } else {
            "about:blank"
        }
    }

    /// Creates the HTTP response of the native interface.
    #[must_use]
    pub(super) fn response(&self, request: &str) -> Response<AnswerBody> {
        let document = json!({
            "type": self.kind(),
            "title": self.status.canonical_reason().unwrap_or_default(),
            "status": self.status.as_u16(),
            "detail": self.detail,
            "reason": self.reason,
            "outcome": self.outcome.as_str(),
            "request_id": request,
        });
        let body = AnswerBody::full(Bytes::from(document.to_string()));
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        if let Some(after) = self.retry_after {
            let seconds = after.as_secs_f64().ceil() as u64;
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        set_outcome_headers(headers, self.outcome, request);
        response
    }
}

impl From<Denial> for Problem {
    /// Creates the final refusal of a request that the configuration does not admit.
    fn from(denial: Denial) -> Self {
        let (status, reason, detail) = match denial {
            Denial::NoService => (
                StatusCode::NOT_FOUND,
                "no-service",
                "no service matches the call",
            ),
            Denial::Unauthorized => (
                StatusCode::UNAUTHORIZED,
                "unauthorized",
                "a key of a known account is required",
            ),
            Denial::Forbidden => (
                StatusCode::FORBIDDEN,
                "forbidden",
                "the account may not call this service",
            ),
        };
        Self::new(status, reason, detail)
    }
}

/// Sets the headers with the outcome and the request id.
pub(super) fn set_outcome_headers(headers: &mut HeaderMap, outcome: Outcome, request: &str) {
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.as_str()));
    if let Ok(value) = HeaderValue::from_str(request) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
}
