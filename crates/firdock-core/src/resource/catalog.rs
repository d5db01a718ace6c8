//! All resources in force at one version, grouped by kind.

use serde::{Deserialize, Serialize};

use super::{Account, Endpoint, Resource, Rollout, Service, Tier};
use crate::{Findings, Version};

/// The declared resources at one version, as input of the policy.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Version of the newest change.
    pub version: Version,
    /// Tiers.
    pub tiers: Vec<Tier>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Services.
    pub services: Vec<Service>,
    /// Endpoints.
    pub endpoints: Vec<Endpoint>,
    /// Rollouts ordered by operators, at most one per pool.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<Rollout>,
}

impl Catalog {
    /// Creates an empty catalog at `version`.
    #[must_use]
    pub fn new(version: Version) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Adds resources.
    #[must_use]
    pub fn with_resources(mut self, resources: impl IntoIterator<Item = Resource>) -> Self {
        for resource in resources {
            match resource {
                Resource::Endpoint(r) => self.endpoints.push(r),
                Resource::Tier(r) => self.tiers.push(r),
                Resource::Account(r) => self.accounts.push(r),
                Resource::Service(r) => self.services.push(r),
            }
        }
        self
    }

    /// Adds a finding for each reference to a resource that is not declared.
    pub fn check_references(&self, found: &mut Findings) {
        for s in &self.services {
            if !self.tiers.iter().any(|t| t.name == s.tier) {
                let path = format!("service/{}.tier", s.name);
                found.add(None, path, format!("no tier `{}` is declared", s.tier));
            }
        }
        for e in &self.endpoints {
            for name in e
                .services
                .iter()
                .filter(|n| !self.services.iter().any(|s| s.name == **n))
            {
                let path = format!("endpoint/{}.services", e.name);
                found.add(None, path, format!("no service `{name}` is declared"));
            }
        }
    }
}
