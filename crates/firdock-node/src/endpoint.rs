//! Traits for engines and plain servers, with their HTTP adapters.
//!
//! Supporting another kind of endpoint only takes another adapter. The tasks that run dispatches
//! are generic over the traits (see `docs/design/endpoints.md`).

mod body;
mod direct;
mod ending;
mod engine;
mod events;
mod next_head;
mod notice;
mod plain;
pub mod relay;
mod report;
pub mod run;
pub mod run_engine;
pub mod run_plain;
mod sse;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use firdock_core::prefix::BlockHash;
use firdock_core::{EndpointId, InstanceId, RequestId};
use firdock_policy::event::BreakCause;
use hyper::header::HeaderName;
use hyper::{HeaderMap, Method};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use tokio::net::TcpStream;

pub use crate::http::Framing;
pub use body::EndpointBody;
pub use direct::DirectDispatcher;
pub use ending::{AnswerEnd, BodyState, Completeness, Ending, TrailingData, assess_completeness};
pub use engine::HttpEngine;
pub use events::EventSplitter;
pub use notice::{HeadNotice, NoticeHeaders, value_prefix};
pub use plain::HttpPlain;
pub use report::poll_reports;
pub use sse::{InvalidEventStream, SseDecoder, SseEvent};

use self::run::DispatchRun;
use crate::exchange::AnswerHead;
use crate::http::CallError;
use crate::ingress::ModelCall;
use crate::peer::{TunnelError, TunnelStream};
use crate::site::EndpointLocation;
use crate::telemetry::TraceContext;

/// Header of a response to a request that the endpoint refused without starting it.
pub const NOT_STARTED_HEADER: &str = "request-not-started";
/// Header that announces, with the value `1` on any response, that an endpoint is leaving.
pub const LEAVING_HEADER: HeaderName = HeaderName::from_static("endpoint-leaving");
/// Header with the requests per second that an endpoint takes from all instances together.
pub const LIMIT_HEADER: HeaderName = HeaderName::from_static("endpoint-limit");
/// Header with the requests per second that an endpoint can refuse for want of room without failing.
pub const REFUSAL_LIMIT_HEADER: HeaderName = HeaderName::from_static("endpoint-refusal-limit");
/// Headers of notices on any response.
pub const NOTICE_HEADERS: NoticeHeaders = NoticeHeaders {
    leaving: LEAVING_HEADER,
    limit: LIMIT_HEADER,
    refusal_limit: REFUSAL_LIMIT_HEADER,
};
/// Header with the number of the dispatch.
pub const DISPATCH_HEADER: &str = "x-dispatch";
/// Path of an endpoint's report.
pub const REPORT_PATH: &str = "/report";

/// Runs dispatches at endpoints.
pub trait Dispatcher: Clone + Send + Sync + 'static {
    /// Runs a dispatch to its end and returns the result for the trace.
    fn run(
        &self,
        location: EndpointLocation,
        run: DispatchRun,
    ) -> impl Future<Output = &'static str> + Send;

    /// Opens a connection to an endpoint over the instance's own link, on which nothing is sent.
    ///
    /// # Errors
    ///
    /// Fails if no connection is established in time.
    fn connect(
        &self,
        location: EndpointLocation,
    ) -> impl Future<Output = Result<TcpStream, CallError>> + Send;

    /// Opens a connection to an endpoint by way of a peer, on which nothing is sent.
    ///
    /// # Errors
    ///
    /// Fails if the peer passes no connection on or does not reach the endpoint.
    fn connect_through(
        &self,
        peer: &InstanceId,
        target: &Target,
        id: RequestId,
    ) -> impl Future<Output = Result<TunnelStream, TunnelError>> + Send;

    /// Tells an endpoint to stop working on a request whose connection was closed.
    fn cancel(
        &self,
        location: EndpointLocation,
        id: RequestId,
        dispatch: u32,
    ) -> impl Future<Output = ()> + Send;
}

