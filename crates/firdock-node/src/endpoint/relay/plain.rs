//! Answers that are no streams: short ones are taken whole before any of them is passed on.

use bytes::{Bytes, BytesMut};
use firdock_policy::event::DispatchNews;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};

use super::finish;
use crate::endpoint::cut_cause;
use crate::endpoint::run::{Run, Stop};
use crate::exchange::{AnswerHead, Part};

/// Longest answer that is taken whole before any of it is passed on.
///
/// An endpoint that breaks off is then seen before the caller has a part of its answer, so that
/// the request may go on elsewhere. Longer answers would cost memory, and time to the first byte.
const WHOLE_BYTES: usize = 64 << 10;

/// Passes an answer on that is no stream.
pub(super) async fn pass_plain(run: &Run, head: AnswerHead, body: Incoming) -> &'static str {
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
    Part(Bytes, Incoming),
}

async fn read_whole(run: &Run, mut body: Incoming) -> Result<Whole, Stop> {
    let mut read = BytesMut::new();
    while let Some(frame) = run.while_alive(body.frame()).await? {
        let frame = frame.map_err(|e| Stop::Endpoint(cut_cause(&e)))?;
        if let Ok(bytes) = frame.into_data() {
            read.extend_from_slice(&bytes);
        }
        if read.len() > WHOLE_BYTES && !body.is_end_stream() {
            return Ok(Whole::Part(read.freeze(), body));
        }
    }
    Ok(Whole::All(read.freeze()))
}

async fn pass_start(run: &Run, head: AnswerHead, bytes: Bytes) -> Result<(), Stop> {
    run.tell(DispatchNews::Started { head_sent: true }).await;
    run.pass(Part::Head(head)).await?;
    if bytes.is_empty() {
        return Ok(());
    }
    run.pass(Part::Data(bytes)).await
}

async fn pass_rest(run: &Run, mut body: Incoming) -> Result<(), Stop> {
    while let Some(frame) = run.while_alive(body.frame()).await? {
        let frame = frame.map_err(|e| Stop::Endpoint(cut_cause(&e)))?;
        if let Ok(bytes) = frame.into_data() {
            run.pass(Part::Data(bytes)).await?;
        }
    }
    Ok(())
}
