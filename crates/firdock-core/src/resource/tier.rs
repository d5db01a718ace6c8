//! Tiers: priority and maximum wait of requests.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::require;
use crate::{Findings, TierId, TierRank};

/// A priority class of requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tier {
    /// Name.
    pub name: TierId,
    /// 0 is served first and shed last.
    pub rank: TierRank,
    /// Maximum wait in firdock, in milliseconds, after which the request is abandoned.
    pub wait_millis: u64,
    /// Target for the time to the first token or byte, in milliseconds.
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
    /// Maximum rank. It keeps tables indexed by rank small.
    pub const MAX_RANK: TierRank = 15;

    /// Returns the maximum wait.
    #[must_use]
    pub fn wait(&self) -> Duration {
        Duration::from_millis(self.wait_millis)
    }

    /// Returns the target for the time to the first token or byte.
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
