//! Drawn roll-outs: the load, the endpoints, and what is wrong with the new version.

use std::time::Duration;

use rand::Rng as _;
use rand::rngs::SmallRng;

/// What is wrong with a new version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Badness {
    /// Nothing.
    Good,
    /// A part of its answers fails from the beginning.
    Fails,
    /// A part of its answers fails from some time on.
    Later,
    /// A part of its answers to one service's requests fails.
    OneService,
    /// A part of its answers fails while the site is under load, which it is by turns.
    UnderLoad,
    /// A part of its answers takes several times as long.
    Slow,
}

impl Badness {
    /// All of them.
    pub const ALL: [Self; 6] = [
        Self::Good,
        Self::Fails,
        Self::Later,
        Self::OneService,
        Self::UnderLoad,
        Self::Slow,
    ];

    /// Gives the name.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Fails => "fails",
            Self::Later => "fails-later",
            Self::OneService => "one-service",
            Self::UnderLoad => "under-load",
            Self::Slow => "slow",
        }
    }
}

/// One drawn roll-out.
#[derive(Debug, Clone)]
pub struct Case {
    /// What is wrong with the new version.
    pub badness: Badness,
    /// Requests a second.
    pub rate: f64,
    /// Time of the order.
    pub time: Duration,
    /// Endpoints of each version.
    pub endpoints: usize,
    /// Parts of the requests that services have.
    pub services: Vec<f64>,
    /// Part of its answers that a bad version spoils.
    pub spoiled: f64,
    /// How many times as long a slow answer takes.
    pub slower: f64,
    /// Part of the order's time after which a version that turns bad is bad.
    pub from: f64,
    /// Part of the endpoints of either version that are grey for a third of the time: they fail two of
    /// five answers by a fault of their own.
    pub grey: f64,
}

impl Case {
    /// Draws a roll-out of a pool with `rate` requests a second and so many endpoints of each version.
    ///
    /// Half of the drawn ones have grey endpoints: 15 in 100, as the users' sites have them.
    pub fn draw(badness: Badness, rate: f64, endpoints: usize, rng: &mut SmallRng) -> Self {
        Self {
            badness,
            rate,
            time: Duration::from_secs_f64(rng.random_range(10.0..20.0)),
            endpoints,
            services: vec![0.2, 0.48, 0.32],
            spoiled: rng.random_range(0.2..0.8),
            slower: rng.random_range(3.0..8.0),
            from: rng.random_range(0.1..0.7),
            grey: if rng.random_bool(0.5) { 0.15 } else { 0.0 },
        }
    }
}
