//! Sums of what instances let pass of account limits, as the leads of groups count it.
//!
//! Where instances are many, none needs to know what each other one let pass: a row for each instance
//! and account grows with both, and passing all of them on to all grows with the square of the
//! instances. A lead counts what the members of its group tell; leads tell each other the counts of their
//! groups, and their groups the counts of all (see `docs/design/limits.md`).
//!
//! A count tells something only by how much it rises, since each lead counts from its own start. What two
//! leads of a group tell of the same use counts once.

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

/// Silence after which a teller is forgotten: it was replaced or taken away.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// Counts by account.
type Counts = BTreeMap<AccountId, UseTotals>;

impl UseTotals {
    /// Gives by how much these are more than those before; what went down counts as unchanged, since a
    /// word may be overtaken, and what is given back is soon used again.
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

    /// Gives these less others; either may be the greater.
    #[must_use]
    pub fn minus(self, less: Self) -> Self {
        Self {
            units: self.units - less.units,
            asked: self.asked - less.asked,
        }
    }

    /// Tells whether nothing was used or asked for.
    #[must_use]
    pub fn is_zero(&self) -> bool {
        self.units <= 0.0 && self.asked <= 0.0
    }
}

/// What one member of the group let pass, by its own words.
#[derive(Debug)]
struct MemberUse {
    incarnation: Uuid,
    heard: Time,
    /// The most that it told of each account.
    most: Counts,
}

/// What a lead counts of its group and hears of others, and what of that is to be told.
#[derive(Debug, Default)]
pub struct UseAggregator {
    /// When this instance began to count for its group, as who hears its counts tells beginnings apart;
    /// `None` while others count.
    began: Option<Uuid>,
    members: BTreeMap<InstanceId, MemberUse>,
    groups: BTreeMap<ZoneId, MergedCounts>,
    to_leads: Outbox,
    to_group: Outbox,
}

impl UseAggregator {
    /// Takes what a member of the group let pass since its start, this instance itself among them.
    ///
    /// What it let pass before it was first heard of is not known to be recent. Of an account that it tells
    /// of later, what rose since callers came for it is.
    pub fn add_member_report(&mut self, now: Time, word: &PeerUse) {
        if self.began.is_none() {
            return;
        }
        let known = self.members.contains_key(&word.name);
        let member = self
            .members
            .entry(word.name.clone())
            .or_insert_with(|| MemberUse::new(now, word.incarnation));
        member.hear(now, word.incarnation);
        let rises = word.used.iter().map(|told| {
            let rise = member.rise(told, known);
            rise.named(told.account.clone())
        });
        for rise in rises.filter(|rise| !rise.totals().is_zero()) {
            self.to_leads.add(&rise);
            self.to_group.add(&rise);
        }
    }

    /// Takes what the lead of another group counted of it.
    pub fn add_group_report(&mut self, now: Time, zone: &str, word: &UseCounts) {
        if self.began.is_none() {
            return;
        }
        let heard = self.groups.entry(zone.to_owned()).or_default();
        for rise in heard.merge(now, word) {
            self.to_group.add(&rise);
        }
    }

    /// Gives what the leads of other groups are to hear of `lead`: counts of the own group; `None` while
    /// others count.
    pub fn report_for_leads(&mut self, lead: &str) -> Option<UseCounts> {
        Some(self.to_leads.take_word(lead, self.began?))
    }

    /// Gives what the own group is to hear, likewise: counts of all groups.
    pub fn report_for_group(&mut self, lead: &str) -> Option<UseCounts> {
        Some(self.to_group.take_word(lead, self.began?))
    }

    /// Forgets members that fell silent, whose rows would pile up where instances come and go.
    pub fn sweep(&mut self, now: Time) {
        self.members.retain(|_, m| m.heard + FORGET_AFTER > now);
    }

    /// Begins to count for the group, unless this instance does already; `beginning` is made for this.
    pub fn start(&mut self, beginning: impl FnOnce() -> Uuid) {
        if self.began.is_none() {
            self.began = Some(beginning());
        }
    }

    /// Forgets everything, since others count for the group.
    pub fn reset(&mut self) {
        if self.began.is_some() {
            *self = Self::default();
        }
    }

    /// Counts the rows that are kept of members and accounts.
    #[must_use]
    pub fn rows(&self) -> usize {
        self.members.values().map(|m| 1 + m.most.len()).sum()
    }
}

impl MemberUse {
    fn new(now: Time, incarnation: Uuid) -> Self {
        Self {
            incarnation,
            heard: now,
            most: Counts::new(),
        }
    }

    fn hear(&mut self, now: Time, incarnation: Uuid) {
        if self.incarnation == incarnation {
            self.heard = now;
        } else {
            *self = Self::new(now, incarnation);
        }
    }

    /// Gives by how much what is told is more than before; `followed` tells whether the member was heard
    /// before, which tells of all accounts for which callers come.
    fn rise(&mut self, told: &AccountUse, followed: bool) -> UseTotals {
        let first = if followed { told.before } else { told.totals() };
        let most = self.most.entry(told.account.clone()).or_insert(first);
        let rise = told.totals().above(*most);
        *most = most.plus(rise);
        rise
    }
}
