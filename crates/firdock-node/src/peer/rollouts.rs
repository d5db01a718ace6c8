//! Encoding of roll-out states and evidence in heartbeats.

use std::time::Duration;

use firdock_policy::rollout::{Evidence, RolloutStatus, Stage, Tally};
use firdock_wire::message;

use crate::clock::millis;

/// Maximum number of roll-outs in a heartbeat.
const MAX_ROLLOUTS: usize = 16;
/// Maximum number of tallies of a roll-out in a heartbeat, enough for five services at some dozen
/// endpoints each.
const MAX_TALLIES: usize = 256;
/// Maximum number of bins accepted in a tally.
const MAX_BANDS: usize = 64;

/// Encodes the states of roll-outs.
pub fn write_words(words: &[RolloutStatus]) -> Vec<message::RolloutWord> {
    let told = words.iter().take(MAX_ROLLOUTS);
    told.map(|w| message::RolloutWord {
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
pub fn read_words(words: Vec<message::RolloutWord>) -> Vec<RolloutStatus> {
    let told = words.into_iter().take(MAX_ROLLOUTS);
    told.filter_map(|w| {
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
pub fn write_seen(seen: &[Evidence]) -> Vec<message::RolloutEvidence> {
    let told = seen.iter().take(MAX_ROLLOUTS);
    told.map(|e| message::RolloutEvidence {
        pool: e.pool.clone(),
        order: e.order,
        sent: e.sent,
        exposed: e.exposed,
        tallies: write_tallies(e),
    })
    .collect()
}

fn write_tallies(seen: &Evidence) -> Vec<message::RolloutTally> {
    let told = seen.tallies.iter().take(MAX_TALLIES);
    told.map(|((service, endpoint), tally)| message::RolloutTally {
        service: service.clone(),
        endpoint: endpoint.clone(),
        failed: tally.failed,
        lost: tally.lost,
        bands: tally.bins.clone(),
    })
    .collect()
}

/// Decodes roll-out evidence.
pub fn read_seen(seen: Vec<message::RolloutEvidence>) -> Vec<Evidence> {
    let told = seen.into_iter().take(MAX_ROLLOUTS);
    told.map(|e| {
        let mut evidence = Evidence::new(e.pool, e.order);
        evidence.sent = e.sent;
        evidence.exposed = e.exposed;
        for told in e.tallies.into_iter().take(MAX_TALLIES) {
            let tally = Tally {
                failed: told.failed,
                lost: told.lost,
                bins: told.bands.into_iter().take(MAX_BANDS).collect(),
            };
            evidence
                .tallies
                .insert((told.service, told.endpoint), tally);
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
