//! Runs a dispatch to a plain server, from the write to the end of the answer.

use bytes::Bytes;
use firdock_policy::event::{BreakCause, DispatchUpdate};
use tokio::time::timeout;

use super::run::{DispatchError, DispatchRun};
use super::{BodyState, Ending, EndpointBody, PlainAnswer, PlainClient, PlainRequest, StartError};
use crate::answer_cache::{AnswerCache, CachedAnswer};
use crate::exchange::AnswerPart;

/// Runs a dispatch to a plain server and returns the result for the trace.
pub async fn run<P: PlainClient>(
    plain: P,
    run: DispatchRun,
    answer_cache: AnswerCache,
) -> &'static str {
    if let Some(result) = run.check_before_write().await {
        return result;
    }
    let payload = &run.exchange.payload;
    let plain_request = PlainRequest {
        id: run.dispatch.id,
        dispatch: run.dispatch.dispatch,
        method: &payload.method,
        target: &payload.target,
        headers: &payload.headers,
        body: &payload.body,
        trace: run.trace,
    };
    let response = plain
        .call(run.target.address, plain_request, run.limits.idle_timeout)
        .await;
    run.report_notice(&response.head).await;
    match response.result {
        Ok(answer) => forward_answer(&run, answer, &answer_cache).await,
        Err(StartError::Unreachable) => run.report_not_run(true).await,
        Err(StartError::Refused) => run.report_not_run(false).await,
        Err(StartError::Answered { .. }) => run.report_broken(BreakCause::Failed).await,
        Err(StartError::Lost { cause }) => run.report_broken(cause).await,
    }
}

async fn forward_answer(
    run: &DispatchRun,
    answer: PlainAnswer,
    answer_cache: &AnswerCache,
) -> &'static str {
    let PlainAnswer {
        head,
        body,
        connection,
    } = answer;
    run.record_head(body.framing());
    let mut kept = run
        .exchange
        .payload
        .key
        .as_ref()
        .map(|_| CachedAnswer::new(head.clone()));
    run.report(DispatchUpdate::Started { head_sent: true })
        .await;
    // The body is passed on as it comes, without positions at which another endpoint could go on.
    run.report(DispatchUpdate::Unresumable).await;
    let result = match run.forward(AnswerPart::Head(head)).await {
        Ok(()) => forward_body(run, body, &mut kept).await,
        Err(stop) => Err(stop),
    };
    drop(connection);
    match result {
        Ok(()) => {
            run.exchange.reply.mark_complete();
            if let Some(kept) = kept {
                answer_cache.insert(run.dispatch.id, kept);
            }
            run.report(DispatchUpdate::Ended {
                prompt: 0,
                cached: 0,
                output: 0,
            })
            .await;
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

/// Forwards the body to its end. A premature end is a connection error.
async fn forward_body(
    run: &DispatchRun,
    mut body: EndpointBody,
    kept: &mut Option<CachedAnswer>,
) -> Result<(), DispatchError> {
    loop {
        let next = timeout(run.limits.idle_timeout, body.next()).await;
        match next.unwrap_or(Err(Ending::Silent)) {
            Ok(bytes) => {
                run.record_bytes(&bytes);
                keep(kept, &bytes);
                run.forward(AnswerPart::Data(bytes)).await?;
            }
            Err(ending) => {
                return run
                    .finish_answer(body.framing(), ending, BodyState::Opaque)
                    .await;
            }
        }
    }
}

fn keep(kept: &mut Option<CachedAnswer>, bytes: &Bytes) {
    let fits = kept.as_mut().is_none_or(|k| k.push(bytes));
    if !fits {
        *kept = None;
    }
}
