//! Services: which requests belong together, their tier and whether they may be repeated.

use serde::{Deserialize, Serialize};

use super::require;
use crate::{Findings, ServiceId, TierId};

/// How requests of a service reach firdock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// OpenAI-compatible calls, matched by model name.
    #[default]
    Model,
    /// Plain HTTP calls, matched by the start of their path.
    Plain,
}

/// A group of requests that are served alike.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Model calls or plain calls.
    pub protocol: ServiceKind,
    /// Model name, or the start of the path.
    pub matches: String,
    /// Tier of its requests.
    pub tier: TierId,
    /// Whether a request may run more than once; where not, it is dispatched once in all.
    pub repeatable: bool,
    /// Accounts that may call it; empty for all.
    pub accounts: Vec<String>,
}

impl Service {
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
