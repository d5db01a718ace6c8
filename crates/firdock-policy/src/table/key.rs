//! Idempotency keys that this instance has seen as their owner.

use std::collections::{BTreeMap, VecDeque};

use firdock_core::{Outcome, RequestId};

use crate::request::KeyClaim;
use crate::time::Time;

/// State of a key's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyState {
    /// The request has not ended.
    Live,
    /// The request ended with this outcome.
    Ended(Outcome),
}

/// One key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyRow {
    /// Request that holds the key.
    pub id: RequestId,
    /// Hash of that request.
    pub fingerprint: u64,
    /// State of that request.
    pub state: KeyState,
}

/// Table of keys. Its size is bounded by refusing new keys, not by dropping old ones.
#[derive(Debug, Default)]
pub struct Keys {
    rows: BTreeMap<u64, KeyRow>,
    ended: VecDeque<(Time, u64, RequestId)>,
}

impl Keys {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Finds a key.
    #[must_use]
    pub fn get(&self, hash: u64) -> Option<&KeyRow> {
        self.rows.get(&hash)
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Iterates over the known keys.
    pub fn hashes(&self) -> impl Iterator<Item = u64> {
        self.rows.keys().copied()
    }

    /// Records that a request holds a key.
    pub fn claim(&mut self, claim: &KeyClaim, id: RequestId) {
        let row = KeyRow {
            id,
            fingerprint: claim.fingerprint,
            state: KeyState::Live,
        };
        self.rows.insert(claim.hash, row);
    }

    /// Records the outcome of a key's request; a request that did not run frees the key.
    pub fn record_outcome(&mut self, now: Time, hash: u64, id: RequestId, outcome: Outcome) {
        let Some(row) = self.rows.get_mut(&hash).filter(|r| r.id == id) else {
            return;
        };
        if outcome == Outcome::NotRun {
            self.rows.remove(&hash);
            return;
        }
        row.state = KeyState::Ended(outcome);
        self.ended.push_back((now, hash, id));
    }

    /// Removes keys whose requests ended before `limit`; returns those requests.
    pub fn expire(&mut self, limit: Time) -> Vec<RequestId> {
        let mut gone = Vec::new();
        while let Some(&(at, hash, id)) = self.ended.front() {
            if at >= limit {
                break;
            }
            self.ended.pop_front();
            self.rows.remove(&hash);
            gone.push(id);
        }
        gone
    }
}
