//! What all servers of a pool that tell their pace have in common: times at the usual pace, and how
//! their figures change.

use std::collections::HashMap;
use std::time::Duration;

use firdock_core::PoolId;

use super::linear_fit::LinearFit;
use super::slow_phases::SlowPhases;
use crate::load::Pace;
use crate::time::Time;

/// Seconds to the first token of an engine at the usual pace without a prompt, before any was seen.
const FIRST_SECS: f64 = 0.045;
/// Prompt tokens over which the assumed time for each token is taken.
const FIRST_SPAN: f64 = 5_000.0;
/// Prompt tokens a second that are assumed before any was seen.
const FIRST_RATE: f64 = 40_000.0;
/// Weight that samples of the line keep at each new one: all engines teach it, so that it may have
/// a long memory, in which an engine with a queue of its own counts little.
const LINE_KEEP: f64 = 0.997;
/// Samples after which the line is good enough to judge a server's figures by.
const LINE_SAMPLES: u32 = 100;
/// Seconds for a token at the usual pace, before any was seen.
const TOKEN_SECS: f64 = 0.008;
/// Seconds of a plain call at the usual pace, before any was seen.
const PLAIN_SECS: f64 = 0.01;
/// Weight of a sample in the times for a token and for a plain call.
const LEARN: f64 = 0.01;
/// Most that a sample of those may be above what was learned, as a multiple.
const MOST_ABOVE: f64 = 4.0;
/// Part by which the slowest pace is forgotten at each figure: the slow servers of a pool are a part
/// of all, and are seen again within some hundreds of figures.
const FORGET_SLOWEST: f64 = 0.002;

/// Pools by name; empty for endpoints without one.
#[derive(Debug, Default)]
pub struct PoolLatencies {
    pools: HashMap<PoolId, PoolLatency>,
}

impl PoolLatencies {
    /// Gives what is known of a pool; `None` where none of its servers told a pace.
    #[must_use]
    pub fn get(&self, pool: &str) -> Option<&PoolLatency> {
        self.pools.get(pool)
    }

    /// Gives a pool to learn of, if any of its servers told a pace.
    pub fn get_mut(&mut self, pool: &str) -> Option<&mut PoolLatency> {
        self.pools.get_mut(pool)
    }

    /// Gives a pool that a server told a pace of.
    pub fn get_or_insert(&mut self, pool: &PoolId) -> &mut PoolLatency {
        self.pools.entry(pool.clone()).or_default()
    }
}

/// One pool whose servers tell their pace.
#[derive(Debug)]
pub struct PoolLatency {
    /// How figures change.
    pub slow_phases: SlowPhases,
    line: LinearFit,
    firsts: u32,
    token_secs: f64,
    streams: u32,
    plain_secs: f64,
    plains: u32,
    slowest: f64,
}

impl Default for PoolLatency {
    fn default() -> Self {
        let line = LinearFit::new(FIRST_SECS, FIRST_SPAN, FIRST_SPAN / FIRST_RATE);
        Self {
            slow_phases: SlowPhases::default(),
            line: line.with_keep(LINE_KEEP),
            firsts: 0,
            token_secs: TOKEN_SECS,
            streams: 0,
            plain_secs: PLAIN_SECS,
            plains: 0,
            slowest: 0.0,
        }
    }
}

/// Moves a mean towards a sample; the first ones count evenly.
fn learn(mean: &mut f64, samples: &mut u32, sample: f64) {
    let sample = sample.min(*mean * MOST_ABOVE);
    *samples = samples.saturating_add(1);
    *mean += LEARN.max(1.0 / f64::from(*samples)) * (sample - *mean);
}

impl PoolLatency {
    /// Takes a figure of a server whose own speed is `own`, and the figure before it.
    pub fn learn_pace(&mut self, pace: Pace, read: Time, own: f64, before: Option<(f64, Time)>) {
        self.slowest += (FORGET_SLOWEST * (own - self.slowest)).max(own - self.slowest);
        if let Some((figure, at)) = before {
            let apart = read.saturating_sub(at).as_secs_f64();
            self.slow_phases
                .learn(figure / own, pace.factor() / own, apart);
        }
    }

    /// Gives the pace of the slow servers, which is assumed of one that told none yet.
    #[must_use]
    pub fn slowest_pace(&self) -> f64 {
        self.slowest * self.slow_phases.mean_factor()
    }

    /// Gives the seconds to a first token that `work` prompt tokens come before, at a pace.
    #[must_use]
    pub fn first_token_secs(&self, work: f64, pace: f64) -> f64 {
        self.line.at(work * pace)
    }

    /// Learns from a first token; the pace is the one that was told with it, so that a slow moment or
    /// a slow server is not learned as a long prompt's time.
    pub fn learn_first(&mut self, work: f64, pace: f64, observed: Duration) {
        self.firsts = self.firsts.saturating_add(1);
        let secs = observed.as_secs_f64();
        self.line
            .learn_weighted((pace * pace).max(1.0).recip(), work * pace, secs);
    }

    /// Tells whether enough was learned to judge a server's figures.
    #[must_use]
    pub fn can_judge(&self) -> bool {
        self.firsts >= LINE_SAMPLES
    }

    /// Gives the seconds of a token at the usual pace.
    #[must_use]
    pub fn token_secs(&self) -> f64 {
        self.token_secs
    }

    /// Learns from the time of a token, at the pace that the server had meanwhile.
    pub fn learn_token(&mut self, secs: f64, pace: f64) {
        learn(&mut self.token_secs, &mut self.streams, secs / pace);
    }

    /// Gives the seconds of a plain call at the usual pace.
    #[must_use]
    pub fn plain_secs(&self) -> f64 {
        self.plain_secs
    }

    /// Learns from the time of a plain call, at the pace that was told with it.
    pub fn learn_plain(&mut self, secs: f64, pace: f64) {
        learn(&mut self.plain_secs, &mut self.plains, secs / pace);
    }
}
