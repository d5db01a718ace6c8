//! Peers and the news that they told.

use std::collections::BTreeMap;

use firdock_core::{AccountId, InstanceId, TierRank, ZoneId};
use uuid::Uuid;

use super::rows::Rows;
use crate::event::{PeerUpdate, UseTotals};
use crate::time::Time;

/// Table of peers.
pub type Peers = Rows<PeerRow>;

/// Most peers that are kept; news of others is dropped. Far more than any site was reckoned with, since a
/// member of a large one keeps its own group alone.
pub const MAX_PEERS: usize = 4_096;

impl Peers {
    /// Makes an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Tells whether a peer is known or may be added.
    #[must_use]
    pub fn has_capacity(&self, name: &str) -> bool {
        self.len() < MAX_PEERS || self.find(name).is_some()
    }
}

/// One peer.
#[derive(Debug)]
pub struct PeerRow {
    /// Name.
    pub name: InstanceId,
    /// Availability zone.
    pub zone: ZoneId,
    /// When its last news came.
    pub last_seen: Time,
    /// Requests that it holds, by rank.
    pub held: Vec<u32>,
    /// Its demand by service name.
    pub demand: BTreeMap<String, f64>,
    /// Whether it is stopping.
    pub draining: bool,
    /// Start of its process.
    pub incarnation: Uuid,
    /// What it has let pass of limited accounts since that start, where instances are few.
    pub used: BTreeMap<AccountId, UseTotals>,
    /// Whether that holds all accounts that it told of since that start.
    pub has_full_use: bool,
    /// Requests of this instance that are with it.
    pub handed_over: u32,
}

impl PeerRow {
    /// Makes a row for a peer that was just heard of.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            zone: ZoneId::new(),
            last_seen: Time::ZERO,
            held: Vec::new(),
            demand: BTreeMap::new(),
            draining: false,
            incarnation: Uuid::nil(),
            used: BTreeMap::new(),
            has_full_use: true,
            handed_over: 0,
        }
    }

    /// Takes the news over; what it let pass is kept where `follows` says so: where instances are many,
    /// leads tell the sums of all, and a row for each instance and account would grow with both.
    pub fn update(&mut self, now: Time, news: PeerUpdate, follows: bool) {
        self.zone = news.zone;
        self.last_seen = now;
        self.held = news.held;
        self.draining = news.draining;
        if self.incarnation != news.incarnation {
            self.used.clear();
            self.has_full_use = true;
        }
        self.incarnation = news.incarnation;
        self.has_full_use &= follows;
        if follows {
            let used = news.used.iter().map(|u| (u.account.clone(), u.totals()));
            self.used.extend(used);
        } else {
            self.used.clear();
        }
        self.demand = news.demand.into_iter().map(|d| (d.pool, d.rate)).collect();
    }

    /// Tells whether it holds requests of a lower tier than `rank`.
    #[must_use]
    pub fn holds_below(&self, rank: TierRank) -> bool {
        self.held.iter().skip(usize::from(rank) + 1).any(|n| *n > 0)
    }
}