/// Why an endpoint did not start an answer.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum StartError {
    /// The request was never sent.
    #[snafu(display("endpoint unreachable"))]
    Unreachable,
    /// The endpoint refused the request without starting it.
    #[snafu(display("endpoint refused the request"))]
    Refused,
    /// The request may have run.
    #[snafu(display("endpoint lost after the request was sent"))]
    Lost {
        /// How the answer broke off.
        cause: BreakCause,
    },
    /// The endpoint responded with an error of its own, which is forwarded to the caller.
    #[snafu(display("endpoint responded with status {status}"))]
    Answered {
        /// Status code.
        status: u16,
        /// Body.
        body: Bytes,
    },
}

/// Returns how a call broke off after its request may have been sent.
pub(crate) fn break_cause(error: &CallError) -> BreakCause {
    match error {
        CallError::AnswerTime => BreakCause::Silent,
        CallError::Http { source } => body::ending_of(source).into(),
        CallError::Head { source } => BreakCause::InvalidHead(source.fault),
        CallError::Connect { .. } | CallError::ConnectTime { .. } => BreakCause::Closed,
    }
}

/// Result of a call to an endpoint, with the endpoint's notice about itself.
#[derive(Debug)]
pub struct EndpointResponse<T> {
    /// Notice in the response head; empty if there was no response.
    pub head: HeadNotice,
    /// Result of the call.
    pub result: Result<T, StartError>,
}

impl<T> EndpointResponse<T> {
    /// Creates the result of a call without a response.
    #[must_use]
    pub fn without_head(error: StartError) -> Self {
        Self {
            head: HeadNotice::default(),
            result: Err(error),
        }
    }
}

/// Why a token stream stopped before its end.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum StreamError {
    /// The connection broke; the engine may still hold the stream.
    #[snafu(display("connection lost"))]
    Broken,
    /// No data arrived within the time limit.
    #[snafu(display("no data from the engine within the time limit"))]
    Silent,
    /// The data belongs to another request, or tokens are missing.
    #[snafu(display("data of another request, or missing tokens"))]
    Inconsistent,
}

/// Request to an engine to answer a model call.
#[derive(Debug, Clone, Copy)]
pub struct EngineRequest<'a> {
    /// Request ID.
    pub id: RequestId,
    /// Number of the dispatch.
    pub dispatch: u32,
    /// Number of tokens that the caller already has.
    pub resume_from: u32,
    /// Text of those tokens, from which the engine resumes.
    pub resume_text: &'a str,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// The model call.
    pub call: &'a ModelCall,
    /// Trace context.
    pub trace: TraceContext,
}

/// A token event of an answer.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenEvent {
    /// Number of tokens in the answer before this event.
    pub offset: u32,
    /// Number of tokens in this event; 0 in the last one.
    pub tokens: u32,
    /// Text of the event.
    pub text: String,
    /// JSON of the event, forwarded to callers that stream.
    pub json: serde_json::Value,
    /// Prompt token counts, if the engine has reported them.
    pub usage: Option<EngineUsage>,
    /// Why the answer ended; set on the last event.
    pub finish: Option<String>,
}

/// Token counts reported by an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineUsage {
    /// Prompt tokens.
    pub prompt: u32,
    /// Prompt tokens taken from the cache.
    pub cached: u32,
}

/// Report of an endpoint: its load, and the cache changes since the previous report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EndpointReport {
    /// Age of the data in milliseconds.
    pub age_millis: u64,
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Prompt tokens that have not been computed yet.
    pub backlog: u32,
    /// Whether the endpoint is leaving.
    pub leaving: bool,
    /// Sequence number from which to request the next changes.
    pub sequence: u64,
    /// Whether changes after the requested sequence number are missing.
    pub gap: bool,
    /// Blocks added to the cache.
    pub added: Vec<BlockHash>,
    /// Blocks removed from the cache.
    pub removed: Vec<BlockHash>,
}

/// A command to an engine, independent of any request. One with an older fence is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedCommand {
    /// Greater than in all earlier commands.
    pub fence: u64,
    /// The command.
    pub order: EngineCommand,
}

/// Commands to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineCommand {
    /// Load a model.
    LoadModel(String),
    /// Stop accepting requests.
    Leave,
    /// Accept requests again.
    Stay,
}

/// Exported KV cache of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvCache(pub Bytes);

