//! Sums of what instances let pass of account limits, as the leads of groups count it.
//!
//! Where instances are many, none needs to know what each other one let pass: a row for each instance
//! and account grows with both, and passing all of them on to all grows with the square of the
//! instances. A lead counts what the members of its group tell; leads tell each other the counts of their
//! groups, and their groups the counts of all (see `docs/design/limits.md`).
//!
//! A count tells something only by how much it rises, since each lead counts from its own start. What two
//! leads of a group tell of the same use counts once.

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_core::{AccountId, InstanceId, ZoneId};
use uuid::Uuid;

use crate::event::{AccountUse, PeerUse, UseCounts, UseTotals};
use crate::time::Time;

/// Seconds by which an instance may have begun earlier than this one, and count as begun with it:
/// far more than the clocks of instances differ by.
const SAME_START_SECS: u64 = 10;
/// Silence after which a teller is forgotten: it was replaced or taken away.
const FORGET_AFTER: Duration = Duration::from_mins(1);
/// How often a count that changed is told: one word may be lost.
const TELLINGS: u8 = 2;
/// Accounts told of in one word, some 16 KB with the longest names that are usual; the others follow with
/// the next word.
pub const MAX_TOLD_ACCOUNTS: usize = 400;

/// Counts by account.
type Counts = BTreeMap<AccountId, UseTotals>;

/// Tells whether a process began well before another; starts that carry no time count as new.
#[must_use]
pub fn began_before(peer: Uuid, own: Uuid) -> bool {
    let secs = |id: Uuid| id.get_timestamp().map(|time| time.to_unix().0);
    match (secs(peer), secs(own)) {
        (Some(peer), Some(own)) => peer + SAME_START_SECS < own,
        _ => false,
    }
}

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

    fn is_zero(self) -> bool {
        self.units <= 0.0 && self.asked <= 0.0
    }
}

/// One of those who count the same.
#[derive(Debug)]
struct Teller {
    began: Uuid,
    heard: Time,
    /// Whether it was heard when it had counted nothing yet.
    whole: bool,
    /// What makes its counts go on from what was known: of one that was heard from its beginning when it
    /// began, of another when it first told of an account.
    offsets: Counts,
}

/// Counts that several tell of the same use: a group's two leads, or those who lead it one after another.
#[derive(Debug, Default)]
pub struct HeardCounts {
    tellers: BTreeMap<InstanceId, Teller>,
    /// How far the use has risen, by whoever counted furthest.
    risen: Counts,
}

impl HeardCounts {
    /// Takes a word; gives by how much the use of each account rose.
    ///
    /// What a teller counted before it was first heard is not known to be new: where it was not heard from
    /// its beginning, its first word on each account says nothing. What it counts from then on is new, as
    /// far as no other teller told of it before.
    pub fn take(&mut self, now: Time, word: &UseCounts) -> Vec<AccountUse> {
        self.tellers.retain(|_, t| t.heard + FORGET_AFTER > now);
        let teller = self
            .tellers
            .entry(word.lead.clone())
            .or_insert_with(|| Teller::new(now, word, &self.risen));
        if teller.began == word.began {
            teller.heard = now;
        } else {
            *teller = Teller::new(now, word, &self.risen);
        }
        let whole = teller.whole;
        let mut rises = Vec::new();
        for told in &word.counts {
            let known = self.risen.entry(told.account.clone()).or_default();
            let first = || {
                if whole {
                    UseTotals::default()
                } else {
                    known.minus(told.totals())
                }
            };
            let offset = *teller
                .offsets
                .entry(told.account.clone())
                .or_insert_with(first);
            let rise = told.totals().plus(offset).above(*known);
            if !rise.is_zero() {
                *known = known.plus(rise);
                rises.push(rise.named(told.account.clone()));
            }
        }
        rises
    }

    /// Forgets the accounts that are not `wanted`: what is told of them later begins anew.
    pub fn retain(&mut self, wanted: impl Fn(&str) -> bool) {
        self.risen.retain(|account, _| wanted(account));
        for teller in self.tellers.values_mut() {
            teller.offsets.retain(|account, _| wanted(account));
        }
    }
}

