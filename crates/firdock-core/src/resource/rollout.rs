//! Roll-outs: the move of a pool's traffic to endpoints of another software version.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Offset, PoolId, SoftwareVersion};

/// An operator's order to move a pool's traffic to the endpoints of one software version.
///
/// How it is carried out, and when it is taken back, stands in `docs/design/rollouts.md`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Pool whose traffic moves.
    pub pool: PoolId,
    /// Version that it moves to; its endpoints may be starting still.
    pub version: SoftwareVersion,
    /// Time within which the move has to be finished, in milliseconds.
    pub time_millis: u64,
    /// Position of the order in the platform's log: a later order replaces an earlier one, and one
    /// that is read again is told apart from a new one of the same content.
    pub order: Offset,
}

impl Rollout {
    /// Gives the time within which the move has to be finished.
    #[must_use]
    pub fn time(&self) -> Duration {
        Duration::from_millis(self.time_millis)
    }
}
