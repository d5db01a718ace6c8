//! Answers of the resource API: JSON, with all findings where input is bad.

use firdock_core::{Findings, Version};
use rouille::Response;
use serde::Serialize;
use serde_json::json;

use crate::config::WriteError;

/// Answers with JSON.
pub fn ok<T: Serialize>(value: &T) -> Response {
    Response::json(value)
}

/// Answers with an error of a kind that scripts can tell apart.
pub fn error(status: u16, reason: &str, detail: &str) -> Response {
    let body = json!({"reason": reason, "detail": detail});
    Response::json(&body).with_status_code(status)
}

/// Answers with every finding; nothing was changed.
pub fn findings(found: &Findings) -> Response {
    let body = json!({"reason": "bad-input", "findings": found.as_slice()});
    Response::json(&body).with_status_code(422)
}

/// Answers with the version that a write made, or why it made none.
pub fn written(result: Result<Version, WriteError>) -> Response {
    match result {
        Ok(version) => ok(&json!({"version": version})),
        Err(e) => write_error(&e),
    }
}

/// Answers with why a write made no version.
pub fn write_error(e: &WriteError) -> Response {
    let detail = e.to_string();
    match e {
        WriteError::Outdated { present } => {
            let body = json!({"reason": "outdated", "detail": detail, "present": present});
            Response::json(&body).with_status_code(409)
        }
        WriteError::Refused { .. } => error(503, "log-unavailable", &detail),
        WriteError::Unsettled { id } => {
            let body = json!({"reason": "unsettled", "detail": detail, "record": id});
            Response::json(&body).with_status_code(504)
        }
        WriteError::Encode { .. } | WriteError::Ignored => error(500, "not-written", &detail),
    }
}
