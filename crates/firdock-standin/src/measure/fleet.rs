//! Endpoints of a run: heterogeneous engines and plain servers, in virtual time.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use firdock_core::RequestId;
use firdock_core::resource::{
    Account, Catalog, Endpoint, EndpointKind, Resource, Service, ServiceKind, Tier,
};
use firdock_policy::action::Dispatch;

use crate::engine::{EngineModel, EngineSpec};
use crate::workload::Deployment;

/// Engines of three hardware generations: slots, prompt tokens per second, seconds per token.
const GENERATIONS: [(usize, f64, f64); 3] = [
    (16, 12_000.0, 0.018),
    (12, 6_000.0, 0.028),
    (8, 3_000.0, 0.040),
];
/// Capacity of an engine's prefix cache, in blocks: enough for some of the prompts, far from all.
const CACHE_BLOCKS: usize = 1_500;
/// Number of plain servers.
const SERVERS: usize = 4;
/// Number of calls that a plain server processes concurrently.
const SERVER_SLOTS: u32 = 32;
/// Duration of a plain call.
pub const PLAIN_TIME: Duration = Duration::from_millis(6);
/// Names of the client accounts.
pub const ACCOUNTS: [&str; 5] = ["large-a", "large-b", "mid", "small-a", "small-b"];
/// Expected fraction of the shared prefixes that is cached, for the capacity estimate.
const EXPECTED_CACHED: f64 = 0.8;

/// Returns a tier's target for the first token or byte and its maximum wait, in milliseconds.
fn tier_times(tier: &str) -> (u64, u64) {
    match tier {
        "instant" => (250, 2_000),
        "guide" => (1_500, 10_000),
        "billing" => (2_000, 10_000),
        "diagnosis" | "tag" => (3_000, 20_000),
        _ => (8_000, 30_000),
    }
}

/// Returns a tier's target for the first token or byte.
#[must_use]
pub fn target(tier: &str) -> Duration {
    Duration::from_millis(tier_times(tier).0)
}

/// A request in progress on an engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// Index of the instance that dispatched it.
    pub instance: usize,
    /// Dispatch of the request.
    pub dispatch: Dispatch,
    /// Tokens of the complete answer generated so far.
    pub generated: u32,
    /// Prompt tokens that this engine computes for it.
    pub prefill_tokens: u32,
    /// Whether this dispatch has generated its first token.
    pub has_first_token: bool,
}

/// A simulated engine.
#[derive(Debug)]
pub struct Engine {
    /// Name.
    pub name: String,
    /// Model.
    pub model: EngineModel,
    /// Whether the engine is alive.
    pub alive: bool,
    /// Requests in progress.
    pub jobs: BTreeMap<RequestId, Job>,
    /// Sequence number of the last cache change reported.
    pub last_reported: u64,
    /// Time for which the end of the current step is scheduled.
    pub scheduled: Option<Duration>,
}

/// A simulated plain server.
#[derive(Debug)]
pub struct Server {
    /// Name.
    pub name: String,
    /// Number of calls in progress.
    pub running: u32,
}

/// All endpoints of a deployment.
#[derive(Debug)]
pub struct Fleet {
    /// Engines.
    pub engines: Vec<Engine>,
    /// Plain servers.
    pub servers: Vec<Server>,
    by_name: HashMap<String, EndpointIndex>,
}

/// Position of an endpoint in [`Fleet`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointIndex {
    /// Index of an engine.
    Engine(usize),
    /// Index of a plain server.
    Server(usize),
}

fn spec(i: usize) -> EngineSpec {
    let (slots, prefill_rate, token_secs) = GENERATIONS[i % GENERATIONS.len()];
    EngineSpec {
        slots,
        prefill_rate,
        token_secs,
        cache_blocks: CACHE_BLOCKS,
    }
}

impl Fleet {
    /// Creates the endpoints of a deployment.
    #[must_use]
    pub fn new(deployment: Deployment) -> Self {
        let count = match deployment {
            Deployment::Fjallkarta => 55,
            Deployment::Authority => 50,
        };
        let engines: Vec<Engine> = (0..count)
            .map(|i| Engine {
                name: format!("engine-{i}"),
                model: EngineModel::new(spec(i)),
                alive: true,
                jobs: BTreeMap::new(),
                last_reported: 0,
                scheduled: None,
            })
            .collect();
        let servers: Vec<Server> = (0..SERVERS)
            .map(|i| Server {
                name: format!("server-{i}"),
                running: 0,
            })
            .collect();
        let engine_entries = engines
            .iter()
            .enumerate()
            .map(|(i, e)| (e.name.clone(), EndpointIndex::Engine(i)));
        let server_entries = servers
            .iter()
            .enumerate()
            .map(|(i, s)| (s.name.clone(), EndpointIndex::Server(i)));
        let by_name = engine_entries.chain(server_entries).collect();
        Self {
            engines,
            servers,
            by_name,
        }
    }

