//! Endpoints: small traits for engines and plain servers, and their HTTP adapters.
//!
//! Only an adapter has to change for other far ends; the tasks that drive a dispatch take the
//! traits as generics (see `docs/design/endpoints.md`).

mod body;
mod direct;
mod ending;
mod engine;
mod events;
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
use firdock_core::{EndpointId, RequestId};
use firdock_policy::event::BreakCause;
use hyper::header::HeaderName;
use hyper::{HeaderMap, Method};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

pub use body::EndpointBody;
pub use direct::DirectDispatcher;
pub use ending::{
    AnswerEnd, BodyState, Completeness, Ending, Framing, TrailingData, assess_completeness,
};
pub use engine::HttpEngine;
pub use events::EventSplitter;
pub use notice::{HeadNotice, value_prefix};
pub use plain::HttpPlain;
pub use report::poll_reports;
pub use sse::{InvalidEventStream, SseDecoder, SseEvent};

use self::run::DispatchRun;
use crate::exchange::AnswerHead;
use crate::http::CallError;
use crate::ingress::ModelCall;
use crate::site::EndpointLocation;
use crate::telemetry::TraceContext;

/// Header by which an endpoint tells that it refused a request before doing anything for it.
pub const NOT_STARTED_HEADER: &str = "request-not-started";
/// Header by which an endpoint says that it leaves, by the value `1` on any answer.
pub const LEAVING_HEADER: HeaderName = HeaderName::from_static("endpoint-leaving");
/// Header that carries the number of the dispatch.
pub const DISPATCH_HEADER: &str = "x-dispatch";
/// Path of an endpoint's report.
pub const REPORT_PATH: &str = "/report";

/// Carries dispatches out at endpoints.
pub trait Dispatcher: Clone + Send + Sync + 'static {
    /// Runs a dispatch to its end; gives a word on how it ended for the trace.
    fn run(
        &self,
        place: EndpointLocation,
        run: DispatchRun,
    ) -> impl Future<Output = &'static str> + Send;

    /// Tells an endpoint to stop working on a request whose connection was closed.
    fn cancel(
        &self,
        place: EndpointLocation,
        id: RequestId,
        dispatch: u32,
    ) -> impl Future<Output = ()> + Send;
}

/// Why an endpoint did not begin an answer.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum StartError {
    /// The request was never sent.
    #[snafu(display("endpoint not reached"))]
    Unreachable,
    /// The endpoint refused before doing anything.
    #[snafu(display("endpoint refused"))]
    Refused,
    /// The request may have run.
    #[snafu(display("endpoint lost after the request was sent"))]
    Lost {
        /// How it came about.
        cause: BreakCause,
    },
    /// The endpoint answered with an error of its own, which is the caller's answer.
    #[snafu(display("endpoint answered {status}"))]
    Answered {
        /// Status.
        status: u16,
        /// Body.
        body: Bytes,
    },
}

/// Gives how a call came to break off after its request may have been sent.
pub(crate) fn break_cause(error: &CallError) -> BreakCause {
    match error {
        CallError::AnswerTime => BreakCause::Silent,
        CallError::Http { source } => body::ending_of(source).into(),
        CallError::Connect { .. } | CallError::ConnectTime { .. } => BreakCause::Closed,
    }
}

/// What came of a call to an endpoint, with what the head of its answer said of the endpoint.
#[derive(Debug)]
pub struct EndpointResponse<T> {
    /// What the head said; nothing where none came.
    pub head: HeadNotice,
    /// What came of the call.
    pub result: Result<T, StartError>,
}

impl<T> EndpointResponse<T> {
    /// Makes what came of a call that got no answer.
    #[must_use]
    pub fn without_head(error: StartError) -> Self {
        Self {
            head: HeadNotice::default(),
            result: Err(error),
        }
    }
}

/// Why a stream of tokens stopped before its end.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum StreamError {
    /// The connection broke; the engine may still hold the stream.
    #[snafu(display("connection broke"))]
    Broken,
    /// Nothing came for too long.
    #[snafu(display("engine fell silent"))]
    Silent,
    /// What came is not this request's answer, or has a hole.
    #[snafu(display("crossed or incomplete answer"))]
    Crossed,
}

/// Order to an engine to answer a model call.
#[derive(Debug, Clone, Copy)]
pub struct EngineRequest<'a> {
    /// Request.
    pub id: RequestId,
    /// Number of the dispatch.
    pub dispatch: u32,
    /// Tokens that the caller already has.
    pub resume_from: u32,
    /// Text of those tokens, so that the engine can go on from it.
    pub resume_text: &'a str,
    /// 0 goes first.
    pub priority: u8,
    /// The call.
    pub call: &'a ModelCall,
    /// Trace.
    pub trace: TraceContext,
}

