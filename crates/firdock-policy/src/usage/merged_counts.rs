//! Counts that several tell of the same use, each from its own beginning.

use std::collections::BTreeMap;

use firdock_core::InstanceId;
use uuid::Uuid;

use super::{Counts, FORGET_AFTER};
use crate::event::{AccountUse, UseCounts, UseTotals};
use crate::time::Time;

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
pub struct MergedCounts {
    tellers: BTreeMap<InstanceId, Teller>,
    /// How far the use has risen, by whoever counted furthest.
    risen: Counts,
}

impl MergedCounts {
    /// Takes a word; gives by how much the use of each account rose.
    ///
    /// What a teller counted before it was first heard is not known to be new: where it was not heard from
    /// its beginning, its first word on each account says nothing. What it counts from then on is new, as
    /// far as no other teller told of it before.
    pub fn merge(&mut self, now: Time, word: &UseCounts) -> Vec<AccountUse> {
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
