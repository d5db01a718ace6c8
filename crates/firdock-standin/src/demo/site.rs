//! The demo's site: a log, an instance list, engines of three speeds, plain services and two instances.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use firdock_core::credential::{hash_bearer, to_hex};
use firdock_core::settings::Settings;
use firdock_node::platform::ListedRow;
use firdock_node::{Instance, Running};
use hyper::Method;
use snafu::ResultExt as _;

use super::{DemoError, InstanceSnafu, ResourcesSnafu, StandinSnafu};
use crate::client::operator_call;
use crate::engine::EngineSpec;
use crate::log::LogSettings;
use crate::{StandinEngine, StandinInstances, StandinLog, StandinService};

/// Sample resources without endpoints and accounts.
const SAMPLE: &str = include_str!("../../samples/demo.toml");
/// Client accounts of the demo; the bearer key of each is its name followed by `-key`.
pub const ACCOUNTS: [&str; 5] = ["uppsala", "vasteras", "amman", "orebro", "gavle"];
/// Engine speeds: slots, prompt tokens per second, seconds per token.
const SPEEDS: [(usize, f64, f64); 3] = [
    (8, 40_000.0, 0.004),
    (8, 20_000.0, 0.008),
    (4, 10_000.0, 0.012),
];
/// Number of engines of each speed.
const ENGINES_EACH: usize = 2;
/// Number of plain services.
const SERVICES: usize = 2;
/// Number of entry instances.
const INSTANCES: usize = 2;
/// Grace period of idempotency keys after a membership change.
const KEY_GRACE_PERIOD: Duration = Duration::from_secs(2);
/// Timeout for the site to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A running site.
#[derive(Debug)]
pub struct DemoSite {
    log: StandinLog,
    list: StandinInstances,
    engines: Vec<StandinEngine>,
    services: Vec<StandinService>,
    instances: Vec<Running>,
}

fn any_port() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}

/// Finds a free port, for an address that the settings must give before the instance binds it.
fn free_address() -> Result<SocketAddr, DemoError> {
    let listener = TcpListener::bind(any_port()).context(StandinSnafu)?;
    listener.local_addr().context(StandinSnafu)
}

impl DemoSite {
    /// Starts all components and waits until the sample resources are in force on every instance.
    ///
    /// # Errors
    ///
    /// Fails if a component does not start or the sample resources are rejected.
    pub async fn start() -> Result<Self, DemoError> {
        let log = StandinLog::start(any_port(), LogSettings::default()).context(StandinSnafu)?;
        let list = StandinInstances::start(any_port(), Duration::from_millis(200));
        let list = list.context(StandinSnafu)?;
        let mut engines = Vec::new();
        for i in 0..SPEEDS.len() * ENGINES_EACH {
            let (slots, prefill_rate, token_secs) = SPEEDS[i % SPEEDS.len()];
            let spec = EngineSpec {
                slots,
                prefill_rate,
                token_secs,
                cache_blocks: 2_048,
            };
            engines.push(StandinEngine::start(any_port(), spec).context(StandinSnafu)?);
        }
        let mut services = Vec::new();
        for _ in 0..SERVICES {
            let service = StandinService::start(any_port(), Duration::from_millis(3));
            services.push(service.context(StandinSnafu)?);
        }
        let mut site = Self {
            log,
            list,
            engines,
            services,
            instances: Vec::new(),
        };
        for i in 0..INSTANCES {
            site.add_instance(i)?;
        }
        site.apply().await?;
        // During the grace period after a membership change, new keys are answered `unknown`
        // (docs/design/keys.md).
        tokio::time::sleep(KEY_GRACE_PERIOD).await;
        Ok(site)
    }

    fn add_instance(&mut self, i: usize) -> Result<(), DemoError> {
        let name = format!("entry-{i}");
        let text = format!(
            "[instance]\nname = \"{name}\"\nzone = \"zone-a\"\ncallers = \"{}\"\n\
             operators = \"{}\"\npeers = \"{}\"\n\
             [platform]\nlog = \"{}\"\ninstances = \"{}\"\nlist_millis = 200\n\
             [peers]\nshared_key = \"a key for the demo only\"\n\
             [keys]\ngrace_seconds = {}\n",
            any_port(),
            any_port(),
            free_address()?,
            self.log.served.address,
            self.list.served.address,
            KEY_GRACE_PERIOD.as_secs(),
        );
        let settings =
            Settings::parse(&text).map_err(|e| DemoError::Resources { why: e.to_string() })?;
        let running = Instance::new(settings).start().context(InstanceSnafu)?;
        self.list.set(ListedRow {
            name,
            zone: "zone-a".to_owned(),
            peers: Some(running.peers),
            leaving: false,
        });
        self.instances.push(running);
        Ok(())
    }

