//! Passing of a request and its answer as they are, to endpoints of a platform.
//!
//! Which headers tell what is the platform's; a [`Dialect`] writes and reads them. What an answer
//! means for the request is decided here: ran or not, whose answer it is, whole or broken
//! (see `docs/design/endpoints.md`).

mod plain;
mod stream;

use std::time::Duration;

use bytes::Bytes;
use firdock_core::{EndpointId, RequestId};
use firdock_policy::event::{BreakCause, DispatchUpdate};
use firdock_policy::load::ServerLoad;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode};
use snafu::Snafu;

use self::plain::{keep_failure, pass_plain};
use self::stream::Stream;
use super::run::{DispatchError, DispatchRun};
use super::{Dispatcher, EndpointBody, EndpointLocation, Framing, HeadNotice, break_cause};
use crate::exchange::{AnswerHead, AnswerPart, Payload};
use crate::http::{CallError, connect, strip_hop_by_hop};
use crate::telemetry::LogKind;

/// Time allowed beyond a request's own limit before the endpoint counts as silent; the scheduler
/// ends requests whose time is up, so this only bounds what it never hears of.
const PAST_DEADLINE: Duration = Duration::from_secs(2);
/// Time for an answer to a request without a time limit.
const NO_DEADLINE: Duration = Duration::from_mins(10);

/// What a request to an endpoint has to carry besides what the caller sent.
#[derive(Debug, Clone, Copy)]
pub struct RelayRequest<'a> {
    /// The request as the caller sent it.
    pub payload: &'a Payload,
    /// Endpoint that must answer, and no other that has its address by now.
    pub endpoint: &'a EndpointId,
    /// Time that is left, if the request has a limit.
    pub left: Option<Duration>,
    /// Id of the last event that the caller has, where the request goes on at another endpoint.
    pub last_event: Option<&'a str>,
}

/// What the head of an endpoint's answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// The request did not run, and the endpoint may take others.
    NotRun,
    /// The request did not run, for another endpoint has the address.
    Misdirected,
    /// The answer belongs to another request, or is none by the platform's protocol.
    Foreign,
    /// The answer to the request.
    Answer,
}

/// What an endpoint says of its load has another form or is beyond any load.
#[derive(Debug, Clone, Snafu, PartialEq, Eq)]
#[snafu(display("no load: {text}"))]
pub struct InvalidLoad {
    /// The start of what it says.
    pub text: String,
}

/// How a platform's endpoints are spoken to.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Puts on the request what the endpoint has to be told.
    fn add_headers(&self, headers: &mut HeaderMap, order: RelayRequest<'_>);

    /// Reads the head of an answer.
    fn classify(&self, payload: &Payload, status: StatusCode, headers: &HeaderMap) -> ResponseKind;

    /// Reads what the head of an answer says of the endpoint itself, whatever the answer is.
    fn notice(&self, status: StatusCode, headers: &HeaderMap) -> HeadNotice;

    /// Reads what the head of an answer says of the endpoint's load; `None` where it says nothing.
    ///
    /// # Errors
    ///
    /// Fails where what it says is no load.
    fn load(&self, headers: &HeaderMap) -> Result<Option<ServerLoad>, InvalidLoad>;
}

/// Endpoints that get requests as they are.
#[derive(Debug, Clone)]
pub struct Relay<D> {
    dialect: D,
    connect_time: Duration,
}

impl<D: Dialect> Relay<D> {
    /// Makes a relay with its time limit for connects.
    #[must_use]
    pub fn new(dialect: D, connect_time: Duration) -> Self {
        Self {
            dialect,
            connect_time,
        }
    }

    /// Makes the request for one dispatch.
    fn request(&self, run: &DispatchRun) -> Option<Request<Full<Bytes>>> {
        let payload = &run.exchange.payload;
        let body = Full::new(payload.body.clone());
        let builder = Request::builder()
            .method(&payload.method)
            .uri(&payload.target);
        let mut request = builder.body(body).ok()?;
        let last_event = run.delivered().last_event.clone();
        let now = run.clock.now();
        let order = RelayRequest {
            payload,
            endpoint: &run.dispatch.endpoint,
            left: run.dispatch.deadline.map(|by| by.saturating_sub(now)),
            last_event: last_event.as_deref(),
        };
        request.headers_mut().clone_from(&payload.headers);
        self.dialect.add_headers(request.headers_mut(), order);
        Some(request)
    }

