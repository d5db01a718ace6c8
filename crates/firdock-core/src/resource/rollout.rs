//! Rollouts: moving a pool's traffic to endpoints of another software version.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Offset, PoolId, SoftwareVersion};

/// An operator's order to move a pool's traffic to the endpoints of one software version.
///
/// `docs/design/rollouts.md` describes how it is carried out and when it is rolled back.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Pool whose traffic moves.
    pub pool: PoolId,
    /// Target version; its endpoints may still be starting.
    pub version: SoftwareVersion,
    /// Time limit for completing the rollout, in milliseconds.
    pub time_millis: u64,
    /// Offset of the order in the platform's log. A later order replaces an earlier one, and the offset
    /// distinguishes an order that is read again from a new one with the same content.
    pub order: Offset,
}

impl Rollout {
    /// Returns the time limit for completing the rollout.
    #[must_use]
    pub fn time(&self) -> Duration {
        Duration::from_millis(self.time_millis)
    }
}
