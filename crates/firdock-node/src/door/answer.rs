//! Answers of firdock's own: problem documents (RFC 9457) with outcome and reason.

use bytes::Bytes;
use firdock_core::Outcome;
use firdock_policy::Verdict;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode};
use serde_json::json;

use super::body::AnswerBody;

/// Header that tells how a request ended.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("firdock-outcome");
/// Header that tells the id of a request.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// A problem document.
#[derive(Debug, Clone)]
pub struct Problem {
    status: StatusCode,
    outcome: Outcome,
    reason: String,
    detail: String,
    retry_seconds: Option<u32>,
}

impl Problem {
    /// Makes a problem of a request that was refused at the door, and so did not run.
    #[must_use]
    pub fn new(status: StatusCode, reason: &str, detail: impl Into<String>) -> Self {
        Self {
            status,
            outcome: Outcome::NotRun,
            reason: reason.to_owned(),
            detail: detail.into(),
            retry_seconds: None,
        }
    }

    /// Notes that the request may have run.
    pub(super) fn set_unknown(&mut self) {
        self.outcome = Outcome::Unknown;
    }

    /// Makes the problem that tells a verdict.
    #[must_use]
    pub fn from_verdict(verdict: Verdict) -> Self {
        let code = verdict.reason.status(verdict.outcome);
        let detail = match verdict.outcome {
            Outcome::NotRun => "The request did not run anywhere and may be sent again.",
            _ => "The request may have run. Sent again, it may run a second time.",
        };
        Self {
            status: StatusCode::from_u16(code).unwrap_or(StatusCode::SERVICE_UNAVAILABLE),
            outcome: verdict.outcome,
            reason: verdict.reason.as_str().to_owned(),
            detail: detail.to_owned(),
            retry_seconds: verdict.retry_seconds,
        }
    }

    /// Makes the HTTP answer.
    #[must_use]
    pub(super) fn into_response(self, request: &str) -> Response<AnswerBody> {
        let document = json!({
            "type": "about:blank",
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
        if let Some(seconds) = self.retry_seconds {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        mark(headers, self.outcome, request);
        response
    }
}

/// Puts the outcome and the request's id on an answer.
pub(super) fn mark(headers: &mut HeaderMap, outcome: Outcome, request: &str) {
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.as_str()));
    if let Ok(value) = HeaderValue::from_str(request) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
}
