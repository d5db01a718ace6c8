//! HTTP adapter for model engines that speak the OpenAI-compatible protocol.
//!
//! In addition to that protocol, an engine echoes the request ID and the dispatch number, numbers
//! its tokens, and keeps a running request for a while after its connection breaks.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use firdock_core::RequestId;
use firdock_policy::event::BreakCause;
use http_body_util::Full;
use hyper::{Method, Request, Response};
use serde::de::IgnoredAny;
use serde_json::{Value, json};
use tokio::time::timeout;

use super::ending::{AnswerEnd, BodyState, Completeness, Ending, assess_completeness};
use super::sse::{SseDecoder, SseEvent};
use super::{
    AnsweredSnafu, DISPATCH_HEADER, EndpointBody, EndpointReport, EndpointResponse, EngineClient,
    EngineRequest, EngineUsage, FencedCommand, Framing, HeadNotice, KvCache, LostSnafu,
    NOT_STARTED_HEADER, NOTICE_HEADERS, REPORT_PATH, RefusedSnafu, ReportSource, StartError,
    StreamError, TokenEvent, TokenStream, break_cause,
};
use crate::http::{CallError, Connection, ResponseBody, connect};
use crate::ingress::REQUEST_ID_HEADER;

/// Maximum size of a body that is not a stream.
const MAX_BODY_BYTES: usize = 8 << 20;
/// End marker of a stream in the `OpenAI` protocol.
const END_MARKER: &str = "[DONE]";

/// Adapter for engines.
#[derive(Debug, Clone, Copy)]
pub struct HttpEngine {
    connect_timeout: Duration,
    answer_timeout: Duration,
}

impl HttpEngine {
    /// Creates an adapter with its time limits.
    #[must_use]
    pub fn new(connect_timeout: Duration, answer_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            answer_timeout,
        }
    }

    async fn open(
        &self,
        at: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Connection, Response<ResponseBody>), StartError> {
        let mut connection = connect(at, self.connect_timeout)
            .await
            .map_err(|e| start_error(&e))?;
        let response = connection.call(request, self.answer_timeout).await;
        let response = response.map_err(|e| start_error(&e))?;
        Ok((connection, response))
    }

    async fn open_stream(
        &self,
        at: SocketAddr,
        engine_request: EngineRequest<'_>,
        request: Request<Full<Bytes>>,
        from: u32,
    ) -> EndpointResponse<HttpTokenStream> {
        let (connection, response) = match self.open(at, request).await {
            Ok(opened) => opened,
            Err(error) => return EndpointResponse::without_head(error),
        };
        let head = HeadNotice::read(response.status(), response.headers(), &NOTICE_HEADERS);
        let result = answer_body(engine_request, response)
            .await
            .map(|body| HttpTokenStream {
                _connection: connection,
                answer_end: AnswerEnd::new(body.framing()),
                body,
                decoder: SseDecoder::new(),
                next_offset: from,
                ended: false,
            });
        EndpointResponse { head, result }
    }

    /// Makes a call outside the token streams and returns its body if it succeeds.
    async fn call_engine(
        &self,
        at: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, StartError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .body(Full::new(body));
        let Ok(request) = request else {
            return RefusedSnafu.fail();
        };
        let (_connection, response) = self.open(at, request).await?;
        let status = response.status();
        let body = read_all(response).await?;
        if status.is_success() {
            return Ok(body);
        }
        AnsweredSnafu {
            status: status.as_u16(),
            body,
        }
        .fail()
    }
}

/// Checks the head of a response and returns its body if the answer follows.
async fn answer_body(
    engine_request: EngineRequest<'_>,
    response: Response<ResponseBody>,
) -> Result<EndpointBody, StartError> {
    if response.headers().contains_key(NOT_STARTED_HEADER) {
        return RefusedSnafu.fail();
    }
    if !echoes(&response, engine_request) {
        let cause = BreakCause::Foreign;
        return LostSnafu { cause }.fail();
    }
    let status = response.status();
    if status.is_success() {
        return Ok(EndpointBody::new(response.into_body()));
    }
    let body = read_all(response).await?;
    AnsweredSnafu {
        status: status.as_u16(),
        body,
    }
    .fail()
}

fn start_error(e: &CallError) -> StartError {
    if e.never_sent() {
        StartError::Unreachable
    } else {
        let cause = break_cause(e);
        StartError::Lost { cause }
    }
}

