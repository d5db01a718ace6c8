//! Counts that wait to be told.

use std::collections::BTreeMap;

use firdock_core::AccountId;
use uuid::Uuid;

use super::Counts;
use crate::event::{AccountUse, UseCounts};

/// How often a count that changed is told: one word may be lost.
const TELLINGS: u8 = 2;
/// Accounts told of in one word, some 16 KB with the longest names that are usual; the others follow with
/// the next word.
pub const MAX_REPORTED_ACCOUNTS: usize = 400;

/// Counts that are to be told, those first that have waited longest.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    counts: Counts,
    waiting: BTreeMap<AccountId, Waiting>,
    changes: u64,
}

/// When a count came to be told, and how often it still is.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    since: u64,
    left: u8,
}

impl Outbox {
    pub(super) fn add(&mut self, rise: &AccountUse) {
        let count = self.counts.entry(rise.account.clone()).or_default();
        *count = count.plus(rise.totals());
        self.changes += 1;
        let new = Waiting {
            since: self.changes,
            left: TELLINGS,
        };
        self.waiting
            .entry(rise.account.clone())
            .and_modify(|w| w.left = TELLINGS)
            .or_insert(new);
    }

    pub(super) fn take_word(&mut self, lead: &str, began: Uuid) -> UseCounts {
        UseCounts {
            lead: lead.to_owned(),
            began,
            fresh: self.changes == 0,
            counts: self.take(),
        }
    }

    fn take(&mut self) -> Vec<AccountUse> {
        let mut order: Vec<(u64, AccountId)> = self
            .waiting
            .iter()
            .map(|(account, w)| (w.since, account.clone()))
            .collect();
        order.sort_unstable();
        order.truncate(MAX_REPORTED_ACCOUNTS);
        let told = order.into_iter().filter_map(|(_, account)| {
            self.note_told(&account);
            let count = *self.counts.get(&account)?;
            Some(count.named(account))
        });
        told.collect()
    }

    fn note_told(&mut self, account: &str) {
        self.changes += 1;
        let Some(waiting) = self.waiting.get_mut(account) else {
            return;
        };
        waiting.left -= 1;
        waiting.since = self.changes;
        if waiting.left == 0 {
            self.waiting.remove(account);
        }
    }
}
