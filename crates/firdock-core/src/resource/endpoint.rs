//! Endpoints: model engines and plain application servers.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::require;
use crate::{EndpointId, Findings, PoolId, ServiceId, SoftwareVersion, StartId, ZoneId};

/// What stands behind an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointKind {
    /// A model engine that batches continuously.
    #[default]
    Engine,
    /// A plain application server.
    Plain,
}

/// A back end that answers requests of some services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Endpoint {
    /// Name, the same as in the platform's instance list.
    pub name: EndpointId,
    /// Engine or plain server.
    pub backend: EndpointKind,
    /// IP number and port.
    pub address: Option<SocketAddr>,
    /// Availability zone.
    pub zone: ZoneId,
    /// Services whose requests it takes.
    pub services: Vec<ServiceId>,
    /// Pool that it belongs to, for services that split their requests over pools; empty for none.
    pub pool: PoolId,
    /// Requests that it works on at once without queueing.
    pub slots: u32,
    /// Prompt tokens computed a second, before firdock has learned better.
    pub prefill_rate: f64,
    /// Milliseconds for each generated token, before firdock has learned better.
    pub token_millis: f64,
    /// Tokens that one event of its streams holds, for engines that do not say it themselves.
    pub event_tokens: u32,
    /// Declares that the endpoint is leaving: it gets no new work.
    pub leaving: bool,
    /// Version of its software, by which roll-outs tell endpoints apart.
    #[serde(skip_serializing_if = "SoftwareVersion::is_empty")]
    pub version: SoftwareVersion,
    /// Unix time at which it started; a later start under the same name is another endpoint, which
    /// knows nothing of what the earlier one had (`docs/design/restarts.md`).
    #[serde(skip_serializing_if = "Option::is_none")]
    pub started: Option<Duration>,
}

impl Default for Endpoint {
    fn default() -> Self {
        Self {
            name: String::new(),
            backend: EndpointKind::Engine,
            address: None,
            zone: String::new(),
            services: Vec::new(),
            pool: String::new(),
            slots: 8,
            prefill_rate: 4000.0,
            token_millis: 25.0,
            event_tokens: 1,
            leaving: false,
            version: SoftwareVersion::new(),
            started: None,
        }
    }
}

impl Endpoint {
    /// Most requests that one endpoint may be declared to work on at once.
    pub const MAX_SLOTS: u32 = 4096;

    /// Gives the declared time for each token, in seconds.
    #[must_use]
    pub fn token_secs(&self) -> f64 {
        self.token_millis / 1000.0
    }

    /// Gives the name of this start of the endpoint, by which instances tell its starts apart: the
    /// endpoint's own name where no start is told.
    #[must_use]
    pub fn start_id(&self) -> StartId {
        match self.started {
            Some(at) => format!("{}@{}", self.name, at.as_millis()),
            None => self.name.clone(),
        }
    }

    pub(super) fn check(&self, line: Option<usize>, path: &str, f: &mut Findings) {
        require(
            self.address.is_some(),
            line,
            path,
            "address",
            "IP:PORT is needed",
            f,
        );
        require(
            !self.services.is_empty() || !self.pool.is_empty(),
            line,
            path,
            "services",
            "at least one service, or a pool",
            f,
        );
        let slots = (1..=Self::MAX_SLOTS).contains(&self.slots);
        require(slots, line, path, "slots", "from 1 to 4096", f);
        let prefill = self.prefill_rate.is_finite() && self.prefill_rate > 0.0;
        require(prefill, line, path, "prefill_rate", "greater than 0", f);
        let token = self.token_millis.is_finite() && self.token_millis >= 0.0;
        require(token, line, path, "token_millis", "0 or more", f);
        let event = self.event_tokens > 0;
        require(event, line, path, "event_tokens", "1 or more", f);
    }
}
