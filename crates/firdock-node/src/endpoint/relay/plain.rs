//! Relays answers that are not event streams. Short ones are read completely before any part is
//! forwarded.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use firdock_policy::event::DispatchUpdate;

use tokio::time::timeout;

use super::finish;
use crate::endpoint::run::{DispatchError, DispatchRun};
use crate::endpoint::{BodyState, EndpointBody};
use crate::exchange::{AnswerHead, AnswerPart, WholeAnswer};

/// Longest answer that is read completely before any part is forwarded.
///
/// If the endpoint breaks off, the caller has received nothing yet, so that the request can run on
/// another endpoint. Buffering longer answers would cost memory and delay the first byte.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Forwards an answer that is not an event stream.
pub(super) async fn forward_plain(
    run: &DispatchRun,
    head: AnswerHead,
    body: EndpointBody,
) -> &'static str {
    let result = match buffer_body(run, body).await {
        Ok(BodyRead::Complete(bytes)) => {
            run.exchange.reply.mark_complete();
            forward_start(run, head, bytes).await
        }
        Ok(BodyRead::Partial(bytes, rest)) => match forward_start(run, head, bytes).await {
            Ok(()) => {
                run.report(DispatchUpdate::Unresumable).await;
                forward_rest(run, rest).await
            }
            Err(stop) => Err(stop),
        },
        Err(stop) => Err(stop),
    };
    finish(run, result, 0).await
}

/// Time limit for the body of a failed answer. It normally arrives with the head, and a retry is
/// held up while waiting for it.
const FAILURE_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Keeps the answer of a failed attempt if it is short and arrives completely at once. The caller
/// receives it if no other endpoint does better.
pub(super) async fn keep_failure(run: &DispatchRun, head: AnswerHead, body: EndpointBody) {
    if head.unframed {
        // Without framing, its completeness is unknown.
        return;
    }
    let Ok(Ok(BodyRead::Complete(body))) =
        timeout(FAILURE_BODY_TIMEOUT, buffer_body(run, body)).await
    else {
        return;
    };
    run.delivered().failure = Some(WholeAnswer { head, body });
    run.report(DispatchUpdate::FailureKept).await;
}

/// The part of a body that was read.
enum BodyRead {
    /// The complete body.
    Complete(Bytes),
    /// As much as is buffered before forwarding, and the rest to come.
    Partial(Bytes, EndpointBody),
}

async fn buffer_body(run: &DispatchRun, mut body: EndpointBody) -> Result<BodyRead, DispatchError> {
    let mut read = BytesMut::new();
    loop {
        match run.read(&mut body).await {
            Ok(bytes) => read.extend_from_slice(&bytes),
            Err(ending) => {
                run.finish_answer(body.framing(), ending, BodyState::Opaque)
                    .await?;
                return Ok(BodyRead::Complete(read.freeze()));
            }
        }
        if read.len() > MAX_BUFFERED_BYTES && !body.is_read() {
            return Ok(BodyRead::Partial(read.freeze(), body));
        }
    }
}

async fn forward_start(
    run: &DispatchRun,
    head: AnswerHead,
    bytes: Bytes,
) -> Result<(), DispatchError> {
    run.report(DispatchUpdate::Started { head_sent: true })
        .await;
    run.forward(AnswerPart::Head(head)).await?;
    if bytes.is_empty() {
        return Ok(());
    }
    run.forward(AnswerPart::Data(bytes)).await
}

async fn forward_rest(run: &DispatchRun, mut body: EndpointBody) -> Result<(), DispatchError> {
    loop {
        match run.read(&mut body).await {
            Ok(bytes) => run.forward(AnswerPart::Data(bytes)).await?,
            Err(ending) => {
                return run
                    .finish_answer(body.framing(), ending, BodyState::Opaque)
                    .await;
            }
        }
    }
}
