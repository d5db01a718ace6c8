//! Estimated content of an engine's prefix cache.
//!
//! The estimate is based on cache events, which are late and have gaps, and on this instance's
//! dispatches. It is bounded and evicts the oldest block first, as engines do.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use firdock_core::prefix::BlockHash;

use crate::time::Time;

/// Maximum number of blocks assumed cached by one engine.
pub const MAX_BLOCKS: usize = 16_384;
/// Age at which an entry expires unless it is renewed.
const ENTRY_TTL: Duration = Duration::from_mins(5);
/// Age above which entries are ignored once events were missed.
const MAX_AGE_AFTER_GAP: Duration = Duration::from_mins(1);

/// Estimated content of one engine's prefix cache.
#[derive(Debug, Default)]
pub struct PrefixCache {
    cached: HashMap<BlockHash, Time>,
    order: VecDeque<(Time, BlockHash)>,
    valid_from: Time,
}

impl PrefixCache {
    /// Records that a block is, or is about to be, cached.
    pub fn add(&mut self, now: Time, block: BlockHash) {
        self.cached.insert(block, now);
        self.order.push_back((now, block));
        self.trim(now);
    }

    /// Records that a block was evicted.
    pub fn remove(&mut self, block: BlockHash) {
        self.cached.remove(&block);
    }

    /// Records that events were missed: only recent entries remain valid.
    pub fn record_gap(&mut self, now: Time) {
        self.valid_from = now.saturating_sub(MAX_AGE_AFTER_GAP);
    }

    /// Returns the number of leading blocks of `chain` that are assumed cached.
    #[must_use]
    pub fn matched_blocks(&self, now: Time, chain: &[BlockHash]) -> usize {
        chain
            .iter()
            .take_while(|b| self.is_cached(now, **b))
            .count()
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.cached.len()
    }

    /// Returns whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cached.is_empty()
    }

    fn is_cached(&self, now: Time, block: BlockHash) -> bool {
        let Some(&at) = self.cached.get(&block) else {
            return false;
        };
        at >= self.valid_from && at + ENTRY_TTL > now
    }

    fn trim(&mut self, now: Time) {
        while let Some(&(at, block)) = self.order.front() {
            let old = at + ENTRY_TTL < now;
            let renewed = self.cached.get(&block).is_none_or(|t| *t > at);
            let many = self.order.len() > MAX_BLOCKS;
            if !(old || renewed || many) {
                break;
            }
            self.order.pop_front();
            if !renewed {
                self.cached.remove(&block);
            }
        }
    }
}
