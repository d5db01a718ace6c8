//! Roll-outs: the data that instances exchange about them, and the calculations behind each
//! decision.
//!
//! A new version gets a small fraction of its pool's requests until its time is nearly up. It gets
//! all of them only once the traffic of the remaining time is no more than a bad version may get.
//! Evidence against it stops the roll-out earlier (`docs/design/rollouts.md`).

pub mod allowance;
pub mod evidence;
pub mod verdict;

use std::time::Duration;

use firdock_core::{Offset, PoolId, SoftwareVersion};
use serde::{Deserialize, Serialize};

pub use self::evidence::{Evidence, Tally};

/// Stage of a roll-out; a later stage replaces an earlier one, also when a peer reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// The new version gets a small fraction of the requests and is observed.
    #[default]
    Watching,
    /// All new work goes to the new version; its completion is about to be recorded.
    Moving,
    /// The new version is bad and gets no more requests; the rollback is about to be recorded.
    Halted,
    /// Recorded: the traffic has moved, and the old endpoints stop.
    Completed,
    /// Recorded: the new version was rolled back.
    RolledBack,
}

impl Stage {
    /// Returns whether the end of the roll-out is recorded in the platform's store.
    #[must_use]
    pub fn is_recorded(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// Returns the name used in log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Watching => "watching",
            Self::Moving => "moving",
            Self::Halted => "halted",
            Self::Completed => "completed",
            Self::RolledBack => "rolled back",
        }
    }
}

/// Status of a roll-out as instances exchange it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Pool.
    pub pool: PoolId,
    /// The order within the pool: its position in the platform's log.
    pub order: Offset,
    /// Stage of the roll-out.
    pub stage: Stage,
    /// Time since the order was first seen.
    pub age: Duration,
    /// Fraction of the pool's requests that the new version gets while it is observed; 0 if the
    /// reporting instance does not know it.
    pub ratio: f64,
}

/// State of a roll-out to be kept in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Pool.
    pub pool: PoolId,
    /// The order within the pool.
    pub order: Offset,
    /// Version that the traffic moves to.
    pub version: SoftwareVersion,
    /// `Watching` while it is in progress, otherwise its final stage.
    pub stage: Stage,
    /// Time since the order was first seen.
    pub age: Duration,
    /// Finding against the version, for operators; empty if there is none.
    pub reason: String,
}

/// Roll-out data that an instance sends in a heartbeat.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RolloutReport {
    /// Status of each roll-out.
    pub statuses: Vec<RolloutStatus>,
    /// This instance's evidence on the roll-outs in progress.
    pub own: Vec<Evidence>,
    /// The evidence of its group.
    pub group: Vec<Evidence>,
}
