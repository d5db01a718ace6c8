//! Trait for the format in which calls are read and firdock's own answers are written.
//!
//! The handler does what all interfaces share: it limits what is read, sends requests to the scheduler and
//! streams answers back. The meaning of the caller's headers is up to the interface (see
//! `docs/design/platform.md`).

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
use crate::clock::Clock;
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
    /// Time at which the head was read.
    pub arrived: Time,
    /// Clock of the instance.
    pub clock: Clock,
}

/// The body of a call that is not read yet, with its limits.
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
    /// Fails with the problem to be sent to the caller: the body is too large, too slow or broken.
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

/// Format of calls and of firdock's own answers.
pub trait Interface: Clone + Send + Sync + 'static {
    /// Reads a call: its account, its service and the terms that apply to the answer.
    ///
    /// # Errors
    ///
    /// Fails with the problem to be sent to the caller; the call did not run then.
    fn read(&self, call: IncomingCall) -> impl Future<Output = Result<Payload, Problem>> + Send;

    /// Returns the id that the caller gave the call, for the logs.
    fn caller_request_id(&self, headers: &HeaderMap) -> Option<String>;

    /// Creates the response for a problem.
    fn refuse(&self, problem: &Problem, id: &str) -> Response<AnswerBody>;

    /// Adds firdock's headers to an endpoint's answer.
    fn set_outcome_headers(&self, headers: &mut HeaderMap, outcome: Outcome, id: &str);
}
