//! Drawn roll-outs: firdock's strategy keeps the exposure bound, whatever the defect of the new version.

use firdock_core::settings::Rollouts;
use firdock_standin::rollouts::{Allowance, Badness, Case, run};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

const BOUNDS: Rollouts = Rollouts {
    exposure_ratio: 0.1,
    exposure_slack: 50.0,
};
/// Number of drawn roll-outs per defect and pool.
const SEEDS: u64 = 12;

#[test]
fn exposure_stays_within_the_bound_for_every_defect() {
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
fn a_good_version_on_many_endpoints_is_moved_in_time() {
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
