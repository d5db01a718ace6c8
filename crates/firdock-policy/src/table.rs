//! The tables of entities that the systems run over.

pub mod account;
pub mod endpoint;
pub mod key;
pub mod peer;
pub mod prefix_cache;
pub mod queue;
pub mod request;
pub mod rows;
pub mod service;
pub mod transfer;
pub mod view;

use crate::settings::PolicySettings;
use crate::stats::Stats;
use crate::time::Time;

/// Most second tries that the budget saves up.
pub const RETRY_CREDIT_MAX: f64 = 20.0;

/// Every table of one instance.
#[derive(Debug)]
pub struct Tables {
    /// Bounds and switches.
    pub settings: PolicySettings,
    /// Version of the configuration in force.
    pub version: u64,
    /// Requests that have not ended.
    pub requests: request::Requests,
    /// Endpoints.
    pub endpoints: endpoint::Endpoints,
    /// Services with their queues.
    pub services: service::Services,
    /// Accounts.
    pub accounts: account::Accounts,
    /// Peers.
    pub peers: peer::Peers,
    /// Idempotency keys that this instance owns.
    pub keys: key::Keys,
    /// Transfers of keys from their earlier owners.
    pub transfers: transfer::Transfers,
    /// Member views by the log.
    pub views: view::Views,
    /// Whether the instance is stopping.
    pub draining: bool,
    /// Whether [`crate::Action::Drained`] has been given.
    pub drained: bool,
    /// Requests answered since the rate was last taken.
    pub ended: u32,
    /// Requests that end a second, smoothed.
    pub end_rate: f64,
    /// When the rates were last taken.
    pub rates_taken: Time,
    /// Second tries that the budget still allows.
    pub retry_credit: f64,
    /// Counters.
    pub stats: Stats,
}

impl Tables {
    /// Makes empty tables.
    #[must_use]
    pub fn new(settings: PolicySettings) -> Self {
        let views = view::Views::new(settings.member.clone());
        Self {
            settings,
            version: 0,
            requests: request::Requests::new(),
            endpoints: endpoint::Endpoints::new(),
            services: service::Services::new(),
            accounts: account::Accounts::new(),
            peers: peer::Peers::new(),
            keys: key::Keys::new(),
            transfers: transfer::Transfers::new(),
            views,
            draining: false,
            drained: false,
            ended: 0,
            end_rate: 0.0,
            rates_taken: Time::ZERO,
            retry_credit: RETRY_CREDIT_MAX,
            stats: Stats::default(),
        }
    }
}
