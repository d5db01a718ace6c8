//! The two deployments' work: who asks for what, how long it is, and when.
//!
//! Lengths differ a hundredfold and prompts share long prefixes, as the users say of theirs. A
//! seed fixes everything.

use std::time::Duration;

use firdock_core::prefix::{BLOCK_TOKENS, BYTES_PER_TOKEN, BlockHash, block_hashes};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

/// One of the two users.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Hiking maps: the instant tier counts most.
    Fjallkarta,
    /// Metering: wasted prefill counts most.
    Authority,
}

/// A kind of request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Kind {
    /// Service that it matches.
    pub service: &'static str,
    /// Tier of that service, by name.
    pub tier: &'static str,
    /// Rank of that tier.
    pub rank: u8,
    /// Whether it is a plain call.
    pub plain: bool,
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// Part of all requests.
    pub weight: f64,
    /// Prompt tokens shared with others of a group.
    pub shared: (u32, u32),
    /// Prompt tokens of its own.
    pub own: (u32, u32),
    /// Tokens of the answer.
    pub output: (u32, u32),
    /// Groups that share a prefix.
    pub groups: u32,
}

const fn plain(service: &'static str, weight: f64, repeatable: bool) -> Kind {
    Kind {
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

/// What Fjällkarta's shops ask for.
const FJALLKARTA: [Kind; 5] = [
    plain("tiles", 0.40, true),
    plain("stock", 0.15, false),
    Kind {
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
    Kind {
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
    Kind {
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

/// What the Authority's staff ask for.
const AUTHORITY: [Kind; 4] = [
    plain("lookup", 0.45, false),
    Kind {
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
    Kind {
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
    Kind {
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
    /// Gives the kinds of request.
    #[must_use]
    pub fn kinds(self) -> &'static [Kind] {
        match self {
            Self::Fjallkarta => &FJALLKARTA,
            Self::Authority => &AUTHORITY,
        }
    }

    /// Gives the name.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Fjallkarta => "fjallkarta",
            Self::Authority => "authority",
        }
    }
}

/// A prompt: a prefix that its group shares, and text of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prompt {
    /// Number of the group that shares the prefix.
    pub group: u64,
    /// Tokens of the prefix.
    pub shared: u32,
    /// Number that makes the rest unique.
    pub unique: u64,
    /// Tokens of the rest.
    pub own: u32,
}

impl Prompt {
    /// Counts the tokens.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.shared + self.own
    }

    /// Writes the prompt out.
    #[must_use]
    pub fn text(&self) -> String {
        let shared = filler(self.group, self.shared);
        shared + &filler(self.unique, self.own)
    }

    /// Hashes the prompt's blocks as firdock and engines do.
    #[must_use]
    pub fn blocks(&self) -> Vec<BlockHash> {
        block_hashes(self.text().as_bytes())
    }
}

/// Makes text of a number of tokens that differs for each number.
fn filler(number: u64, tokens: u32) -> String {
    let bytes = tokens as usize * BYTES_PER_TOKEN;
    let word = format!("{number:016x} ");
    word.chars().cycle().take(bytes).collect()
}

/// A request that arrives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// When.
    pub at: Duration,
    /// Kind.
    pub kind: Kind,
    /// Account, by number; the first is the largest.
    pub account: usize,
    /// Prompt.
    pub prompt: Prompt,
    /// Tokens of the answer.
    pub output: u32,
    /// Entry instance that the balancer picks, by number.
    pub instance: usize,
}

/// Parts of the requests that each account sends: few are large.
pub const ACCOUNT_PARTS: [f64; 5] = [0.45, 0.30, 0.12, 0.08, 0.05];

/// Makes arrivals at a steady mean rate.
#[derive(Debug)]
pub struct Workload {
    rng: StdRng,
    deployment: Deployment,
    rate: f64,
    instances: usize,
    now: f64,
    made: u64,
    account_parts: [f64; 5],
}

impl Workload {
    /// Makes a workload of `rate` requests a second.
    #[must_use]
    pub fn new(deployment: Deployment, seed: u64, rate: f64, instances: usize) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            deployment,
            rate,
            instances,
            now: 0.0,
            made: seed << 32,
            account_parts: ACCOUNT_PARTS,
        }
    }

    /// Sets the parts of the requests that each account sends.
    #[must_use]
    pub fn with_account_parts(mut self, parts: [f64; 5]) -> Self {
        self.account_parts = parts;
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

    /// Draws a length whose logarithm is even, so that short ones are common.
    fn length(&mut self, (least, most): (u32, u32)) -> u32 {
        if most <= least {
            return least;
        }
        let (low, high) = (f64::from(least.max(1)).ln(), f64::from(most).ln());
        self.rng.random_range(low..high).exp() as u32
    }

    fn prompt(&mut self, kind: &Kind) -> Prompt {
        if kind.plain {
            return Prompt {
                group: 0,
                shared: 0,
                unique: self.made,
                own: 0,
            };
        }
        // Some groups are asked about far more often than others.
        let popular: f64 = self.rng.random_range(0.0..1.0);
        let group = (popular * popular * f64::from(kind.groups)) as u64;
        let (least, most) = kind.shared;
        let spread = u64::from(most - least);
        let shared = least + (group.wrapping_mul(0x9e37_79b9) % (spread + 1)) as u32;
        // Prefixes end with a block, as templates that are reused do.
        let shared = (shared / BLOCK_TOKENS).max(1) * BLOCK_TOKENS;
        let own = self.length(kind.own);
        let name = kind.service.len() as u64;
        Prompt {
            group: (name << 48) | group,
            shared,
            unique: self.made,
            own,
        }
    }
}

impl Iterator for Workload {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        self.made += 1;
        let pause = -self.rng.random_range(f64::EPSILON..1.0).ln() / self.rate;
        self.now += pause;
        let kinds = self.deployment.kinds();
        let kind = kinds[self.pick(kinds.iter().map(|k| k.weight))];
        let parts = self.account_parts;
        let account = self.pick(parts.into_iter());
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
