//! Randomly drawn roll-outs: the load, the endpoints and the defect of the new version.

use std::time::Duration;

use rand::Rng as _;
use rand::rngs::SmallRng;

/// Defect of a new version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Badness {
    /// No defect.
    Good,
    /// A fraction of its answers fails from the beginning.
    Fails,
    /// A fraction of its answers fails from some time on.
    Later,
    /// A fraction of its answers to the requests of one service fails.
    OneService,
    /// A fraction of its answers fails while the site is under load, which it is periodically.
    UnderLoad,
    /// A fraction of its answers takes several times as long.
    Slow,
}

impl Badness {
    /// All variants.
    pub const ALL: [Self; 6] = [
        Self::Good,
        Self::Fails,
        Self::Later,
        Self::OneService,
        Self::UnderLoad,
        Self::Slow,
    ];

    /// Returns the name.
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

/// A randomly drawn roll-out.
#[derive(Debug, Clone)]
pub struct Case {
    /// Defect of the new version.
    pub badness: Badness,
    /// Requests per second.
    pub rate: f64,
    /// Time allowed for the roll-out.
    pub time: Duration,
    /// Number of endpoints of each version.
    pub endpoints: usize,
    /// Fraction of the requests of each service.
    pub services: Vec<f64>,
    /// Fraction of a bad version's answers that its defect affects.
    pub spoiled: f64,
    /// Factor by which a slow answer takes longer.
    pub slower: f64,
    /// Fraction of the roll-out's time after which the defect shows, for a version that turns bad.
    pub from: f64,
    /// Probability that an endpoint of either version is grey for a third of the time: it fails two of
    /// five answers by a fault of its own.
    pub grey: f64,
}

impl Case {
    /// Draws a roll-out on a pool with `rate` requests per second and `endpoints` endpoints of each
    /// version.
    ///
    /// Half of the roll-outs have grey endpoints: 15 in 100, as on the users' sites.
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
