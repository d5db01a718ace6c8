//! How many requests a version may get before it is known to be good.
//!
//! Until the time of the roll-out is up, a bad version may get a given fraction of all requests to
//! its pool, plus a fixed number. A version may turn out bad late, or only once it gets all
//! traffic. All traffic therefore moves only when what remains of the time fits into the allowance
//! by itself.

use std::time::Duration;

use firdock_core::settings::Rollouts;

/// Largest fraction of the allowance for the observed version; the rest is kept for the final move.
/// Of 200 simulated bad versions of each kind, a fraction of 0.4 detected up to 12 in 100 fewer,
/// and 0.5 in 100 more for two of the ten kinds (`docs/design/rollouts.md`).
const OBSERVED_FRACTION: f64 = 0.6;
/// Fraction of the ratio that is used: instances work with counts that are a few heartbeats old.
const RATIO_FRACTION: f64 = 0.95;
/// Fraction of the slack that is used, for the same reason.
const SLACK_FRACTION: f64 = 0.5;
/// Largest fraction of a pool's requests for an observed version, however few requests there are:
/// an even split gives the most evidence on the difference between two versions.
const MAX_OBSERVED: f64 = 0.5;
/// Smallest fraction of the allowance for the observed version, however little time that leaves for
/// the final move.
const MIN_OBSERVED_FRACTION: f64 = 0.1;
/// Minimum time over which the request rate is computed at the start, in seconds.
const MIN_RATE_SECS: f64 = 1.0;
/// Minimum fraction of the roll-out's time for which a version is observed, also if so few requests
/// arrive that the allowance would cover all of them.
const OBSERVED_TIME_FRACTION: f64 = 0.75;
/// Duration of the final move: a check every 50 ms, and a call to the store, which takes 4 ms and
/// at times many times as long. The observed version leaves that much of the allowance.
const MOVE_TIME: Duration = Duration::from_millis(150);

/// Progress of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Progress {
    /// Longest time that may have passed since the order.
    pub elapsed: Duration,
    /// How much shorter that time may be: the interval between the read that found the order and
    /// the one before.
    pub uncertainty: Duration,
    /// Time limit of the roll-out.
    pub time: Duration,
    /// Requests sent to the pool since the order.
    pub sent: u64,
    /// Those of them that went to the new version.
    pub exposed: u64,
}

impl Progress {
    /// Estimates the requests that will arrive until the time is up.
    fn expected_requests(self) -> f64 {
        let min_elapsed = self.elapsed.saturating_sub(self.uncertainty);
        let rate = self.sent as f64 / min_elapsed.as_secs_f64().max(MIN_RATE_SECS);
        rate * self.time.saturating_sub(min_elapsed).as_secs_f64()
    }

    /// Returns what the version got beyond a ratio, as a fraction of the requests still to come.
    ///
    /// The ratio follows the estimate of all requests. What the version got under a lower estimate,
    /// for example while callers were only starting, would be missing from the allowance at the
    /// end.
    fn surplus(self, ratio: f64) -> f64 {
        let beyond = self.exposed as f64 - ratio * self.sent as f64;
        beyond.max(0.0) / self.expected_requests().max(1.0)
    }

    /// Estimates all requests until the time is up.
    fn all(self) -> f64 {
        self.sent as f64 + self.expected_requests()
    }
}

fn allowance(all: f64, bounds: Rollouts) -> f64 {
    RATIO_FRACTION * bounds.exposure_ratio * all + SLACK_FRACTION * bounds.exposure_slack
}

/// Returns the fraction of a pool's requests that an observed version gets.
#[must_use]
pub fn watched_ratio(progress: Progress, bounds: Rollouts) -> f64 {
    let all = progress.all();
    if all < 1.0 {
        return OBSERVED_FRACTION * bounds.exposure_ratio;
    }
    let allowed_ratio = allowance(all, bounds) / all;
    let move_ratio = (MOVE_TIME + progress.uncertainty).as_secs_f64()
        / progress.time.as_secs_f64().max(MIN_RATE_SECS);
    let min_ratio = MIN_OBSERVED_FRACTION * allowed_ratio;
    let max_before_move = (allowed_ratio - move_ratio).max(min_ratio);
    let ratio = (OBSERVED_FRACTION * allowed_ratio)
        .min(max_before_move)
        .min(MAX_OBSERVED);
    (ratio - progress.surplus(ratio)).max(min_ratio)
}

/// Returns whether all traffic may move now: a bad version that has not been detected would still
/// stay within its allowance.
#[must_use]
pub fn may_move_all(progress: Progress, bounds: Rollouts) -> bool {
    let observed = progress.elapsed >= progress.time.mul_f64(OBSERVED_TIME_FRACTION);
    let remaining = allowance(progress.all(), bounds) - progress.exposed as f64;
    observed && progress.expected_requests() <= remaining.max(0.0)
}
