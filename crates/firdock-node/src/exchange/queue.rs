//! The queue between the task that reads an endpoint's answer and the caller's connection.
//!
//! Without a budget of bytes, the queue holds a few parts, and reading from the endpoint pauses while it is
//! full. With a budget, the answer is read at the endpoint's pace, and the parts that the caller has not
//! taken count in the instance's [`AnswerBudget`](super::AnswerBudget); while that runs short, reading pauses for
//! callers that read.

use std::future::poll_fn;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

use firdock_policy::buffers::MAX_PART_BYTES;
use snafu::Snafu;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::AnswerPart;
use super::budget::Reservation;
use super::waiting::{WaitingParts, cost};
use crate::http::CallerHandle;

/// Capacity of the queue in parts if no budget of bytes is set.
const QUEUE_CAPACITY: usize = 32;

/// Error: the receiver is closed, because the caller disconnected or its answer was cut.
#[derive(Debug, Snafu)]
#[snafu(display("the receiver of the answer is closed"))]
pub struct Closed;

/// Result of sending a part without waiting.
#[derive(Debug)]
pub enum SendResult {
    /// The part was queued.
    Done,
    /// The queue is full; the part is returned.
    Full(AnswerPart),
    /// The receiver is closed.
    Closed,
}

/// State of the two ends of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Both ends are open.
    Open,
    /// The sender was dropped.
    Ended,
    /// The receiver was dropped.
    Left,
    /// The answer was cut and its queued parts were dropped; the receiver has not been notified yet.
    Cut,
}

#[derive(Debug)]
struct State {
    waiting: WaitingParts,
    stage: Stage,
    waker: Option<Waker>,
    caller: Option<CallerHandle>,
}

/// Queue shared by both ends.
#[derive(Debug)]
pub(super) struct Queue {
    state: Mutex<State>,
    /// Notified when a part was taken or the receiver was dropped.
    freed: Notify,
}

impl Queue {
    fn new() -> Self {
        let state = State {
            waiting: WaitingParts::default(),
            stage: Stage::Open,
            waker: None,
            caller: None,
        };
        Self {
            state: Mutex::new(state),
            freed: Notify::new(),
        }
    }

    /// Drops the queued parts and closes the caller's connection.
    pub(super) fn cut(&self) {
        let mut state = self.lock();
        state.stage = Stage::Cut;
        state.waiting = WaitingParts::default();
        if let Some(caller) = state.caller.take() {
            caller.close();
        }
        state.wake();
    }