/// Whether a response echoes the request ID and the dispatch number.
fn echoes(response: &Response<ResponseBody>, engine_request: EngineRequest<'_>) -> bool {
    let text = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok());
    let id = text(REQUEST_ID_HEADER.as_str()) == Some(engine_request.id.to_string().as_str());
    id && text(DISPATCH_HEADER) == Some(engine_request.dispatch.to_string().as_str())
}

/// Reads a body that firdock itself interprets, either completely or not at all.
///
/// Without framing, only a format that marks its own end proves that the body is complete. JSON
/// does, a KV cache does not.
async fn read_all(response: Response<ResponseBody>) -> Result<Bytes, StartError> {
    let mut body = EndpointBody::new(response.into_body());
    let framing = body.framing();
    let mut read = BytesMut::new();
    let ending = loop {
        match body.next().await {
            Ok(bytes) => read.extend_from_slice(&bytes),
            Err(ending) => break ending,
        }
        if read.len() > MAX_BODY_BYTES {
            let cause = BreakCause::Foreign;
            return LostSnafu { cause }.fail();
        }
    };
    let bytes = read.freeze();
    let state = match framing {
        Framing::Connection => BodyState::Delimited {
            ended: serde_json::from_slice::<IgnoredAny>(&bytes).is_ok(),
        },
        _ => BodyState::Opaque,
    };
    match assess_completeness(framing, ending, state) {
        Completeness::Complete => Ok(bytes),
        Completeness::Unproven => LostSnafu {
            cause: BreakCause::Closed,
        }
        .fail(),
        Completeness::Broken(cause) => LostSnafu { cause }.fail(),
    }
}

/// Builds the request body for the engine: the caller's body with firdock's additions.
fn request_body(engine_request: EngineRequest<'_>) -> Bytes {
    let mut body = engine_request.call.body.clone();
    body["stream"] = json!(true);
    body["max_tokens"] = json!(engine_request.call.max_tokens);
    body["priority"] = json!(engine_request.priority);
    body["resume_from"] = json!(engine_request.resume_from);
    if engine_request.resume_from > 0 {
        body["resume_text"] = json!(engine_request.resume_text);
    }
    Bytes::from(body.to_string())
}

fn request_builder(
    method: Method,
    path: &str,
    engine_request: EngineRequest<'_>,
) -> hyper::http::request::Builder {
    Request::builder()
        .method(method)
        .uri(path)
        .header(REQUEST_ID_HEADER, engine_request.id.to_string())
        .header(DISPATCH_HEADER, engine_request.dispatch)
        .header("traceparent", engine_request.trace.header())
        .header("content-type", "application/json")
}

impl EngineClient for HttpEngine {
    type Stream = HttpTokenStream;

    async fn start(
        &self,
        at: SocketAddr,
        engine_request: EngineRequest<'_>,
    ) -> EndpointResponse<HttpTokenStream> {
        let path = if engine_request.call.chat {
            "/v1/chat/completions"
        } else {
            "/v1/completions"
        };
        let body = Full::new(request_body(engine_request));
        let Ok(request) = request_builder(Method::POST, path, engine_request).body(body) else {
            return EndpointResponse::without_head(StartError::Refused);
        };
        self.open_stream(at, engine_request, request, engine_request.resume_from)
            .await
    }

    async fn resume(
        &self,
        at: SocketAddr,
        engine_request: EngineRequest<'_>,
        from: u32,
    ) -> EndpointResponse<HttpTokenStream> {
        let path = format!(
            "/requests/{}/{}?from={from}",
            engine_request.id, engine_request.dispatch
        );
        let Ok(request) = request_builder(Method::GET, &path, engine_request).body(Full::default())
        else {
            return EndpointResponse::without_head(StartError::Refused);
        };
        self.open_stream(at, engine_request, request, from).await
    }

    async fn cancel(&self, at: SocketAddr, id: RequestId, dispatch: u32) {
        let path = format!("/requests/{id}/{dispatch}");
        let _ = self
            .call_engine(at, Method::DELETE, &path, Bytes::new())
            .await;
    }

    async fn export_kv(&self, at: SocketAddr, id: RequestId) -> Result<KvCache, StartError> {
        let path = format!("/kv/{id}");
        self.call_engine(at, Method::GET, &path, Bytes::new())
            .await
            .map(KvCache)
    }

    async fn import_kv(
        &self,
        at: SocketAddr,
        id: RequestId,
        cache: KvCache,
    ) -> Result<(), StartError> {
        let path = format!("/kv/{id}");
        self.call_engine(at, Method::PUT, &path, cache.0)
            .await
            .map(|_| ())
    }

