//! The division itself, for any weights and wishes.

use firdock_policy::{ShareDemand, max_min_shares};
use proptest::prelude::*;

fn asks() -> impl Strategy<Value = Vec<ShareDemand>> {
    let ask = (0.01..100.0_f64, 0.0..50.0_f64)
        .prop_map(|(weight, amount)| ShareDemand { weight, amount });
    prop::collection::vec(ask, 0..20)
}

proptest! {
    #[test]
    fn shares_add_up_and_nobody_has_more_than_he_asks_for(room in 0.0..500.0_f64, asks in asks()) {
        let parts = max_min_shares(room, &asks);
        let wanted: f64 = asks.iter().map(|a| a.amount).sum();
        let given: f64 = parts.iter().sum();
        prop_assert!((given - room.min(wanted)).abs() < 1e-6, "{given} of {room}, asked {wanted}");
        for (part, ask) in parts.iter().zip(&asks) {
            prop_assert!(*part <= ask.amount + 1e-9);
        }
    }

    #[test]
    fn who_has_less_for_his_weight_than_another_has_all_he_asks_for(
        room in 0.0..500.0_f64,
        asks in asks(),
    ) {
        let parts = max_min_shares(room, &asks);
        let max_ratio = parts.iter().zip(&asks).map(|(p, a)| p / a.weight).fold(0.0, f64::max);
        for (part, ask) in parts.iter().zip(&asks) {
            let level = part / ask.weight;
            prop_assert!(level + 1e-6 >= max_ratio || ask.amount - part < 1e-6);
        }
    }
}
