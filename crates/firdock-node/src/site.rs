//! Lookups in the configuration in force, for the ingress and the endpoint adapters.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::time::Duration;

use firdock_core::credential::{self, KeyHash};
use firdock_core::resource::{
    Account, Catalog, EndpointKind, Service, ServiceKind, last_rank, request_rank,
};
use firdock_core::{AccountId, EndpointId, TierId, TierRank, Version};
use firdock_policy::Time;
use tokio::sync::watch;

use crate::clock::millis;

/// Length of the prefix of a key's hash that indexes accounts, before the full hashes are compared.
const INDEX_BYTES: usize = 4;

/// Address and protocol of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointLocation {
    /// Address.
    pub address: SocketAddr,
    /// Kind of endpoint: engine or plain server.
    pub backend: EndpointKind,
    /// Tokens in each event of its streams.
    pub event_tokens: u32,
}

/// Number of a set of services and accounts, which grows with each change of them.
pub type AccessRevision = u64;

/// How a request names its service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteQuery {
    /// By the name of a model.
    Model(String),
    /// By the path of a plain call.
    Path(String),
    /// By host and path.
    HostAndPath(String, String),
}

/// What a request is admitted by. A later configuration judges it by the same.
#[derive(Debug, Clone)]
pub struct AccessRequest {
    /// How it names its service.
    pub route: RouteQuery,
    /// Hash of the caller's key, if it gave one.
    pub key: Option<KeyHash>,
    /// Services and accounts by which it was admitted.
    pub revision: AccessRevision,
}

/// Why a configuration does not admit a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// No service matches it.
    NoService,
    /// Its service requires the key of an account.
    Unauthorized,
    /// Its account may not call the service.
    Forbidden,
}

/// Service and account of an admitted request.
#[derive(Debug, Clone, Copy)]
pub struct Admission<'a> {
    /// Service.
    pub service: &'a Service,
    /// Account; [`Account::ANONYMOUS`] for public services.
    pub account: &'a str,
}

/// Indexed view of one catalog.
#[derive(Debug, Default)]
pub struct SiteView {
    access_revision: AccessRevision,
    accounts: HashMap<[u8; INDEX_BYTES], Vec<(KeyHash, AccountId)>>,
    services: Vec<Service>,
    account_ranks: HashMap<AccountId, u8>,
    tier_ranks: HashMap<TierId, TierRank>,
    locations: HashMap<EndpointId, EndpointLocation>,
}

impl SiteView {
    fn new(catalog: &Catalog) -> Self {
        let mut view = Self {
            services: catalog.services.clone(),
            ..Self::default()
        };
        // Longest path first, so that the most specific match is found first.
        view.services
            .sort_by_key(|s| std::cmp::Reverse(s.matches.len()));
        let tiers = catalog.tiers.iter();
        view.tier_ranks = tiers.map(|t| (t.name.clone(), t.rank)).collect();
        for account in &catalog.accounts {
            view.account_ranks
                .insert(account.name.clone(), account.rank);
            for hash in account.key_hashes() {
                let bucket = view.accounts.entry(index(&hash)).or_default();
                bucket.push((hash, account.name.clone()));
            }
        }
        for e in &catalog.endpoints {
            if let Some(address) = e.address {
                view.locations.insert(
                    e.name.clone(),
                    EndpointLocation {
                        address,
                        backend: e.backend,
                        event_tokens: e.event_tokens,
                    },
                );
            }
        }
        view
    }

    /// Returns the number of these services and accounts.
    #[must_use]
    pub fn access_revision(&self) -> AccessRevision {
        self.access_revision
    }

