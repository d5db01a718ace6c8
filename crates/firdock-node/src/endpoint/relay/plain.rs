//! Answers that are no streams: short ones are taken whole before any of them is passed on.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use firdock_policy::event::DispatchUpdate;

use tokio::time::timeout;

use super::finish;
use crate::endpoint::run::{DispatchError, DispatchRun};
use crate::endpoint::{BodyState, EndpointBody};
use crate::exchange::{AnswerHead, AnswerPart, WholeAnswer};

/// Longest answer that is taken whole before any of it is passed on.
///
/// An endpoint that breaks off is then seen before the caller has a part of its answer, so that
/// the request may go on elsewhere. Longer answers would cost memory, and time to the first byte.
const WHOLE_BYTES: usize = 64 << 10;

/// Passes an answer on that is no stream.
pub(super) async fn pass_plain(
    run: &DispatchRun,
    head: AnswerHead,
    body: EndpointBody,
) -> &'static str {
    let passed = match read_whole(run, body).await {
        Ok(Whole::All(bytes)) => {
            run.exchange.reply.mark_complete();
            pass_start(run, head, bytes).await
        }
        Ok(Whole::AnswerPart(bytes, rest)) => match pass_start(run, head, bytes).await {
            Ok(()) => pass_rest(run, rest).await,
            Err(stop) => Err(stop),
        },
        Err(stop) => Err(stop),
    };
    finish(run, passed, 0).await
}

/// Time for the body of an answer that an endpoint failed: it comes with the head, or another try waits for
/// it in vain.
const FAILURE_WAIT: Duration = Duration::from_millis(50);

/// Keeps an answer with which an endpoint failed, where it is short and comes whole at once; its caller
/// gets it if no other endpoint does better.
pub(super) async fn keep_failure(run: &DispatchRun, head: AnswerHead, body: EndpointBody) {
    if head.unframed {
        // Whether it is whole would not be known.
        return;
    }
    let Ok(Ok(Whole::All(body))) = timeout(FAILURE_WAIT, read_whole(run, body)).await else {
        return;
    };
    run.delivered().failure = Some(WholeAnswer { head, body });
    run.tell(DispatchUpdate::FailureKept).await;
}

/// What was read of a body.
enum Whole {
    /// All of it.
    All(Bytes),
    /// As much as is taken before any is passed on, and the rest to come.
    AnswerPart(Bytes, EndpointBody),
}

async fn read_whole(run: &DispatchRun, mut body: EndpointBody) -> Result<Whole, DispatchError> {
    let mut read = BytesMut::new();
    loop {
        match run.read(&mut body).await {
            Ok(bytes) => read.extend_from_slice(&bytes),
            Err(ending) => {
                run.settle(body.framing(), ending, BodyState::Opaque)
                    .await?;
                return Ok(Whole::All(read.freeze()));
            }
        }
        if read.len() > WHOLE_BYTES && !body.is_read() {
            return Ok(Whole::AnswerPart(read.freeze(), body));
        }
    }
}

async fn pass_start(
    run: &DispatchRun,
    head: AnswerHead,
    bytes: Bytes,
) -> Result<(), DispatchError> {
    run.tell(DispatchUpdate::Started { head_sent: true }).await;
    run.pass(AnswerPart::Head(head)).await?;
    if bytes.is_empty() {
        return Ok(());
    }
    run.pass(AnswerPart::Data(bytes)).await
}

async fn pass_rest(run: &DispatchRun, mut body: EndpointBody) -> Result<(), DispatchError> {
    loop {
        match run.read(&mut body).await {
            Ok(bytes) => run.pass(AnswerPart::Data(bytes)).await?,
            Err(ending) => return run.settle(body.framing(), ending, BodyState::Opaque).await,
        }
    }
}
