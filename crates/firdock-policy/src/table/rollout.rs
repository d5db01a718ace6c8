//! Roll-outs of pools, with what this instance and others saw of them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use firdock_core::resource::Rollout;
use firdock_core::{InstanceId, PoolId, ServiceId, SoftwareVersion, ZoneId};
use uuid::Uuid;

use crate::rollout::allowance::Progress;
use crate::rollout::{Evidence, RolloutStatus, Stage};
use crate::table::peer::MAX_PEERS;
use crate::time::Time;

/// One roll-out.
#[derive(Debug)]
pub struct RolloutRow {
    /// What the operator ordered.
    pub declared: Rollout,
    /// The earliest time at which the order may have come.
    pub began: Time,
    /// How much later it may have come.
    pub uncertainty: Duration,
    /// How far it is.
    pub stage: Stage,
    /// Part of the pool's requests that the new version gets while it is watched.
    pub ratio: f64,
    /// What this instance saw.
    pub own: Evidence,
    /// Requests of each service that this instance sent.
    pub sent: BTreeMap<ServiceId, u64>,
    /// Rows of the endpoints of the new version that are tried while it is watched.
    pub canaries: BTreeSet<usize>,
    /// What the peers of this instance's group saw, by their present starts.
    peers: BTreeMap<InstanceId, (Uuid, Evidence)>,
    /// What earlier starts of them saw.
    ended: Evidence,
    /// What other groups saw, as their leads tell.
    groups: BTreeMap<ZoneId, Evidence>,
    /// Last record that was asked for.
    pub requested_record: Option<Stage>,
    /// When it was last looked at.
    pub evaluated_at: Time,
}

impl RolloutRow {
    /// Makes the row of an order that was just read.
    #[must_use]
    pub fn new(declared: Rollout, now: Time, unsure: Duration, ratio: f64) -> Self {
        let evidence = || Evidence::new(declared.pool.clone(), declared.order);
        Self {
            own: evidence(),
            ended: evidence(),
            declared,
            began: now.saturating_sub(unsure),
            uncertainty: unsure,
            stage: Stage::Watching,
            ratio,
            sent: BTreeMap::new(),
            canaries: BTreeSet::new(),
            peers: BTreeMap::new(),
            groups: BTreeMap::new(),
            requested_record: None,
            evaluated_at: Time::ZERO,
        }
    }

    /// Goes on to a later stage; tells whether it was one.
    pub fn advance(&mut self, stage: Stage) -> bool {
        let later = stage > self.stage && !self.stage.is_recorded();
        if later {
            self.stage = stage;
        }
        later
    }

    /// Takes what a peer of the own group saw, since the start of its process.
    pub fn merge_peer_evidence(&mut self, name: &str, incarnation: Uuid, evidence: Evidence) {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(name) {
            return;
        }
        let before = self
            .peers
            .insert(name.to_owned(), (incarnation, evidence))
            .filter(|(known, _)| *known != incarnation);
        if let Some((_, ended)) = before {
            self.ended.add(&ended);
        }
    }

    /// Takes what another group saw; a word that was overtaken tells of less.
    pub fn merge_group_evidence(&mut self, zone: ZoneId, evidence: Evidence) {
        let known = self.groups.entry(zone).or_default();
        if evidence.sent >= known.sent {
            *known = evidence;
        }
    }

    /// Gives what the instances of the own group saw.
    #[must_use]
    pub fn group_evidence(&self) -> Evidence {
        let mut all = self.own.clone();
        all.add(&self.ended);
        for (_, evidence) in self.peers.values() {
            all.add(evidence);
        }
        all
    }

    /// Gives what all instances saw, as far as they told.
    #[must_use]
    pub fn site_evidence(&self) -> Evidence {
        let mut all = self.group_evidence();
        for evidence in self.groups.values() {
            all.add(evidence);
        }
        all
    }

    /// Gives how far the roll-out has come.
    #[must_use]
    pub fn progress(&self, now: Time, seen: &Evidence) -> Progress {
        Progress {
            elapsed: self.age(now),
            uncertainty: self.uncertainty,
            time: self.declared.time(),
            sent: seen.sent,
            exposed: seen.exposed,
        }
    }

    /// Gives the longest time that may have passed since the order.
    #[must_use]
    pub fn age(&self, now: Time) -> Duration {
        now.saturating_sub(self.began)
    }

    /// Gives what peers are told.
    #[must_use]
    pub fn status(&self, now: Time) -> RolloutStatus {
        RolloutStatus {
            pool: self.declared.pool.clone(),
            order: self.declared.order,
            stage: self.stage,
            age: self.age(now),
            ratio: self.ratio,
        }
    }
}

/// The roll-outs in force, by pool.
#[derive(Debug, Default)]
pub struct Rollouts {
    /// The newest order of each pool.
    pub rows: BTreeMap<PoolId, RolloutRow>,
    /// Versions that were given up, until an order names them again.
    pub given_up: BTreeSet<(PoolId, SoftwareVersion)>,
    /// Whether this instance decides for all: it leads the site.
    pub decides: bool,
}

impl Rollouts {
    /// Finds a pool's roll-out.
    #[must_use]
    pub fn of(&self, pool: &str) -> Option<&RolloutRow> {
        self.rows.get(pool)
    }

    /// Finds the row of one order of a pool.
    pub fn find_mut(&mut self, pool: &str, order: u64) -> Option<&mut RolloutRow> {
        let row = self.rows.get_mut(pool)?;
        (row.declared.order == order).then_some(row)
    }
}
