//! Runs a dispatch to a model engine, from the write to the end of the answer.

use std::time::Duration;

use bytes::Bytes;
use firdock_policy::event::{BreakCause, DispatchUpdate};
use hyper::header::{self, HeaderValue};
use hyper::{HeaderMap, StatusCode};

use super::run::{DispatchError, DispatchRun};
use super::{EngineClient, EngineRequest, EngineUsage, StartError, StreamError};
use super::{TokenEvent, TokenStream};
use crate::exchange::{AnswerHead, AnswerPart};
use crate::ingress::ModelCall;

/// Maximum number of attempts to resume a broken stream on the same engine.
const MAX_RESUME_ATTEMPTS: u32 = 2;
/// Delay before each attempt.
const RESUME_DELAY: Duration = Duration::from_millis(50);
/// Maximum size of an answer that is assembled for a caller that does not stream.
const MAX_TEXT_BYTES: usize = 8 << 20;

/// Runs a dispatch to a model engine and returns the result for the trace.
pub async fn run<E: EngineClient>(engine: E, run: DispatchRun) -> &'static str {
    let Some(call) = run.exchange.payload.model.clone() else {
        return "no-model-call";
    };
    if let Some(result) = run.check_before_write().await {
        return result;
    }
    let text = run.delivered().text.clone();
    let engine_request = EngineRequest {
        id: run.id(),
        dispatch: run.dispatch.dispatch,
        resume_from: run.dispatch.resume_from,
        resume_text: &text,
        priority: run.dispatch.priority,
        call: &call,
        trace: run.trace,
    };
    let started = engine.start(run.target.address, engine_request).await;
    run.report_notice(&started.head).await;
    match started.result {
        Ok(stream) => follow(&engine, &run, engine_request, stream).await,
        Err(e) => report_start_error(&run, e).await,
    }
}

async fn report_start_error(run: &DispatchRun, error: StartError) -> &'static str {
    match error {
        StartError::Unreachable => run.report_not_run(true).await,
        StartError::Refused => run.report_not_run(false).await,
        StartError::Lost { cause } => run.report_broken(cause).await,
        StartError::Answered { status, body } => forward_error(run, status, body).await,
    }
}

/// Forwards an engine's error response as the caller's answer.
async fn forward_error(run: &DispatchRun, status: u16, body: Bytes) -> &'static str {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let head = AnswerHead {
        status,
        headers: content_type("application/json"),
        unframed: false,
    };
    run.report(DispatchUpdate::Started { head_sent: true })
        .await;
    for part in [AnswerPart::Head(head), AnswerPart::Data(body)] {
        if run.forward(part).await.is_err() {
            run.report_caller_left().await;
            return "caller-left";
        }
    }
    run.report(DispatchUpdate::Ended {
        prompt: 0,
        cached: 0,
        output: 0,
    })
    .await;
    let _ = run.forward(AnswerPart::End).await;
    "engine-error"
}

/// Reads the stream to its end and resumes it when its connection breaks.
async fn follow<E: EngineClient>(
    engine: &E,
    run: &DispatchRun,
    engine_request: EngineRequest<'_>,
    mut stream: E::Stream,
) -> &'static str {
    let mut forwarder = AnswerForwarder {
        run,
        call: engine_request.call,
        usage: EngineUsage::default(),
        begun: false,
    };
    let mut attempts = 0;
    loop {
        let Ok(next) = run
            .until_restart(stream.next(run.limits.idle_timeout))
            .await
        else {
            return run.report_broken(BreakCause::Restarted).await;
        };
        run.delivered().end = Some(stream.answer_end());
        match next {
            Ok(Some(event)) => {
                if forwarder.forward(event).await.is_err() {
                    run.report_caller_left().await;
                    return "caller-left";
                }
            }
            Ok(None) => return forwarder.finish().await,
            // A resumed request counts towards the limit of an engine that has one.
            Err(StreamError::Broken) if attempts < MAX_RESUME_ATTEMPTS && !run.dispatch.limited => {
                attempts += 1;
                tokio::time::sleep(RESUME_DELAY).await;
                let from = run.delivered().tokens;
                let resumed = engine
                    .resume(run.target.address, engine_request, from)
                    .await;
                run.report_notice(&resumed.head).await;
                match resumed.result {
                    Ok(again) => stream = again,
                    Err(_) => return run.report_broken(BreakCause::Closed).await,
                }
            }
            Err(e) => return run.report_broken(break_cause(e)).await,
        }
    }
}

