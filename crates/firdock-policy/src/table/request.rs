//! Requests from arrival to their end, with counts of those held.

use std::collections::BTreeMap;

use firdock_core::resource::Tier;
use firdock_core::{RequestId, TierRank};

use crate::request::{Phase, RequestRow};

/// Number of ranks that are counted.
const RANKS: usize = Tier::MAX_RANK as usize + 1;

/// Table of requests.
#[derive(Debug, Default)]
pub struct Requests {
    rows: BTreeMap<RequestId, RequestRow>,
    held: [u32; RANKS],
    bytes: usize,
}

impl Requests {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Finds a request.
    #[must_use]
    pub fn get(&self, id: RequestId) -> Option<&RequestRow> {
        self.rows.get(&id)
    }

    /// Finds a request for changes to anything but its phase.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestRow> {
        self.rows.get_mut(&id)
    }

    /// Adds a held request.
    ///
    /// # Panics
    ///
    /// Panics if a request with this id has not ended: ids are unique.
    pub fn insert(&mut self, row: RequestRow) {
        assert_eq!(
            row.phase,
            Phase::Held,
            "a new request must be in the held phase"
        );
        self.held[usize::from(row.rank)] += 1;
        self.bytes += row.new.bytes;
        let earlier = self.rows.insert(row.new.id, row);
        assert!(earlier.is_none(), "request ids must be unique");
    }

    /// Changes a request's phase.
    pub fn set_phase(&mut self, id: RequestId, phase: Phase) {
        let Some(row) = self.rows.get_mut(&id) else {
            return;
        };
        let held = &mut self.held[usize::from(row.rank)];
        *held -= u32::from(row.phase == Phase::Held);
        *held += u32::from(phase == Phase::Held);
        row.phase = phase;
    }

    /// Removes a request.
    pub fn remove(&mut self, id: RequestId) -> Option<RequestRow> {
        let row = self.rows.remove(&id)?;
        self.held[usize::from(row.rank)] -= u32::from(row.phase == Phase::Held);
        self.bytes -= row.new.bytes;
        Some(row)
    }

    /// Iterates over all requests in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &RequestRow> {
        self.rows.values()
    }

    /// Returns the number of requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the total bytes of all requests.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of requests held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.iter().map(|n| *n as usize).sum()
    }

    /// Returns the number of requests held, by rank.
    #[must_use]
    pub fn held_by_rank(&self) -> &[u32] {
        &self.held
    }

    /// Returns whether a request of a lower tier than `rank` is held.
    #[must_use]
    pub fn holds_below(&self, rank: TierRank) -> bool {
        self.held[usize::from(rank) + 1..].iter().any(|n| *n > 0)
    }

    /// Returns the lowest tier with a held request.
    #[must_use]
    pub fn lowest_held(&self) -> Option<TierRank> {
        let at = self.held.iter().rposition(|n| *n > 0)?;
        TierRank::try_from(at).ok()
    }
}
