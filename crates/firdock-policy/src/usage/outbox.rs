//! Queue of counts to be reported.

use std::collections::BTreeMap;

use firdock_core::AccountId;
use uuid::Uuid;

use super::Counts;
use crate::event::{AccountUse, UseCounts};

/// Number of times a changed count is reported, as one report may be lost.
const REPORTS_PER_CHANGE: u8 = 2;
/// Maximum number of accounts per report, about 16 KB with the longest usual names; the others
/// follow in the next report.
pub const MAX_REPORTED_ACCOUNTS: usize = 400;

/// Counts to be reported, those that have waited longest first.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    counts: Counts,
    waiting: BTreeMap<AccountId, Waiting>,
    changes: u64,
}

/// When a count was queued, and how many reports of it remain.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    since: u64,
    remaining: u8,
}

impl Outbox {
    pub(super) fn add(&mut self, increase: &AccountUse) {
        let count = self.counts.entry(increase.account.clone()).or_default();
        *count = count.plus(increase.totals());
        self.changes += 1;
        let new = Waiting {
            since: self.changes,
            remaining: REPORTS_PER_CHANGE,
        };
        self.waiting
            .entry(increase.account.clone())
            .and_modify(|w| w.remaining = REPORTS_PER_CHANGE)
            .or_insert(new);
    }

    pub(super) fn report(&mut self, lead: &str, began: Uuid) -> UseCounts {
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
        let reported = order.into_iter().filter_map(|(_, account)| {
            self.record_reported(&account);
            let count = *self.counts.get(&account)?;
            Some(count.named(account))
        });
        reported.collect()
    }

    fn record_reported(&mut self, account: &str) {
        self.changes += 1;
        let Some(waiting) = self.waiting.get_mut(account) else {
            return;
        };
        waiting.remaining -= 1;
        waiting.since = self.changes;
        if waiting.remaining == 0 {
            self.waiting.remove(account);
        }
    }
}
