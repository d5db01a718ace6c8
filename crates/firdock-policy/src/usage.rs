//! Aggregation of what instances admit under account limits, as the leads of groups count it.
//!
//! In a large site no instance needs to know what each other one admitted: a row per instance and
//! account grows with both, and forwarding all rows to all grows with the square of the number of
//! instances. A lead adds up the reports of the members of its group; leads send each other the
//! counts of their groups, and their groups the counts of all (see `docs/design/limits.md`).
//!
//! A count is meaningful only by its increase, since each lead counts from its own start. Use that
//! two leads of a group both report is counted once.

mod merged_counts;
mod outbox;

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_core::{AccountId, InstanceId, ZoneId};
use uuid::Uuid;

pub use self::merged_counts::MergedCounts;
pub use self::outbox::MAX_REPORTED_ACCOUNTS;
use self::outbox::Outbox;
use crate::event::{AccountUse, PeerUse, UseCounts, UseTotals};
use crate::time::Time;

/// Silence after which a reporter is forgotten: it was replaced or removed.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// Counts by account.
type Counts = BTreeMap<AccountId, UseTotals>;

impl UseTotals {
    /// Returns the increase over earlier totals; a decrease counts as no change, since reports may
    /// arrive out of order, and refunded units are soon used again.
    fn above(self, before: Self) -> Self {
        Self {
            units: (self.units - before.units).max(0.0),
            asked: (self.asked - before.asked).max(0.0),
        }
    }

    fn plus(self, more: Self) -> Self {
        Self {
            units: self.units + more.units,
            asked: self.asked + more.asked,
        }
    }

    /// Returns the difference; it may be negative.
    #[must_use]
    pub fn minus(self, less: Self) -> Self {
        Self {
            units: self.units - less.units,
            asked: self.asked - less.asked,
        }
    }

    /// Returns whether nothing was used or requested.
    #[must_use]
    pub fn is_zero(&self) -> bool {
        self.units <= 0.0 && self.asked <= 0.0
    }
}

/// What one member of the group admitted, by its own reports.
#[derive(Debug)]
struct MemberUse {
    incarnation: Uuid,
    last_seen: Time,
    /// Highest totals that it reported for each account.
    peak: Counts,
}

/// What a lead counts for its group and receives from others, and what of it is still to be
/// reported.
#[derive(Debug, Default)]
pub struct UseAggregator {
    /// Id of this instance's count for its group, by which receivers distinguish successive counts;
    /// `None` while others count.
    count_id: Option<Uuid>,
    members: BTreeMap<InstanceId, MemberUse>,
    groups: BTreeMap<ZoneId, MergedCounts>,
    to_leads: Outbox,
    to_group: Outbox,
}

impl UseAggregator {
    /// Adds a report of what a member of the group, possibly this instance, has admitted since its
    /// start.
    ///
    /// What it admitted before its first report is not known to be recent. For an account that it
    /// reports for the first time later, the increase since callers last began to use it is.
    pub fn add_member_report(&mut self, now: Time, report: &PeerUse) {
        if self.count_id.is_none() {
            return;
        }
        let known = self.members.contains_key(&report.name);
        let member = self
            .members
            .entry(report.name.clone())
            .or_insert_with(|| MemberUse::new(now, report.incarnation));
        member.mark_seen(now, report.incarnation);
        let increases = report.used.iter().map(|reported| {
            let increase = member.increase(reported, known);
            increase.named(reported.account.clone())
        });
        for increase in increases.filter(|increase| !increase.totals().is_zero()) {
            self.to_leads.add(&increase);
            self.to_group.add(&increase);
        }
    }

    /// Adds the counts of another group as its lead reports them.
    pub fn add_group_report(&mut self, now: Time, zone: &str, report: &UseCounts) {
        if self.count_id.is_none() {
            return;
        }
        let counts = self.groups.entry(zone.to_owned()).or_default();
        for increase in counts.merge(now, report) {
            self.to_group.add(&increase);
        }
    }

    /// Returns the report to the leads of other groups: the counts of the own group; `None` while
    /// others count.
    pub fn report_for_leads(&mut self, lead: &str) -> Option<UseCounts> {
        Some(self.to_leads.report(lead, self.count_id?))
    }

    /// Returns the report to the own group: the counts of all groups; `None` while others count.
    pub fn report_for_group(&mut self, lead: &str) -> Option<UseCounts> {
        Some(self.to_group.report(lead, self.count_id?))
    }

    /// Removes members that fell silent; their rows would accumulate as instances come and go.
    pub fn sweep(&mut self, now: Time) {
        self.members.retain(|_, m| m.last_seen + FORGET_AFTER > now);
    }

    /// Starts counting for the group unless this instance already does; `new_id` gives the id of
    /// the count.
    pub fn start(&mut self, new_id: impl FnOnce() -> Uuid) {
        if self.count_id.is_none() {
            self.count_id = Some(new_id());
        }
    }

    /// Discards everything, since other instances count for the group.
    pub fn reset(&mut self) {
        if self.count_id.is_some() {
            *self = Self::default();
        }
    }

    /// Returns the number of rows of members and accounts.
    #[must_use]
    pub fn rows(&self) -> usize {
        self.members.values().map(|m| 1 + m.peak.len()).sum()
    }
}

impl MemberUse {
    fn new(now: Time, incarnation: Uuid) -> Self {
        Self {
            incarnation,
            last_seen: now,
            peak: Counts::new(),
        }
    }

    fn mark_seen(&mut self, now: Time, incarnation: Uuid) {
        if self.incarnation == incarnation {
            self.last_seen = now;
        } else {
            *self = Self::new(now, incarnation);
        }
    }

    /// Returns the increase over what was reported before. `is_known` says whether the member was
    /// known: a known member reports every account that callers use.
    fn increase(&mut self, reported: &AccountUse, is_known: bool) -> UseTotals {
        let first = if is_known {
            reported.before
        } else {
            reported.totals()
        };
        let peak = self.peak.entry(reported.account.clone()).or_insert(first);
        let increase = reported.totals().above(*peak);
        *peak = peak.plus(increase);
        increase
    }
}
