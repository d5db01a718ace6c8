//! A call to the resource API, read whole before it is answered.

use bytes::Bytes;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::Method;
use hyper::Request;
use hyper::body::Incoming;

use super::reply::{self, Response};

/// Largest body of a call.
const MAX_BODY_BYTES: usize = 4 << 20;

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
    /// Fails with the answer for a body that is too long or ends early.
    pub async fn read(request: Request<Incoming>) -> Result<Self, Response> {
        let (head, body) = request.into_parts();
        let body = match Limited::new(body, MAX_BODY_BYTES).collect().await {
            Ok(whole) => whole.to_bytes(),
            Err(e) if e.is::<LengthLimitError>() => {
                return Err(reply::error(413, "body-too-large", "at most 4 MiB"));
            }
            Err(_) => return Err(reply::error(400, "body-broken", "the body ended early")),
        };
        Ok(Self {
            method: head.method,
            path: head.uri.path().to_owned(),
            query: head.uri.query().unwrap_or_default().to_owned(),
            body,
        })
    }

    /// Gives a number of the query.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        let mut pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        value.parse().ok()
    }

    /// Gives the body's text.
    ///
    /// # Errors
    ///
    /// Fails with the answer for a body that is absent or no text.
    pub fn text(&self) -> Result<&str, Response> {
        if self.body.is_empty() {
            return Err(reply::error(400, "no-body", "a body is needed"));
        }
        let text = std::str::from_utf8(&self.body);
        text.map_err(|e| reply::error(400, "body-broken", &format!("the body is not UTF-8: {e}")))
    }
}
