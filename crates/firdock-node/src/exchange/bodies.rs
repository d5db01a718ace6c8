//! The instance's budget of bytes for bodies of requests, from their first byte until the request ends.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use firdock_core::{AccountId, TierRank};
use firdock_policy::Time;
use firdock_policy::bodies::{BodyBuffers, BodyChanges, BodyId, NewBody, WantedRoom};
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::telemetry::BodyMetrics;

/// Why a body is not read, or not read on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// It would not fit if there were no others.
    Large,
    /// There was no room in time.
    Room,
    /// It was cut in favor of a higher tier, or of an account that uses less.
    Cut,
}

impl RefusalCause {
    fn as_str(self) -> &'static str {
        match self {
            Self::Large => "large",
            Self::Room => "room",
            Self::Cut => "cut",
        }
    }
}

/// A body that is not read, or not read on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyRefusal {
    /// Why.
    pub cause: RefusalCause,
    /// Memory that it asked for, with what it had, in bytes.
    pub bytes: usize,
}

/// Budget for bodies of all callers; if it is disabled, everything fits.
#[derive(Debug, Clone, Default)]
pub struct BodyBudget(Option<Arc<BudgetInner>>);

#[derive(Debug)]
struct BudgetInner {
    state: Mutex<BudgetState>,
    max_wait: Duration,
    clock: Clock,
    metrics: BodyMetrics,
}

#[derive(Debug)]
struct BudgetState {
    buffers: BodyBuffers,
    signals: HashMap<BodyId, Arc<Signal>>,
    next: BodyId,
}

/// What was decided about a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
enum Decision {
    Pending = 0,
    Granted = 1,
    Refused = 2,
    Cut = 3,
}

/// Tells the task that reads a body what was decided about it.
#[derive(Debug, Default)]
struct Signal {
    decision: AtomicU8,
    changed: Notify,
}

impl Signal {
    fn set(&self, decision: Decision) {
        self.decision.store(decision as u8, Ordering::Release);
        self.changed.notify_one();
    }

    fn get(&self) -> Decision {
        match self.decision.load(Ordering::Acquire) {
            0 => Decision::Pending,
            1 => Decision::Granted,
            2 => Decision::Refused,
            _ => Decision::Cut,
        }
    }
}

impl BodyBudget {
    /// Creates a budget of `max_bytes` for all bodies together, for which a body waits unread for no longer
    /// than `max_wait`.
    #[must_use]
    pub fn new(max_bytes: usize, max_wait: Duration, clock: Clock, metrics: BodyMetrics) -> Self {
        let state = BudgetState {
            buffers: BodyBuffers::new(max_bytes),
            signals: HashMap::new(),
            next: 0,
        };
        Self(Some(Arc::new(BudgetInner {
            state: Mutex::new(state),
            max_wait,
            clock,
            metrics,
        })))
    }

    /// Reserves memory for a body that is read next, and waits for room until `deadline` at the latest.
    ///
    /// # Errors
    ///
    /// Fails with the reason if there is no room; nothing is reserved then.
    pub async fn reserve(
        &self,
        account: &AccountId,
        rank: TierRank,
        bytes: usize,
        deadline: Option<Time>,
    ) -> Result<BodyReservation, BodyRefusal> {
        let Some(inner) = &self.0 else {
            return Ok(BodyReservation(None));
        };
        let longest = inner.clock.now() + inner.max_wait;
        let new = NewBody {
            account: account.clone(),
            rank,
            bytes,
            until: deadline.map_or(longest, |by| by.min(longest)),
        };
        let reserved = inner.open(new)?;
        while reserved.signal.get() == Decision::Pending {
            reserved.signal.changed.notified().await;
        }
        match reserved.signal.get() {
            Decision::Refused => Err(inner.refuse(RefusalCause::Room, bytes)),
            _ => Ok(BodyReservation(Some(reserved))),
        }
    }

    /// Counts a request whose body is here already, whether or not there is room.
    #[must_use]
    pub fn hold(&self, account: &AccountId, bytes: usize) -> BodyReservation {
        let Some(inner) = &self.0 else {
            return BodyReservation(None);
        };
        let mut state = inner.lock();
        let (id, signal) = state.next_body();
        state.buffers.hold(id, account.clone(), bytes);
        let inner = Arc::clone(inner);
        BodyReservation(Some(Reserved {
            inner,
            id,
            signal,
            bytes: AtomicUsize::new(bytes),
        }))
    }

    /// Counts bytes that a connection buffers, until the result is dropped.
    #[must_use]
    pub(crate) fn buffer(&self, bytes: usize) -> Option<BufferedBytes> {
        let inner = self.0.as_ref()?;
        inner.lock().buffers.add_buffers(bytes);
        let inner = Arc::clone(inner);
        Some(BufferedBytes { inner, bytes })
    }

