//! Two-state model of a pool's servers, normal and slow: how often a server turns slow, for how
//! long and by how much.

/// Ratio of pace to baseline from which a server counts as slow.
const SLOW_THRESHOLD: f64 = 1.25;
/// Weight that earlier samples keep at each new one: some hundreds of pairs count.
const KEEP: f64 = 0.998;
/// Longest interval between two reports to learn from, in seconds: over a longer one the state may
/// have changed more than once.
const MAX_INTERVAL: f64 = 0.5;
/// Weight of a sample in the slow factor.
const LEARN_WEIGHT: f64 = 0.02;

/// Rate of an event over time.
#[derive(Debug, Clone, Copy)]
struct Rate {
    events: f64,
    secs: f64,
}

impl Rate {
    fn learn(&mut self, happened: bool, secs: f64) {
        self.events = KEEP * self.events + f64::from(u8::from(happened));
        self.secs = KEEP * self.secs + secs;
    }

    fn per_sec(self) -> f64 {
        self.events / self.secs
    }
}

/// Transition rates and slow factor, learned from pairs of one server's reports in quick
/// succession.
#[derive(Debug, Clone, Copy)]
pub struct SlowPhases {
    onset: Rate,
    recovery: Rate,
    ratio: f64,
}

impl Default for SlowPhases {
    /// Assumes, until reports arrive, that slow phases are rare and pass within a second.
    fn default() -> Self {
        Self {
            onset: Rate {
                events: 0.02,
                secs: 1.0,
            },
            recovery: Rate {
                events: 1.0,
                secs: 1.0,
            },
            ratio: 1.0,
        }
    }
}

impl SlowPhases {
    /// Learns from two ratios of pace to baseline, `apart` seconds apart.
    pub fn learn(&mut self, before: f64, after: f64, apart: f64) {
        if after >= SLOW_THRESHOLD {
            self.ratio += LEARN_WEIGHT * (after - self.ratio);
        }
        if apart > MAX_INTERVAL {
            return;
        }
        if before < SLOW_THRESHOLD {
            self.onset.learn(after >= SLOW_THRESHOLD, apart);
        } else {
            self.recovery.learn(after < SLOW_THRESHOLD, apart);
        }
    }

    /// Returns the rate per second at which a report loses its information on the present state.
    #[must_use]
    pub fn decay_rate(&self) -> f64 {
        self.onset.per_sec() + self.recovery.per_sec()
    }

    /// Returns the factor by which work takes longer in a slow phase.
    #[must_use]
    pub fn slow_factor(&self) -> f64 {
        self.ratio.max(1.0)
    }

    /// Returns the fraction of time spent in slow phases.
    #[must_use]
    pub fn slow_fraction(&self) -> f64 {
        self.onset.per_sec() / self.decay_rate()
    }

    /// Returns the mean ratio of pace to baseline.
    #[must_use]
    pub fn mean_factor(&self) -> f64 {
        1.0 + self.slow_fraction() * (self.slow_factor() - 1.0)
    }

    /// Returns the probability of a slow phase within `secs` seconds, given the probability
    /// `initial` of one at their start.
    #[must_use]
    pub fn slow_probability_within(&self, initial: f64, secs: f64) -> f64 {
        let none = (1.0 - initial) * (-self.onset.per_sec() * secs).exp();
        1.0 - none
    }

    /// Returns the probability that a server is in a slow phase `age` seconds after it reported a
    /// ratio of pace to baseline.
    #[must_use]
    pub fn slow_probability_after(&self, pace_ratio: f64, age: f64) -> f64 {
        let slow = f64::from(u8::from(pace_ratio >= SLOW_THRESHOLD));
        let fraction = self.slow_fraction();
        fraction + (slow - fraction) * (-self.decay_rate() * age).exp()
    }
}