/// A token event of an answer.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenEvent {
    /// Tokens of the whole answer before this event.
    pub offset: u32,
    /// Tokens in this event; 0 in the last one.
    pub tokens: u32,
    /// Text of the event.
    pub text: String,
    /// The event's JSON, passed on to callers who stream.
    pub json: serde_json::Value,
    /// Prompt tokens and those taken from the cache, as far as the engine has told.
    pub usage: Option<EngineUsage>,
    /// Why the answer ended, in the last event.
    pub finish: Option<String>,
}

/// Token counts by the engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineUsage {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the prompt that were cached.
    pub cached: u32,
}

/// Report of an endpoint: load, and cache changes since the last one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EndpointReport {
    /// Age of the reading in milliseconds.
    pub age_millis: u64,
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens that it has yet to compute.
    pub backlog: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Number to ask the next changes after.
    pub sequence: u64,
    /// Whether changes after the number asked for are missing.
    pub gap: bool,
    /// Blocks that came into the cache.
    pub added: Vec<BlockHash>,
    /// Blocks that were dropped.
    pub removed: Vec<BlockHash>,
}

/// An order to an engine outside any request; one with an older fence is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedCommand {
    /// Greater than in all earlier orders.
    pub fence: u64,
    /// What to do.
    pub order: EngineCommand,
}

/// What an engine can be told to be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineCommand {
    /// Load a model.
    LoadModel(String),
    /// Stop taking new work.
    Leave,
    /// Take work again.
    Stay,
}

/// Exported KV cache of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvCache(pub Bytes);

/// A stream of tokens.
pub trait TokenStream: Send + 'static {
    /// Gives the next event; `None` after the last one.
    ///
    /// # Errors
    ///
    /// Fails if the stream stops before its end.
    fn next(
        &mut self,
        silence: Duration,
    ) -> impl Future<Output = Result<Option<TokenEvent>, StreamError>> + Send;

    /// Gives what has come of the answer, for the lines on its end.
    fn answer_end(&self) -> AnswerEnd;
}

/// A model engine.
pub trait EngineClient: Clone + Send + Sync + 'static {
    /// Stream of an answer.
    type Stream: TokenStream;

    /// Starts a request; a first `offset` of `resume_from` goes on where another engine stopped.
    ///
    /// A failure tells whether the request may have run.
    fn start(
        &self,
        at: SocketAddr,
        order: EngineRequest<'_>,
    ) -> impl Future<Output = EndpointResponse<Self::Stream>> + Send;

    /// Takes a running stream up again at an offset, after its connection broke; fails if the engine
    /// does not have the request any more.
    fn resume(
        &self,
        at: SocketAddr,
        order: EngineRequest<'_>,
        from: u32,
    ) -> impl Future<Output = EndpointResponse<Self::Stream>> + Send;

    /// Cancels a request; an engine that does not know it does nothing.
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
    /// Fails if the engine has none or is not reached.
    fn export_kv(
        &self,
        at: SocketAddr,
        id: RequestId,
    ) -> impl Future<Output = Result<KvCache, StartError>> + Send;

    /// Imports the KV cache of a request.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot take it or is not reached.
    fn import_kv(
        &self,
        at: SocketAddr,
        id: RequestId,
        cache: KvCache,
    ) -> impl Future<Output = Result<(), StartError>> + Send;

    /// Gives an order outside any request.
    ///
    /// # Errors
    ///
    /// Fails if a later order was given before, or the engine is not reached.
    fn order(
        &self,
        at: SocketAddr,
        order: &FencedCommand,
    ) -> impl Future<Output = Result<(), StartError>> + Send;
}

/// A call to a plain server.
#[derive(Debug, Clone, Copy)]
pub struct PlainRequest<'a> {
    /// Request.
    pub id: RequestId,
    /// Number of the dispatch.
    pub dispatch: u32,
    /// Method.
    pub method: &'a Method,
    /// Path with the query.
    pub target: &'a str,
    /// Headers.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: &'a Bytes,
    /// Trace.
    pub trace: TraceContext,
}

/// A plain application server.
pub trait PlainClient: Clone + Send + Sync + 'static {
    /// Sends a call and waits for the head of the answer.
    ///
    /// A failure tells whether the request may have run.
    fn call(
        &self,
        at: SocketAddr,
        order: PlainRequest<'_>,
        silence: Duration,
    ) -> impl Future<Output = EndpointResponse<PlainAnswer>> + Send;
}

/// Head of a plain server's answer, with the body to come.
#[derive(Debug)]
pub struct PlainAnswer {
    /// Head.
    pub head: AnswerHead,
    /// Body.
    pub body: EndpointBody,
    /// Connection, kept open while the body is read.
    pub connection: crate::http::Connection,
}

/// Source of endpoints' reports.
pub trait ReportSource: Clone + Send + Sync + 'static {
    /// Asks an endpoint for its report and the cache changes after `after`.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint is not reached or answers with anything else.
    fn report(
        &self,
        at: SocketAddr,
        after: u64,
    ) -> impl Future<Output = Result<EndpointReport, StartError>> + Send;
}

/// Name of an endpoint with its address, for tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Endpoint.
    pub name: EndpointId,
    /// Address.
    pub address: SocketAddr,
}
