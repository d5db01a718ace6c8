//! The word of members on keys that they owned before and this instance owns now.
//!
//! A member that has folded a view in which it does not own a key never runs it again, so its word
//! on what it had run is complete (see `docs/design/keys.md`).

use std::collections::{HashMap, VecDeque};

use uuid::Uuid;

use super::view::Tenure;
use crate::event::{HeardWord, KeysMoved};
use crate::time::Time;

/// Words that are kept; the oldest goes first.
const MAX_WORDS: usize = 4_096;

/// Words between members, and the keys that were named to this one.
#[derive(Debug, Default)]
pub struct Moved {
    /// Newest view in which a member gave its word to another.
    words: HashMap<(Uuid, Uuid), u64>,
    order: VecDeque<(Uuid, Uuid)>,
    keys: HashMap<u64, Time>,
    noted: VecDeque<(Time, u64)>,
}

impl Moved {
    /// Makes an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a word given to `me`, unless its keys do not fit: it would vouch for what it cannot
    /// name.
    pub fn take(&mut self, now: Time, me: Uuid, word: &KeysMoved, max_keys: usize) {
        if self.keys.len() + word.keys.len() > max_keys || word.heard.len() > MAX_WORDS {
            return;
        }
        for key in &word.keys {
            self.keys.insert(*key, now);
            self.noted.push_back((now, *key));
        }
        for heard in &word.heard {
            self.note(heard.from, heard.to, heard.view);
        }
        self.note(word.incarnation, me, word.view);
    }

    fn note(&mut self, from: Uuid, to: Uuid, view: u64) {
        let newest = self.words.entry((from, to)).or_insert_with(|| {
            self.order.push_back((from, to));
            0
        });
        *newest = view.max(*newest);
        if self.order.len() > MAX_WORDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.words.remove(&oldest);
        }
    }

    /// Gives the words that were heard, to be passed on.
    #[must_use]
    pub fn heard(&self) -> Vec<HeardWord> {
        let heard = |pair: &(Uuid, Uuid)| {
            let view = *self.words.get(pair)?;
            Some(HeardWord {
                from: pair.0,
                to: pair.1,
                view,
            })
        };
        self.order.iter().filter_map(heard).collect()
    }

    /// Goes over the keys that were named.
    pub fn hashes(&self) -> impl Iterator<Item = u64> {
        self.keys.keys().copied()
    }

    /// Tells whether a member named the key as run, or running.
    #[must_use]
    pub fn names(&self, key: u64) -> bool {
        self.keys.contains_key(&key)
    }

    /// Tells whether all that earlier owners of a key ran would have been named to `me`.
    ///
    /// `tenures` is in order. What an owner ran came here if it gave its word, after its tenure, to
    /// a later owner during that one's tenure, and so on up to this member: each passes on with its
    /// own word the keys that were named to it.
    #[must_use]
    pub fn vouch(&self, me: Uuid, tenures: &[Tenure]) -> bool {
        let mut known = vec![false; tenures.len()];
        for (i, tenure) in tenures.iter().enumerate().rev() {
            let later = tenures.iter().zip(&known).skip(i + 1);
            let mut passed = later.filter(|(_, known)| **known).map(|(next, _)| next);
            known[i] = tenure.member.incarnation == me || passed.any(|n| self.told(tenure, n));
        }
        known.iter().all(|k| *k)
    }

    /// Tells whether an owner gave its word after its tenure to a later owner during that one's.
    fn told(&self, tenure: &Tenure, next: &Tenure) -> bool {
        let pair = (tenure.member.incarnation, next.member.incarnation);
        self.words.get(&pair).is_some_and(|view| next.covers(*view))
    }

    /// Forgets keys that were named before `limit`.
    pub fn expire(&mut self, limit: Time) {
        while let Some((at, key)) = self.noted.pop_front_if(|(at, _)| *at < limit) {
            if self.keys.get(&key) == Some(&at) {
                self.keys.remove(&key);
            }
        }
    }
}
