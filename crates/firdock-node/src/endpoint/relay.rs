//! Relays requests and answers unchanged to and from the endpoints of a platform.
//!
//! The headers are defined by the platform; a [`Dialect`] writes and reads them. This module
//! decides what an answer means for the request: whether it ran, whether the answer belongs to it,
//! and whether the answer is complete (see `docs/design/endpoints.md`).

mod plain;
mod route;
mod stream;

use std::time::Duration;

use bytes::Bytes;
use firdock_core::{EndpointId, InstanceId, RequestId};
use firdock_policy::event::{BreakCause, DispatchUpdate};
use firdock_policy::load::ServerLoad;
use http_body_util::Full;
use hyper::header::HeaderName;
use hyper::{HeaderMap, Request, Response, StatusCode};
use snafu::Snafu;
use tokio::net::TcpStream;

use self::plain::{forward_plain, keep_failure};
use self::stream::Stream;
use super::run::{DispatchError, DispatchRun};
use super::{Dispatcher, EndpointBody, EndpointLocation, Framing, HeadNotice, Target, break_cause};
use crate::exchange::{AnswerHead, AnswerPart, Payload};
use crate::http::{
    CallError, Connector, ResponseBody, TcpConnector, connect_stream, strip_hop_by_hop,
};
use crate::peer::{TunnelClient, TunnelError, TunnelStream};
use crate::telemetry::LogKind;

/// Time allowed beyond a request's own deadline before the endpoint counts as silent. The scheduler
/// ends requests at their deadline, so this only bounds the ones that it has lost track of.
const DEADLINE_GRACE: Duration = Duration::from_secs(2);
/// Time limit for the answer to a request without a deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_mins(10);

/// What a request to an endpoint carries in addition to the caller's request.
#[derive(Debug, Clone, Copy)]
pub struct RelayRequest<'a> {
    /// The request as sent by the caller.
    pub payload: &'a Payload,
    /// Endpoint that must answer. Another endpoint may have taken over its address.
    pub endpoint: &'a EndpointId,
    /// Time until the deadline, if the request has one.
    pub left: Option<Duration>,
    /// ID of the last event that the caller received, if the request resumes at another endpoint.
    pub last_event: Option<&'a str>,
}

/// Meaning of the head of an endpoint's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// The request did not run, and the endpoint can take other requests.
    NotRun,
    /// The request did not run, because the address now belongs to another endpoint.
    Misdirected,
    /// The answer belongs to another request or violates the platform's protocol.
    Foreign,
    /// The answer to the request.
    Answer,
}

/// The load that an endpoint reports has an unknown format or is out of range.
#[derive(Debug, Clone, Snafu, PartialEq, Eq)]
#[snafu(display("invalid load value: {text}"))]
pub struct InvalidLoad {
    /// Start of the malformed value.
    pub text: String,
}

/// Protocol of a platform's endpoints.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Adds the headers that the endpoint needs.
    fn add_headers(&self, headers: &mut HeaderMap, relay_request: RelayRequest<'_>);

    /// Returns the field by which each answer names its request.
    fn id_field(&self) -> HeaderName;

    /// Classifies the head of an answer.
    fn classify(&self, payload: &Payload, status: StatusCode, headers: &HeaderMap) -> ResponseKind;

    /// Reads the endpoint's notice about itself from any answer.
    fn notice(&self, status: StatusCode, headers: &HeaderMap) -> HeadNotice;

    /// Reads the endpoint's load from the head of an answer, or `None` if the head has none.
    ///
    /// # Errors
    ///
    /// Fails if the value is malformed.
    fn load(&self, headers: &HeaderMap) -> Result<Option<ServerLoad>, InvalidLoad>;
}

/// Dispatches requests unchanged to a platform's endpoints.
#[derive(Debug, Clone)]
pub struct Relay<D, C = TcpConnector> {
    dialect: D,
    connector: C,
    connect_timeout: Duration,
    tunnels: TunnelClient,
}

impl<D: Dialect, C: Connector> Relay<D, C> {
    /// Creates a relay with a time limit for connecting, and a client for connections through peers.
    #[must_use]
    pub fn new(dialect: D, connector: C, connect_timeout: Duration, tunnels: TunnelClient) -> Self {
        Self {
            dialect,
            connector,
            connect_timeout,
            tunnels,
        }
    }

    /// Builds the request of one dispatch.
    fn request(&self, run: &DispatchRun) -> Option<Request<Full<Bytes>>> {
        let payload = &run.exchange.payload;
        let body = Full::new(payload.body.clone());
        let builder = Request::builder()
            .method(&payload.method)
            .uri(&payload.target);
        let mut request = builder.body(body).ok()?;
        let last_event = run.delivered().last_event.clone();
        let now = run.clock.now();
        let relay_request = RelayRequest {
            payload,
            endpoint: &run.dispatch.endpoint,
            left: run.dispatch.deadline.map(|by| by.saturating_sub(now)),
            last_event: last_event.as_deref(),
        };
        request.headers_mut().clone_from(&payload.headers);
        self.dialect
            .add_headers(request.headers_mut(), relay_request);
        Some(request)
    }

