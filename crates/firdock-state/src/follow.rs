//! Follows the log: turns batches of records into a state and the result of each record.
//!
//! A reader that is behind the log's retention starts again from a snapshot record. It uses a snapshot only if
//! the log still has every record after the snapshot's offset (see `docs/design/configuration.md`).

use std::time::Duration;

use firdock_core::Offset;
use serde::{Deserialize, Serialize};

use crate::record::{Body, LogRecord, Record, RecordId};
use crate::state::{FoldOutcome, State};

/// Records of one read of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Oldest offset that the log still has; the next one to be written if the log is empty.
    pub first: Offset,
    /// Offset that the next append will get.
    pub next: Offset,
    /// Time of the answer by the log's clock, in milliseconds since the Unix epoch.
    pub time_millis: u64,
    /// Records in order, from the requested offset or the oldest one.
    pub records: Vec<LogRecord>,
}

impl Batch {
    /// Returns the time of the answer by the log's clock.
    #[must_use]
    pub fn time(&self) -> Duration {
        Duration::from_millis(self.time_millis)
    }
}

/// Result of a batch.
#[derive(Debug, Clone, PartialEq)]
pub enum Progress {
    /// Records were folded.
    Folded {
        /// Result of each record, for the writers that wait for it.
        results: Vec<(RecordId, FoldOutcome)>,
        /// Whether the log's end was reached.
        at_end: bool,
    },
    /// Records are missing, and no usable snapshot was found yet.
    Gap {
        /// Offset to continue reading from.
        read_from: Offset,
    },
}

/// Follows the log from any starting state.
#[derive(Debug, Clone)]
pub struct Follower {
    state: State,
    /// Search for a snapshot after a gap; `None` while there is no gap.
    scan: Option<Scan>,
}

#[derive(Debug, Clone)]
struct Scan {
    next: Offset,
    state: Option<State>,
}

impl Scan {
    /// Searches a batch for a snapshot whose later records are all available.
    fn find_snapshot(&mut self, batch: &Batch) {
        for log in batch
            .records
            .iter()
            .filter(|r| r.offset >= self.next)
            .collect::<Vec<_>>()
        {
            self.next = log.offset + 1;
            let Some(Record {
                body: Body::Snapshot { state },
                ..
            }) = log.decode()
            else {
                continue;
            };
            let is_covered = state.next >= batch.first && state.next <= log.offset;
            if is_covered && state.is_possible() {
                // Reading resumes at the first record that the snapshot does not cover.
                self.next = state.next;
                self.state = Some(*state);
                return;
            }
        }
    }
}

impl Default for Follower {
    fn default() -> Self {
        Self::new(State::new())
    }
}

impl Follower {
    /// Creates a follower that starts from a state: an empty one, or one from a peer.
    #[must_use]
    pub fn new(state: State) -> Self {
        Self { state, scan: None }
    }

    /// Returns the state in force.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the offset to read from.
    #[must_use]
    pub fn read_from(&self) -> Offset {
        self.scan.as_ref().map_or(self.state.next, |s| s.next)
    }

    /// Replaces the state by one from a peer if that is ahead. Returns whether it was.
    pub fn adopt(&mut self, state: State) -> bool {
        let ahead = state.next > self.state.next && state.version >= self.state.version;
        let ahead = ahead && state.is_possible();
        if ahead {
            self.state = state;
            self.scan = None;
        }
        ahead
    }

    /// Folds a batch that was read from [`Self::read_from`].
    pub fn fold_batch(&mut self, batch: &Batch) -> Progress {
        if self.scan.is_none() && batch.first > self.state.next {
            self.scan = Some(Scan {
                next: batch.first,
                state: None,
            });
        }
        if self.scan.is_some() {
            return self.scan_batch(batch);
        }
        let before = self.state.next;
        let results = fold_all(&mut self.state, &batch.records);
        let read_from = self.state.next;
        let at_end = read_from >= batch.next;
        if read_from == before && !at_end {
            // Records are missing that the log has. Read on at once, they would be missing again.
            return Progress::Gap { read_from };
        }
        Progress::Folded { results, at_end }
    }

    /// Searches for a snapshot whose later records are all available, and folds the records after it.
    fn scan_batch(&mut self, batch: &Batch) -> Progress {
        let Some(mut scan) = self.scan.take() else {
            return Progress::Gap {
                read_from: self.state.next,
            };
        };
        if batch.first > scan.next {
            scan = Scan {
                next: batch.first,
                state: None,
            };
        }
        match &mut scan.state {
            Some(state) => {
                fold_all(state, &batch.records);
                scan.next = state.next;
            }
            None => scan.find_snapshot(batch),
        }
        let at_end = scan.next >= batch.next;
        if let Some(state) = scan
            .state
            .take_if(|s| at_end && s.version >= self.state.version)
        {
            self.state = state;
            return Progress::Folded {
                results: Vec::new(),
                at_end,
            };
        }
        // At the end without a snapshot, the scan waits there until one is written.
        let read_from = scan.next;
        self.scan = Some(scan);
        Progress::Gap { read_from }
    }
}

/// Folds the new records, up to one that is missing, and skips those that were folded already.
fn fold_all(state: &mut State, records: &[LogRecord]) -> Vec<(RecordId, FoldOutcome)> {
    let mut results = Vec::new();
    let known = state.next;
    for log in records.iter().filter(|r| r.offset >= known) {
        if log.offset != state.next {
            break;
        }
        let record = log.decode();
        let outcome = state.fold(log.offset, log.time(), record.as_ref());
        results.extend(record.map(|r| (r.id, outcome)));
    }
    results
}