/// A stream of tokens.
pub trait TokenStream: Send + 'static {
    /// Returns the next event, or `None` after the last one.
    ///
    /// # Errors
    ///
    /// Fails if the stream stops before its end.
    fn next(
        &mut self,
        idle_timeout: Duration,
    ) -> impl Future<Output = Result<Option<TokenEvent>, StreamError>> + Send;

    /// Returns statistics on the answer, for the log lines about its end.
    fn answer_end(&self) -> AnswerEnd;
}

/// A model engine.
pub trait EngineClient: Clone + Send + Sync + 'static {
    /// Token stream of an answer.
    type Stream: TokenStream;

    /// Starts a request. If `resume_from` is not 0, the first event has that offset, and the answer
    /// resumes where another engine stopped.
    ///
    /// An error tells whether the request may have run.
    fn start(
        &self,
        at: SocketAddr,
        engine_request: EngineRequest<'_>,
    ) -> impl Future<Output = EndpointResponse<Self::Stream>> + Send;

    /// Resumes a running stream at an offset after its connection broke. Fails if the engine no
    /// longer has the request.
    fn resume(
        &self,
        at: SocketAddr,
        engine_request: EngineRequest<'_>,
        from: u32,
    ) -> impl Future<Output = EndpointResponse<Self::Stream>> + Send;

    /// Cancels a request. An engine that does not know the request ignores it.
    fn cancel(
        &self,
        at: SocketAddr,
        id: RequestId,
        dispatch: u32,
    ) -> impl Future<Output = ()> + Send;

    /// Exports the KV cache of a request.
    ///
    /// # Errors
    ///
    /// Fails if the engine has none or cannot be reached.
    fn export_kv(
        &self,
        at: SocketAddr,
        id: RequestId,
    ) -> impl Future<Output = Result<KvCache, StartError>> + Send;

    /// Imports the KV cache of a request.
    ///
    /// # Errors
    ///
    /// Fails if the engine rejects it or cannot be reached.
    fn import_kv(
        &self,
        at: SocketAddr,
        id: RequestId,
        cache: KvCache,
    ) -> impl Future<Output = Result<(), StartError>> + Send;

    /// Sends a command.
    ///
    /// # Errors
    ///
    /// Fails if a later command was sent before, or the engine cannot be reached.
    fn send_command(
        &self,
        at: SocketAddr,
        command: &FencedCommand,
    ) -> impl Future<Output = Result<(), StartError>> + Send;
}

/// A call to a plain server.
#[derive(Debug, Clone, Copy)]
pub struct PlainRequest<'a> {
    /// Request ID.
    pub id: RequestId,
    /// Number of the dispatch.
    pub dispatch: u32,
    /// Method.
    pub method: &'a Method,
    /// Path and query.
    pub target: &'a str,
    /// Headers.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: &'a Bytes,
    /// Trace context.
    pub trace: TraceContext,
}

/// A plain application server.
pub trait PlainClient: Clone + Send + Sync + 'static {
    /// Sends a call and waits for the head of the response.
    ///
    /// An error tells whether the request may have run.
    fn call(
        &self,
        at: SocketAddr,
        plain_request: PlainRequest<'_>,
        idle_timeout: Duration,
    ) -> impl Future<Output = EndpointResponse<PlainAnswer>> + Send;
}

/// Head of a plain server's answer, with the body still to be read.
#[derive(Debug)]
pub struct PlainAnswer {
    /// Head.
    pub head: AnswerHead,
    /// Body.
    pub body: EndpointBody,
    /// Connection, kept open while the body is read.
    pub connection: crate::http::Connection,
}

/// Source of endpoint reports.
pub trait ReportSource: Clone + Send + Sync + 'static {
    /// Requests an endpoint's report, with the cache changes after `after`.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint cannot be reached or the response is not a report.
    fn report(
        &self,
        at: SocketAddr,
        after: u64,
    ) -> impl Future<Output = Result<EndpointReport, StartError>> + Send;
}

/// Name and address of an endpoint, for tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Endpoint.
    pub name: EndpointId,
    /// Address.
    pub address: SocketAddr,
}
