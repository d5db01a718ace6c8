//! Pace that one server reported: its latest and usual values, and whether its reports are trusted.

use std::time::Duration;

use super::pool_latency::PoolLatency;
use crate::load::Pace;
use crate::time::Time;

/// Window over which the minimum counts as the server's baseline: many phases of other work fall
/// into it, and a permanent slowdown is recognised after two windows.
const BASELINE_WINDOW: Duration = Duration::from_secs(5);
/// Weight of a sample in the mean error.
const ERROR_WEIGHT: f64 = 0.15;
/// Minimum number of answers before reports can be distrusted, so that a few outliers have no
/// effect.
const MIN_ERROR_SAMPLES: u32 = 8;
/// Maximum error of one sample, as a natural logarithm: one stuck answer carries little
/// information.
const MAX_SAMPLE_ERROR: f64 = 2.0;
/// Mean error, as a natural logarithm, at which reports are no longer trusted: beyond a factor of
/// 2.7 (e), the server's own answers predict better than its reports.
const MAX_MEAN_ERROR: f64 = 1.0;

/// Pace reports of one server.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReportedPace {
    latest: Option<(f64, Time)>,
    /// Minima of this window and the previous one.
    minima: (f64, f64),
    window: Time,
    /// Mean natural logarithm of observed over predicted times.
    error: f64,
    samples: u32,
}

impl ReportedPace {
    /// Adds a report read at the given time; a report older than the latest is ignored.
    ///
    /// Returns the report before it and its time; `None` also if this one is ignored.
    pub fn update(&mut self, pace: Pace, read: Time) -> Option<(f64, Time)> {
        let before = self.latest;
        if before.is_some_and(|(_, at)| at >= read) {
            return None;
        }
        let value = pace.factor();
        self.latest = Some((value, read));
        if before.is_none() {
            self.minima = (value, value);
            self.window = read;
        }
        if self.window + BASELINE_WINDOW <= read {
            self.minima = (value, self.minima.0);
            self.window = read;
        }
        self.minima.0 = self.minima.0.min(value);
        before
    }

    /// Returns the server's baseline, its lowest recent pace; `None` before any report.
    #[must_use]
    pub fn baseline(&self) -> Option<f64> {
        self.latest.map(|_| self.minima.0.min(self.minima.1))
    }

    /// Returns the latest pace and when it was read.
    #[must_use]
    pub fn latest(&self) -> Option<(f64, Time)> {
        self.latest
    }

    /// Returns the expected mean pace over the next `secs` seconds; `None` before any report.
    ///
    /// The latest pace decays towards the usual one at the rate at which paces change in the pool.
    #[must_use]
    pub fn mean_over(&self, now: Time, secs: f64, pool: &PoolLatency) -> Option<f64> {
        let (value, at) = self.latest?;
        let usual = self.baseline()? * pool.slow_phases.mean_factor();
        let age = now.saturating_sub(at).as_secs_f64();
        let rate = pool.slow_phases.decay_rate();
        let deviation = (value - usual) * (-rate * age).exp();
        let span = (rate * secs).max(f64::MIN_POSITIVE);
        Some(usual + deviation * (1.0 - (-span).exp()) / span)
    }

    /// Returns the probability that the server is in a slow phase now.
    #[must_use]
    pub fn slow_probability(&self, now: Time, pool: &PoolLatency) -> f64 {
        let Some(((value, at), baseline)) = self.latest.zip(self.baseline()) else {
            return pool.slow_phases.slow_fraction();
        };
        let age = now.saturating_sub(at).as_secs_f64();
        pool.slow_phases
            .slow_probability_after(value / baseline, age)
    }

    /// Learns the error of the reports from a time that was predicted with them.
    pub fn learn_error(&mut self, predicted: f64, observed: f64) {
        let error = (observed / predicted.max(f64::MIN_POSITIVE)).ln();
        self.samples = self.samples.saturating_add(1);
        self.error +=
            ERROR_WEIGHT * (error.clamp(-MAX_SAMPLE_ERROR, MAX_SAMPLE_ERROR) - self.error);
    }

    /// Returns whether the server takes as long as it reports.
    ///
    /// One that does not is estimated from its own answers, like a server that reports nothing.
    #[must_use]
    pub fn is_trusted(&self) -> bool {
        self.samples < MIN_ERROR_SAMPLES || self.error.abs() < MAX_MEAN_ERROR
    }
}
