//! Answers that are no streams: short ones are taken whole before any of them is passed on.

use bytes::{Bytes, BytesMut};
use firdock_policy::event::DispatchNews;

use super::finish;
use crate::endpoint::run::{Run, Stop};
use crate::endpoint::{EndpointBody, Shape};
use crate::exchange::{AnswerHead, Part};

/// Longest answer that is taken whole before any of it is passed on.
///
/// An endpoint that breaks off is then seen before the caller has a part of its answer, so that
/// the request may go on elsewhere. Longer answers would cost memory, and time to the first byte.
const WHOLE_BYTES: usize = 64 << 10;

/// Passes an answer on that is no stream.
pub(super) async fn pass_plain(run: &Run, head: AnswerHead, body: EndpointBody) -> &'static str {
    let passed = match read_whole(run, body).await {
        Ok(Whole::All(bytes)) => {
            run.exchange.reply.note_whole();
            pass_start(run, head, bytes).await
        }
        Ok(Whole::Part(bytes, rest)) => match pass_start(run, head, bytes).await {
            Ok(()) => pass_rest(run, rest).await,
            Err(stop) => Err(stop),
        },
        Err(stop) => Err(stop),
    };
    finish(run, passed, 0).await
}

/// What was read of a body.
enum Whole {
    /// All of it.
    All(Bytes),
    /// As much as is taken before any is passed on, and the rest to come.
    Part(Bytes, EndpointBody),
}

async fn read_whole(run: &Run, mut body: EndpointBody) -> Result<Whole, Stop> {
    let mut read = BytesMut::new();
    loop {
        match run.read(&mut body).await {
            Ok(bytes) => read.extend_from_slice(&bytes),
            Err(ending) => {
                run.settle(body.framing(), ending, Shape::Opaque).await?;
                return Ok(Whole::All(read.freeze()));
            }
        }
        if read.len() > WHOLE_BYTES && !body.is_read() {
            return Ok(Whole::Part(read.freeze(), body));
        }
    }
}

async fn pass_start(run: &Run, head: AnswerHead, bytes: Bytes) -> Result<(), Stop> {
    run.tell(DispatchNews::Started { head_sent: true }).await;
    run.pass(Part::Head(head)).await?;
    if bytes.is_empty() {
        return Ok(());
    }
    run.pass(Part::Data(bytes)).await
}

async fn pass_rest(run: &Run, mut body: EndpointBody) -> Result<(), Stop> {
    loop {
        match run.read(&mut body).await {
            Ok(bytes) => run.pass(Part::Data(bytes)).await?,
            Err(ending) => return run.settle(body.framing(), ending, Shape::Opaque).await,
        }
    }
}
