//! Bodies of answers, sent as their parts come, and what happens when the caller goes away.

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

/// An answer that cannot be completed; the connection is closed so that the caller can tell.
#[derive(Debug, Snafu)]
#[snafu(display("the answer cannot be completed"))]
pub struct Incomplete;

/// Tells the scheduler that the caller went away, unless the answer came to its end first.
#[derive(Debug)]
pub struct CallerGuard {
    id: RequestId,
    inputs: mpsc::Sender<Input>,
    armed: bool,
}

impl CallerGuard {
    /// Guards a request that was given to the scheduler.
    #[must_use]
    pub fn new(id: RequestId, inputs: mpsc::Sender<Input>) -> Self {
        Self {
            id,
            inputs,
            armed: true,
        }
    }

    /// Notes that the answer came to its end.
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
    /// Whether the answer breaks off here.
    broken: bool,
}

impl AnswerBody {
    /// Makes a body that is there as a whole.
    #[must_use]
    pub fn full(bytes: Bytes) -> Self {
        Self {
            full: Some(bytes),
            parts: None,
            broken: false,
        }
    }

    /// Makes a body of parts that are still to come.
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
                // The guard tells the scheduler, like of any caller that went away.
                self.parts = None;
                Poll::Ready(Some(Err(Incomplete)))
            }
            _ => {
                // What was passed on is written out before the connection ends.
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
