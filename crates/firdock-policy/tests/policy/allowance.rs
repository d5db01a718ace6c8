//! Share of requests that a new version gets and when all traffic moves, under loads that change.

use std::time::Duration;

use firdock_core::settings::Rollouts;
use firdock_policy::rollout::allowance::{Progress, may_move_all, watched_ratio};

/// Time between two evaluations of the evidence.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(50);
/// Time that the order allows.
const ROLLOUT_TIME: Duration = Duration::from_secs(6);
/// Uncertainty of the order's start: the interval between the read that found it and the one before.
const UNCERTAINTY: Duration = Duration::from_millis(200);
/// Minimum time left when all traffic moves: two evaluations, and a call to the store with its answer.
const MIN_TIME_LEFT: Duration = Duration::from_millis(125);

/// Outcome of a simulated roll-out.
#[derive(Debug)]
struct RolloutResult {
    /// Time left when all traffic moved.
    left: Duration,
    /// Requests that the version got by the end.
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

/// Simulates the roll-out of a version at the given rates, in requests a second for each third of its time.
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

/// At a low rate in the beginning, the slack seems to allow a larger share of the requests. The exposure spent
/// on that must not use up what the end of the roll-out needs.
#[test]
fn a_rising_or_falling_load_leaves_enough_time_at_the_end() {
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
