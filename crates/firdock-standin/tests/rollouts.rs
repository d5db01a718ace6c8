//! Drawn roll-outs: the policy's way keeps its bound whatever is wrong with a version.

use firdock_core::settings::Rollouts;
use firdock_standin::rollouts::{Allowance, Badness, Case, run};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

const BOUNDS: Rollouts = Rollouts {
    exposure_ratio: 0.1,
    exposure_slack: 50.0,
};
/// Drawn roll-outs of each kind and pool.
const SEEDS: u64 = 12;

#[test]
fn no_drawn_version_gets_more_than_a_bad_one_may() {
    for (rate, endpoints) in [(430.0, 60), (180.0, 4), (3.0, 4)] {
        for badness in Badness::ALL {
            for seed in 0..SEEDS {
                let mut rng = SmallRng::seed_from_u64(seed);
                let case = Case::draw(badness, rate, endpoints, &mut rng);
                let outcome = run(&case, &Allowance, BOUNDS, seed);
                let most = BOUNDS.exposure_ratio * outcome.sent as f64 + BOUNDS.exposure_slack;
                assert!(
                    outcome.exposed as f64 <= most,
                    "{case:?}: {outcome:?}, seed {seed}"
                );
            }
        }
    }
}

#[test]
fn a_good_version_of_many_endpoints_moves_in_time() {
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let case = Case::draw(Badness::Good, 430.0, 60, &mut rng);
        let outcome = run(&case, &Allowance, BOUNDS, seed);
        assert!(
            outcome.moved.is_some(),
            "{case:?}: {outcome:?}, seed {seed}"
        );
    }
}
