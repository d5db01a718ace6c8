//! What an engine is believed to have in its prefix cache.
//!
//! The belief comes from cache events, which are late and have gaps, and from own dispatches. It
//! is bounded and forgets the oldest block first, as engines do.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use firdock_core::prefix::BlockHash;

use crate::time::Time;

/// Most blocks believed to be cached by one engine.
pub const MAX_BLOCKS: usize = 16_384;
/// Age at which a belief that nothing renewed is dropped.
const BELIEF_AGE: Duration = Duration::from_mins(5);
/// Age beyond which beliefs are dropped once events were missed.
const GAP_AGE: Duration = Duration::from_mins(1);

/// Believed content of one engine's prefix cache.
#[derive(Debug, Default)]
pub struct PrefixCache {
    seen: HashMap<BlockHash, Time>,
    order: VecDeque<(Time, BlockHash)>,
    floor: Time,
}

impl PrefixCache {
    /// Notes that a block is, or is about to be, cached.
    pub fn add(&mut self, now: Time, block: BlockHash) {
        self.seen.insert(block, now);
        self.order.push_back((now, block));
        self.trim(now);
    }

    /// Notes that a block was dropped.
    pub fn remove(&mut self, block: BlockHash) {
        self.seen.remove(&block);
    }

    /// Notes that events were missed: only what was noted lately still counts.
    pub fn record_gap(&mut self, now: Time) {
        self.floor = now.saturating_sub(GAP_AGE);
    }

    /// Counts the leading blocks of `chain` that are believed to be cached.
    #[must_use]
    pub fn matched_blocks(&self, now: Time, chain: &[BlockHash]) -> usize {
        chain.iter().take_while(|b| self.believes(now, **b)).count()
    }

    /// Counts the believed blocks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Tells whether nothing is believed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    fn believes(&self, now: Time, block: BlockHash) -> bool {
        let Some(&at) = self.seen.get(&block) else {
            return false;
        };
        at >= self.floor && at + BELIEF_AGE > now
    }

    fn trim(&mut self, now: Time) {
        while let Some(&(at, block)) = self.order.front() {
            let old = at + BELIEF_AGE < now;
            let renewed = self.seen.get(&block).is_none_or(|t| *t > at);
            let many = self.order.len() > MAX_BLOCKS;
            if !(old || renewed || many) {
                break;
            }
            self.order.pop_front();
            if !renewed {
                self.seen.remove(&block);
            }
        }
    }
}
