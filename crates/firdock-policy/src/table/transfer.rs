//! Transfers of keys from their previous owners to this member.
//!
//! A member that has applied a view in which it does not own a key never runs that key again, so
//! the list of keys that it transfers is complete (see `docs/design/keys.md`).

use std::collections::{HashMap, VecDeque};

use uuid::Uuid;

use super::view::OwnershipPeriod;
use crate::event::{KeyTransfer, KnownTransfer};
use crate::time::Time;

/// Maximum number of known transfers; the oldest is dropped first.
const MAX_TRANSFERS: usize = 4_096;

/// Transfers between members, and the keys that were transferred to this one.
#[derive(Debug, Default)]
pub struct Transfers {
    /// Newest view in which a member transferred its keys to another.
    newest: HashMap<(Uuid, Uuid), u64>,
    order: VecDeque<(Uuid, Uuid)>,
    keys: HashMap<u64, Time>,
    received: VecDeque<(Time, u64)>,
}

impl Transfers {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges a transfer to `me`, unless its keys exceed the limit: without them it must not count
    /// as complete.
    pub fn merge(&mut self, now: Time, me: Uuid, transfer: &KeyTransfer, max_keys: usize) {
        if self.keys.len() + transfer.keys.len() > max_keys || transfer.known.len() > MAX_TRANSFERS
        {
            return;
        }
        for key in &transfer.keys {
            self.keys.insert(*key, now);
            self.received.push_back((now, *key));
        }
        for known in &transfer.known {
            self.record_transfer(known.from, known.to, known.view);
        }
        self.record_transfer(transfer.incarnation, me, transfer.view);
    }

    fn record_transfer(&mut self, from: Uuid, to: Uuid, view: u64) {
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

    /// Returns the known transfers, to be forwarded.
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

    /// Iterates over the transferred keys.
    pub fn hashes(&self) -> impl Iterator<Item = u64> {
        self.keys.keys().copied()
    }

    /// Returns whether the key was transferred as run or running.
    #[must_use]
    pub fn contains(&self, key: u64) -> bool {
        self.keys.contains_key(&key)
    }

    /// Returns whether everything that earlier owners of a key ran has been transferred to `me`.
    ///
    /// `periods` is in order. An owner's keys arrived here if it transferred them, after its own
    /// period, to a later owner during that owner's period, and so on up to this member: each
    /// member forwards the keys that were transferred to it.
    #[must_use]
    pub fn is_complete(&self, me: Uuid, periods: &[OwnershipPeriod]) -> bool {
        let mut complete = vec![false; periods.len()];
        for (i, period) in periods.iter().enumerate().rev() {
            let later = periods.iter().zip(&complete).skip(i + 1);
            let mut passed = later
                .filter(|(_, complete)| **complete)
                .map(|(next, _)| next);
            complete[i] =
                period.member.incarnation == me || passed.any(|n| self.transferred(period, n));
        }
        complete.iter().all(|r| *r)
    }

    /// Returns whether an owner transferred its keys to a later owner during the later owner's
    /// period.
    fn transferred(&self, period: &OwnershipPeriod, next: &OwnershipPeriod) -> bool {
        let pair = (period.member.incarnation, next.member.incarnation);
        self.newest
            .get(&pair)
            .is_some_and(|view| next.covers(*view))
    }

    /// Removes keys that were transferred before `limit`.
    pub fn expire(&mut self, limit: Time) {
        while let Some((at, key)) = self.received.pop_front_if(|(at, _)| *at < limit) {
            if self.keys.get(&key) == Some(&at) {
                self.keys.remove(&key);
            }
        }
    }
}
