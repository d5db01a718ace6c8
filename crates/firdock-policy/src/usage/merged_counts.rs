//! Counts of the same use by several reporters, each from its own start.

use std::collections::BTreeMap;

use firdock_core::InstanceId;
use uuid::Uuid;

use super::{Counts, FORGET_AFTER};
use crate::event::{AccountUse, UseCounts, UseTotals};
use crate::time::Time;

/// A reporter of the counts.
#[derive(Debug)]
struct Reporter {
    count_id: Uuid,
    last_seen: Time,
    /// Whether it was received from its start, when nothing was counted yet.
    from_start: bool,
    /// Offsets that make its counts continue the known totals: taken at its start for a reporter
    /// received from its start, otherwise at its first report of an account.
    offsets: Counts,
}

/// Merged counts of the same use: of the two leads of a group, or of successive leads.
#[derive(Debug, Default)]
pub struct MergedCounts {
    reporters: BTreeMap<InstanceId, Reporter>,
    /// Total increase, by the reporter that counted furthest.
    known_totals: Counts,
}

impl MergedCounts {
    /// Merges a report; returns the increase for each account.
    ///
    /// What a reporter counted before its first report is not known to be new: unless it was
    /// received from its start, its first report of each account is only a baseline. Later
    /// increases are new as far as no other reporter has reported them before.
    pub fn merge(&mut self, now: Time, report: &UseCounts) -> Vec<AccountUse> {
        self.reporters
            .retain(|_, t| t.last_seen + FORGET_AFTER > now);
        let reporter = self
            .reporters
            .entry(report.lead.clone())
            .or_insert_with(|| Reporter::new(now, report, &self.known_totals));
        if reporter.count_id == report.began {
            reporter.last_seen = now;
        } else {
            *reporter = Reporter::new(now, report, &self.known_totals);
        }
        let from_start = reporter.from_start;
        let mut increases = Vec::new();
        for reported in &report.counts {
            let known = self
                .known_totals
                .entry(reported.account.clone())
                .or_default();
            let first = || {
                if from_start {
                    UseTotals::default()
                } else {
                    known.minus(reported.totals())
                }
            };
            let offset = *reporter
                .offsets
                .entry(reported.account.clone())
                .or_insert_with(first);
            let increase = reported.totals().plus(offset).above(*known);
            if !increase.is_zero() {
                *known = known.plus(increase);
                increases.push(increase.named(reported.account.clone()));
            }
        }
        increases
    }

    /// Removes accounts that are not `wanted`; later reports of them start from a new baseline.
    pub fn retain(&mut self, wanted: impl Fn(&str) -> bool) {
        self.known_totals.retain(|account, _| wanted(account));
        for reporter in self.reporters.values_mut() {
            reporter.offsets.retain(|account, _| wanted(account));
        }
    }
}

impl Reporter {
    fn new(now: Time, report: &UseCounts, known_totals: &Counts) -> Self {
        let offsets = if report.fresh {
            known_totals.clone()
        } else {
            Counts::new()
        };
        Self {
            count_id: report.began,
            last_seen: now,
            from_start: report.fresh,
            offsets,
        }
    }
}
