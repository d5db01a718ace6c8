//! Following the log: batches in, states and results out, also past retention.
//!
//! A reader that is too far behind starts again from a snapshot record; it uses one only if every
//! record after the snapshot's offset is still there (see `docs/design/configuration.md`).

use std::time::Duration;

use firdock_core::Offset;
use serde::{Deserialize, Serialize};

use crate::record::{Body, LogRecord, Record, RecordId};
use crate::state::{FoldOutcome, State};

/// Records that the log gave in one read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Oldest offset that the log still has (the next one to be written, if it has none).
    pub first: Offset,
    /// Offset that the next append will get.
    pub next: Offset,
    /// The log's clock when it answered, in milliseconds since the Unix epoch.
    pub time_millis: u64,
    /// Records in order, from the offset asked for or the oldest one.
    pub records: Vec<LogRecord>,
}

impl Batch {
    /// Gives the log's clock.
    #[must_use]
    pub fn time(&self) -> Duration {
        Duration::from_millis(self.time_millis)
    }
}

/// What a batch brought.
#[derive(Debug, Clone, PartialEq)]
pub enum Progress {
    /// Records were folded; `at_end` tells whether the log's end was reached.
    Folded {
        /// Result of each record, for writers that wait.
        results: Vec<(RecordId, FoldOutcome)>,
        /// Whether the log's end was reached.
        at_end: bool,
    },
    /// Records are missing and no usable snapshot was seen yet.
    Gap {
        /// Offset to go on reading from.
        read_from: Offset,
    },
}

/// Follows the log from any starting state.
#[derive(Debug, Clone)]
pub struct Follower {
    state: State,
    /// Records read after a gap, while a snapshot is looked for.
    scan: Option<Scan>,
}

#[derive(Debug, Clone)]
struct Scan {
    next: Offset,
    state: Option<State>,
}

impl Scan {
    /// Goes through a batch until a snapshot whose later records are all there.
    fn look_for_snapshot(&mut self, batch: &Batch) {
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
            if state.next >= batch.first && state.next <= log.offset {
                // Reading goes back to what the snapshot does not cover.
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
    /// Starts from a state: empty, or one that a peer gave.
    #[must_use]
    pub fn new(state: State) -> Self {
        Self { state, scan: None }
    }

    /// Gives the state in force.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Gives the offset to read from.
    #[must_use]
    pub fn read_from(&self) -> Offset {
        self.scan.as_ref().map_or(self.state.next, |s| s.next)
    }

    /// Takes a state that a peer gave over, if it is ahead; tells whether it was.
    pub fn adopt(&mut self, state: State) -> bool {
        let ahead = state.next > self.state.next && state.version >= self.state.version;
        if ahead {
            self.state = state;
            self.scan = None;
        }
        ahead
    }

    /// Folds a batch that was read from [`Self::read_from`].
    pub fn take(&mut self, batch: &Batch) -> Progress {
        if self.scan.is_none() && batch.first > self.state.next {
            self.scan = Some(Scan {
                next: batch.first,
                state: None,
            });
        }
        if self.scan.is_some() {
            return self.take_scanning(batch);
        }
        let results = fold_all(&mut self.state, &batch.records);
        Progress::Folded {
            results,
            at_end: self.state.next >= batch.next,
        }
    }

    /// Looks for a snapshot whose later records are all there, and folds on from it.
    fn take_scanning(&mut self, batch: &Batch) -> Progress {
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
            None => scan.look_for_snapshot(batch),
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
        // At the end without a snapshot, the scan waits there for one to be written.
        let read_from = scan.next;
        self.scan = Some(scan);
        Progress::Gap { read_from }
    }
}

/// Folds the records that come next, passing over those that were folded already.
fn fold_all(state: &mut State, records: &[LogRecord]) -> Vec<(RecordId, FoldOutcome)> {
    let mut results = Vec::new();
    for log in records
        .iter()
        .filter(|r| r.offset >= state.next)
        .collect::<Vec<_>>()
    {
        let record = log.decode();
        let outcome = state.fold(log.offset, log.time(), record.as_ref());
        results.extend(record.map(|r| (r.id, outcome)));
    }
    results
}
