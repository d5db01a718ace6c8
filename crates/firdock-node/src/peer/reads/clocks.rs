//! Bounds on peers' clocks, by which times that they tell are placed on the own one.
//!
//! An answer is sent after its question, so that the peer's clock at the answer stands for no
//! earlier time than that of the question.

use std::collections::BTreeMap;

use firdock_core::InstanceId;
use firdock_policy::Time;
use firdock_policy::table::peer::MAX_PEERS;
use uuid::Uuid;

/// Bound on a peer's clock: its `theirs` stands for no earlier time than `ours`.
#[derive(Debug, Clone, Copy)]
pub struct ClockBound {
    incarnation: Uuid,
    ours: Time,
    theirs: Time,
}

impl ClockBound {
    /// Gives an earliest time of ours for a time of theirs.
    fn earliest(&self, at: Time) -> Time {
        (at + self.ours).saturating_sub(self.theirs)
    }

    /// Places a time of theirs on the own clock, by the earliest that it can be; zero stands for what
    /// never was, and stays.
    pub fn place(&self, at: Time) -> Time {
        if at == Time::ZERO {
            at
        } else {
            self.earliest(at)
        }
    }
}

/// Bounds on the clocks of all peers that were asked.
#[derive(Debug, Default)]
pub struct PeerClocks {
    bounds: BTreeMap<InstanceId, ClockBound>,
}

impl PeerClocks {
    /// Gives the bound on a peer's clock; `None` where this start of it was not asked yet.
    pub fn get(&self, peer: &str, incarnation: Uuid) -> Option<ClockBound> {
        let bound = self.bounds.get(peer).copied();
        bound.filter(|b| b.incarnation == incarnation)
    }

    /// Takes a peer's clock, which it told after it was asked at `asked`, where that says more than
    /// what is known.
    pub fn take(&mut self, peer: &str, incarnation: Uuid, asked: Time, clock: Time) {
        let new = ClockBound {
            incarnation,
            ours: asked,
            theirs: clock,
        };
        let known = self.get(peer, incarnation);
        if self.bounds.len() >= MAX_PEERS && !self.bounds.contains_key(peer) {
            // Most are long gone; those that live are asked once more.
            self.bounds.clear();
        }
        if known.is_none_or(|old| new.earliest(clock) > old.earliest(clock)) {
            self.bounds.insert(peer.to_owned(), new);
        }
    }
}
