//! The instance's budget of bytes for answers that wait for their callers.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use firdock_core::{AccountId, RequestId};
use firdock_policy::Time;
use firdock_policy::buffers::{AnswerBuffers, BufferId, CALLER_STALL};
use slog::{Logger, warn};

use super::Payload;
use super::queue::Queue;
use crate::clock::Clock;
use crate::telemetry::{AnswerMetrics, LogKind, LogLimiter};

/// Why an answer was cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// The budget was used up.
    Budget,
    /// The caller took nothing for too long.
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

/// Where answers wait for their callers; without a budget, each waits by itself.
#[derive(Debug, Clone, Default)]
pub struct AnswerRoom(Option<Arc<Room>>);

#[derive(Debug)]
struct Room {
    books: Mutex<Books>,
    clock: Clock,
    figures: AnswerMetrics,
    log: Logger,
    log_limiter: Arc<LogLimiter>,
}

#[derive(Debug)]
struct Books {
    buffers: AnswerBuffers,
    open: HashMap<BufferId, OpenAnswer>,
    next: BufferId,
}

/// An answer that is on its way.
#[derive(Debug)]
struct OpenAnswer {
    request: RequestId,
    /// Id that the caller gave.
    call: Option<String>,
    account: AccountId,
    queue: Weak<Queue>,
}

impl AnswerRoom {
    /// Makes the room for answers of `budget` bytes together; 0 is none.
    #[must_use]
    pub fn new(
        budget: usize,
        clock: Clock,
        figures: AnswerMetrics,
        log: Logger,
        log_limiter: Arc<LogLimiter>,
    ) -> Self {
        if budget == 0 {
            return Self(None);
        }
        let books = Books {
            buffers: AnswerBuffers::new(budget),
            open: HashMap::new(),
            next: 0,
        };
        Self(Some(Arc::new(Room {
            books: Mutex::new(books),
            clock,
            figures,
            log,
            log_limiter,
        })))
    }

    /// Begins the accounting of an answer.
    pub(super) fn open(
        &self,
        request: RequestId,
        payload: &Payload,
        queue: &Arc<Queue>,
    ) -> Option<Account> {
        let room = self.0.as_ref()?;
        let mut books = room.lock();
        let id = books.next;
        books.next += 1;
        books
            .buffers
            .open(room.clock.now(), id, payload.account.clone());
        let answer = OpenAnswer {
            request,
            call: payload.terms.caller_id.clone(),
            account: payload.account.clone(),
            queue: Arc::downgrade(queue),
        };
        books.open.insert(id, answer);
        let room = Arc::clone(room);
        Some(Account { room, id })
    }

    /// Waits for late readers of whole answers, cuts answers that their callers stopped reading, and
    /// publishes what is held.
    pub fn tend(&self) {
        let Some(room) = &self.0 else {
            return;
        };
        let mut books = room.lock();
        let now = room.clock.now();
        books.wait_for_late(now);
        let stalled = books.buffers.cut_stalled(now, CALLER_STALL);
        let cut = books.drop_cut(&stalled);
        let held = books.buffers.bytes();
        drop(books);
        room.figures.set_bytes(held);
        room.end(cut, Cause::Unread, held);
    }
}

impl Books {
    fn wait_for_late(&mut self, now: Time) {
        for id in self.buffers.became_late(now) {
            let queue = self.open.get(&id).and_then(|a| a.queue.upgrade());
            if let Some(queue) = queue {
                queue.wait_for_reader();
            }
        }
    }

    fn drop_cut(&mut self, ids: &[BufferId]) -> Vec<OpenAnswer> {
        let cut = ids.iter().filter_map(|id| self.open.remove(id));
        cut.collect()
    }
}

impl Room {
    fn lock(&self) -> MutexGuard<'_, Books> {
        self.books.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends answers that were cut, each with a line of the log.
    fn end(&self, cut: Vec<OpenAnswer>, cause: Cause, held: usize) {
        for answer in cut {
            self.figures.count_cut(cause.as_str());
            if let Some(queue) = answer.queue.upgrade() {
                queue.cut();
            }
            if self
                .log_limiter
                .allow(&self.log, self.clock.now(), LogKind::Failed)
            {
                warn!(self.log, "slow reader cut";
                    "request_id" => answer.request.to_string(),
                    "call" => answer.call,
                    "account" => answer.account,
                    "cause" => cause.as_str(),
                    "held_bytes" => held,
                );
            }
        }
    }
}

/// One answer's part of the room.
#[derive(Debug, Clone)]
pub(super) struct Account {
    room: Arc<Room>,
    id: BufferId,
}

impl Account {
    pub(super) fn hold(&self, bytes: usize) {
        let mut books = self.room.lock();
        let ids = books.buffers.hold(self.room.clock.now(), self.id, bytes);
        if ids.is_empty() {
            return;
        }
        let cut = books.drop_cut(&ids);
        let held = books.buffers.bytes();
        drop(books);
        self.room.end(cut, Cause::Budget, held);
    }

    pub(super) fn take(&self, bytes: usize) {
        let mut books = self.room.lock();
        books.buffers.take(self.room.clock.now(), self.id, bytes);
    }

    pub(super) fn note_whole(&self) {
        self.room.lock().buffers.note_whole(self.id);
    }

    pub(super) fn close(&self) {
        let mut books = self.room.lock();
        books.buffers.close(self.id);
        books.open.remove(&self.id);
    }
}
