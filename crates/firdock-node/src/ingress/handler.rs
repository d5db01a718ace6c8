//! Handling of one call: reads it, sends it to the scheduler and streams the answer back.

use std::sync::Arc;
use std::time::Duration;

use firdock_core::settings::Limits;
use firdock_core::{Outcome, RequestId};
use firdock_policy::Origin;
use hyper::body::Incoming;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Version};
use slog::{Logger, info, warn};
use tokio::sync::mpsc;
use uuid::Uuid;

use super::answer::Problem;
use super::body::{AnswerBody, CallerGuard};
use super::identity::BodyHasher;
use super::interface::{CallBody, IncomingCall, Interface};
use super::request::new_request;
use super::state::{IngressPhase, IngressState};
use super::unread::{DrainLimits, UnreadBody};
use crate::clock::{Clock, age_millis, millis};
use crate::exchange::{
    AnswerBudget, AnswerHead, AnswerPart, BodyBudget, CallTerms, Exchange, Payload,
};
use crate::http::{CallerHandle, Framing, InvalidHead, check_request};
use crate::input::Input;
use crate::site::Site;
use crate::streams::{FoundStream, SharedStreams, StreamKey, StreamSource};
use crate::telemetry::{LogKind, LogLimiter, Metrics, Span, TraceContext, excerpt};

/// Header with the W3C trace context.
pub(super) const TRACE_HEADER: HeaderName = HeaderName::from_static("traceparent");
/// Retry time for callers of a stopping instance; their retries reach another one.
const STOPPING_RETRY: Duration = Duration::from_millis(100);

/// Limits on the body of a call.
#[derive(Debug, Clone, Copy)]
pub struct IngressLimits {
    /// Maximum size of the body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive the body.
    pub body_time: Duration,
    /// Size of a connection's read buffer, in bytes.
    pub buffer_bytes: usize,
}

impl IngressLimits {
    /// Takes the limits from the settings.
    #[must_use]
    pub fn new(limits: &Limits) -> Self {
        let body_time = limits.body_timeout;
        Self {
            body_bytes: limits.body_bytes,
            body_time,
            buffer_bytes: limits.header_bytes,
        }
    }
}

/// Handler of calls from callers.
#[derive(Debug, Clone)]
pub struct Ingress<I> {
    interface: I,
    limits: IngressLimits,
    state: IngressState,
    site: Arc<Site>,
    inputs: mpsc::Sender<Input>,
    clock: Clock,
    log: Logger,
    log_limiter: Arc<LogLimiter>,
    answer_budget: AnswerBudget,
    body_budget: BodyBudget,
    drains: DrainLimits,
    hasher: BodyHasher,
    streams: SharedStreams,
    metrics: Arc<Metrics>,
}

impl<I: Interface> Ingress<I> {
    /// Creates a handler that sends requests to the scheduler by `inputs`.
    #[must_use]
    pub(crate) fn new(
        interface: I,
        limits: IngressLimits,
        site: Arc<Site>,
        inputs: mpsc::Sender<Input>,
        clock: Clock,
        log: Logger,
    ) -> Self {
        Self {
            interface,
            limits,
            state: IngressState::default(),
            site,
            inputs,
            clock,
            log,
            log_limiter: Arc::default(),
            answer_budget: AnswerBudget::default(),
            body_budget: BodyBudget::default(),
            drains: DrainLimits::new(limits.body_bytes, limits.buffer_bytes),
            hasher: BodyHasher::default(),
            streams: SharedStreams::default(),
            metrics: Arc::default(),
        }
    }

    /// Sets the metrics that count what is found of the streams that callers continue.
    #[must_use]
    pub(crate) fn with_metrics(mut self, metrics: Arc<Metrics>) -> Self {
        self.metrics = metrics;
        self
    }

    /// Sets the streams that callers may continue.
    #[must_use]
    pub(crate) fn with_streams(mut self, streams: SharedStreams) -> Self {
        self.streams = streams;
        self
    }

    /// Sets the shared rate limiter for log lines.
    #[must_use]
    pub(crate) fn with_log_limiter(mut self, log_limiter: Arc<LogLimiter>) -> Self {
        self.log_limiter = log_limiter;
        self
    }

    /// Sets the budget for answers that callers have not read.
    #[must_use]
    pub(crate) fn with_answer_budget(mut self, answer_budget: AnswerBudget) -> Self {
        self.answer_budget = answer_budget;
        self
    }

    /// Sets the budget for bodies of requests.
    #[must_use]
    pub(crate) fn with_body_budget(mut self, body_budget: BodyBudget) -> Self {
        self.body_budget = body_budget;
        self
    }

    /// Sets the shared state that says whether calls are accepted.
    #[must_use]
    pub(crate) fn with_state(mut self, state: IngressState) -> Self {
        self.state = state;
        self
    }

