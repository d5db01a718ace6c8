//! Accounting of the answers that are held for callers who read slowly, and which of them are cut.
//!
//! An endpoint's place is free once its answer is read, so answers wait here for their callers. All of
//! them share one budget of bytes (see `docs/design/slow-readers.md`).

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use firdock_core::AccountId;

use crate::time::Time;

/// Number of an answer's buffer, given by its owner.
pub type BufferId = u64;

/// Longest time that a caller may take nothing of what is held for it.
///
/// A caller on a poor line may stand still for some seconds and read on; one that takes nothing for
/// half a minute has stopped for good, and its bytes are of more use to others.
pub const CALLER_STALL: Duration = Duration::from_secs(30);

/// Time for which a caller may be behind a whole answer before it counts as late: longer than a caller is
/// that reads as fast as its line lets it, and well below the time at which a lost one is given up.
const LATE_AFTER: Duration = Duration::from_secs(1);

/// What is held for one caller.
#[derive(Debug, Clone)]
struct Row {
    account: AccountId,
    bytes: usize,
    /// When the caller last had everything, or the answer began.
    behind_since: Time,
    /// When the caller last took something, or something was held for it first.
    taken: Time,
    /// Whether the endpoint's answer is complete.
    whole: bool,
    /// Whether the caller is known to be late.
    late: bool,
}

impl Row {
    /// Gives how much is held for how long, in byte-milliseconds.
    fn weight(&self, now: Time) -> u128 {
        self.bytes as u128 * now.saturating_sub(self.behind_since).as_millis()
    }
}

/// Bytes held for callers, by answer, within one budget.
#[derive(Debug)]
pub struct AnswerBuffers {
    budget: usize,
    bytes: usize,
    rows: BTreeMap<BufferId, Row>,
}

impl AnswerBuffers {
    /// Makes the accounting of a budget in bytes.
    #[must_use]
    pub fn new(budget: usize) -> Self {
        Self {
            budget,
            bytes: 0,
            rows: BTreeMap::new(),
        }
    }

    /// Begins the accounting of an answer.
    pub fn open(&mut self, now: Time, id: BufferId, account: AccountId) {
        let row = Row {
            account,
            bytes: 0,
            behind_since: now,
            taken: now,
            whole: false,
            late: false,
        };
        self.rows.insert(id, row);
    }

    /// Holds bytes of an answer; gives the answers that are cut for it, which may be this one.
    ///
    /// What is cut counts no more. Afterwards the budget is kept, whatever was held.
    pub fn hold(&mut self, now: Time, id: BufferId, bytes: usize) -> Vec<BufferId> {
        let Some(row) = self.rows.get_mut(&id) else {
            return Vec::new();
        };
        if row.bytes == 0 {
            row.behind_since = now;
            row.taken = now;
        }
        row.bytes += bytes;
        self.bytes += bytes;
        let mut cut = Vec::new();
        while self.bytes > self.budget {
            let Some(next) = self.next_cut(now) else {
                break;
            };
            self.close(next);
            cut.push(next);
        }
        cut
    }

    /// Notes that a caller took bytes that were held for it.
    pub fn consume(&mut self, now: Time, id: BufferId, bytes: usize) {
        let Some(row) = self.rows.get_mut(&id) else {
            return;
        };
        let bytes = bytes.min(row.bytes);
        row.bytes -= bytes;
        row.taken = now;
        self.bytes -= bytes;
    }

    /// Notes that the endpoint's answer is complete.
    pub fn mark_complete(&mut self, id: BufferId) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.whole = true;
        }
    }

    /// Ends the accounting of an answer.
    pub fn close(&mut self, id: BufferId) {
        if let Some(row) = self.rows.remove(&id) {
            self.bytes -= row.bytes;
        }
    }

    /// Gives the answers of which nothing was taken for `limit`; they count no more.
    pub fn cut_stalled(&mut self, now: Time, limit: Duration) -> Vec<BufferId> {
        let stalled = |row: &Row| row.bytes > 0 && row.taken + limit <= now;
        let found = self.rows.iter().filter(|(_, row)| stalled(row));
        let found: Vec<BufferId> = found.map(|(id, _)| *id).collect();
        for id in &found {
            self.close(*id);
        }
        found
    }

    /// Gives the answers that became late: whole, and their callers behind for some time.
    pub fn became_late(&mut self, now: Time) -> Vec<BufferId> {
        let mut found = Vec::new();
        for (id, row) in &mut self.rows {
            let behind = row.bytes > 0 && row.behind_since + LATE_AFTER <= now;
            if behind && row.whole && !row.late {
                row.late = true;
                found.push(*id);
            }
        }
        found
    }

    /// Gives the bytes held for all callers.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Finds the answer that is cut next.
    ///
    /// Answers that are whole come last: their work is done, and they are of use also when late. Among
    /// the others, those of the account that holds most come first, so that no account's slow callers
    /// cost another's; of these, the one that held most for longest.
    fn next_cut(&self, now: Time) -> Option<BufferId> {
        let holds = |row: &Row| row.bytes > 0;
        let unfinished = self.rows.values().any(|row| holds(row) && !row.whole);
        let accounts = self.by_account();
        let rows = self.rows.iter();
        let rows = rows.filter(|(_, row)| holds(row) && !(unfinished && row.whole));
        let order = |(id, row): &(&BufferId, &Row)| {
            let account = accounts.get(row.account.as_str()).copied();
            (account, row.weight(now), row.bytes, Reverse(**id))
        };
        rows.max_by_key(order).map(|(id, _)| *id)
    }

    /// Gives the bytes held by account.
    fn by_account(&self) -> HashMap<&str, usize> {
        let mut accounts = HashMap::new();
        for row in self.rows.values() {
            *accounts.entry(row.account.as_str()).or_default() += row.bytes;
        }
        accounts
    }
}
