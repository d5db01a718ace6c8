//! How the figures of a pool's servers change: how often a server turns slow for a moment, for how
//! long, and by how much.

/// Figure over the server's own speed from which the moment counts as a slow one.
const SLOW_FROM: f64 = 1.25;
/// Weight that earlier samples keep at each new one: some hundreds of pairs count.
const KEEP: f64 = 0.998;
/// Longest time between two figures that is learned from, in seconds: more may have changed between.
const MOST_APART: f64 = 0.5;
/// Weight of a sample in how slow slow moments are.
const LEARN: f64 = 0.02;

/// How often one thing happened, over a time.
#[derive(Debug, Clone, Copy)]
struct Rate {
    times: f64,
    secs: f64,
}

impl Rate {
    fn learn(&mut self, happened: bool, secs: f64) {
        self.times = KEEP * self.times + f64::from(u8::from(happened));
        self.secs = KEEP * self.secs + secs;
    }

    fn per_sec(self) -> f64 {
        self.times / self.secs
    }
}

/// How figures change, as learned from pairs of one server's that follow each other closely.
#[derive(Debug, Clone, Copy)]
pub struct SlowPhases {
    turns_slow: Rate,
    turns_back: Rate,
    ratio: f64,
}

impl Default for SlowPhases {
    /// Assumes that slow moments are rare and pass within a second, until figures tell.
    fn default() -> Self {
        Self {
            turns_slow: Rate {
                times: 0.02,
                secs: 1.0,
            },
            turns_back: Rate {
                times: 1.0,
                secs: 1.0,
            },
            ratio: 1.0,
        }
    }
}

impl SlowPhases {
    /// Learns from two figures over the server's own speed that are `apart` seconds apart.
    pub fn learn(&mut self, before: f64, after: f64, apart: f64) {
        if after >= SLOW_FROM {
            self.ratio += LEARN * (after - self.ratio);
        }
        if apart > MOST_APART {
            return;
        }
        if before < SLOW_FROM {
            self.turns_slow.learn(after >= SLOW_FROM, apart);
        } else {
            self.turns_back.learn(after < SLOW_FROM, apart);
        }
    }

    /// Gives the rate at which a figure loses its meaning, a second.
    #[must_use]
    pub fn decay_rate(&self) -> f64 {
        self.turns_slow.per_sec() + self.turns_back.per_sec()
    }

    /// Gives how many times as long as usual work takes in a slow moment.
    #[must_use]
    pub fn slow_factor(&self) -> f64 {
        self.ratio.max(1.0)
    }

    /// Gives the part of the time that is slow.
    #[must_use]
    pub fn slow_fraction(&self) -> f64 {
        self.turns_slow.per_sec() / self.decay_rate()
    }

    /// Gives how many times its own least time a server takes in the mean.
    #[must_use]
    pub fn mean_factor(&self) -> f64 {
        1.0 + self.slow_fraction() * (self.slow_factor() - 1.0)
    }

    /// Gives the chance that a slow moment falls into a time of `secs` that begins in one with the
    /// chance `begins`.
    #[must_use]
    pub fn slow_probability_within(&self, begins: f64, secs: f64) -> f64 {
        let none = (1.0 - begins) * (-self.turns_slow.per_sec() * secs).exp();
        1.0 - none
    }

    /// Gives the chance that a moment is a slow one `age` seconds after a figure over the server's own
    /// speed.
    #[must_use]
    pub fn slow_probability_after(&self, figure: f64, age: f64) -> f64 {
        let slow = f64::from(u8::from(figure >= SLOW_FROM));
        let share = self.slow_fraction();
        share + (slow - share) * (-self.decay_rate() * age).exp()
    }
}
