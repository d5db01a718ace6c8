//! Trait for the format in which calls are read and firdock's own answers are written.
//!
//! The handler does what all interfaces share: it limits what is read, sends requests to the scheduler and
//! streams answers back. The meaning of the caller's headers is up to the interface (see
//! `docs/design/platform.md`).

use std::sync::Arc;

use firdock_core::Outcome;
use firdock_policy::Time;
use hyper::http::request;
use hyper::{HeaderMap, Response};

use super::answer::Problem;
use super::body::AnswerBody;
pub use super::reading::{BodyOwner, CallBody};
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