    /// Tells the scheduler what an answer's head says of the endpoint's pace.
    async fn take_load(&self, run: &DispatchRun, headers: &HeaderMap) {
        match self.dialect.load(headers) {
            Ok(load) => {
                if let Some(pace) = load.and_then(|load| load.pace) {
                    run.tell_pace(pace).await;
                }
            }
            Err(invalid) => run.tell_unread(LogKind::BadLoad, invalid.text).await,
        }
    }

    /// Takes an answer's head: tells the scheduler what it means, or passes the answer on.
    async fn take(
        &self,
        place: EndpointLocation,
        run: &DispatchRun,
        mut response: Response<Incoming>,
    ) -> &'static str {
        let payload = &run.exchange.payload;
        let status = response.status();
        let reply = self.dialect.classify(payload, status, response.headers());
        // First of all, whatever becomes of the answer; of one by another endpoint, it is that one's.
        let head = match reply {
            ResponseKind::Misdirected => HeadNotice::default(),
            _ => self.dialect.notice(status, response.headers()),
        };
        run.tell_notice(&head).await;
        match reply {
            ResponseKind::NotRun => return run.not_sent(false).await,
            ResponseKind::Misdirected => return run.not_sent(true).await,
            ResponseKind::Foreign => return run.tell_broken(BreakCause::Foreign).await,
            ResponseKind::Answer => {}
        }
        self.take_load(run, response.headers()).await;
        let framing = Framing::read(&payload.method, status, response.headers());
        run.note_head(framing);
        strip_hop_by_hop(response.headers_mut());
        let (parts, body) = response.into_parts();
        let body = EndpointBody::new(body, framing);
        let has_failed = status.is_server_error();
        let wants_none = head.notice.backoff.is_some();
        let head = AnswerHead {
            status,
            headers: parts.headers,
            unframed: framing == Framing::Connection,
        };
        if has_failed && !wants_none {
            run.tell(DispatchUpdate::Failed).await;
        }
        if has_failed && payload.terms.repeatable {
            if !wants_none {
                keep_failure(run, head, body).await;
            }
            return run.tell_broken(BreakCause::Failed).await;
        }
        if payload.terms.streamed && status.is_success() {
            Stream::new(run, head, place.event_tokens).pass(body).await
        } else {
            pass_plain(run, head, body).await
        }
    }
}

impl<D: Dialect> Dispatcher for Relay<D> {
    async fn run(&self, place: EndpointLocation, run: DispatchRun) -> &'static str {
        let limit = run.dispatch.deadline.map_or(NO_DEADLINE, |by| {
            by.saturating_sub(run.clock.now()) + PAST_DEADLINE
        });
        let Ok(mut connection) = connect(run.target.address, self.connect_time).await else {
            return run.not_sent(true).await;
        };
        // The process may have stood still while it connected, so the last look comes after it.
        if let Some(word) = run.stopped_before_write().await {
            return word;
        }
        let Some(request) = self.request(&run) else {
            return run.not_sent(false).await;
        };
        let word = match run.while_alive(connection.call(request, limit)).await {
            Ok(Ok(response)) => self.take(place, &run, response).await,
            Ok(Err(CallError::Connect { .. } | CallError::ConnectTime { .. })) => {
                run.not_sent(true).await
            }
            Ok(Err(e)) => run.tell_broken(break_cause(&e)).await,
            Err(_) => run.tell_broken(BreakCause::Restarted).await,
        };
        drop(connection);
        word
    }

    /// Does nothing: endpoints drop a request when its connection closes.
    async fn cancel(&self, _place: EndpointLocation, _id: RequestId, _dispatch: u32) {}
}

/// Tells the scheduler how the answer ended.
async fn finish(run: &DispatchRun, passed: Result<(), DispatchError>, output: u32) -> &'static str {
    match passed {
        Ok(()) => {
            run.exchange.reply.mark_complete();
            let news = DispatchUpdate::Ended {
                prompt: run.exchange.payload.terms.prompt_tokens,
                cached: 0,
                output,
            };
            run.tell(news).await;
            // The caller may be gone by now; the scheduler hears of that from the door.
            let _ = run.pass(AnswerPart::End).await;
            "answered"
        }
        Err(DispatchError::CallerGone) => {
            run.tell_caller_left().await;
            "caller-left"
        }
        Err(DispatchError::EndpointFailed(cause)) => run.tell_broken(cause).await,
    }
}
