//! Bounds on peers' clocks, used to convert reported times to the local clock.
//!
//! A reply is sent after its query, so the peer's clock at the reply corresponds to no earlier time
//! than that of the query.

use std::collections::BTreeMap;

use firdock_core::InstanceId;
use firdock_policy::Time;
use firdock_policy::table::peer::MAX_PEERS;
use uuid::Uuid;

/// Bound on a peer's clock: its time `theirs` corresponds to no earlier local time than `ours`.
#[derive(Debug, Clone, Copy)]
pub struct ClockBound {
    incarnation: Uuid,
    ours: Time,
    theirs: Time,
}

impl ClockBound {
    /// Returns the earliest local time that corresponds to a time of the peer.
    fn earliest(&self, at: Time) -> Time {
        (at + self.ours).saturating_sub(self.theirs)
    }

    /// Converts a time of the peer to the earliest corresponding local time. Zero means "never" and
    /// stays zero.
    pub fn local_time(&self, at: Time) -> Time {
        if at == Time::ZERO {
            at
        } else {
            self.earliest(at)
        }
    }
}

/// Clock bounds of all peers that were queried.
#[derive(Debug, Default)]
pub struct PeerClocks {
    bounds: BTreeMap<InstanceId, ClockBound>,
}

impl PeerClocks {
    /// Returns the bound on a peer's clock; `None` if this incarnation was not queried yet.
    pub fn get(&self, peer: &str, incarnation: Uuid) -> Option<ClockBound> {
        let bound = self.bounds.get(peer).copied();
        bound.filter(|b| b.incarnation == incarnation)
    }

    /// Records a peer's clock from the reply to a query sent at `query_sent_at`, if that tightens the known
    /// bound.
    pub fn record(&mut self, peer: &str, incarnation: Uuid, query_sent_at: Time, clock: Time) {
        let new = ClockBound {
            incarnation,
            ours: query_sent_at,
            theirs: clock,
        };
        let known = self.get(peer, incarnation);
        if self.bounds.len() >= MAX_PEERS && !self.bounds.contains_key(peer) {
            // Most entries are of peers long gone; live peers are queried again.
            self.bounds.clear();
        }
        if known.is_none_or(|old| new.earliest(clock) > old.earliest(clock)) {
            self.bounds.insert(peer.to_owned(), new);
        }
    }
}
