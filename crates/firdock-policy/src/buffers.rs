//! Accounting of answers buffered for slow callers, and the choice of those to abort.
//!
//! An endpoint's slot is freed once its answer has been read, so answers wait here for their
//! callers. They share one budget of bytes (see `docs/design/slow-readers.md`).

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use firdock_core::AccountId;

use crate::time::Time;

/// Id of an answer's buffer, assigned by its owner.
pub type BufferId = u64;

/// Longest time for which a caller may read nothing of its buffered answer.
///
/// A caller on a poor connection may stall for some seconds and continue; one that reads nothing
/// for half a minute has stopped for good, and its bytes are of more use to others.
pub const CALLER_STALL: Duration = Duration::from_secs(30);

/// Time for which a caller may lag behind a complete answer before it counts as late: longer than a
/// caller lags that reads as fast as its connection allows, and well below the time after which a
/// lost caller is given up.
const LATE_AFTER: Duration = Duration::from_secs(1);

/// Time since its last read for which a caller counts as one that reads.
const READING_TIME: Duration = Duration::from_secs(1);

/// Divisor of the budget for the part beyond which endpoints wait for callers that read.
const WAIT_DIVISOR: usize = 2;

/// Divisor of the budget for the part that is left to callers that have read everything: what they get next is not to
/// cost another answer its end.
const RESERVE_DIVISOR: usize = 4;

/// Largest part of an answer that is buffered at once, in bytes.
///
/// The reserved part of a budget of 16 MiB has room for one of each of 128 answers.
pub const MAX_PART_BYTES: usize = 32 << 10;

/// Buffer of one caller.
#[derive(Debug, Clone)]
struct Buffer {
    account: AccountId,
    bytes: usize,
    /// When the caller last had everything, or the answer began.
    behind_since: Time,
    /// When the caller last read something, or the first bytes were buffered for it.
    last_read: Time,
    /// Whether the endpoint's answer is complete.
    complete: bool,
    /// Whether the caller is known to be late.
    late: bool,
}

impl Buffer {
    /// Returns the buffered bytes times the time that the caller has lagged, in byte-milliseconds.
    fn byte_millis(&self, now: Time) -> u128 {
        self.bytes as u128 * now.saturating_sub(self.behind_since).as_millis()
    }

    /// Returns for how much longer the caller counts as one that reads; `None` if it has stopped.
    fn reading(&self, now: Time) -> Option<Duration> {
        let left = (self.last_read + READING_TIME).saturating_sub(now);
        Some(left).filter(|left| !left.is_zero())
    }
}

/// Bytes buffered per answer, within one budget.
#[derive(Debug)]
pub struct AnswerBuffers {
    budget: usize,
    bytes: usize,
    /// Number of buffers that hold bytes.
    behind: usize,
    buffers: BTreeMap<BufferId, Buffer>,
}

impl AnswerBuffers {
    /// Creates the accounting for a budget in bytes.
    #[must_use]
    pub fn new(budget: usize) -> Self {
        Self {
            budget,
            bytes: 0,
            behind: 0,
            buffers: BTreeMap::new(),
        }
    }

    /// Opens the buffer of an answer.
    pub fn open(&mut self, now: Time, id: BufferId, account: AccountId) {
        let buffer = Buffer {
            account,
            bytes: 0,
            behind_since: now,
            last_read: now,
            complete: false,
            late: false,
        };
        self.buffers.insert(id, buffer);
    }

    /// Buffers bytes of an answer; returns the answers to abort for it, possibly this one.
    ///
    /// Their bytes are no longer counted; the budget holds afterwards in any case.
    pub fn hold(&mut self, now: Time, id: BufferId, bytes: usize) -> Vec<BufferId> {
        let Some(buffer) = self.buffers.get_mut(&id) else {
            return Vec::new();
        };
        if buffer.bytes == 0 {
            buffer.behind_since = now;
            buffer.last_read = now;
            self.behind += usize::from(bytes > 0);
        }
        buffer.bytes += bytes;
        self.bytes += bytes;
        let mut aborted = Vec::new();
        while self.bytes > self.budget {
            let Some(next) = self.select_aborted(now) else {
                break;
            };
            self.close(next);
            aborted.push(next);
        }
        aborted
    }

