//! Encoding of roll-out states and evidence in heartbeats.

use std::time::Duration;

use firdock_policy::rollout::{Evidence, RolloutStatus, Stage, Tally};
use firdock_wire::message;

use crate::clock::millis;

/// Maximum number of roll-outs in a heartbeat.
const MAX_ROLLOUTS: usize = 16;
/// Maximum number of tallies of a roll-out in a heartbeat, enough for about five services
/// at a dozen endpoints.
const MAX_TALLIES: usize = 256;
/// Maximum number of bins accepted in a tally.
const MAX_BINS: usize = 64;

/// Encodes the states of roll-outs.
pub fn write_statuses(statuses: &[RolloutStatus]) -> Vec<message::RolloutWord> {
    let entries = statuses.iter().take(MAX_ROLLOUTS);
    entries
        .map(|w| message::RolloutWord {
            pool: w.pool.clone(),
            order: w.order,
            stage: write_stage(w.stage).into(),
            age: millis(w.age),
            ratio: w.ratio,
        })
        .collect()
}

/// Decodes the states of roll-outs; those with stages that this version does not support are left
/// out.
pub fn read_statuses(statuses: Vec<message::RolloutWord>) -> Vec<RolloutStatus> {
    let entries = statuses.into_iter().take(MAX_ROLLOUTS);
    entries
        .filter_map(|w| {
            Some(RolloutStatus {
                stage: read_stage(w.stage)?,
                pool: w.pool,
                order: w.order,
                age: Duration::from_millis(w.age),
                ratio: if w.ratio.is_finite() { w.ratio } else { 0.0 },
            })
        })
        .collect()
}

/// Encodes roll-out evidence.
pub fn write_evidence(evidence: &[Evidence]) -> Vec<message::RolloutEvidence> {
    let entries = evidence.iter().take(MAX_ROLLOUTS);
    entries
        .map(|e| message::RolloutEvidence {
            pool: e.pool.clone(),
            order: e.order,
            sent: e.sent,
            exposed: e.exposed,
            tallies: write_tallies(e),
        })
        .collect()
}

fn write_tallies(evidence: &Evidence) -> Vec<message::RolloutTally> {
    let entries = evidence.tallies.iter().take(MAX_TALLIES);
    entries
        .map(|((service, endpoint), tally)| message::RolloutTally {
            service: service.clone(),
            endpoint: endpoint.clone(),
            failed: tally.failed,
            lost: tally.lost,
            bands: tally.bins.clone(),
        })
        .collect()
}

/// Decodes roll-out evidence.
pub fn read_evidence(evidence: Vec<message::RolloutEvidence>) -> Vec<Evidence> {
    let entries = evidence.into_iter().take(MAX_ROLLOUTS);
    entries
        .map(|e| {
            let mut evidence = Evidence::new(e.pool, e.order);
            evidence.sent = e.sent;
            evidence.exposed = e.exposed;
            for entry in e.tallies.into_iter().take(MAX_TALLIES) {
                let tally = Tally {
                    failed: entry.failed,
                    lost: entry.lost,
                    bins: entry.bands.into_iter().take(MAX_BINS).collect(),
                };
                evidence
                    .tallies
                    .insert((entry.service, entry.endpoint), tally);
            }
            evidence
        })
        .collect()
}

fn write_stage(stage: Stage) -> message::RolloutStage {
    match stage {
        Stage::Watching => message::RolloutStage::Watching,
        Stage::Moving => message::RolloutStage::Moving,
        Stage::Halted => message::RolloutStage::Halted,
        Stage::Completed => message::RolloutStage::Completed,
        Stage::RolledBack => message::RolloutStage::RolledBack,
    }
}

fn read_stage(stage: i32) -> Option<Stage> {
    match message::RolloutStage::try_from(stage).ok()? {
        message::RolloutStage::Unspecified => None,
        message::RolloutStage::Watching => Some(Stage::Watching),
        message::RolloutStage::Moving => Some(Stage::Moving),
        message::RolloutStage::Halted => Some(Stage::Halted),
        message::RolloutStage::Completed => Some(Stage::Completed),
        message::RolloutStage::RolledBack => Some(Stage::RolledBack),
    }
}
