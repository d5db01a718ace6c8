//! How many requests a version may get before it is known to be good.
//!
//! A bad version may get a part of all requests that reach its pool until the roll-out's time is up,
//! and a few more. Whether it is bad may show late, or never before it gets everything: so all of the
//! traffic moves only when the rest of the time is short enough for the allowance by itself.

use std::time::Duration;

use firdock_core::settings::Rollouts;

/// Part of the allowance that the watched version uses at most; the rest is for the end. Of 200 drawn bad
/// versions of each kind, 0.4 found up to 12 in 100 fewer, and half of one more in two kinds of ten
/// (`docs/design/rollouts.md`).
const WATCHED_PART: f64 = 0.6;
/// Part of the ratio that is used: instances reckon with counts that are a few heartbeats old.
const RATIO_PART: f64 = 0.95;
/// Part of the slack that is used, likewise.
const SLACK_PART: f64 = 0.5;
/// Greatest part of a pool's requests that a watched version gets, however few they are: half of them
/// tell the most about the difference between two versions.
const MOST_WATCHED: f64 = 0.5;
/// Least part of the allowance that the watched version uses, however little time the end has then.
const LEAST_WATCHED_PART: f64 = 0.1;
/// Time over which a rate is taken at the beginning, in seconds.
const FIRST_SECS: f64 = 1.0;
/// Part of its time for which a version is watched at least, also where so few requests come that the
/// allowance would let it have all of them.
const WATCHED_TIME: f64 = 0.75;
/// Time that the end takes: a look each 50 ms, and a call to the store, which answers in 4 ms and at times
/// many times later. The watched version leaves as much of the allowance as that needs.
const END_TIME: Duration = Duration::from_millis(150);

/// How far a roll-out has come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Progress {
    /// Longest time that may have passed since the order.
    pub elapsed: Duration,
    /// How much shorter it may have been: the order was read that long after the read before.
    pub uncertainty: Duration,
    /// Time that the roll-out has.
    pub time: Duration,
    /// Requests that were sent to the pool since the order.
    pub sent: u64,
    /// Those among them that went to the new version.
    pub exposed: u64,
}

impl Progress {
    /// Estimates the requests that are still to come until the time is up.
    fn to_come(self) -> f64 {
        let surely = self.elapsed.saturating_sub(self.uncertainty);
        let rate = self.sent as f64 / surely.as_secs_f64().max(FIRST_SECS);
        rate * self.time.saturating_sub(surely).as_secs_f64()
    }

    /// Gives what the version had beyond a ratio, as a part of the requests that are still to come.
    ///
    /// The ratio follows the estimate of all requests. What a lower estimate let the version have, as
    /// while callers only begin to come, would be missing at the end.
    fn surplus(self, ratio: f64) -> f64 {
        let beyond = self.exposed as f64 - ratio * self.sent as f64;
        beyond.max(0.0) / self.to_come().max(1.0)
    }

    /// Estimates all requests until the time is up.
    fn all(self) -> f64 {
        self.sent as f64 + self.to_come()
    }
}

fn allowed(all: f64, bounds: Rollouts) -> f64 {
    RATIO_PART * bounds.exposure_ratio * all + SLACK_PART * bounds.exposure_slack
}

/// Gives the part of a pool's requests that a watched version gets.
#[must_use]
pub fn watched_ratio(progress: Progress, bounds: Rollouts) -> f64 {
    let all = progress.all();
    if all < 1.0 {
        return WATCHED_PART * bounds.exposure_ratio;
    }
    let whole = allowed(all, bounds) / all;
    let end = (END_TIME + progress.uncertainty).as_secs_f64()
        / progress.time.as_secs_f64().max(FIRST_SECS);
    let least = LEAST_WATCHED_PART * whole;
    let before_end = (whole - end).max(least);
    let ratio = (WATCHED_PART * whole).min(before_end).min(MOST_WATCHED);
    (ratio - progress.surplus(ratio)).max(least)
}

/// Tells whether all of the traffic may move now: a version that is bad without having shown it would
/// still get no more than it may.
#[must_use]
pub fn may_move_all(progress: Progress, bounds: Rollouts) -> bool {
    let watched = progress.elapsed >= progress.time.mul_f64(WATCHED_TIME);
    let room = allowed(progress.all(), bounds) - progress.exposed as f64;
    watched && progress.to_come() <= room.max(0.0)
}