    /// Makes room for bodies that wait, refuses those that waited too long, and publishes the counts.
    ///
    /// Returns the room that is still wanted.
    #[must_use]
    pub fn maintain(&self) -> Option<WantedRoom> {
        let inner = self.0.as_ref()?;
        let mut state = inner.lock();
        let mut wanted = None;
        if state.buffers.waiting() > 0 {
            let changes = state.buffers.advance(inner.clock.now());
            state.notify(&changes);
            wanted = changes.wanted;
        }
        inner
            .metrics
            .set(state.buffers.bytes(), state.buffers.waiting());
        wanted
    }
}

impl BudgetInner {
    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn open(self: &Arc<Self>, new: NewBody) -> Result<Reserved, BodyRefusal> {
        let (now, bytes) = (self.clock.now(), new.bytes);
        let mut state = self.lock();
        if bytes > state.buffers.max_body() {
            return Err(self.refuse(RefusalCause::Large, bytes));
        }
        let (id, signal) = state.next_body();
        let changes = state.buffers.open(now, id, new);
        state.notify(&changes);
        drop(state);
        let inner = Arc::clone(self);
        Ok(Reserved {
            inner,
            id,
            signal,
            bytes: AtomicUsize::new(bytes),
        })
    }

    fn refuse(&self, cause: RefusalCause, bytes: usize) -> BodyRefusal {
        self.metrics.count_refused(cause.as_str());
        BodyRefusal { cause, bytes }
    }
}

impl BudgetState {
    fn next_body(&mut self) -> (BodyId, Arc<Signal>) {
        let id = self.next;
        self.next += 1;
        let signal = Arc::new(Signal::default());
        self.signals.insert(id, Arc::clone(&signal));
        (id, signal)
    }

    fn notify(&mut self, changes: &BodyChanges) {
        let decided = [
            (&changes.granted, Decision::Granted),
            (&changes.refused, Decision::Refused),
            (&changes.cut, Decision::Cut),
        ];
        for (ids, decision) in decided {
            for signal in ids.iter().filter_map(|id| self.signals.get(id)) {
                signal.set(decision);
            }
        }
    }
}

/// Bytes that a connection buffers while a body is read or dropped.
#[derive(Debug)]
pub(crate) struct BufferedBytes {
    inner: Arc<BudgetInner>,
    bytes: usize,
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        let now = self.inner.clock.now();
        let mut state = self.inner.lock();
        let changes = state.buffers.remove_buffers(now, self.bytes);
        state.notify(&changes);
    }
}

#[derive(Debug)]
struct Reserved {
    inner: Arc<BudgetInner>,
    id: BodyId,
    signal: Arc<Signal>,
    /// Memory that was reserved.
    bytes: AtomicUsize,
}

impl Reserved {
    fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    fn refuse_cut(&self) -> BodyRefusal {
        self.inner.refuse(RefusalCause::Cut, self.bytes())
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        let mut state = self.inner.lock();
        state.signals.remove(&self.id);
        let changes = state.buffers.close(self.inner.clock.now(), self.id);
        state.notify(&changes);
    }
}

/// One body's part of the budget, which is freed when the reservation is dropped.
#[derive(Debug, Default)]
pub struct BodyReservation(Option<Reserved>);

impl BodyReservation {
    /// Reserves further bytes for a body that is being read, without waiting.
    ///
    /// # Errors
    ///
    /// Fails if there is no room.
    pub(crate) fn grow(&self, bytes: usize) -> Result<(), BodyRefusal> {
        let Some(reserved) = &self.0 else {
            return Ok(());
        };
        let total = reserved.bytes() + bytes;
        let now = reserved.inner.clock.now();
        let mut state = reserved.inner.lock();
        let Some(changes) = state.buffers.grow(now, reserved.id, bytes) else {
            return Err(reserved.inner.refuse(RefusalCause::Room, total));
        };
        state.notify(&changes);
        reserved.bytes.store(total, Ordering::Relaxed);
        Ok(())
    }

    /// Waits until the body is cut, which may never happen.
    pub(crate) async fn cut(&self) -> BodyRefusal {
        let Some(reserved) = &self.0 else {
            return std::future::pending().await;
        };
        while reserved.signal.get() != Decision::Cut {
            reserved.signal.changed.notified().await;
        }
        reserved.refuse_cut()
    }

    /// Records that the body was read, and that its request takes `bytes` from now on.
    ///
    /// # Errors
    ///
    /// Fails if the body was cut in the meantime.
    pub(crate) fn settle(&self, bytes: usize) -> Result<(), BodyRefusal> {
        let Some(reserved) = &self.0 else {
            return Ok(());
        };
        let mut state = reserved.inner.lock();
        if reserved.signal.get() == Decision::Cut {
            return Err(reserved.refuse_cut());
        }
        let now = reserved.inner.clock.now();
        let changes = state.buffers.settle(now, reserved.id, bytes);
        state.notify(&changes);
        Ok(())
    }
}
