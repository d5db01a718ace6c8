//! Roll-outs of pools, with the evidence of this instance and others.

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
    /// The operator's order.
    pub declared: Rollout,
    /// Earliest time at which the order may have been issued.
    pub began: Time,
    /// How much later it may have been issued.
    pub uncertainty: Duration,
    /// Stage of the roll-out.
    pub stage: Stage,
    /// Fraction of the pool's requests that the new version gets while it is observed.
    pub ratio: f64,
    /// This instance's evidence.
    pub own: Evidence,
    /// Requests that this instance sent, by service.
    pub sent: BTreeMap<ServiceId, u64>,
    /// Rows of the endpoints of the new version that are used while it is observed.
    pub canaries: BTreeSet<usize>,
    /// Evidence of the peers in this instance's group, by their present starts.
    peers: BTreeMap<InstanceId, (Uuid, Evidence)>,
    /// Evidence of their earlier starts.
    earlier_starts: Evidence,
    /// Evidence of other groups, as reported by their leads.
    groups: BTreeMap<ZoneId, Evidence>,
    /// Last record that was requested.
    pub requested_record: Option<Stage>,
    /// When it was last evaluated.
    pub evaluated_at: Time,
}

impl RolloutRow {
    /// Creates the row of a new order.
    #[must_use]
    pub fn new(declared: Rollout, now: Time, uncertainty: Duration, ratio: f64) -> Self {
        let evidence = || Evidence::new(declared.pool.clone(), declared.order);
        Self {
            own: evidence(),
            earlier_starts: evidence(),
            declared,
            began: now.saturating_sub(uncertainty),
            uncertainty,
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

    /// Advances to a later stage; returns whether it was later.
    pub fn advance(&mut self, stage: Stage) -> bool {
        let later = stage > self.stage && !self.stage.is_recorded();
        if later {
            self.stage = stage;
        }
        later
    }

    /// Merges the evidence of a peer of the own group since the start of its process.
    pub fn merge_peer_evidence(&mut self, name: &str, incarnation: Uuid, evidence: Evidence) {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(name) {
            return;
        }
        let before = self
            .peers
            .insert(name.to_owned(), (incarnation, evidence))
            .filter(|(known, _)| *known != incarnation);
        if let Some((_, previous)) = before {
            self.earlier_starts.add(&previous);
        }
    }

    /// Merges the evidence of another group; an outdated report has lower counts.
    pub fn merge_group_evidence(&mut self, zone: ZoneId, evidence: Evidence) {
        let known = self.groups.entry(zone).or_default();
        if evidence.sent >= known.sent {
            *known = evidence;
        }
    }

    /// Returns the evidence of the own group.
    #[must_use]
    pub fn group_evidence(&self) -> Evidence {
        let mut all = self.own.clone();
        all.add(&self.earlier_starts);
        for (_, evidence) in self.peers.values() {
            all.add(evidence);
        }
        all
    }

    /// Returns the evidence of all instances, as far as it was reported.
    #[must_use]
    pub fn site_evidence(&self) -> Evidence {
        let mut all = self.group_evidence();
        for evidence in self.groups.values() {
            all.add(evidence);
        }
        all
    }

    /// Returns the progress of the roll-out.
    #[must_use]
    pub fn progress(&self, now: Time, evidence: &Evidence) -> Progress {
        Progress {
            elapsed: self.age(now),
            uncertainty: self.uncertainty,
            time: self.declared.time(),
            sent: evidence.sent,
            exposed: evidence.exposed,
        }
    }

    /// Returns the longest time that may have passed since the order.
    #[must_use]
    pub fn age(&self, now: Time) -> Duration {
        now.saturating_sub(self.began)
    }

    /// Returns the status reported to peers.
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
    /// Versions that were rolled back, until an order names them again.
    pub given_up: BTreeSet<(PoolId, SoftwareVersion)>,
    /// Whether this instance leads the site and decides on roll-outs.
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