    /// Reports the endpoint's pace from the head of an answer to the scheduler.
    async fn report_load(&self, run: &DispatchRun, headers: &HeaderMap) {
        match self.dialect.load(headers) {
            Ok(load) => {
                if let Some(pace) = load.and_then(|load| load.pace) {
                    run.report_pace(pace).await;
                }
            }
            Err(invalid) => run.report_malformed(LogKind::BadLoad, invalid.text).await,
        }
    }

    /// Handles the head of an answer: reports its meaning to the scheduler, or forwards the answer.
    async fn handle_response(
        &self,
        location: EndpointLocation,
        run: &DispatchRun,
        mut response: Response<ResponseBody>,
    ) -> &'static str {
        let payload = &run.exchange.payload;
        let status = response.status();
        let kind = self.dialect.classify(payload, status, response.headers());
        // Reported before anything else, whatever the answer means.
        let mut head = self.dialect.notice(status, response.headers());
        if kind == ResponseKind::Foreign {
            head.ignore_absent_headers();
        }
        run.report_notice(&head).await;
        match kind {
            ResponseKind::NotRun => return run.report_not_run(false).await,
            ResponseKind::Misdirected => return run.report_not_run(true).await,
            ResponseKind::Foreign => return run.report_broken(BreakCause::Foreign).await,
            ResponseKind::Answer => {}
        }
        self.report_load(run, response.headers()).await;
        let framing = response.body().framing();
        run.record_head(framing);
        strip_hop_by_hop(response.headers_mut());
        let (parts, body) = response.into_parts();
        let body = EndpointBody::new(body)
            .with_id_field(self.dialect.id_field())
            .with_awaited_bytes(status.is_success());
        let has_failed = status.is_server_error();
        let backs_off = head.notice.backoff.is_some();
        let head = AnswerHead {
            status,
            headers: parts.headers,
            unframed: framing == Framing::Connection,
        };
        if has_failed && !backs_off {
            run.report(DispatchUpdate::Failed).await;
        }
        if has_failed && payload.terms.repeatable {
            if !backs_off {
                keep_failure(run, head, body).await;
            }
            return run.report_broken(BreakCause::Failed).await;
        }
        if payload.terms.streamed && status.is_success() {
            Stream::new(run, head, location.event_tokens)
                .forward(body)
                .await
        } else {
            forward_plain(run, head, body).await
        }
    }
}

impl<D: Dialect, C: Connector> Dispatcher for Relay<D, C> {
    async fn run(&self, location: EndpointLocation, run: DispatchRun) -> &'static str {
        let limit = run.dispatch.deadline.map_or(DEFAULT_TIMEOUT, |by| {
            by.saturating_sub(run.clock.now()) + DEADLINE_GRACE
        });
        let mut connection = match self.open(&run).await {
            Ok(connection) => connection,
            Err(failure) => return failure.report(&run).await,
        };
        // Checked after the connect, since the process may have been suspended during it.
        if let Some(result) = run.check_before_write().await {
            return result;
        }
        let Some(request) = self.request(&run) else {
            return run.report_not_run(false).await;
        };
        let result = match run.until_restart(connection.call(request, limit)).await {
            Ok(Ok(response)) => self.handle_response(location, &run, response).await,
            Ok(Err(e)) if e.never_sent() => run.report_not_run(true).await,
            Ok(Err(e)) => run.report_broken(break_cause(&e)).await,
            Err(_) => run.report_broken(BreakCause::Restarted).await,
        };
        drop(connection);
        result
    }

    async fn connect(&self, location: EndpointLocation) -> Result<TcpStream, CallError> {
        connect_stream(&self.connector, location.address, self.connect_timeout).await
    }

    async fn connect_through(
        &self,
        peer: &InstanceId,
        target: &Target,
        id: RequestId,
    ) -> Result<TunnelStream, TunnelError> {
        self.tunnels.open(peer, target, id).await
    }

    /// Does nothing: the endpoints drop a request when its connection is closed.
    async fn cancel(&self, _place: EndpointLocation, _id: RequestId, _dispatch: u32) {}
}

/// Reports the end of the answer to the scheduler.
async fn finish(run: &DispatchRun, result: Result<(), DispatchError>, output: u32) -> &'static str {
    match result {
        Ok(()) => {
            run.exchange.reply.mark_complete();
            let update = DispatchUpdate::Ended {
                prompt: run.exchange.payload.terms.prompt_tokens,
                cached: 0,
                output,
            };
            run.report(update).await;
            // The caller may be gone by now; the ingress reports that to the scheduler.
            let _ = run.forward(AnswerPart::End).await;
            "answered"
        }
        Err(DispatchError::CallerGone) => {
            run.report_caller_left().await;
            "caller-left"
        }
        Err(DispatchError::EndpointFailed(cause)) => run.report_broken(cause).await,
    }
}