    /// Records that a caller read bytes buffered for it.
    pub fn consume(&mut self, now: Time, id: BufferId, bytes: usize) {
        let Some(buffer) = self.buffers.get_mut(&id) else {
            return;
        };
        let bytes = bytes.min(buffer.bytes);
        buffer.bytes -= bytes;
        buffer.last_read = now;
        self.bytes -= bytes;
        self.behind -= usize::from(bytes > 0 && buffer.bytes == 0);
    }

    /// Returns for how long the endpoint's answer is to be left unread before `bytes` of it are buffered, unless its
    /// caller reads before; `None` if they may be buffered now.
    ///
    /// Endpoints send faster than most callers read. While much of the budget is used, an answer whose caller reads
    /// waits at its endpoint once it has its share, since the next bytes would cost another answer its end. The last part
    /// of the budget is for callers that have read everything. Nobody waits for a caller that does not read.
    #[must_use]
    pub fn wait(&self, now: Time, id: BufferId, bytes: usize) -> Option<Duration> {
        let buffer = self.buffers.get(&id)?;
        let total = self.bytes + bytes;
        let limit = self.budget / WAIT_DIVISOR;
        let share = limit / self.behind.max(1);
        let has_share = total > limit && buffer.bytes + bytes > share;
        let is_reserved = total > self.budget - self.budget / RESERVE_DIVISOR;
        if buffer.bytes == 0 || !(has_share || is_reserved) {
            return None;
        }
        buffer.reading(now)
    }

    /// Records that the endpoint's answer is complete.
    pub fn mark_complete(&mut self, id: BufferId) {
        if let Some(buffer) = self.buffers.get_mut(&id) {
            buffer.complete = true;
        }
    }

    /// Closes the buffer of an answer.
    pub fn close(&mut self, id: BufferId) {
        if let Some(buffer) = self.buffers.remove(&id) {
            self.bytes -= buffer.bytes;
            self.behind -= usize::from(buffer.bytes > 0);
        }
    }

    /// Returns the answers of which nothing was read for `limit`; their buffers are closed.
    pub fn cut_stalled(&mut self, now: Time, limit: Duration) -> Vec<BufferId> {
        let stalled = |buffer: &Buffer| buffer.bytes > 0 && buffer.last_read + limit <= now;
        let ids = self.buffers.iter().filter(|(_, buffer)| stalled(buffer));
        let ids: Vec<BufferId> = ids.map(|(id, _)| *id).collect();
        for id in &ids {
            self.close(*id);
        }
        ids
    }

    /// Returns the answers that became late: complete, with their callers lagging for some time.
    pub fn became_late(&mut self, now: Time) -> Vec<BufferId> {
        let mut ids = Vec::new();
        for (id, buffer) in &mut self.buffers {
            let behind = buffer.bytes > 0 && buffer.behind_since + LATE_AFTER <= now;
            if behind && buffer.complete && !buffer.late {
                buffer.late = true;
                ids.push(*id);
            }
        }
        ids
    }

    /// Returns the bytes buffered for all callers.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Selects the next answer to abort.
    ///
    /// Complete answers come last: their work is done, and they are useful even if late. Among the
    /// others, those of the account with the most bytes come first, so that no account's slow
    /// callers affect another's; of these, those whose callers have stopped reading, and then the
    /// one with the most byte-milliseconds.
    fn select_aborted(&self, now: Time) -> Option<BufferId> {
        let holds = |buffer: &Buffer| buffer.bytes > 0;
        let unfinished = self
            .buffers
            .values()
            .any(|buffer| holds(buffer) && !buffer.complete);
        let accounts = self.by_account();
        let buffers = self.buffers.iter();
        let buffers =
            buffers.filter(|(_, buffer)| holds(buffer) && !(unfinished && buffer.complete));
        let order = |(id, buffer): &(&BufferId, &Buffer)| {
            let account = accounts.get(buffer.account.as_str()).copied();
            (
                account,
                buffer.reading(now).is_none(),
                buffer.byte_millis(now),
                buffer.bytes,
                Reverse(**id),
            )
        };
        buffers.max_by_key(order).map(|(id, _)| *id)
    }

    /// Returns the buffered bytes by account.
    fn by_account(&self) -> HashMap<&str, usize> {
        let mut accounts = HashMap::new();
        for buffer in self.buffers.values() {
            *accounts.entry(buffer.account.as_str()).or_default() += buffer.bytes;
        }
        accounts
    }
}