/// Forwards token events in the format that the caller requested.
struct AnswerForwarder<'a> {
    run: &'a DispatchRun,
    call: &'a ModelCall,
    usage: EngineUsage,
    begun: bool,
}

impl AnswerForwarder<'_> {
    async fn forward(&mut self, mut event: TokenEvent) -> Result<(), DispatchError> {
        if let Some(usage) = event.usage {
            self.usage = usage;
        }
        event.json["id"] = self.run.id().to_string().into();
        let first = !self.begun && event.tokens > 0;
        if first {
            self.begin().await?;
        }
        self.record(&event)?;
        if self.call.stream {
            self.begin_stream().await?;
            let line = format!("data: {}\n\n", event.json);
            self.run
                .forward(AnswerPart::Data(Bytes::from(line)))
                .await?;
        }
        if first {
            let delivered = self.run.delivered().tokens;
            let cached = self.usage.cached;
            self.run
                .report(DispatchUpdate::Tokens { delivered, cached })
                .await;
        }
        Ok(())
    }

    /// Reports to the scheduler that the answer has started.
    async fn begin(&mut self) -> Result<(), DispatchError> {
        self.begun = true;
        let head_sent = self.call.stream;
        self.run.report(DispatchUpdate::Started { head_sent }).await;
        Ok(())
    }

    /// Forwards the head of a streamed answer, once over all dispatches.
    async fn begin_stream(&self) -> Result<(), DispatchError> {
        if std::mem::replace(&mut self.run.delivered().head_sent, true) {
            return Ok(());
        }
        let headers = content_type("text/event-stream");
        self.run
            .forward(AnswerPart::Head(AnswerHead {
                status: StatusCode::OK,
                headers,
                unframed: false,
            }))
            .await
    }

    /// Adds the event to the delivered part of the answer.
    fn record(&self, event: &TokenEvent) -> Result<(), DispatchError> {
        let mut delivered = self.run.delivered();
        delivered.tokens = delivered.tokens.max(event.offset + event.tokens);
        delivered.text.push_str(&event.text);
        if delivered.text.len() > MAX_TEXT_BYTES {
            Err(DispatchError::CallerGone)
        } else {
            Ok(())
        }
    }

    async fn finish(&mut self) -> &'static str {
        if !self.begun && self.begin().await.is_err() {
            return "caller-left";
        }
        let output = self.run.delivered().tokens;
        self.run.exchange.reply.mark_complete();
        if self.forward_end(output).await.is_err() {
            self.run.report_caller_left().await;
            return "caller-left";
        }
        let (prompt, cached) = (self.usage.prompt, self.usage.cached);
        self.run
            .report(DispatchUpdate::Ended {
                prompt,
                cached,
                output,
            })
            .await;
        let _ = self.run.forward(AnswerPart::End).await;
        "answered"
    }

    /// Forwards the end of the answer.
    async fn forward_end(&self, output: u32) -> Result<(), DispatchError> {
        if self.call.stream {
            self.begin_stream().await?;
            return self
                .run
                .forward(AnswerPart::Data(Bytes::from_static(b"data: [DONE]\n\n")))
                .await;
        }
        let usage = crate::ingress::Usage {
            prompt: self.usage.prompt,
            cached: self.usage.cached,
            output,
            limited: output >= self.call.max_tokens,
        };
        let text = self.run.delivered().text.clone();
        let body = self
            .call
            .whole_answer(&self.run.id().to_string(), &text, usage);
        let head = AnswerHead {
            status: StatusCode::OK,
            headers: content_type("application/json"),
            unframed: false,
        };
        self.run.forward(AnswerPart::Head(head)).await?;
        self.run.forward(AnswerPart::Data(body)).await
    }
}

fn break_cause(error: StreamError) -> BreakCause {
    match error {
        StreamError::Broken => BreakCause::Closed,
        StreamError::Silent => BreakCause::Silent,
        StreamError::Inconsistent => BreakCause::Foreign,
    }
}

fn content_type(value: &'static str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(value));
    headers
}
