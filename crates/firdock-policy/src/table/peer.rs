//! Peers and the contents of their heartbeats.

use std::collections::BTreeMap;

use firdock_core::{AccountId, InstanceId, PoolId, TierRank, ZoneId};
use uuid::Uuid;

use super::rows::Rows;
use crate::event::{PeerUpdate, PoolLinks, UseTotals};
use crate::time::Time;

/// Table of peers.
pub type Peers = Rows<PeerRow>;

/// Maximum number of peers; heartbeats of others are dropped. It is far above the size planned for
/// any site, since a member of a large site tracks only its own group.
pub const MAX_PEERS: usize = 4_096;

impl Peers {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether a peer is known or may be added.
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
    /// When its latest heartbeat arrived.
    pub last_seen: Time,
    /// Requests that it holds, by rank.
    pub held: Vec<u32>,
    /// Its demand by service name.
    pub demand: BTreeMap<String, f64>,
    /// Whether it is stopping.
    pub draining: bool,
    /// Start of its process.
    pub incarnation: Uuid,
    /// What it has admitted for accounts with limits since that start, in a small site.
    pub used: BTreeMap<AccountId, UseTotals>,
    /// Whether `used` covers all accounts that it has reported since that start.
    pub has_full_use: bool,
    /// Whether it passes connections to endpoints on.
    pub passes_on: bool,
    /// Its own links to the endpoints of each pool.
    pub links: BTreeMap<PoolId, PoolLinks>,
    /// When it last failed to pass a connection on.
    pub failed_at: Option<Time>,
    /// Requests of this instance that are handed over to it.
    pub handed_over: u32,
}

impl PeerRow {
    /// Creates a row for a new peer.
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
            passes_on: false,
            links: BTreeMap::new(),
            failed_at: None,
            handed_over: 0,
        }
    }

    /// Applies a heartbeat. What the peer admitted is kept if `follows` is set: in a large site,
    /// leads report the sums of all instances, as a row per instance and account would grow with
    /// both.
    pub fn update(&mut self, now: Time, heartbeat: PeerUpdate, follows: bool) {
        self.zone = heartbeat.zone;
        self.last_seen = now;
        self.held = heartbeat.held;
        self.passes_on = heartbeat.passes_on;
        let links = heartbeat.links.into_iter();
        self.links = links.map(|links| (links.pool.clone(), links)).collect();
        self.draining = heartbeat.draining;
        if self.incarnation != heartbeat.incarnation {
            self.used.clear();
            self.has_full_use = true;
        }
        self.incarnation = heartbeat.incarnation;
        self.has_full_use &= follows;
        if follows {
            let used = heartbeat
                .used
                .iter()
                .map(|u| (u.account.clone(), u.totals()));
            self.used.extend(used);
        } else {
            self.used.clear();
        }
        self.demand = heartbeat
            .demand
            .into_iter()
            .map(|d| (d.pool, d.rate))
            .collect();
    }

    /// Returns whether it holds requests of a lower tier than `rank`.
    #[must_use]
    pub fn holds_below(&self, rank: TierRank) -> bool {
        self.held.iter().skip(usize::from(rank) + 1).any(|n| *n > 0)
    }
}
