//! How late an instance in touch has a change of the configuration, whatever happens to its peers.

mod clocks;
mod suspensions;
mod world;

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;

use self::world::{STEP, StoreState, Trouble, World};

/// Time without trouble after which an instance is in touch: `contact_ms` of the deployments.
const CONTACT: Duration = Duration::from_secs(3);
/// Time after its confirmation at which a change is owed: `configuration_ms` of the deployments.
const OWED_AFTER: Duration = Duration::from_secs(2);
/// Age of the configuration beyond which requests with a key are refused: 0.8 of `revoke_ms` of the deployments.
const SERVED_WITHIN: Duration = Duration::from_secs(4);
/// Time for which a site runs before anything happens.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Sizes of sites: one group, and groups of 5 and 17.
const SIZES: [usize; 4] = [7, 16, 20, 68];
/// Number of instances of the largest site, with groups of 82 and 83.
const LARGEST: usize = 330;

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns the longest delay of a change that is confirmed at some moment after `disturb` has been applied to a site
/// of `size` instances.
fn longest_delay(size: usize, disturb: impl Fn(&mut World)) -> Duration {
    let moments = (0..if size > 100 { 1 } else { 11 }).map(|n| millis(n * 310));
    let delay = moments.map(|before| {
        let mut world = World::new(size);
        world.run(SETTLE_TIME + before);
        disturb(&mut world);
        world.run(millis(130));
        world.change();
        world.run(millis(4_500))
    });
    delay.max().unwrap_or_default()
}

/// Asserts that a change is in force in time on sites of these sizes, whatever `disturb` does to them.
fn assert_in_time(sizes: &[usize], what: &str, disturb: impl Fn(&mut World)) {
    for size in sizes {
        let delay = longest_delay(*size, &disturb);
        assert!(delay <= OWED_AFTER, "{what}, {size} instances: {delay:?}");
    }
}

/// Guards against an instance whose own reads wait for peers that it does not hear.
#[test]
fn an_instance_that_hears_no_peer_has_a_change_in_time() {
    assert_in_time(&SIZES, "the last instance cut off", |world| {
        let last = world.by_position().pop().expect("an instance");
        world.disturb(last, Trouble::CutFromPeers);
    });
    for trouble in [Trouble::Frozen, Trouble::Killed] {
        let what = format!("all others {trouble:?}");
        assert_in_time(&SIZES, &what, |world| {
            let mut others = world.by_position();
            others.pop();
            for n in others {
                world.disturb(n, trouble);
            }
        });
    }
}

/// Guards against an instance that waits for the turns of peers which do not reach the store.
#[test]
fn the_only_instance_that_reaches_the_store_has_a_change_in_time() {
    assert_in_time(&SIZES, "all others cut from the store", |world| {
        let mut others = world.by_position();
        others.pop();
        for n in others {
            world.disturb(n, Trouble::CutFromStore);
        }
    });
}

/// Guards against a large group that waits for the instances which used to read for it.
#[test]
fn a_group_without_the_instances_that_read_for_it_has_a_change_in_time() {
    for trouble in [Trouble::Frozen, Trouble::CutFromStore] {
        for fallen in [2, 8] {
            let what = format!("the first {fallen} of each group {trouble:?}");
            assert_in_time(&[20, 68, LARGEST], &what, |world| {
                for lead in 0..4 {
                    for n in world.group_of(lead).into_iter().take(fallen) {
                        world.disturb(n, trouble);
                    }
                }
            });
        }
    }
}

/// Guards against instances that, after an outage of the store, wait longer than they may until they read again.
#[test]
fn a_change_is_in_force_once_all_are_in_touch_after_an_outage() {
    for store in [StoreState::Refuses, StoreState::Silent] {
        assert_in_time(&SIZES, &format!("an outage, {store:?}"), |world| {
            world.set_store(store);
            world.run(millis(2_370));
            world.set_store(StoreState::Sound);
        });
    }
}

/// A trouble of one instance, and the time until the next one.
type Step = (usize, Trouble, u64);

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let trouble = prop::sample::select(vec![
        Trouble::Frozen,
        Trouble::CutFromPeers,
        Trouble::CutFromStore,
        Trouble::Killed,
    ]);
    vec((any::<usize>(), trouble, 0..2_500_u64), 1..8)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// Guards against any series of troubles after which an instance in touch decides by an older version than it may.
    #[test]
    fn a_change_is_in_force_in_time_beside_any_series_of_troubles(
        size in prop::sample::select(vec![7_usize, 16, 20, 40]),
        steps in steps(),
        outage in 0..2_000_u64,
        store in prop::sample::select(vec![StoreState::Sound, StoreState::Refuses, StoreState::Silent]),
        lasting in 1_000..6_000_u64,
    ) {
        let mut world = World::new(size);
        world.run(SETTLE_TIME);
        world.set_store(store);
        world.run(millis(outage) + STEP);
        world.set_store(StoreState::Sound);
        let order = world.by_position();
        let mut longest = Duration::ZERO;
        let mut disturbed = Vec::new();
        for (n, trouble, pause) in steps {
            // Squared, so that the first of the groups, which read for the others, are hit most often.
            let share = (n % 1_000) as f64 / 1_000.0;
            let at = order[(share * share * size as f64) as usize];
            world.disturb(at, trouble);
            disturbed.push(at);
            longest = longest.max(world.run(millis(pause)));
            world.change();
        }
        longest = longest.max(world.run(millis(lasting)));
        for n in disturbed {
            world.restore(n);
        }
        longest = longest.max(world.run(millis(1_000)));
        world.change();
        longest = longest.max(world.run(millis(6_000)));
        prop_assert!(longest <= OWED_AFTER, "{:?}", longest);
    }
}
