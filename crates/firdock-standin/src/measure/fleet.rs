//! The endpoints of a run: unlike engines and plain servers, in virtual time.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use firdock_core::RequestId;
use firdock_core::resource::{
    Account, Catalog, Endpoint, EndpointKind, Resource, Service, ServiceKind, Tier,
};
use firdock_policy::action::Dispatch;

use crate::engine::{EngineModel, EngineSpec};
use crate::workload::Deployment;

/// Engines of three hardware generations: slots, prompt tokens a second, seconds for a token.
const GENERATIONS: [(usize, f64, f64); 3] = [
    (16, 12_000.0, 0.018),
    (12, 6_000.0, 0.028),
    (8, 3_000.0, 0.040),
];
/// Blocks in an engine's prefix cache: some prompts' worth, far from all.
const CACHE_BLOCKS: usize = 1_500;
/// Plain servers.
const SERVERS: usize = 4;
/// Calls that a plain server works on at once.
const SERVER_SLOTS: u32 = 32;
/// Time that a plain call takes.
pub const PLAIN_TIME: Duration = Duration::from_millis(6);
/// Names of the accounts.
pub const ACCOUNTS: [&str; 5] = ["large-a", "large-b", "mid", "small-a", "small-b"];
/// Part of shared prefixes that is expected to be cached, for the estimate of capacity.
const EXPECTED_CACHED: f64 = 0.8;

/// Time to the first token or byte within which an answer is good, and the longest wait.
fn tier_times(tier: &str) -> (u64, u64) {
    match tier {
        "instant" => (250, 2_000),
        "guide" => (1_500, 10_000),
        "billing" => (2_000, 10_000),
        "diagnosis" | "tag" => (3_000, 20_000),
        _ => (8_000, 30_000),
    }
}

/// Gives the target of a tier.
#[must_use]
pub fn target(tier: &str) -> Duration {
    Duration::from_millis(tier_times(tier).0)
}

/// A request that an engine works on.
#[derive(Debug, Clone)]
pub struct Job {
    /// Instance that sent it.
    pub node: usize,
    /// Its dispatch.
    pub dispatch: Dispatch,
    /// Tokens of the whole answer so far.
    pub made: u32,
    /// Prompt tokens that are computed for it.
    pub computed: u32,
    /// Whether the first token of this dispatch came.
    pub begun: bool,
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    /// Name.
    pub name: String,
    /// Model.
    pub model: EngineModel,
    /// Whether it lives.
    pub alive: bool,
    /// Requests that it works on.
    pub jobs: BTreeMap<RequestId, Job>,
    /// Number of the cache change that was last reported.
    pub reported: u64,
    /// When its next step is planned.
    pub planned: Option<Duration>,
}

/// One plain server.
#[derive(Debug)]
pub struct Server {
    /// Name.
    pub name: String,
    /// Calls that it works on.
    pub running: u32,
}

/// All endpoints of a deployment.
#[derive(Debug)]
pub struct Fleet {
    /// Engines.
    pub engines: Vec<Engine>,
    /// Plain servers.
    pub servers: Vec<Server>,
    by_name: HashMap<String, Place>,
}

/// Where an endpoint is in the tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// Engine by number.
    Engine(usize),
    /// Plain server by number.
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
    /// Makes the endpoints of a deployment.
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
                reported: 0,
                planned: None,
            })
            .collect();
        let servers: Vec<Server> = (0..SERVERS)
            .map(|i| Server {
                name: format!("server-{i}"),
                running: 0,
            })
            .collect();
        let of_engines = engines
            .iter()
            .enumerate()
            .map(|(i, e)| (e.name.clone(), Place::Engine(i)));
        let of_servers = servers
            .iter()
            .enumerate()
            .map(|(i, s)| (s.name.clone(), Place::Server(i)));
        let by_name = of_engines.chain(of_servers).collect();
        Self {
            engines,
            servers,
            by_name,
        }
    }

    /// Finds an endpoint.
    #[must_use]
    pub fn place(&self, name: &str) -> Option<Place> {
        self.by_name.get(name).copied()
    }

    /// Gives the longest prefix of `blocks` that any living engine has cached, in blocks.
    #[must_use]
    pub fn best_match(&self, blocks: &[u64]) -> usize {
        let living = self.engines.iter().filter(|e| e.alive);
        living.map(|e| e.model.matched(blocks)).max().unwrap_or(0)
    }
}

/// Estimates the requests a second that a deployment's engines can do.
#[must_use]
pub fn capacity(deployment: Deployment) -> f64 {
    let fleet = Fleet::new(deployment);
    let total: f64 = (0..fleet.engines.len())
        .map(|i| 1.0 / mean_work(deployment, spec(i)))
        .sum();
    let kinds = deployment.kinds();
    let models: f64 = kinds.iter().filter(|k| !k.plain).map(|k| k.weight).sum();
    total / models
}

/// Gives the mean time that a model request occupies an engine in a full batch, in seconds.
fn mean_work(deployment: Deployment, spec: EngineSpec) -> f64 {
    let models = || deployment.kinds().iter().filter(|k| !k.plain);
    let weight: f64 = models().map(|k| k.weight).sum();
    let work = |k: &crate::workload::Kind| {
        let shared = mean(k.shared, false) * (1.0 - EXPECTED_CACHED);
        let prefill = (shared + mean(k.own, true)) / spec.prefill_rate;
        let decode = mean(k.output, true) * spec.token_secs * 1.5 / spec.slots as f64;
        k.weight * (prefill + decode)
    };
    models().map(work).sum::<f64>() / weight
}

/// Gives the mean of a length that is drawn evenly, or evenly in its logarithm.
fn mean((least, most): (u32, u32), by_logarithm: bool) -> f64 {
    let (least, most) = (f64::from(least), f64::from(most));
    if by_logarithm && most > least {
        (most - least) / (most / least).ln()
    } else {
        f64::midpoint(least, most)
    }
}

/// Gives the resources of a deployment.
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
