//! Numbers of answers that were under way on segments of prompts, as evidence that these were sound.

use std::collections::BTreeMap;

use firdock_core::{AccountId, ContentId};

/// Maximum number of segments per account. The one with the fewest answers gives way first.
const MAX_PER_ACCOUNT: usize = 64;

/// Numbers of answers by account and segment.
#[derive(Debug, Default)]
pub struct SegmentAnswers(BTreeMap<AccountId, BTreeMap<ContentId, u32>>);

impl SegmentAnswers {
    /// Counts an answer; returns the number of answers on the segment.
    pub fn record(&mut self, account: &AccountId, segment: ContentId) -> u32 {
        let counts = self.0.entry(account.clone()).or_default();
        if counts.len() >= MAX_PER_ACCOUNT && !counts.contains_key(&segment) {
            let fewest = counts.iter().min_by_key(|(_, count)| **count);
            if let Some(id) = fewest.map(|(id, _)| *id) {
                counts.remove(&id);
            }
        }
        let count = counts.entry(segment).or_default();
        *count = count.saturating_add(1);
        *count
    }

    /// Returns the number of answers that were counted.
    #[must_use]
    pub fn count(&self, account: &AccountId, segment: ContentId) -> u32 {
        let counts = self.0.get(account);
        counts.and_then(|c| c.get(&segment)).copied().unwrap_or(0)
    }
}
