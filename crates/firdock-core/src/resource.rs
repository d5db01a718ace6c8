//! The resources that operators declare: endpoints, tiers, client accounts and services.
//!
//! They are written through the resource API, stored in the platform's log and folded by every
//! instance (see `docs/operators/resources.md`).

mod account;
mod catalog;
mod endpoint;
mod file;
mod rollout;
mod service;
mod tier;

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

pub use account::{Account, LimitUnit, RateLimit, last_rank, request_rank};
pub use catalog::Catalog;
pub use endpoint::{Endpoint, EndpointKind};
pub use file::{parse_object, parse_resources};
pub use rollout::Rollout;
pub use service::{PoolWeight, Service, ServiceKind};
pub use tier::Tier;

use crate::Findings;

/// Maximum length of a resource name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The kinds of resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// An endpoint that answers requests.
    Endpoint,
    /// A priority class of requests.
    Tier,
    /// A client account.
    Account,
    /// A group of requests that are handled in the same way.
    Service,
}

impl Kind {
    /// All kinds, in the order in which resources are applied.
    pub const ALL: [Self; 4] = [Self::Tier, Self::Account, Self::Service, Self::Endpoint];

    /// Returns the name of the kind in files and paths.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Endpoint => "endpoint",
            Self::Tier => "tier",
            Self::Account => "account",
            Self::Service => "service",
        }
    }
}

impl Display for Kind {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The text is not a kind of resource.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownKind(pub String);

impl Display for UnknownKind {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is no kind of resource: endpoint, tier, account, service",
            self.0
        )
    }
}

impl std::error::Error for UnknownKind {}

impl FromStr for Kind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Self, UnknownKind> {
        let found = Self::ALL.into_iter().find(|k| k.as_str() == text);
        found.ok_or_else(|| UnknownKind(text.to_owned()))
    }
}

/// Kind and name, which identify a resource.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ResourceKey {
    /// Kind of the resource.
    pub kind: Kind,
    /// Name, unique within its kind.
    pub name: String,
}

impl ResourceKey {
    /// Creates a key.
    pub fn new(kind: Kind, name: impl Into<String>) -> Self {
        Self {
            kind,
            name: name.into(),
        }
    }
}

impl Display for ResourceKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// One declared resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum Resource {
    /// An endpoint.
    Endpoint(Endpoint),
    /// A tier.
    Tier(Tier),
    /// A client account.
    Account(Account),
    /// A service.
    Service(Service),
}

impl Resource {
    /// Returns the key under which the resource is stored.
    #[must_use]
    pub fn key(&self) -> ResourceKey {
        match self {
            Self::Endpoint(r) => ResourceKey::new(Kind::Endpoint, &r.name),
            Self::Tier(r) => ResourceKey::new(Kind::Tier, &r.name),
            Self::Account(r) => ResourceKey::new(Kind::Account, &r.name),
            Self::Service(r) => ResourceKey::new(Kind::Service, &r.name),
        }
    }

    /// Checks the resource on its own and adds a finding for each invalid field.
    pub fn check(&self, line: Option<usize>, path: &str, found: &mut Findings) {
        check_name(&self.key().name, line, path, found);
        match self {
            Self::Endpoint(r) => r.check(line, path, found),
            Self::Tier(r) => r.check(line, path, found),
            Self::Account(r) => r.check(line, path, found),
            Self::Service(r) => r.check(line, path, found),
        }
    }
}

fn check_name(name: &str, line: Option<usize>, path: &str, found: &mut Findings) {
    let path = format!("{path}.name");
    if name.is_empty() {
        found.add(line, path, "a name is needed");
    } else if name.len() > MAX_NAME_BYTES {
        found.add(line, path, format!("at most {MAX_NAME_BYTES} bytes"));
    } else if !name
        .bytes()
        .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
    {
        found.add(line, path, "only letters, digits, `-`, `_` and `.`");
    }
}

/// Adds a finding at `path.field` unless `ok`.
fn require(ok: bool, line: Option<usize>, path: &str, field: &str, msg: &str, f: &mut Findings) {
    if !ok {
        f.add(line, format!("{path}.{field}"), msg);
    }
}
