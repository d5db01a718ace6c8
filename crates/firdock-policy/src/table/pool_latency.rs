//! Latency model shared by all servers of a pool that report their pace: times at the usual pace,
//! and how the pace varies.

use std::collections::HashMap;
use std::time::Duration;

use firdock_core::PoolId;

use super::linear_fit::LinearFit;
use super::slow_phases::SlowPhases;
use crate::load::Pace;
use crate::time::Time;

/// Assumed seconds to the first token of an engine at the usual pace without a prompt, before any
/// was observed.
const DEFAULT_FIRST_TOKEN_SECS: f64 = 0.045;
/// Prompt tokens over which the assumed time per token extends.
const DEFAULT_SPAN: f64 = 5_000.0;
/// Assumed prompt tokens per second before any were observed.
const DEFAULT_PREFILL_RATE: f64 = 40_000.0;
/// Weight that earlier samples of the fit keep at each new one. All engines contribute, so the fit
/// can have a long memory, in which an engine with a queue of its own has little effect.
const FIT_KEEP: f64 = 0.997;
/// Number of samples after which the fit is accurate enough to judge a server's reports.
const MIN_FIT_SAMPLES: u32 = 100;
/// Assumed seconds per token at the usual pace, before any was observed.
const DEFAULT_TOKEN_SECS: f64 = 0.008;
/// Assumed seconds of a plain call at the usual pace, before any was observed.
const DEFAULT_PLAIN_SECS: f64 = 0.01;
/// Weight of a sample in the times of tokens and plain calls.
const LEARN_WEIGHT: f64 = 0.01;
/// Maximum multiple of the learned time that such a sample may count as.
const MAX_SAMPLE_FACTOR: f64 = 4.0;
/// Fraction by which the slowest pace decays with each report: a pool's slow servers are only some
/// of all, and report again within some hundreds of reports.
const SLOWEST_DECAY: f64 = 0.002;

/// Latency models by pool; the empty name stands for endpoints without a pool.
#[derive(Debug, Default)]
pub struct PoolLatencies {
    pools: HashMap<PoolId, PoolLatency>,
}

impl PoolLatencies {
    /// Returns the model of a pool; `None` if none of its servers has reported a pace.
    #[must_use]
    pub fn get(&self, pool: &str) -> Option<&PoolLatency> {
        self.pools.get(pool)
    }

    /// Returns the model of a pool to update, if any of its servers has reported a pace.
    pub fn get_mut(&mut self, pool: &str) -> Option<&mut PoolLatency> {
        self.pools.get_mut(pool)
    }

    /// Returns the model of a pool whose server reported a pace, creating it if needed.
    pub fn get_or_insert(&mut self, pool: &PoolId) -> &mut PoolLatency {
        self.pools.entry(pool.clone()).or_default()
    }
}

/// Latency model of one pool.
#[derive(Debug)]
pub struct PoolLatency {
    /// Variation of the pace.
    pub slow_phases: SlowPhases,
    first_token_fit: LinearFit,
    fit_samples: u32,
    token_secs: f64,
    token_samples: u32,
    plain_secs: f64,
    plain_samples: u32,
    slowest: f64,
}

impl Default for PoolLatency {
    fn default() -> Self {
        let first_token_fit = LinearFit::new(
            DEFAULT_FIRST_TOKEN_SECS,
            DEFAULT_SPAN,
            DEFAULT_SPAN / DEFAULT_PREFILL_RATE,
        );
        Self {
            slow_phases: SlowPhases::default(),
            first_token_fit: first_token_fit.with_keep(FIT_KEEP),
            fit_samples: 0,
            token_secs: DEFAULT_TOKEN_SECS,
            token_samples: 0,
            plain_secs: DEFAULT_PLAIN_SECS,
            plain_samples: 0,
            slowest: 0.0,
        }
    }
}

/// Moves a mean towards a sample; the first samples are weighted evenly.
fn learn(mean: &mut f64, samples: &mut u32, sample: f64) {
    let sample = sample.min(*mean * MAX_SAMPLE_FACTOR);
    *samples = samples.saturating_add(1);
    *mean += LEARN_WEIGHT.max(1.0 / f64::from(*samples)) * (sample - *mean);
}

impl PoolLatency {
    /// Learns from a reported pace of a server with the given baseline, and from the report before
    /// it.
    pub fn learn_pace(
        &mut self,
        pace: Pace,
        read: Time,
        baseline: f64,
        before: Option<(f64, Time)>,
    ) {
        self.slowest += (SLOWEST_DECAY * (baseline - self.slowest)).max(baseline - self.slowest);
        if let Some((previous, at)) = before {
            let apart = read.saturating_sub(at).as_secs_f64();
            self.slow_phases
                .learn(previous / baseline, pace.factor() / baseline, apart);
        }
    }

    /// Returns the pace of the slow servers, which is assumed for a server that has not reported
    /// any.
    #[must_use]
    pub fn slowest_pace(&self) -> f64 {
        self.slowest * self.slow_phases.mean_factor()
    }

    /// Returns the seconds to the first token after `work` prompt tokens, at a pace.
    #[must_use]
    pub fn first_token_secs(&self, work: f64, pace: f64) -> f64 {
        self.first_token_fit.at(work * pace)
    }

    /// Learns from a first token; `pace` is the pace reported with it, so that a slow phase or a
    /// slow server is not mistaken for the cost of a long prompt.
    pub fn learn_first(&mut self, work: f64, pace: f64, observed: Duration) {
        self.fit_samples = self.fit_samples.saturating_add(1);
        let secs = observed.as_secs_f64();
        self.first_token_fit
            .learn_weighted((pace * pace).max(1.0).recip(), work * pace, secs);
    }

    /// Returns whether enough was learned to judge a server's reports.
    #[must_use]
    pub fn can_judge(&self) -> bool {
        self.fit_samples >= MIN_FIT_SAMPLES
    }

    /// Returns the seconds per token at the usual pace.
    #[must_use]
    pub fn token_secs(&self) -> f64 {
        self.token_secs
    }

    /// Learns from the time of a token, at the pace that the server had at the time.
    pub fn learn_token(&mut self, secs: f64, pace: f64) {
        learn(&mut self.token_secs, &mut self.token_samples, secs / pace);
    }

    /// Returns the seconds of a plain call at the usual pace.
    #[must_use]
    pub fn plain_secs(&self) -> f64 {
        self.plain_secs
    }

    /// Learns from the time of a plain call, at the pace reported with it.
    pub fn learn_plain(&mut self, secs: f64, pace: f64) {
        learn(&mut self.plain_secs, &mut self.plain_samples, secs / pace);
    }
}
