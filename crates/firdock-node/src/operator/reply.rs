//! Responses of the resource API: JSON, with all findings if the input is invalid.

use bytes::Bytes;
use firdock_core::{Findings, Version};
use http_body_util::Full;
use hyper::StatusCode;
use hyper::header::{self, HeaderValue};
use serde::Serialize;
use serde_json::json as object;

use crate::config::WriteError;

/// A complete response.
pub type Response = hyper::Response<Full<Bytes>>;

/// Creates a JSON response.
pub fn ok<T: Serialize>(value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => with_type("application/json", body),
        Err(e) => error(500, "not-written", &e.to_string()),
    }
}

/// Creates a response of a given media type.
pub fn with_type(kind: &'static str, body: impl Into<Bytes>) -> Response {
    let mut response = Response::new(Full::new(body.into()));
    let kind = HeaderValue::from_static(kind);
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Creates a plain text response.
pub fn text(body: &'static str) -> Response {
    with_type("text/plain; charset=utf-8", body)
}

/// Creates a JSON response with a given status.
fn json(status: u16, body: &serde_json::Value) -> Response {
    let mut response = ok(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// Creates an error response; scripts distinguish errors by `reason`.
pub fn error(status: u16, reason: &str, detail: &str) -> Response {
    let body = object!({"reason": reason, "detail": detail});
    json(status, &body)
}

/// Creates the response that lists all findings; nothing was changed.
pub fn findings(found: &Findings) -> Response {
    let body = object!({"reason": "bad-input", "findings": found.as_slice()});
    json(422, &body)
}

/// Creates the response to a write: the new version or the error.
pub fn written(result: Result<Version, WriteError>) -> Response {
    match result {
        Ok(version) => ok(&object!({"version": version})),
        Err(e) => write_error(&e),
    }
}

/// Creates the response to a failed write.
pub fn write_error(e: &WriteError) -> Response {
    let detail = e.to_string();
    match e {
        WriteError::Outdated { present } => {
            let body = object!({"reason": "outdated", "detail": detail, "present": present});
            json(409, &body)
        }
        WriteError::Refused { .. } => error(503, "log-unavailable", &detail),
        WriteError::Unsettled { id } => {
            let body = object!({"reason": "unsettled", "detail": detail, "record": id});
            json(504, &body)
        }
        WriteError::Encode { .. } | WriteError::Ignored => error(500, "not-written", &detail),
    }
}