    /// Handles one call.
    pub async fn handle(self, request: Request<Incoming>) -> Response<AnswerBody> {
        let id = Uuid::now_v7();
        let given = request
            .headers()
            .get(TRACE_HEADER)
            .and_then(|v| v.to_str().ok());
        let span = Span::start(
            "door",
            &TraceContext::parse_or_start(given),
            self.clock.now(),
        );
        let trace = span.context;
        let call = self.interface.caller_request_id(request.headers());
        let caller = CallerSide {
            handle: request.extensions().get::<CallerHandle>().cloned(),
            version: request.version(),
        };
        let mut closes = false;
        let mut response = match self.read(request).await {
            Ok(mut payload) => {
                self.find_stream_origin(id, &mut payload).await;
                self.serve(id, payload, trace, caller).await
            }
            Err(problem) => {
                self.log_refusal(id, call.as_deref(), &problem);
                closes = problem.closes();
                self.interface.refuse(&problem, &id.to_string())
            }
        };
        if closes || self.state.get() != IngressPhase::Open {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        let result = response.status().as_u16().to_string();
        span.end(&self.log, self.clock.now(), &id.to_string(), &result);
        response
    }

    /// Logs why a call was refused before it reached the scheduler.
    fn log_refusal(&self, id: RequestId, call: Option<&str>, problem: &Problem) {
        let now = self.clock.now();
        if !self.log_limiter.allow(&self.log, now, LogKind::Failed) {
            return;
        }
        let age = self.site.confirmed_at().map(|at| age_millis(now, at));
        warn!(self.log, "call refused";
            "request_id" => id.to_string(),
            "call" => call.map(excerpt),
            "outcome" => problem.outcome().as_str(),
            "reason" => problem.reason(),
            "status" => problem.status().as_u16(),
            "detail" => excerpt(problem.detail()),
            "config_age_millis" => age,
            "account" => problem.body().map(|b| &b.account),
            "body_bytes" => problem.body().map(|b| b.bytes),
        );
    }

    async fn read(&self, request: Request<Incoming>) -> Result<Payload, Problem> {
        let lacks_length = lacks_length(&request);
        let checked = check_request(&request);
        let (head, incoming) = request.into_parts();
        let body = self.unread_body(awaits_word(&head.headers), incoming);
        if self.state.get() == IngressPhase::Closed {
            return Err(stopping());
        }
        if lacks_length {
            return Err(no_length());
        }
        checked.map_err(invalid_head)?;
        let call = IncomingCall {
            site: Arc::clone(&self.site),
            head,
            body,
            arrived: self.clock.now(),
            clock: self.clock,
        };
        self.interface.read(call).await
    }

    fn unread_body(&self, awaits_word: bool, incoming: Incoming) -> CallBody {
        let budget = self.body_budget.clone();
        let mut drains = self.drains.clone().with_budget(budget.clone());
        if self.state.get() == IngressPhase::Closed {
            drains = drains.with_stopping();
        }
        CallBody {
            unread: UnreadBody::new(incoming, awaits_word, drains),
            budget,
            max_bytes: self.limits.body_bytes,
            max_time: self.limits.body_time,
        }
    }

    /// Sets the origin of the stream that a request continues.
    async fn find_stream_origin(&self, id: RequestId, payload: &mut Payload) {
        let resumes = payload.terms.resumes.as_ref();
        let Some(attempt) = resumes.filter(|_| payload.terms.streamed) else {
            return;
        };
        let found = match StreamKey::new(&payload.account, attempt) {
            Some(key) => self.streams.find(key).await,
            None => FoundStream {
                record: None,
                source: StreamSource::Nobody,
            },
        };
        self.metrics.count_continued_stream(found.source);
        self.log_continued_stream(id, &payload.terms, &found);
        payload.terms.stream_origin = found.origin();
    }

    /// Logs which build began the stream that a request continues, and who knew it.
    fn log_continued_stream(&self, id: RequestId, terms: &CallTerms, found: &FoundStream) {
        let now = self.clock.now();
        if !self
            .log_limiter
            .allow(&self.log, now, LogKind::ContinuedStream)
        {
            return;
        }
        let record = found.record.as_ref();
        let start = record.and_then(|r| r.origin.start());
        info!(self.log, "stream taken up";
            "request_id" => id.to_string(),
            "call" => terms.caller_id.as_deref().map(excerpt),
            "resumes" => terms.resumes.as_deref().map(excerpt),
            "source" => found.source.as_str(),
            "pool" => record.map(|r| &r.origin.build().pool),
            "software" => record.map(|r| &r.origin.build().version),
            "start" => start.map(|s| &s.start),
            "unconfirmed" => start.map(|s| s.unconfirmed),
            "age_millis" => record.map(|r| millis(now.saturating_sub(r.began))),
        );
    }

    async fn serve(
        &self,
        id: RequestId,
        payload: Payload,
        trace: TraceContext,
        caller: CallerSide,
    ) -> Response<AnswerBody> {
        let terms = payload.terms.clone();
        let method = payload.method.clone();
        let identity = self.hasher.identify(&payload).await;
        let (exchange, mut parts) =
            Exchange::new(id, payload, identity, trace, &self.answer_budget);
        if let Some(handle) = &caller.handle {
            parts.set_caller(handle.clone());
        }
        let mut guard = CallerGuard::new(id, self.inputs.clone());
        let new = new_request(&exchange, Origin::Caller, Vec::new());
        let sent = self.inputs.send(Input::Arrived(new, exchange)).await;
        if sent.is_err() {
            guard.disarm();
            return self.refuse(stopping(), &terms, id);
        }
        match parts.recv().await {
            Some(AnswerPart::Head(head)) => {
                let unframed = caller.prepare(&method, &head);
                let body = AnswerBody::parts(parts, guard);
                self.answer(head, body, id, unframed)
            }
            Some(AnswerPart::Verdict(verdict)) => {
                guard.disarm();
                self.refuse(Problem::from_verdict(verdict), &terms, id)
            }
            ended => {
                // The scheduler ended without an answer, so it is unknown whether the request ran.
                if !matches!(ended, Some(AnswerPart::CallerStalled)) {
                    guard.disarm();
                }
                let mut problem =
                    Problem::new(StatusCode::BAD_GATEWAY, "instance-failed", "no answer came");
                problem.set_unknown();
                self.refuse(problem, &terms, id)
            }
        }
    }

    /// Refuses a call that has been read, with the time left until its deadline.
    fn refuse(&self, problem: Problem, terms: &CallTerms, id: RequestId) -> Response<AnswerBody> {
        let left = terms.deadline.map(|by| by.saturating_sub(self.clock.now()));
        self.interface
            .refuse(&problem.with_time_left(left), &id.to_string())
    }

    fn answer(
        &self,
        head: AnswerHead,
        body: AnswerBody,
        id: RequestId,
        unframed: bool,
    ) -> Response<AnswerBody> {
        let mut response = Response::new(body);
        if unframed {
            // hyper uses chunked encoding for HTTP/1.1 responses without a length.
            *response.version_mut() = Version::HTTP_10;
        }
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
        if unframed {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        self.interface.set_outcome_headers(
            response.headers_mut(),
            Outcome::Answered,
            &id.to_string(),
        );
        response
    }
}

/// The caller's connection and HTTP version.
struct CallerSide {
    handle: Option<CallerHandle>,
    version: Version,
}

impl CallerSide {
    /// Prepares the connection for an answer, and returns whether the close of the connection delimits it.
    ///
    /// HTTP/1.0 has no chunked encoding, so for an answer without a length only a reset instead of an orderly
    /// close shows such a caller that it is truncated. An answer that the endpoint delimited by closing its
    /// connection is sent in the same way to every caller: a last chunk would claim that it is complete, which
    /// is unknown.
    fn prepare(&self, method: &Method, head: &AnswerHead) -> bool {
        let lacks_chunks = head.unframed || self.version == Version::HTTP_10;
        let framing = Framing::read(method, head.status, self.version, &head.headers);
        let unframed = lacks_chunks && framing == Ok(Framing::Connection);
        if let Some(handle) = self.handle.as_ref().filter(|_| unframed) {
            handle.set_unframed();
        }
        unframed
    }
}

/// Returns whether the length of a request's body is unknown (RFC 1945, section 8.3).
///
/// HTTP/1.0 has no chunks, and the close of the connection cannot end a request. Without a length, the request would run
/// with an empty body.
fn lacks_length(request: &Request<Incoming>) -> bool {
    let has_body = [Method::POST, Method::PUT, Method::PATCH].contains(request.method());
    let has_length = request.headers().contains_key(header::CONTENT_LENGTH);
    request.version() == Version::HTTP_10 && has_body && !has_length
}

/// Returns whether the caller sends its body only once it was told to go on (RFC 9110, section 10.1.1).
fn awaits_word(headers: &HeaderMap) -> bool {
    let expect = headers.get(header::EXPECT);
    expect.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

fn no_length() -> Problem {
    let detail = "a body in HTTP/1.0 needs a Content-Length";
    Problem::new(StatusCode::BAD_REQUEST, "body-broken", detail)
}

fn invalid_head(head: InvalidHead) -> Problem {
    Problem::new(StatusCode::BAD_REQUEST, "invalid-head", head.to_string()).with_close()
}

fn stopping() -> Problem {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Problem::new(status, "stopping", "the instance is stopping").with_retry(STOPPING_RETRY)
}