    async fn send_command(
        &self,
        at: SocketAddr,
        command: &FencedCommand,
    ) -> Result<(), StartError> {
        let body = serde_json::to_vec(command).unwrap_or_default();
        self.call_engine(at, Method::POST, "/orders", Bytes::from(body))
            .await
            .map(|_| ())
    }
}

impl ReportSource for HttpEngine {
    async fn report(&self, at: SocketAddr, after: u64) -> Result<EndpointReport, StartError> {
        let path = format!("{REPORT_PATH}?after={after}");
        let body = self
            .call_engine(at, Method::GET, &path, Bytes::new())
            .await?;
        let cause = BreakCause::Foreign;
        serde_json::from_slice(&body).map_or_else(|_| LostSnafu { cause }.fail(), Ok)
    }
}

/// Stream of an engine's tokens, checked for missing and repeated ones.
#[derive(Debug)]
pub struct HttpTokenStream {
    _connection: Connection,
    body: EndpointBody,
    answer_end: AnswerEnd,
    decoder: SseDecoder,
    next_offset: u32,
    ended: bool,
}

impl TokenStream for HttpTokenStream {
    async fn next(&mut self, idle_timeout: Duration) -> Result<Option<TokenEvent>, StreamError> {
        loop {
            match self.decoder.next_event() {
                Ok(Some(SseEvent::Data(data))) => {
                    self.answer_end.events += 1;
                    if let Some(step) = self.handle_event(&data)? {
                        return Ok(step.event);
                    }
                }
                Ok(Some(SseEvent::Comment)) => {}
                Ok(None) => self.read_more(idle_timeout).await?,
                Err(_) => return Err(StreamError::Inconsistent),
            }
        }
    }

    fn answer_end(&self) -> AnswerEnd {
        self.answer_end
    }
}

/// One step of a stream: an event, or the end.
struct Step {
    event: Option<TokenEvent>,
}

impl HttpTokenStream {
    async fn read_more(&mut self, idle_timeout: Duration) -> Result<(), StreamError> {
        match timeout(idle_timeout, self.body.next()).await {
            Err(_) => {
                self.answer_end.ending = Some(Ending::Silent);
                Err(StreamError::Silent)
            }
            Ok(Ok(bytes)) => {
                self.answer_end.bytes += bytes.len() as u64;
                self.decoder.push(&bytes);
                Ok(())
            }
            // The end marker has not arrived, so that the answer is incomplete however the body
            // ended.
            Ok(Err(ending)) => {
                self.answer_end.ending = Some(ending);
                Err(StreamError::Broken)
            }
        }
    }

    /// Handles the data of one event. Events received before are dropped; missing tokens are an
    /// error.
    fn handle_event(&mut self, data: &str) -> Result<Option<Step>, StreamError> {
        if data == END_MARKER {
            let is_complete = self.ended;
            return if is_complete {
                self.answer_end.ending = Some(Ending::Framed);
                Ok(Some(Step { event: None }))
            } else {
                Err(StreamError::Inconsistent)
            };
        }
        let json = serde_json::from_str::<Value>(data)
            .ok()
            .ok_or(StreamError::Inconsistent)?;
        let event = read_event(json).ok_or(StreamError::Inconsistent)?;
        if event.offset > self.next_offset {
            return Err(StreamError::Inconsistent);
        }
        if event.offset < self.next_offset && event.finish.is_none() {
            return Ok(None);
        }
        self.next_offset = event.offset + event.tokens;
        self.ended |= event.finish.is_some();
        Ok(Some(Step { event: Some(event) }))
    }
}

fn read_event(json: Value) -> Option<TokenEvent> {
    let number = |v: &Value| v.as_u64().and_then(|n| u32::try_from(n).ok());
    let choice = &json["choices"][0];
    let text = choice["text"]
        .as_str()
        .or_else(|| choice["delta"]["content"].as_str());
    let finish = choice["finish_reason"].as_str().map(str::to_owned);
    let usage = number(&json["usage"]["prompt_tokens"]).map(|prompt| EngineUsage {
        prompt,
        cached: number(&json["usage"]["prompt_tokens_details"]["cached_tokens"]).unwrap_or(0),
    });
    Some(TokenEvent {
        offset: number(&json["offset"])?,
        tokens: number(&json["tokens"])?,
        text: text.unwrap_or_default().to_owned(),
        usage,
        finish,
        json,
    })
}
