//! The pace that one server told: the newest figure, its usual one, and whether it is to be believed.

use std::time::Duration;

use super::pool_latency::PoolLatency;
use crate::load::Pace;
use crate::time::Time;

/// Time over which the least figure counts as the server's own speed: many moments of others' work
/// pass in it, and a server that turned slow for good is known as such after two of them.
const OWN_WINDOW: Duration = Duration::from_secs(5);
/// Weight of a sample in how far the figures are off.
const OFF_WEIGHT: f64 = 0.15;
/// Answers before figures can be found to be off, so that a few odd ones condemn no server.
const OFF_SAMPLES: u32 = 8;
/// Most that one sample may be off, as a natural logarithm: one answer that was stuck says little.
const MOST_OFF: f64 = 2.0;
/// Mean natural logarithm from which figures are not believed: beyond a factor of 2.7 (e) the server's
/// own answers predict better than its word.
const UNTRUE: f64 = 1.0;

/// What one server told of its pace.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReportedPace {
    newest: Option<(f64, Time)>,
    /// Least figures of this window and the last one.
    least: (f64, f64),
    window: Time,
    /// Mean natural logarithm of the observed over the reckoned times.
    off: f64,
    samples: u32,
}

impl ReportedPace {
    /// Takes a figure that was read at a time; one that is older than the newest is left out.
    ///
    /// Gives the figure and the time before it; `None` also where this one is left out.
    pub fn update(&mut self, pace: Pace, read: Time) -> Option<(f64, Time)> {
        let before = self.newest;
        if before.is_some_and(|(_, at)| at >= read) {
            return None;
        }
        let figure = pace.factor();
        self.newest = Some((figure, read));
        if before.is_none() {
            self.least = (figure, figure);
            self.window = read;
        }
        if self.window + OWN_WINDOW <= read {
            self.least = (figure, self.least.0);
            self.window = read;
        }
        self.least.0 = self.least.0.min(figure);
        before
    }

    /// Gives the server's own speed: its least figure lately; `None` before any was told.
    #[must_use]
    pub fn baseline(&self) -> Option<f64> {
        self.newest.map(|_| self.least.0.min(self.least.1))
    }

    /// Gives the newest figure and when it was read.
    #[must_use]
    pub fn latest(&self) -> Option<(f64, Time)> {
        self.newest
    }

    /// Gives the mean pace over a time of `secs` from now on; `None` before any figure was told.
    ///
    /// The newest figure fades towards the usual one at the rate at which figures change in the pool.
    #[must_use]
    pub fn mean_over(&self, now: Time, secs: f64, pool: &PoolLatency) -> Option<f64> {
        let (figure, at) = self.newest?;
        let usual = self.baseline()? * pool.slow_phases.mean_factor();
        let age = now.saturating_sub(at).as_secs_f64();
        let rate = pool.slow_phases.decay_rate();
        let faded = (figure - usual) * (-rate * age).exp();
        let span = (rate * secs).max(f64::MIN_POSITIVE);
        Some(usual + faded * (1.0 - (-span).exp()) / span)
    }

    /// Gives the chance that this is a slow moment of the server.
    #[must_use]
    pub fn slow_probability(&self, now: Time, pool: &PoolLatency) -> f64 {
        let Some(((figure, at), own)) = self.newest.zip(self.baseline()) else {
            return pool.slow_phases.slow_fraction();
        };
        let age = now.saturating_sub(at).as_secs_f64();
        pool.slow_phases.slow_probability_after(figure / own, age)
    }

    /// Learns how far the figures are off from a time that was reckoned by them.
    pub fn learn_error(&mut self, reckoned: f64, observed: f64) {
        let off = (observed / reckoned.max(f64::MIN_POSITIVE)).ln();
        self.samples = self.samples.saturating_add(1);
        self.off += OFF_WEIGHT * (off.clamp(-MOST_OFF, MOST_OFF) - self.off);
    }

    /// Tells whether the server takes as long as it says.
    ///
    /// One that does not is reckoned by what its own answers took, like one that tells nothing.
    #[must_use]
    pub fn is_trusted(&self) -> bool {
        self.samples < OFF_SAMPLES || self.off.abs() < UNTRUE
    }
}
