//! Transfers of keys from members that owned them before to this one, which owns them now.
//!
//! A member that has folded a view in which it does not own a key never runs it again, so the list
//! of keys that it transfers is complete (see `docs/design/keys.md`).

use std::collections::{HashMap, VecDeque};

use uuid::Uuid;

use super::view::OwnershipPeriod;
use crate::event::{KeyTransfer, KnownTransfer};
use crate::time::Time;

/// Transfers that are known at once; the oldest goes first.
const MAX_TRANSFERS: usize = 4_096;

/// Transfers between members, and the keys that were transferred to this one.
#[derive(Debug, Default)]
pub struct Transfers {
    /// Newest view in which a member transferred its keys to another.
    newest: HashMap<(Uuid, Uuid), u64>,
    order: VecDeque<(Uuid, Uuid)>,
    keys: HashMap<u64, Time>,
    noted: VecDeque<(Time, u64)>,
}

impl Transfers {
    /// Makes an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a transfer to `me`, unless its keys do not fit: it would count as complete without them.
    pub fn merge(&mut self, now: Time, me: Uuid, transfer: &KeyTransfer, max_keys: usize) {
        if self.keys.len() + transfer.keys.len() > max_keys || transfer.known.len() > MAX_TRANSFERS
        {
            return;
        }
        for key in &transfer.keys {
            self.keys.insert(*key, now);
            self.noted.push_back((now, *key));
        }
        for known in &transfer.known {
            self.note(known.from, known.to, known.view);
        }
        self.note(transfer.incarnation, me, transfer.view);
    }

    fn note(&mut self, from: Uuid, to: Uuid, view: u64) {
        let view_known = self.newest.entry((from, to)).or_insert_with(|| {
            self.order.push_back((from, to));
            0
        });
        *view_known = view.max(*view_known);
        if self.order.len() > MAX_TRANSFERS
            && let Some(oldest) = self.order.pop_front()
        {
            self.newest.remove(&oldest);
        }
    }

    /// Gives the transfers that are known, to be passed on.
    #[must_use]
    pub fn known(&self) -> Vec<KnownTransfer> {
        let known = |pair: &(Uuid, Uuid)| {
            let view = *self.newest.get(pair)?;
            Some(KnownTransfer {
                from: pair.0,
                to: pair.1,
                view,
            })
        };
        self.order.iter().filter_map(known).collect()
    }

    /// Goes over the keys that were transferred.
    pub fn hashes(&self) -> impl Iterator<Item = u64> {
        self.keys.keys().copied()
    }

    /// Tells whether the key was transferred as run, or running.
    #[must_use]
    pub fn contains(&self, key: u64) -> bool {
        self.keys.contains_key(&key)
    }

    /// Tells whether all that earlier owners of a key ran has been transferred to `me`.
    ///
    /// `tenures` is in order. What an owner ran came here if it transferred its keys, after its
    /// tenure, to a later owner during that one's tenure, and so on up to this member: each passes
    /// on the keys that were transferred to it.
    #[must_use]
    pub fn is_complete(&self, me: Uuid, ownership_periods: &[OwnershipPeriod]) -> bool {
        let mut reached = vec![false; ownership_periods.len()];
        for (i, tenure) in ownership_periods.iter().enumerate().rev() {
            let later = ownership_periods.iter().zip(&reached).skip(i + 1);
            let mut passed = later.filter(|(_, reached)| **reached).map(|(next, _)| next);
            reached[i] =
                tenure.member.incarnation == me || passed.any(|n| self.transferred(tenure, n));
        }
        reached.iter().all(|r| *r)
    }

    /// Tells whether an owner transferred its keys to a later owner during that one's tenure.
    fn transferred(&self, tenure: &OwnershipPeriod, next: &OwnershipPeriod) -> bool {
        let pair = (tenure.member.incarnation, next.member.incarnation);
        self.newest
            .get(&pair)
            .is_some_and(|view| next.covers(*view))
    }

    /// Forgets keys that were transferred before `limit`.
    pub fn expire(&mut self, limit: Time) {
        while let Some((at, key)) = self.noted.pop_front_if(|(at, _)| *at < limit) {
            if self.keys.get(&key) == Some(&at) {
                self.keys.remove(&key);
            }
        }
    }
}
