//! HTTP adapters to the platform, based on `ureq`, with time limits.

use std::net::SocketAddr;
use std::time::Duration;

use firdock_core::Offset;
use firdock_state::Batch;
use serde::de::DeserializeOwned;
use snafu::ResultExt as _;
use ureq::http::Response;
use ureq::{Agent, Body};

use super::{
    InstanceList, ListedRow, LogClient, MalformedSnafu, NoAnswerSnafu, PlatformError, RefusedSnafu,
};

/// Maximum size of a response, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// Creates an agent with a time limit for each call as a whole.
#[must_use]
pub fn agent(limit: Duration) -> Agent {
    let config = Agent::config_builder()
        .timeout_global(Some(limit))
        .http_status_as_error(false);
    config.build().into()
}

fn read_json<T: DeserializeOwned>(mut response: Response<Body>) -> Result<T, PlatformError> {
    let status = response.status();
    if !status.is_success() {
        return RefusedSnafu {
            status: status.as_u16(),
        }
        .fail();
    }
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_ANSWER_BYTES)
        .read_to_vec();
    serde_json::from_slice(&body.context(NoAnswerSnafu)?).context(MalformedSnafu)
}

/// Adapter to the log.
#[derive(Debug, Clone)]
pub struct HttpLog {
    agent: Agent,
    address: SocketAddr,
}

impl HttpLog {
    /// Creates an adapter with a time limit for each call.
    #[must_use]
    pub fn new(address: SocketAddr, limit: Duration) -> Self {
        Self {
            agent: agent(limit),
            address,
        }
    }
}

impl LogClient for HttpLog {
    fn read(&self, from: Offset, max: usize) -> Result<Batch, PlatformError> {
        let url = format!("http://{}/log?from={from}&max={max}", self.address);
        read_json(self.agent.get(&url).call().context(NoAnswerSnafu)?)
    }

    fn append(&self, body: &str) -> Result<Offset, PlatformError> {
        #[derive(serde::Deserialize)]
        struct Appended {
            offset: Offset,
        }
        let url = format!("http://{}/log", self.address);
        let response = self.agent.post(&url).send(body).context(NoAnswerSnafu)?;
        read_json::<Appended>(response).map(|a| a.offset)
    }
}

/// Adapter to the instance list.
#[derive(Debug, Clone)]
pub struct HttpInstances {
    agent: Agent,
    address: SocketAddr,
}

impl HttpInstances {
    /// Creates an adapter with a time limit for each call.
    #[must_use]
    pub fn new(address: SocketAddr, limit: Duration) -> Self {
        Self {
            agent: agent(limit),
            address,
        }
    }
}

impl InstanceList for HttpInstances {
    fn list(&self) -> Result<Vec<ListedRow>, PlatformError> {
        let url = format!("http://{}/instances", self.address);
        read_json(self.agent.get(&url).call().context(NoAnswerSnafu)?)
    }
}
