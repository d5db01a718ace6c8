//! Tiers: how important requests are, and how long they may wait.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::require;
use crate::{Findings, TierId, TierRank};

/// A class of requests by importance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tier {
    /// Name.
    pub name: TierId,
    /// 0 is served first and shed last.
    pub rank: TierRank,
    /// Longest wait in firdock, in milliseconds, after which the request is given up.
    pub wait_millis: u64,
    /// Time to the first token or byte, in milliseconds, within which an answer is good.
    pub target_millis: u64,
}

impl Default for Tier {
    fn default() -> Self {
        Self {
            name: String::new(),
            rank: 0,
            wait_millis: 30_000,
            target_millis: 1_000,
        }
    }
}

impl Tier {
    /// Greatest rank, so that tables by rank stay small.
    pub const MAX_RANK: TierRank = 15;

    /// Gives the longest wait.
    #[must_use]
    pub fn wait(&self) -> Duration {
        Duration::from_millis(self.wait_millis)
    }

    /// Gives the target for the first token or byte.
    #[must_use]
    pub fn target(&self) -> Duration {
        Duration::from_millis(self.target_millis)
    }

    pub(super) fn check(&self, line: Option<usize>, path: &str, f: &mut Findings) {
        require(
            self.rank <= Self::MAX_RANK,
            line,
            path,
            "rank",
            "from 0 to 15",
            f,
        );
        let wait = (1..=3_600_000).contains(&self.wait_millis);
        require(wait, line, path, "wait_millis", "from 1 to 3600000", f);
    }
}
