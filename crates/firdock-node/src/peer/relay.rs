//! Relay of what instances let pass of account limits, by the leads of their groups.
//!
//! Where instances are many, each hears most others only every second or two; an account that begins
//! to send many times its limit passes it by what it sends meanwhile. Every instance therefore
//! tells its lead at each heartbeat, and leads pass on what changed: to each other what their
//! groups use, to their groups what all use. Totals are passed on, so that a word that is lost or
//! comes twice does no harm (`docs/design/limits.md`).

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use firdock_core::{AccountId, InstanceId};
use firdock_policy::event::{AccountUse, PeerUse, UseTotals};
use uuid::Uuid;

/// Instances whose totals are kept.
const MAX_INSTANCES: usize = 512;

/// From whom a word came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeardUse {
    /// The instance itself, of the own group.
    FromMember,
    /// The lead of another group.
    FromLead,
}

/// Totals of one instance by account.
#[derive(Debug, Default)]
struct Totals {
    incarnation: Uuid,
    used: BTreeMap<AccountId, UseTotals>,
}

impl Totals {
    /// Takes a word over; gives the totals that changed.
    fn update(&mut self, word: &PeerUse) -> Vec<AccountUse> {
        if self.incarnation != word.incarnation {
            *self = Self {
                incarnation: word.incarnation,
                ..Self::default()
            };
        }
        let mut changed = word.used.clone();
        changed.retain(|u| self.used.insert(u.account.clone(), u.totals()) != Some(u.totals()));
        changed
    }
}

/// Words that are to be passed on, the newest of each instance and account.
#[derive(Debug, Default)]
struct Outbox {
    totals: BTreeMap<InstanceId, Totals>,
}

impl Outbox {
    fn add(&mut self, word: &PeerUse) {
        let totals = self.totals.entry(word.name.clone()).or_default();
        totals.update(word);
    }

    fn take(&mut self) -> Vec<PeerUse> {
        let totals = std::mem::take(&mut self.totals);
        let word = |(name, t): (InstanceId, Totals)| PeerUse {
            name,
            incarnation: t.incarnation,
            used: t
                .used
                .into_iter()
                .map(|(account, totals)| totals.named(account))
                .collect(),
        };
        totals.into_iter().map(word).collect()
    }
}

#[derive(Debug, Default)]
struct Inner {
    known: BTreeMap<InstanceId, Totals>,
    to_group: Outbox,
    to_leads: Outbox,
}

/// What a lead has heard and is to pass on.
#[derive(Debug, Default)]
pub struct UseRelay {
    inner: Mutex<Inner>,
}

impl UseRelay {
    /// Takes a word; what changed is passed on at the next heartbeat.
    pub fn hear(&self, word: &PeerUse, heard: HeardUse) {
        let mut inner = self.lock();
        let inner = &mut *inner;
        if inner.known.len() >= MAX_INSTANCES && !inner.known.contains_key(&word.name) {
            // Most are long gone; those that live are told of once more.
            inner.known.clear();
        }
        let used = inner
            .known
            .entry(word.name.clone())
            .or_default()
            .update(word);
        if used.is_empty() {
            return;
        }
        let changed = PeerUse {
            name: word.name.clone(),
            incarnation: word.incarnation,
            used,
        };
        inner.to_group.add(&changed);
        if heard == HeardUse::FromMember {
            inner.to_leads.add(&changed);
        }
    }

    /// Gives what the own group is to hear since the last time.
    pub fn take_for_group(&self) -> Vec<PeerUse> {
        self.lock().to_group.take()
    }

    /// Gives what the leads of other groups are to hear since the last time.
    pub fn take_for_leads(&self) -> Vec<PeerUse> {
        self.lock().to_leads.take()
    }

    /// Forgets everything: another instance leads.
    pub fn clear(&self) {
        *self.lock() = Inner::default();
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
