//! How calls are read and answers of firdock's own are written, behind one trait.
//!
//! The door does what all interfaces share: bounds on what is read, the way to the scheduler and
//! back. What a caller's headers mean is the interface's (see `docs/design/platform.md`).

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use firdock_core::Outcome;
use firdock_policy::Time;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::http::request;
use hyper::{HeaderMap, Response, StatusCode};
use tokio::time::timeout;

use super::answer::Problem;
use super::body::AnswerBody;
use crate::exchange::Payload;
use crate::site::Site;

/// A call whose body has not been read yet.
#[derive(Debug)]
pub struct IncomingCall {
    /// Configuration in force.
    pub site: Arc<Site>,
    /// Head of the call.
    pub head: request::Parts,
    /// Body of the call.
    pub body: CallBody,
    /// When the head was read.
    pub arrived: Time,
}

/// The body of a call, with the bounds on it.
#[derive(Debug)]
pub struct CallBody {
    pub(super) incoming: Incoming,
    pub(super) max_bytes: usize,
    pub(super) max_time: Duration,
}

impl CallBody {
    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Fails with the problem that the caller is told: too long, too slow or broken.
    pub async fn read(self) -> Result<Bytes, Problem> {
        let limited = Limited::new(self.incoming, self.max_bytes);
        match timeout(self.max_time, limited.collect()).await {
            Ok(Ok(whole)) => Ok(whole.to_bytes()),
            Ok(Err(e)) if e.is::<LengthLimitError>() => {
                let detail = format!("at most {} bytes", self.max_bytes);
                let status = StatusCode::PAYLOAD_TOO_LARGE;
                Err(Problem::new(status, "body-too-large", detail))
            }
            Ok(Err(_)) => {
                let detail = "the body ended early or was malformed";
                Err(Problem::new(StatusCode::BAD_REQUEST, "body-broken", detail))
            }
            Err(_) => {
                let detail = "the body did not come in time";
                let status = StatusCode::REQUEST_TIMEOUT;
                Err(Problem::new(status, "body-too-slow", detail))
            }
        }
    }
}

/// What callers speak.
pub trait Interface: Clone + Send + Sync + 'static {
    /// Reads a call: who calls, for which service, and what the answer has to keep to.
    ///
    /// # Errors
    ///
    /// Fails with the problem that the caller is told; the call ran nowhere then.
    fn read(&self, call: IncomingCall) -> impl Future<Output = Result<Payload, Problem>> + Send;

    /// Gives the id that a caller gave a call, for the logs.
    fn caller_request_id(&self, headers: &HeaderMap) -> Option<String>;

    /// Writes an answer of firdock's own.
    fn refuse(&self, problem: &Problem, id: &str) -> Response<AnswerBody>;

    /// Puts on an endpoint's answer what firdock adds to it.
    fn set_outcome_headers(&self, headers: &mut HeaderMap, outcome: Outcome, id: &str);
}
