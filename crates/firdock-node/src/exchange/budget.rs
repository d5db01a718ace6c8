//! The instance's budget of bytes for answers that callers have not read.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use firdock_core::{AccountId, RequestId};
use firdock_policy::Time;
use firdock_policy::buffers::{AnswerBuffers, BufferId, CALLER_STALL};
use slog::{Logger, warn};

use super::Payload;
use super::queue::Queue;
use crate::clock::Clock;
use crate::telemetry::{AnswerMetrics, LogKind, LogLimiter, excerpt};

/// Why an answer was cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// The budget was exhausted.
    Budget,
    /// The caller read nothing for too long.
    Unread,
}

impl Cause {
    fn as_str(self) -> &'static str {
        match self {
            Self::Budget => "budget",
            Self::Unread => "unread",
        }
    }
}

/// Budget for unread answers of all callers; if it is disabled, each answer has its own small queue.
#[derive(Debug, Clone, Default)]
pub struct AnswerBudget(Option<Arc<BudgetInner>>);

#[derive(Debug)]
struct BudgetInner {
    state: Mutex<BudgetState>,
    clock: Clock,
    metrics: AnswerMetrics,
    log: Logger,
    log_limiter: Arc<LogLimiter>,
}

#[derive(Debug)]
struct BudgetState {
    buffers: AnswerBuffers,
    open: HashMap<BufferId, OpenAnswer>,
    next: BufferId,
}

/// An answer that is being delivered.
#[derive(Debug)]
struct OpenAnswer {
    request: RequestId,
    /// Request id of the caller.
    call: Option<String>,
    account: AccountId,
    queue: Weak<Queue>,
}

impl AnswerBudget {
    /// Creates a budget of `max_bytes` for all answers together; 0 disables it.
    #[must_use]
    pub fn new(
        max_bytes: usize,
        clock: Clock,
        metrics: AnswerMetrics,
        log: Logger,
        log_limiter: Arc<LogLimiter>,
    ) -> Self {
        if max_bytes == 0 {
            return Self(None);
        }
        let state = BudgetState {
            buffers: AnswerBuffers::new(max_bytes),
            open: HashMap::new(),
            next: 0,
        };
        Self(Some(Arc::new(BudgetInner {
            state: Mutex::new(state),
            clock,
            metrics,
            log,
            log_limiter,
        })))
    }

    /// Opens the reservation of an answer.
    pub(super) fn open(
        &self,
        request: RequestId,
        payload: &Payload,
        queue: &Arc<Queue>,
    ) -> Option<Reservation> {
        let inner = self.0.as_ref()?;
        let mut state = inner.lock();
        let id = state.next;
        state.next += 1;
        state
            .buffers
            .open(inner.clock.now(), id, payload.account.clone());
        let answer = OpenAnswer {
            request,
            call: payload.terms.caller_id.clone(),
            account: payload.account.clone(),
            queue: Arc::downgrade(queue),
        };
        state.open.insert(id, answer);
        let inner = Arc::clone(inner);
        Some(Reservation { inner, id })
    }

    /// Extends the time for slow readers of complete answers, cuts answers that their callers stopped reading,
    /// and publishes the number of buffered bytes.
    pub fn maintain(&self) {
        let Some(inner) = &self.0 else {
            return;
        };
        let mut state = inner.lock();
        let now = inner.clock.now();
        state.tolerate_late_readers(now);
        let stalled = state.buffers.cut_stalled(now, CALLER_STALL);
        let cut = state.drop_cut(&stalled);
        let held = state.buffers.bytes();
        drop(state);
        inner.metrics.set_bytes(held);
        inner.end_cut(cut, Cause::Unread, held);
    }
}

impl BudgetState {
    fn tolerate_late_readers(&mut self, now: Time) {
        for id in self.buffers.became_late(now) {
            let queue = self.open.get(&id).and_then(|a| a.queue.upgrade());
            if let Some(queue) = queue {
                queue.tolerate_stall();
            }
        }
    }

    fn drop_cut(&mut self, ids: &[BufferId]) -> Vec<OpenAnswer> {
        let cut = ids.iter().filter_map(|id| self.open.remove(id));
        cut.collect()
    }
}

impl BudgetInner {
    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends answers that were cut, and logs each.
    fn end_cut(&self, cut: Vec<OpenAnswer>, cause: Cause, held: usize) {
        for answer in cut {
            self.metrics.count_cut(cause.as_str());
            if let Some(queue) = answer.queue.upgrade() {
                queue.cut();
            }
            if self
                .log_limiter
                .allow(&self.log, self.clock.now(), LogKind::Failed)
            {
                warn!(self.log, "slow reader cut";
                    "request_id" => answer.request.to_string(),
                    "call" => answer.call.as_deref().map(excerpt),
                    "account" => answer.account,
                    "cause" => cause.as_str(),
                    "held_bytes" => held,
                );
            }
        }
    }
}

/// One answer's reservation in the budget.
#[derive(Debug, Clone)]
pub(super) struct Reservation {
    inner: Arc<BudgetInner>,
    id: BufferId,
}

impl Reservation {
    pub(super) fn hold(&self, bytes: usize) {
        let mut state = self.inner.lock();
        let ids = state.buffers.hold(self.inner.clock.now(), self.id, bytes);
        if ids.is_empty() {
            return;
        }
        let cut = state.drop_cut(&ids);
        let held = state.buffers.bytes();
        drop(state);
        self.inner.end_cut(cut, Cause::Budget, held);
    }

    /// Returns for how long the endpoint's answer is to be left unread before `bytes` of it are held, unless its caller
    /// reads before.
    pub(super) fn wait(&self, bytes: usize) -> Option<Duration> {
        let state = self.inner.lock();
        state.buffers.wait(self.inner.clock.now(), self.id, bytes)
    }

    pub(super) fn consume(&self, bytes: usize) {
        let mut state = self.inner.lock();
        state
            .buffers
            .consume(self.inner.clock.now(), self.id, bytes);
    }

    pub(super) fn mark_complete(&self) {
        self.inner.lock().buffers.mark_complete(self.id);
    }

    pub(super) fn close(&self) {
        let mut state = self.inner.lock();
        state.buffers.close(self.id);
        state.open.remove(&self.id);
    }
}