    /// Applies the resources through the resource API, retrying until every instance has read them
    /// from the log.
    async fn apply(&self) -> Result<(), DemoError> {
        let end = Instant::now() + READY_TIMEOUT;
        let text = self.resources();
        loop {
            let at = self.instances[0].operators;
            let (status, answer) = operator_call(Method::POST, at, "/v1/apply", &text).await;
            if status == 200 && self.converged().await {
                return Ok(());
            }
            if status == 422 || Instant::now() > end {
                return ResourcesSnafu { why: answer }.fail();
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Returns whether every instance knows all others and the newest configuration.
    async fn converged(&self) -> bool {
        for instance in &self.instances {
            let (_, text) = operator_call(Method::GET, instance.operators, "/v1/status", "").await;
            let status = serde_json::from_str::<serde_json::Value>(&text).unwrap_or_default();
            let members = status["members"].as_array().map_or(0, Vec::len);
            let live = status["instances"]
                .as_object()
                .map_or(0, serde_json::Map::len);
            if status["converged"] != true || members != INSTANCES || live != INSTANCES {
                return false;
            }
        }
        true
    }

    fn resources(&self) -> String {
        use std::fmt::Write as _;
        let mut text = SAMPLE.to_owned();
        for name in ACCOUNTS {
            let hash = to_hex(&hash_bearer(&bearer(name)));
            let _ = write!(
                text,
                "\n[[account]]\nname = \"{name}\"\nkey_sha256 = \"{hash}\"\n"
            );
        }
        for (i, engine) in self.engines.iter().enumerate() {
            let (slots, prefill_rate, token_secs) = SPEEDS[i % SPEEDS.len()];
            let _ = write!(
                text,
                "\n[[endpoint]]\nname = \"engine-{i}\"\naddress = \"{}\"\nzone = \"zone-a\"\n\
                 services = [\"guide\", \"tag\", \"draft\", \"diagnosis\", \"billing\", \"classify\"]\n\
                 slots = {slots}\nprefill_rate = {prefill_rate:.1}\ntoken_millis = {:.1}\n",
                engine.served.address,
                token_secs * 1000.0,
            );
        }
        for (i, service) in self.services.iter().enumerate() {
            let _ = write!(
                text,
                "\n[[endpoint]]\nname = \"service-{i}\"\nbackend = \"plain\"\naddress = \"{}\"\n\
                 zone = \"zone-a\"\nservices = [\"tiles\", \"stock\", \"lookup\"]\nslots = 32\n",
                service.served.address,
            );
        }
        text
    }

    /// Returns the ingress address of each instance.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|i| i.callers).collect()
    }

    /// Returns the highest number of runs of any request on one endpoint.
    #[must_use]
    pub fn most_runs(&self) -> u32 {
        let engines = self.engines.iter().map(|e| e.runs().most());
        let services = self.services.iter().map(|s| s.runs().most());
        engines.chain(services).max().unwrap_or(0)
    }

    /// Sums the prompt tokens that the instances count as wasted.
    pub async fn wasted_prefill(&self) -> u64 {
        let mut sum = 0;
        for instance in &self.instances {
            let (_, text) = operator_call(Method::GET, instance.operators, "/metrics", "").await;
            let lines = text
                .lines()
                .filter(|l| l.starts_with("firdock_wasted_prefill_tokens"));
            sum += lines
                .filter_map(|l| l.rsplit(' ').next()?.parse::<u64>().ok())
                .sum::<u64>();
        }
        sum
    }

    /// Stops the instances, one after another.
    pub async fn stop(self) {
        for instance in self.instances {
            instance.stop().await;
        }
    }
}

/// Returns the bearer key of a demo account.
#[must_use]
pub fn bearer(account: &str) -> String {
    format!("{account}-key")
}
