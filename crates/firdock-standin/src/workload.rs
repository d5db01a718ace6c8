//! Synthetic workloads of the two deployments: accounts, kinds, lengths and arrival times of requests.
//!
//! Lengths differ by a factor of a hundred and prompts share long prefixes, as the users report of
//! their own. The same seed gives the same workload.

use std::time::Duration;

use firdock_core::prefix::{BLOCK_TOKENS, BYTES_PER_TOKEN, BlockHash, block_hashes};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

/// One of the two deployments that firdock is measured on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Hiking maps: the instant tier matters most.
    Fjallkarta,
    /// Metering: wasted prefill matters most.
    Authority,
}

/// A kind of request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestKind {
    /// Service that the request matches.
    pub service: &'static str,
    /// Name of that service's tier.
    pub tier: &'static str,
    /// Rank of the tier.
    pub rank: u8,
    /// Whether it is a plain call rather than a model call.
    pub plain: bool,
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// Fraction of all requests.
    pub weight: f64,
    /// Range of the length of the prompt prefix that a group shares, in tokens.
    pub shared: (u32, u32),
    /// Range of the length of the rest of the prompt, in tokens.
    pub own: (u32, u32),
    /// Range of the length of the answer, in tokens.
    pub output: (u32, u32),
    /// Number of groups that share a prefix each.
    pub groups: u32,
}

const fn plain(service: &'static str, weight: f64, repeatable: bool) -> RequestKind {
    RequestKind {
        service,
        tier: "instant",
        rank: 0,
        plain: true,
        repeatable,
        weight,
        shared: (0, 0),
        own: (0, 0),
        output: (0, 0),
        groups: 1,
    }
}

/// Requests of Fjällkarta's shops.
const FJALLKARTA: [RequestKind; 5] = [
    plain("tiles", 0.40, true),
    plain("stock", 0.15, false),
    RequestKind {
        service: "guide",
        tier: "guide",
        rank: 1,
        plain: false,
        repeatable: true,
        weight: 0.25,
        shared: (512, 1_536),
        own: (32, 256),
        output: (24, 160),
        groups: 40,
    },
    RequestKind {
        service: "tag",
        tier: "tag",
        rank: 2,
        plain: false,
        repeatable: true,
        weight: 0.12,
        shared: (256, 512),
        own: (64, 512),
        output: (8, 32),
        groups: 20,
    },
    RequestKind {
        service: "draft",
        tier: "draft",
        rank: 3,
        plain: false,
        repeatable: true,
        weight: 0.08,
        shared: (1_024, 4_096),
        own: (256, 8_192),
        output: (200, 800),
        groups: 40,
    },
];

/// Requests of the Authority's staff.
const AUTHORITY: [RequestKind; 4] = [
    plain("lookup", 0.45, false),
    RequestKind {
        service: "diagnosis",
        tier: "diagnosis",
        rank: 1,
        plain: false,
        repeatable: true,
        weight: 0.10,
        shared: (2_048, 6_144),
        own: (512, 10_240),
        output: (100, 400),
        groups: 60,
    },
    RequestKind {
        service: "billing",
        tier: "billing",
        rank: 2,
        plain: false,
        repeatable: true,
        weight: 0.30,
        shared: (512, 1_024),
        own: (32, 256),
        output: (32, 160),
        groups: 30,
    },
    RequestKind {
        service: "classify",
        tier: "classify",
        rank: 3,
        plain: false,
        repeatable: true,
        weight: 0.15,
        shared: (256, 768),
        own: (64, 1_024),
        output: (4, 16),
        groups: 10,
    },
];

impl Deployment {
    /// Returns the kinds of request.
    #[must_use]
    pub fn kinds(self) -> &'static [RequestKind] {
        match self {
            Self::Fjallkarta => &FJALLKARTA,
            Self::Authority => &AUTHORITY,
        }
    }

    /// Returns the name.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Fjallkarta => "fjallkarta",
            Self::Authority => "authority",
        }
    }
}

/// A prompt: a prefix shared within its group, followed by unique text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prompt {
    /// Number of the group that shares the prefix.
    pub group: u64,
    /// Length of the prefix, in tokens.
    pub shared: u32,
    /// Number from which the unique text is made.
    pub unique: u64,
    /// Length of the unique text, in tokens.
    pub own: u32,
}