impl Teller {
    fn new(now: Time, word: &UseCounts, risen: &Counts) -> Self {
        let offsets = if word.fresh {
            risen.clone()
        } else {
            Counts::new()
        };
        Self {
            began: word.began,
            heard: now,
            whole: word.fresh,
            offsets,
        }
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

/// Counts that are to be told, those first that have waited longest.
#[derive(Debug, Default)]
struct Outbox {
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
    fn add(&mut self, rise: &AccountUse) {
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

    fn take_word(&mut self, lead: &str, began: Uuid) -> UseCounts {
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
        order.truncate(MAX_TOLD_ACCOUNTS);
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

/// What a lead counts of its group and hears of others, and what of that is to be told.
#[derive(Debug, Default)]
pub struct UseSums {
    /// Start of this process.
    start: Uuid,
    /// When this instance began to count for its group, as who hears its counts tells beginnings apart;
    /// `None` while others count.
    began: Option<Uuid>,
    members: BTreeMap<InstanceId, MemberUse>,
    groups: BTreeMap<ZoneId, HeardCounts>,
    to_leads: Outbox,
    to_group: Outbox,
}

impl UseSums {
    /// Makes the sums of a process that began by `start`; nothing is counted yet.
    #[must_use]
    pub fn new(start: Uuid) -> Self {
        Self {
            start,
            ..Self::default()
        }
    }

    /// Takes what a member of the group let pass since its start, this instance itself among them.
    ///
    /// What it let pass before it was first heard of is not known to be recent. Nor is what it let pass of
    /// an account before it first told of that, unless it began with this instance or later.
    pub fn hear_member(&mut self, now: Time, word: &PeerUse) {
        if self.began.is_none() {
            return;
        }
        let mut fresh = PeerUse {
            used: Vec::new(),
            ..word.clone()
        };
        let old = began_before(word.incarnation, self.start);
        let known = self.members.contains_key(&word.name);
        let member = self
            .members
            .entry(word.name.clone())
            .or_insert_with(|| MemberUse::new(now, word.incarnation));
        member.hear(now, word.incarnation);
        for told in &word.used {
            let rise = member.rise(told, known && !old);
            if !rise.is_zero() {
                fresh.used.push(rise.named(told.account.clone()));
            }
        }
        for rise in &fresh.used {
            self.to_leads.add(rise);
            self.to_group.add(rise);
        }
    }

    /// Takes what the lead of another group counted of it.
    pub fn hear_group(&mut self, now: Time, zone: &str, word: &UseCounts) {
        if self.began.is_none() {
            return;
        }
        let heard = self.groups.entry(zone.to_owned()).or_default();
        for rise in heard.take(now, word) {
            self.to_group.add(&rise);
        }
    }

    /// Gives what the leads of other groups are to hear of `lead`: counts of the own group; `None` while
    /// others count.
    pub fn take_for_leads(&mut self, lead: &str) -> Option<UseCounts> {
        Some(self.to_leads.take_word(lead, self.began?))
    }

    /// Gives what the own group is to hear, likewise: counts of all groups.
    pub fn take_for_group(&mut self, lead: &str) -> Option<UseCounts> {
        Some(self.to_group.take_word(lead, self.began?))
    }

    /// Forgets members that fell silent, whose rows would pile up where instances come and go.
    pub fn sweep(&mut self, now: Time) {
        self.members.retain(|_, m| m.heard + FORGET_AFTER > now);
    }

    /// Begins to count for the group, unless this instance does already; `beginning` is made for this.
    pub fn begin(&mut self, beginning: impl FnOnce() -> Uuid) {
        if self.began.is_none() {
            self.began = Some(beginning());
        }
    }

    /// Forgets everything, since others count for the group.
    pub fn end(&mut self) {
        if self.began.is_some() {
            *self = Self::new(self.start);
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

    /// Gives by how much what is told is more than before; `counts` tells whether the first word on an
    /// account counts whole.
    fn rise(&mut self, told: &AccountUse, counts: bool) -> UseTotals {
        let first = if counts {
            UseTotals::default()
        } else {
            told.totals()
        };
        let most = self.most.entry(told.account.clone()).or_insert(first);
        let rise = told.totals().above(*most);
        *most = most.plus(rise);
        rise
    }
}
