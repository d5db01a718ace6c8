//! Calls to the resource API, read completely before they are handled.

use std::str::Utf8Error;

use bytes::Bytes;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::Method;
use hyper::Request;
use hyper::body::Incoming;
use snafu::{ResultExt as _, Snafu};

use super::reply::{self, Response};

/// Maximum size of the body of a call, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Error of reading the body of a call as text.
#[derive(Debug, Snafu)]
pub enum TextError {
    /// There is no body.
    #[snafu(display("a body is needed"))]
    NoBody,
    /// The body is not UTF-8.
    #[snafu(display("the body is not UTF-8"))]
    Broken {
        /// Cause, with the position.
        source: Utf8Error,
    },
}

impl TextError {
    /// Creates the response.
    #[must_use]
    pub fn answer(&self) -> Response {
        let reason = match self {
            Self::NoBody => "no-body",
            Self::Broken { .. } => "body-broken",
        };
        reply::error(400, reason, &self.to_string())
    }
}

/// One call.
#[derive(Debug, Clone)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    query: String,
    body: Bytes,
}

impl Call {
    /// Reads a call.
    ///
    /// # Errors
    ///
    /// Fails with the response for a body that is too large or ends early.
    pub async fn read(request: Request<Incoming>) -> Result<Self, Box<Response>> {
        let (head, body) = request.into_parts();
        let body = match Limited::new(body, MAX_BODY_BYTES).collect().await {
            Ok(whole) => whole.to_bytes(),
            Err(e) if e.is::<LengthLimitError>() => {
                return Err(Box::new(reply::error(
                    413,
                    "body-too-large",
                    "at most 4 MiB",
                )));
            }
            Err(_) => {
                let answer = reply::error(400, "body-broken", "the body ended early");
                return Err(Box::new(answer));
            }
        };
        Ok(Self {
            method: head.method,
            path: head.uri.path().to_owned(),
            query: head.uri.query().unwrap_or_default().to_owned(),
            body,
        })
    }

    /// Returns a number from the query string.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        value.parse().ok()
    }

    /// Returns the body as text.
    ///
    /// # Errors
    ///
    /// Fails if the body is empty or not UTF-8.
    pub fn text(&self) -> Result<&str, TextError> {
        if self.body.is_empty() {
            return NoBodySnafu.fail();
        }
        std::str::from_utf8(&self.body).context(BrokenSnafu)
    }
}
