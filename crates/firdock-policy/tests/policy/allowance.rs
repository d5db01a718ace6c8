//! How much a version is tried, and when everything moves: loads that change during a roll-out.

use std::time::Duration;

use firdock_core::settings::Rollouts;
use firdock_policy::rollout::allowance::{Progress, may_move_all, watched_ratio};

/// Pause between two looks at the evidence.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(50);
/// Time of the order.
const ROLLOUT_TIME: Duration = Duration::from_secs(6);
/// How long after the read before the order was read.
const UNCERTAINTY: Duration = Duration::from_millis(200);
/// Least time that has to be left when everything moves: two looks, and a call to the store with its
/// answer.
const MIN_TIME_LEFT: Duration = Duration::from_millis(125);

/// How a trial went.
#[derive(Debug)]
struct RolloutResult {
    /// Time that was left when everything moved.
    left: Duration,
    /// Requests that the version had by the end.
    exposed: f64,
    /// All requests.
    all: f64,
}

fn bounds() -> Rollouts {
    Rollouts {
        exposure_slack: 50.0,
        ..Rollouts::default()
    }
}

/// Plays the trial of a version at the rates given for each third of its time, in requests a second.
fn simulate_rollout(rates: [f64; 3]) -> RolloutResult {
    let (mut sent, mut exposed) = (0.0, 0.0);
    let mut elapsed = Duration::ZERO;
    while elapsed < ROLLOUT_TIME {
        let progress = Progress {
            elapsed,
            uncertainty: UNCERTAINTY,
            time: ROLLOUT_TIME,
            sent: sent as u64,
            exposed: exposed as u64,
        };
        let left = ROLLOUT_TIME.saturating_sub(elapsed);
        let third = (elapsed.as_secs_f64() / ROLLOUT_TIME.as_secs_f64() * 3.0) as usize;
        let rate = rates[third.min(2)];
        if may_move_all(progress, bounds()) {
            let end = rate * left.as_secs_f64();
            return RolloutResult {
                left,
                exposed: exposed + end,
                all: sent + end,
            };
        }
        let new = rate * EVALUATION_INTERVAL.as_secs_f64();
        exposed += watched_ratio(progress, bounds()) * new;
        sent += new;
        elapsed += EVALUATION_INTERVAL;
    }
    RolloutResult {
        left: Duration::ZERO,
        exposed,
        all: sent,
    }
}

/// Callers come slowly at first, so that the slack seems to allow a larger part of them: what was tried by
/// that must not use up what the end needs.
#[test]
fn a_load_that_rises_or_falls_leaves_the_end_its_time() {
    for rates in [
        [140.0, 140.0, 140.0],
        [60.0, 140.0, 200.0],
        [60.0, 300.0, 300.0],
        [200.0, 140.0, 60.0],
        [100.0, 60.0, 140.0],
        [20.0, 100.0, 500.0],
    ] {
        let result = simulate_rollout(rates);
        assert!(result.left >= MIN_TIME_LEFT, "{rates:?}: {result:?}");
        let max_exposed = bounds().exposure_ratio * result.all + bounds().exposure_slack;
        assert!(result.exposed <= max_exposed, "{rates:?}: {result:?}");
    }
}
