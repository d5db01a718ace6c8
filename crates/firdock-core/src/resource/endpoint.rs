//! Endpoints: model engines and plain application servers.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::require;
use crate::{EndpointId, Findings, PoolId, ServiceId, SoftwareVersion, StartId, ZoneId};

/// Type of the server at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointKind {
    /// A model engine with continuous batching.
    #[default]
    Engine,
    /// A plain application server.
    Plain,
}

/// A server that answers requests of some services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Endpoint {
    /// Name, the same as in the platform's instance list.
    pub name: EndpointId,
    /// Engine or plain server.
    pub backend: EndpointKind,
    /// IP address and port.
    pub address: Option<SocketAddr>,
    /// Availability zone.
    pub zone: ZoneId,
    /// Services whose requests it accepts.
    pub services: Vec<ServiceId>,
    /// Pool of the endpoint, for services that split their requests over pools; empty if there is none.
    pub pool: PoolId,
    /// Number of requests that it processes concurrently without queueing.
    pub slots: u32,
    /// Prompt tokens processed per second, used until firdock has measured the rate.
    pub prefill_rate: f64,
    /// Milliseconds per generated token, used until firdock has measured the time.
    pub token_millis: f64,
    /// Tokens per stream event, for engines that do not report it themselves.
    pub event_tokens: u32,
    /// Whether the endpoint is shutting down and must receive no new work.
    pub leaving: bool,
    /// Version of its software, by which rollouts distinguish endpoints.
    #[serde(skip_serializing_if = "SoftwareVersion::is_empty")]
    pub version: SoftwareVersion,
    /// Unix time at which it started. A later start under the same name is another endpoint, which has
    /// none of the state of the earlier one (`docs/design/restarts.md`).
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
    /// Maximum declared number of concurrent requests of one endpoint.
    pub const MAX_SLOTS: u32 = 4096;

    /// Returns the declared time per token, in seconds.
    #[must_use]
    pub fn token_secs(&self) -> f64 {
        self.token_millis / 1000.0
    }

    /// Returns the name of this start of the endpoint, by which instances distinguish its starts. This is the
    /// endpoint's own name if no start time is known.
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