impl Prompt {
    /// Returns the length, in tokens.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.shared + self.own
    }

    /// Returns the text of the prompt.
    #[must_use]
    pub fn text(&self) -> String {
        let shared = filler(self.group, self.shared);
        shared + &filler(self.unique, self.own)
    }

    /// Returns the block hashes of the prompt, computed as in firdock and in the engines.
    #[must_use]
    pub fn blocks(&self) -> Vec<BlockHash> {
        block_hashes(self.text().as_bytes())
    }
}

/// Returns text of `tokens` tokens that is different for each `number`.
fn filler(number: u64, tokens: u32) -> String {
    let bytes = tokens as usize * BYTES_PER_TOKEN;
    let pattern = format!("{number:016x} ");
    pattern.chars().cycle().take(bytes).collect()
}

/// Arrival of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// Time since the start of the workload.
    pub at: Duration,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Index of the client account; index 0 sends most.
    pub account: usize,
    /// Prompt.
    pub prompt: Prompt,
    /// Length of the answer, in tokens.
    pub output: u32,
    /// Index of the entry instance that the load balancer picks.
    pub instance: usize,
}

/// Fraction of the requests that each client account sends: few accounts are large.
pub const ACCOUNT_WEIGHTS: [f64; 5] = [0.45, 0.30, 0.12, 0.08, 0.05];

/// Generator of arrivals as a Poisson process.
#[derive(Debug)]
pub struct Workload {
    rng: StdRng,
    deployment: Deployment,
    rate: f64,
    instances: usize,
    now: f64,
    unique_counter: u64,
    account_weights: [f64; 5],
}

impl Workload {
    /// Creates a workload with a mean of `rate` requests per second.
    #[must_use]
    pub fn new(deployment: Deployment, seed: u64, rate: f64, instances: usize) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            deployment,
            rate,
            instances,
            now: 0.0,
            unique_counter: seed << 32,
            account_weights: ACCOUNT_WEIGHTS,
        }
    }

    /// Sets the fraction of the requests that each client account sends.
    #[must_use]
    pub fn with_account_weights(mut self, weights: [f64; 5]) -> Self {
        self.account_weights = weights;
        self
    }

    fn pick(&mut self, weights: impl Iterator<Item = f64> + Clone) -> usize {
        let total: f64 = weights.clone().sum();
        let mut left = self.rng.random_range(0.0..total);
        for (i, weight) in weights.enumerate() {
            left -= weight;
            if left < 0.0 {
                return i;
            }
        }
        0
    }

    /// Draws a length from a log-uniform distribution, so that short lengths are common.
    fn length(&mut self, (min, max): (u32, u32)) -> u32 {
        if max <= min {
            return min;
        }
        let (low, high) = (f64::from(min.max(1)).ln(), f64::from(max).ln());
        self.rng.random_range(low..high).exp() as u32
    }

    fn prompt(&mut self, kind: &RequestKind) -> Prompt {
        if kind.plain {
            return Prompt {
                group: 0,
                shared: 0,
                unique: self.unique_counter,
                own: 0,
            };
        }
        // The square makes requests for some groups far more frequent than for others.
        let popularity: f64 = self.rng.random_range(0.0..1.0);
        let group = (popularity * popularity * f64::from(kind.groups)) as u64;
        let (min, max) = kind.shared;
        let range = u64::from(max - min);
        let shared = min + (group.wrapping_mul(0x9e37_79b9) % (range + 1)) as u32;
        // Prefixes are whole blocks, as reused templates are.
        let shared = (shared / BLOCK_TOKENS).max(1) * BLOCK_TOKENS;
        let own = self.length(kind.own);
        let name = kind.service.len() as u64;
        Prompt {
            group: (name << 48) | group,
            shared,
            unique: self.unique_counter,
            own,
        }
    }
}

impl Iterator for Workload {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        self.unique_counter += 1;
        let interval = -self.rng.random_range(f64::EPSILON..1.0).ln() / self.rate;
        self.now += interval;
        let kinds = self.deployment.kinds();
        let kind = kinds[self.pick(kinds.iter().map(|k| k.weight))];
        let account_weights = self.account_weights;
        let account = self.pick(account_weights.into_iter());
        let prompt = self.prompt(&kind);
        let output = self.length(kind.output);
        let instance = self.rng.random_range(0..self.instances);
        let at = Duration::from_secs_f64(self.now);
        Some(Arrival {
            at,
            kind,
            account,
            prompt,
            output,
            instance,
        })
    }
}
