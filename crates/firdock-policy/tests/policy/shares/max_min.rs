//! Max-min fair division for arbitrary weights and demands.

use firdock_policy::{ShareDemand, max_min_shares};
use proptest::prelude::*;

fn demands() -> impl Strategy<Value = Vec<ShareDemand>> {
    let demand = (0.01..100.0_f64, 0.0..50.0_f64)
        .prop_map(|(weight, amount)| ShareDemand { weight, amount });
    prop::collection::vec(demand, 0..20)
}

proptest! {
    #[test]
    fn shares_add_up_and_none_exceeds_its_demand(capacity in 0.0..500.0_f64, demands in demands()) {
        let shares = max_min_shares(capacity, &demands);
        let total_demand: f64 = demands.iter().map(|a| a.amount).sum();
        let total_share: f64 = shares.iter().sum();
        prop_assert!((total_share - capacity.min(total_demand)).abs() < 1e-6, "{total_share} of {capacity}, demand {total_demand}");
        for (share, demand) in shares.iter().zip(&demands) {
            prop_assert!(*share <= demand.amount + 1e-9);
        }
    }

    #[test]
    fn a_share_below_the_highest_level_meets_its_whole_demand(
        capacity in 0.0..500.0_f64,
        demands in demands(),
    ) {
        let shares = max_min_shares(capacity, &demands);
        let max_ratio = shares.iter().zip(&demands).map(|(p, a)| p / a.weight).fold(0.0, f64::max);
        for (share, demand) in shares.iter().zip(&demands) {
            let level = share / demand.weight;
            prop_assert!(level + 1e-6 >= max_ratio || demand.amount - share < 1e-6);
        }
    }
}
