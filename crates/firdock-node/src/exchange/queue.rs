//! The queue between the task that reads an endpoint's answer and the caller's connection.
//!
//! Without a budget of bytes a few parts wait, and then the endpoint's answer is left unread. With one,
//! the answer is read at the endpoint's pace, and what its caller has not taken counts in the
//! instance's [`AnswerBudget`](super::AnswerRoom).

use std::future::poll_fn;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

use snafu::Snafu;
use tokio::sync::Notify;

use super::AnswerPart;
use super::budget::Reservation;
use super::waiting::{WaitingParts, cost};
use crate::http::CallerHandle;

/// Parts of an answer that may wait for a slow reader where no budget of bytes is set.
const PARTS_WAITING: usize = 32;

/// The way back is closed: the caller is gone, or its answer was cut.
#[derive(Debug, Snafu)]
#[snafu(display("nobody takes the answer any more"))]
pub struct Closed;

/// What became of a part that was not to wait.
#[derive(Debug)]
pub enum SendResult {
    /// It is on its way.
    Done,
    /// As many parts wait as may.
    Full(AnswerPart),
    /// Nobody takes it any more.
    Closed,
}

/// How far an answer is on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Parts come and are taken.
    Open,
    /// No parts come any more.
    Ended,
    /// Nobody takes parts any more.
    Left,
    /// What waited was dropped.
    Cut,
}

#[derive(Debug)]
struct State {
    waiting: WaitingParts,
    stage: Stage,
    waker: Option<Waker>,
    caller: Option<CallerHandle>,
}

/// What both ends share.
#[derive(Debug)]
pub(super) struct Queue {
    state: Mutex<State>,
    /// Told whenever a part was taken or nobody takes any more.
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

    /// Drops what waits and closes the caller's connection.
    pub(super) fn cut(&self) {
        let mut state = self.lock();
        state.stage = Stage::Cut;
        state.waiting = WaitingParts::default();
        if let Some(caller) = state.caller.take() {
            caller.close();
        }
        state.wake();
    }

    /// Lets the caller take what waits though it takes nothing for a while.
    pub(super) fn wait_for_reader(&self) {
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

/// Taking end of an answer.
#[derive(Debug)]
pub struct AnswerReceiver {
    queue: Arc<Queue>,
    reservation: Option<Reservation>,
}

/// Makes both ends of an answer, which counts in `account` if there is one.
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
    /// Sends a part; waits for the caller to read only where no budget of bytes is set.
    ///
    /// # Errors
    ///
    /// Fails if nobody takes the answer any more.
    pub async fn send(&self, mut part: AnswerPart) -> Result<(), Closed> {
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

    /// Sends a part if it need not wait.
    pub fn try_send(&self, part: AnswerPart) -> SendResult {
        if let Some(reservation) = &self.reservation {
            reservation.hold(cost(&part));
        }
        let mut state = self.queue.lock();
        if matches!(state.stage, Stage::Left | Stage::Cut) {
            return SendResult::Closed;
        }
        if self.reservation.is_none() && state.waiting.len() >= PARTS_WAITING {
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

    /// Notes that the endpoint's answer is complete, so that others are cut before it.
    pub fn mark_complete(&self) {
        if let Some(reservation) = &self.reservation {
            reservation.mark_complete();
        }
    }

    /// Tells whether nobody takes the answer any more.
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

    /// Takes the next part; `None` once no more come.
    pub async fn recv(&mut self) -> Option<AnswerPart> {
        poll_fn(|cx| self.poll_recv(cx)).await
    }

    /// Takes the next part if there is one.
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
        self.queue.freed.notify_waiters();
        if let Some(reservation) = &self.reservation {
            reservation.take(cost(&part));
        }
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