    /// Returns the service and the account of a request.
    ///
    /// # Errors
    ///
    /// Fails if this configuration does not admit the request.
    pub fn admit(&self, request: &AccessRequest) -> Result<Admission<'_>, Denial> {
        let service = self.service(&request.route).ok_or(Denial::NoService)?;
        if service.public {
            let account = Account::ANONYMOUS;
            return Ok(Admission { service, account });
        }
        let account = request.key.as_ref().and_then(|key| self.account(key));
        let account = account.ok_or(Denial::Unauthorized)?;
        if !service.accounts.is_empty() && !service.accounts.contains(account) {
            return Err(Denial::Forbidden);
        }
        Ok(Admission { service, account })
    }

    fn service(&self, route: &RouteQuery) -> Option<&Service> {
        match route {
            RouteQuery::Model(name) => self.model_service(name),
            RouteQuery::Path(path) => self.plain_service(path),
            RouteQuery::HostAndPath(host, path) => self.routed_service(host, path),
        }
    }

    /// Returns the rank of an account's requests for a service: 0 is the highest. Until the service is known they have
    /// the lowest of the account, so that they take nothing from higher ones.
    #[must_use]
    pub fn rank(&self, account: &str, service: Option<&Service>) -> TierRank {
        let own = self.account_ranks.get(account).copied().unwrap_or_default();
        let tier = service.and_then(|s| self.tier_ranks.get(&s.tier));
        tier.map_or_else(|| last_rank(own), |tier| request_rank(own, *tier))
    }

    /// Finds the account of a key by the key's hash.
    #[must_use]
    pub fn account(&self, hash: &KeyHash) -> Option<&AccountId> {
        let bucket = self.accounts.get(&index(hash))?;
        let mut found = None;
        for (known, name) in bucket {
            if credential::matches(known, hash) {
                found = Some(name);
            }
        }
        found
    }

    /// Finds the service of a model call.
    #[must_use]
    pub fn model_service(&self, model: &str) -> Option<&Service> {
        self.services
            .iter()
            .find(|s| s.protocol == ServiceKind::Model && s.matches == model)
    }

    /// Finds the service of a plain call.
    #[must_use]
    pub fn plain_service(&self, path: &str) -> Option<&Service> {
        let plain = |s: &&Service| s.protocol == ServiceKind::Plain;
        self.services
            .iter()
            .filter(plain)
            .find(|s| path_starts_with(path, &s.matches))
    }

    /// Finds the service of a call by host and path; a service without a host matches any host.
    #[must_use]
    pub fn routed_service(&self, host: &str, path: &str) -> Option<&Service> {
        let named = |s: &&Service| s.host.is_empty() || s.host.eq_ignore_ascii_case(host);
        self.services
            .iter()
            .filter(named)
            .find(|s| path_starts_with(path, &s.matches))
    }

    /// Finds the location of an endpoint.
    #[must_use]
    pub fn location(&self, endpoint: &str) -> Option<EndpointLocation> {
        self.locations.get(endpoint).copied()
    }

    /// Iterates over the locations of all endpoints.
    pub fn locations(&self) -> impl Iterator<Item = (&EndpointId, EndpointLocation)> {
        self.locations
            .iter()
            .map(|(name, location)| (name, *location))
    }
}

fn index(hash: &KeyHash) -> [u8; INDEX_BYTES] {
    let mut head = [0; INDEX_BYTES];
    head.copy_from_slice(&hash[..INDEX_BYTES]);
    head
}

/// Returns whether `path` starts with the path segments of `start`.
fn path_starts_with(path: &str, start: &str) -> bool {
    let Some(rest) = path.strip_prefix(start) else {
        return false;
    };
    rest.is_empty() || start.ends_with('/') || rest.starts_with('/')
}

/// The view in force, shared by all tasks.
#[derive(Debug, Default)]
pub struct Site {
    view: RwLock<Arc<SiteView>>,
    /// Time in milliseconds at which the configuration was last confirmed to be the newest; 0 for never.
    fresh_millis: AtomicU64,
    version: watch::Sender<Version>,
}

impl Site {
    /// Returns the view in force.
    #[must_use]
    pub fn view(&self) -> Arc<SiteView> {
        self.view
            .read()
            .map_or_else(|e| Arc::clone(&e.into_inner()), |v| Arc::clone(&v))
    }

    /// Returns a channel with the version of the catalog in force; 0 before the first.
    #[must_use]
    pub fn version(&self) -> watch::Receiver<Version> {
        self.version.subscribe()
    }

    /// Records that the configuration was confirmed to be the newest at `at`.
    pub fn set_fresh(&self, at: Time) {
        self.fresh_millis.fetch_max(millis(at), Ordering::Relaxed);
    }

    /// Returns when the configuration was last confirmed to be the newest; `None` for never.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<Time> {
        let millis = self.fresh_millis.load(Ordering::Relaxed);
        (millis > 0).then(|| Duration::from_millis(millis))
    }

    /// Returns the time since the configuration was last confirmed to be the newest; `None` for never.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at().map(|at| now.saturating_sub(at))
    }

    /// Puts a catalog in force; returns whether its services or accounts differ from those before.
    pub fn set(&self, catalog: &Catalog) -> bool {
        let before = self.view();
        let mut view = SiteView::new(catalog);
        let changed = view.services != before.services || view.accounts != before.accounts;
        view.access_revision = before.access_revision + u64::from(changed);
        let view = Arc::new(view);
        match self.view.write() {
            Ok(mut slot) => *slot = view,
            Err(e) => *e.into_inner() = view,
        }
        self.version.send_replace(catalog.version);
        changed
    }
}
