//! Services: how requests are grouped, their tier and whether they may be repeated.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::require;
use crate::{Findings, PoolId, ServiceId, TierId};

/// How requests of a service reach firdock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// OpenAI-compatible calls, matched by model name.
    #[default]
    Model,
    /// Plain HTTP calls, matched by path prefix.
    Plain,
}

/// A group of requests that are handled in the same way.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is declared by itself in a resource file"
)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Model calls or plain calls.
    pub protocol: ServiceKind,
    /// Model name or path prefix.
    pub matches: String,
    /// Tier of its requests.
    pub tier: TierId,
    /// Whether a request may run more than once. If not, it is dispatched only once in total.
    pub repeatable: bool,
    /// Accounts that may call it; empty for all.
    pub accounts: Vec<String>,
    /// Host requested by callers; empty for any.
    pub host: String,
    /// Pools over which its requests are split by weight; empty if endpoints list the service.
    pub split: Vec<PoolWeight>,
    /// Maximum number of endpoints that may have worked on one request; 0 for no limit.
    pub attempts: u32,
    /// Maximum time from arrival to the end of the answer, in milliseconds; 0 for no limit.
    pub timeout_millis: u64,
    /// Whether its answers are event streams.
    pub streamed: bool,
    /// Maximum time that its callers wait for the next event of a stream, in milliseconds; 0 if
    /// unknown.
    pub patience_millis: u64,
    /// Maximum acceptable pause between two events of a stream, in milliseconds; 0 for
    /// no limit.
    #[serde(skip_serializing_if = "is_zero")]
    pub gap_millis: u64,
    /// Whether an interrupted stream may be resumed at another endpoint after its last event.
    pub resumable: bool,
    /// Whether callers without an account may call it.
    pub public: bool,
}

/// Weight of one pool in a service's split.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PoolWeight {
    /// Pool.
    pub pool: PoolId,
    /// Weight relative to the other pools of the service.
    pub weight: u32,
}

impl Service {
    /// Returns the time limit of its requests, if there is one.
    #[must_use]
    pub fn timeout(&self) -> Option<Duration> {
        (self.timeout_millis > 0).then(|| Duration::from_millis(self.timeout_millis))
    }

    /// Returns the maximum time that its callers wait for the next event, if known.
    #[must_use]
    pub fn patience(&self) -> Option<Duration> {
        (self.patience_millis > 0).then(|| Duration::from_millis(self.patience_millis))
    }

    /// Returns the maximum acceptable pause in its streams, if there is one.
    #[must_use]
    pub fn gap(&self) -> Option<Duration> {
        (self.gap_millis > 0).then(|| Duration::from_millis(self.gap_millis))
    }

    /// Selects the pool of a request by a uniformly distributed random number; `None` without a split.
    #[must_use]
    pub fn pick_pool(&self, draw: u32) -> Option<&PoolId> {
        let total: u64 = self.split.iter().map(|p| u64::from(p.weight)).sum();
        if total == 0 {
            return self.split.first().map(|p| &p.pool);
        }
        let mut left = (u64::from(draw) * total) >> u32::BITS;
        for part in &self.split {
            let weight = u64::from(part.weight);
            if left < weight {
                return Some(&part.pool);
            }
            left -= weight;
        }
        None
    }

    /// Returns the pools to which its requests may be sent. Its own name stands for the endpoints that list it.
    pub fn pools(&self) -> impl Iterator<Item = &PoolId> {
        let own = self.split.is_empty().then_some(&self.name);
        self.split.iter().map(|p| &p.pool).chain(own)
    }

    pub(super) fn check(&self, line: Option<usize>, path: &str, f: &mut Findings) {
        require(
            !self.tier.is_empty(),
            line,
            path,
            "tier",
            "a tier is needed",
            f,
        );
        require(
            !self.matches.is_empty(),
            line,
            path,
            "matches",
            "a model or path is needed",
            f,
        );
        let rooted = self.protocol == ServiceKind::Model || self.matches.starts_with('/');
        require(rooted, line, path, "matches", "a path starts with `/`", f);
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde calls it with a reference"
)]
fn is_zero(n: &u64) -> bool {
    *n == 0
}