    /// Finds an endpoint by name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<EndpointIndex> {
        self.by_name.get(name).copied()
    }

    /// Returns the length of the longest prefix of `blocks` that any live engine has cached, in blocks.
    #[must_use]
    pub fn best_match(&self, blocks: &[u64]) -> usize {
        let live_engines = self.engines.iter().filter(|e| e.alive);
        live_engines
            .map(|e| e.model.matched(blocks))
            .max()
            .unwrap_or(0)
    }
}

/// Estimates how many requests per second a deployment's engines can process.
#[must_use]
pub fn capacity(deployment: Deployment) -> f64 {
    let fleet = Fleet::new(deployment);
    let total: f64 = (0..fleet.engines.len())
        .map(|i| 1.0 / mean_request_secs(deployment, spec(i)))
        .sum();
    let kinds = deployment.kinds();
    let models: f64 = kinds.iter().filter(|k| !k.plain).map(|k| k.weight).sum();
    total / models
}

/// Returns the mean time for which a model request occupies an engine in a full batch, in seconds.
fn mean_request_secs(deployment: Deployment, spec: EngineSpec) -> f64 {
    let models = || deployment.kinds().iter().filter(|k| !k.plain);
    let weight: f64 = models().map(|k| k.weight).sum();
    let work = |k: &crate::workload::RequestKind| {
        let shared = mean(k.shared, false) * (1.0 - EXPECTED_CACHED);
        let prefill = (shared + mean(k.own, true)) / spec.prefill_rate;
        let decode = mean(k.output, true) * spec.token_secs * 1.5 / spec.slots as f64;
        k.weight * (prefill + decode)
    };
    models().map(work).sum::<f64>() / weight
}

/// Returns the mean of a length with a uniform or log-uniform distribution.
fn mean((min, max): (u32, u32), log_uniform: bool) -> f64 {
    let (min, max) = (f64::from(min), f64::from(max));
    if log_uniform && max > min {
        (max - min) / (max / min).ln()
    } else {
        f64::midpoint(min, max)
    }
}

/// Returns the resources of a deployment.
#[must_use]
pub fn catalog(deployment: Deployment) -> Catalog {
    let kinds = deployment.kinds();
    let mut resources: Vec<Resource> = ACCOUNTS
        .iter()
        .map(|name| {
            let (name, max_held) = ((*name).to_owned(), 100_000);
            Resource::Account(Account {
                name,
                max_held,
                ..Account::default()
            })
        })
        .collect();
    for kind in kinds {
        let (target_millis, wait_millis) = tier_times(kind.tier);
        let tier = Tier {
            name: kind.tier.to_owned(),
            rank: kind.rank,
            wait_millis,
            target_millis,
        };
        resources.push(Resource::Tier(tier));
        let protocol = if kind.plain {
            ServiceKind::Plain
        } else {
            ServiceKind::Model
        };
        resources.push(Resource::Service(Service {
            name: kind.service.to_owned(),
            protocol,
            matches: format!("/{}", kind.service),
            tier: kind.tier.to_owned(),
            repeatable: kind.repeatable,
            ..Service::default()
        }));
    }
    resources.extend(endpoints(deployment));
    Catalog::new(1).with_resources(resources)
}

fn endpoints(deployment: Deployment) -> Vec<Resource> {
    let services = |plain: bool| {
        let kinds = deployment.kinds().iter().filter(|k| k.plain == plain);
        kinds.map(|k| k.service.to_owned()).collect::<Vec<_>>()
    };
    let fleet = Fleet::new(deployment);
    let engines = fleet.engines.iter().enumerate().map(|(i, e)| Endpoint {
        name: e.name.clone(),
        services: services(false),
        slots: spec(i).slots as u32,
        prefill_rate: spec(i).prefill_rate,
        token_millis: spec(i).token_secs * 1000.0,
        ..Endpoint::default()
    });
    let servers = fleet.servers.iter().map(|s| Endpoint {
        name: s.name.clone(),
        backend: EndpointKind::Plain,
        services: services(true),
        slots: SERVER_SLOTS,
        ..Endpoint::default()
    });
    engines.chain(servers).map(Resource::Endpoint).collect()
}
