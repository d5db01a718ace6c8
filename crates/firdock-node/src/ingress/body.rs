//! Response bodies, streamed as parts of the answer arrive, and detection of callers that disconnect.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use firdock_core::RequestId;
use firdock_policy::Event;
use hyper::body::{Body, Frame, SizeHint};
use snafu::Snafu;
use tokio::sync::mpsc;

use crate::exchange::{AnswerPart, AnswerReceiver};
use crate::input::Input;

/// Error for an answer that cannot be completed; closing the connection shows this to the caller.
#[derive(Debug, Snafu)]
#[snafu(display("the answer cannot be completed"))]
pub struct Incomplete;

/// Reports to the scheduler that the caller disconnected, unless the answer was completed first.
#[derive(Debug)]
pub struct CallerGuard {
    id: RequestId,
    inputs: mpsc::Sender<Input>,
    armed: bool,
}

impl CallerGuard {
    /// Creates a guard for a request that was sent to the scheduler.
    #[must_use]
    pub fn new(id: RequestId, inputs: mpsc::Sender<Input>) -> Self {
        Self {
            id,
            inputs,
            armed: true,
        }
    }

    /// Disables the report, once the answer has ended.
    pub fn disarm(&mut self) {
        self.armed = false;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let left = Input::Event(Event::CallerLeft(self.id));
        if let Err(mpsc::error::TrySendError::Full(left)) = self.inputs.try_send(left) {
            let inputs = self.inputs.clone();
            tokio::spawn(async move { inputs.send(left).await });
        }
    }
}

/// Body of an answer.
#[derive(Debug)]
pub struct AnswerBody {
    full: Option<Bytes>,
    parts: Option<(AnswerReceiver, CallerGuard)>,
    /// Whether the answer ends here without being complete.
    broken: bool,
}

impl AnswerBody {
    /// Creates a body from all of its bytes.
    #[must_use]
    pub fn full(bytes: Bytes) -> Self {
        Self {
            full: Some(bytes),
            parts: None,
            broken: false,
        }
    }

    /// Creates a body that is streamed from `parts`.
    #[must_use]
    pub fn parts(parts: AnswerReceiver, guard: CallerGuard) -> Self {
        Self {
            full: None,
            parts: Some((parts, guard)),
            broken: false,
        }
    }

    fn end(&mut self) {
        if let Some((_, guard)) = &mut self.parts {
            guard.disarm();
        }
        self.parts = None;
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Incomplete;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Incomplete>>> {
        if let Some(bytes) = self.full.take() {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        if self.broken {
            self.end();
            return Poll::Ready(Some(Err(Incomplete)));
        }
        let Some((parts, _)) = &mut self.parts else {
            return Poll::Ready(None);
        };
        let Poll::Ready(part) = parts.poll_recv(cx) else {
            return Poll::Pending;
        };
        match part {
            Some(AnswerPart::Data(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Some(AnswerPart::End) => {
                self.end();
                Poll::Ready(None)
            }
            Some(AnswerPart::CallerStalled) => {
                // The guard stays armed: the scheduler handles this like a caller that disconnected.
                self.parts = None;
                Poll::Ready(Some(Err(Incomplete)))
            }
            _ => {
                // The error is returned by the next poll, so that the data passed on so far is flushed first.
                self.broken = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.full.is_none() && self.parts.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        match (&self.full, &self.parts) {
            (Some(bytes), _) => SizeHint::with_exact(bytes.len() as u64),
            (None, None) => SizeHint::with_exact(0),
            _ => SizeHint::new(),
        }
    }
}