    /// Extends the time for which the caller may read nothing.
    pub(super) fn tolerate_stall(&self) {
        if let Some(caller) = &self.lock().caller {
            caller.set_stall_tolerant(true);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

/// Sending end of an answer.
#[derive(Debug)]
pub struct AnswerSender {
    queue: Arc<Queue>,
    reservation: Option<Reservation>,
}

/// Receiving end of an answer.
#[derive(Debug)]
pub struct AnswerReceiver {
    queue: Arc<Queue>,
    reservation: Option<Reservation>,
}

/// Creates both ends of an answer; `open` may return a reservation in which its parts count.
pub(super) fn answer_queue(
    open: impl FnOnce(&Arc<Queue>) -> Option<Reservation>,
) -> (AnswerSender, AnswerReceiver) {
    let queue = Arc::new(Queue::new());
    let reservation = open(&queue);
    let reply = AnswerSender {
        queue: Arc::clone(&queue),
        reservation: reservation.clone(),
    };
    (reply, AnswerReceiver { queue, reservation })
}

impl AnswerSender {
    /// Sends a part. Waits for the caller to read if no budget of bytes is set, or if much of the budget is used and
    /// the caller reads.
    ///
    /// # Errors
    ///
    /// Fails if the receiver is closed.
    pub async fn send(&self, part: AnswerPart) -> Result<(), Closed> {
        let Some(reservation) = &self.reservation else {
            return self.send_one(part).await;
        };
        let AnswerPart::Data(mut data) = part else {
            return self.send_held(reservation, part).await;
        };
        while data.len() > MAX_PART_BYTES {
            let first = AnswerPart::Data(data.split_to(MAX_PART_BYTES));
            self.send_held(reservation, first).await?;
        }
        self.send_held(reservation, AnswerPart::Data(data)).await
    }

    /// Sends a part once the budget lets it be held.
    async fn send_held(&self, reservation: &Reservation, part: AnswerPart) -> Result<(), Closed> {
        self.wait_for_reader(reservation, cost(&part)).await;
        self.send_one(part).await
    }

    async fn send_one(&self, mut part: AnswerPart) -> Result<(), Closed> {
        loop {
            let freed = self.queue.freed.notified();
            part = match self.try_send(part) {
                SendResult::Done => return Ok(()),
                SendResult::Closed => return ClosedSnafu.fail(),
                SendResult::Full(part) => part,
            };
            freed.await;
        }
    }

    /// Waits while the answer is to be left unread at its endpoint before `bytes` of it are held.
    async fn wait_for_reader(&self, reservation: &Reservation, bytes: usize) {
        loop {
            let freed = self.queue.freed.notified();
            let Some(wait) = reservation.wait(bytes) else {
                return;
            };
            // The time limit is as good an end: the caller does not read then.
            let _ = timeout(wait, freed).await;
        }
    }

    /// Sends a part without waiting.
    pub fn try_send(&self, part: AnswerPart) -> SendResult {
        if let Some(reservation) = &self.reservation {
            reservation.hold(cost(&part));
        }
        let mut state = self.queue.lock();
        if matches!(state.stage, Stage::Left | Stage::Cut) {
            return SendResult::Closed;
        }
        if self.reservation.is_none() && state.waiting.len() >= QUEUE_CAPACITY {
            return SendResult::Full(part);
        }
        if self.reservation.is_some() {
            state.waiting.join(part);
        } else {
            state.waiting.push(part);
        }
        state.wake();
        SendResult::Done
    }

    /// Records that the endpoint's answer is complete, so that incomplete ones are cut before it.
    pub fn mark_complete(&self) {
        if let Some(reservation) = &self.reservation {
            reservation.mark_complete();
        }
    }

    /// Returns whether the receiver is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        matches!(self.queue.lock().stage, Stage::Left | Stage::Cut)
    }
}

impl Drop for AnswerSender {
    fn drop(&mut self) {
        let mut state = self.queue.lock();
        if state.stage == Stage::Open {
            state.stage = Stage::Ended;
        }
        state.wake();
    }
}

impl AnswerReceiver {
    /// Sets the caller's connection, which is closed if the answer is cut.
    pub fn set_caller(&mut self, caller: CallerHandle) {
        let mut state = self.queue.lock();
        if state.stage == Stage::Cut {
            caller.close();
        }
        state.caller = Some(caller);
    }

    /// Receives the next part; `None` at the end.
    pub async fn recv(&mut self) -> Option<AnswerPart> {
        poll_fn(|cx| self.poll_recv(cx)).await
    }

    /// Polls for the next part.
    pub fn poll_recv(&mut self, cx: &mut Context<'_>) -> Poll<Option<AnswerPart>> {
        let mut state = self.queue.lock();
        let Some(part) = state.waiting.pop() else {
            return match state.stage {
                Stage::Cut => {
                    state.stage = Stage::Left;
                    Poll::Ready(Some(AnswerPart::CallerStalled))
                }
                Stage::Ended | Stage::Left => Poll::Ready(None),
                Stage::Open => {
                    state.waker = Some(cx.waker().clone());
                    Poll::Pending
                }
            };
        };
        drop(state);
        // First, since a sender that is notified looks at what is held.
        if let Some(reservation) = &self.reservation {
            reservation.consume(cost(&part));
        }
        self.queue.freed.notify_waiters();
        Poll::Ready(Some(part))
    }
}

impl Drop for AnswerReceiver {
    fn drop(&mut self) {
        let mut state = self.queue.lock();
        state.stage = Stage::Left;
        state.waiting = WaitingParts::default();
        if let Some(caller) = state.caller.take() {
            caller.set_stall_tolerant(false);
        }
        drop(state);
        self.queue.freed.notify_waiters();
        if let Some(reservation) = &self.reservation {
            reservation.close();
        }
    }
}
