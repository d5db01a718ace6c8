//! Roll-outs: what is told of them between instances, and the figures that they are decided by.
//!
//! A new version gets a small part of its pool's requests until its time is nearly up, and all of
//! them only when what is then left of that time is no more than a bad version may get. Evidence
//! against it stops it before (`docs/design/rollouts.md`).

pub mod allowance;
pub mod evidence;
pub mod verdict;

use std::time::Duration;

use firdock_core::{Offset, PoolId, SoftwareVersion};
use serde::{Deserialize, Serialize};

pub use self::evidence::{Evidence, Tally};

/// How far a roll-out is; a later stage replaces an earlier one, in words of peers as well.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// The new version gets a small part, and is watched.
    #[default]
    Watching,
    /// All new work goes to the new version; the end is about to be recorded.
    Moving,
    /// The new version is bad and gets nothing any more; that is about to be recorded.
    Halted,
    /// Recorded: the traffic has moved, and the old endpoints stop.
    Completed,
    /// Recorded: the new version was given up.
    RolledBack,
}

impl Stage {
    /// Tells whether the platform's store has the end of the roll-out.
    #[must_use]
    pub fn is_recorded(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// Gives the word for lines of the log.
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

/// What instances tell each other of a roll-out.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Pool.
    pub pool: PoolId,
    /// Which order of the pool: its position in the platform's log.
    pub order: Offset,
    /// How far it is.
    pub stage: Stage,
    /// How long ago the order was first known of.
    pub age: Duration,
    /// Part of the pool's requests that the new version gets while it is watched; 0 where the teller
    /// does not know it.
    pub ratio: f64,
}

/// State of a roll-out that is to be kept in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Pool.
    pub pool: PoolId,
    /// Which order of the pool.
    pub order: Offset,
    /// Version that the traffic moves to.
    pub version: SoftwareVersion,
    /// `Watching` while it runs, or how it ended.
    pub stage: Stage,
    /// How long ago the order was first known of.
    pub age: Duration,
    /// What was found against the version, for operators; empty for nothing.
    pub reason: String,
}

/// What an instance tells of roll-outs in a heartbeat.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RolloutReport {
    /// How far they are.
    pub statuses: Vec<RolloutStatus>,
    /// What it saw of those that go on.
    pub own: Vec<Evidence>,
    /// What its group saw.
    pub group: Vec<Evidence>,
}
