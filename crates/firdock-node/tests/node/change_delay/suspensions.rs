//! What instances decide by after their machines were suspended.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;

use super::world::{Trouble, World};
use super::{OWED_AFTER, SETTLE_TIME, millis};

/// Time after the confirmation of a change at which no instance accepts a key that the change took away, in touch or
/// not: `revoke_ms` of the deployments.
const REVOKED_AFTER: Duration = Duration::from_secs(5);

/// Guards against an instance that accepts keys by what it knew before it was suspended, or on the strength of
/// heartbeats that waited in its socket.
#[test]
fn an_instance_accepts_no_key_that_was_taken_away_during_a_suspension() {
    for (size, every) in [(1, 1), (7, 2), (20, 3)] {
        for length in [1_000, 4_000, 6_500, 61_000] {
            let mut world = World::new(size);
            world.run(SETTLE_TIME);
            let suspended: Vec<usize> = (0..size).step_by(every).collect();
            for n in &suspended {
                world.disturb(*n, Trouble::Suspended);
            }
            world.run(millis(200));
            world.change();
            world.run(millis(length));
            for n in &suspended {
                world.restore(*n);
            }
            let delay = world.run(millis(6_000));
            let what = format!("{length} ms, one in {every} of {size}");
            assert!(delay <= OWED_AFTER, "{what}: {delay:?}");
            let served = world.longest_served;
            assert!(served <= REVOKED_AFTER, "{what}: {served:?}");
        }
    }
}

/// A trouble of one instance, whether an earlier one ends, and the time until the next one.
type Step = (usize, Trouble, bool, u64);

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let trouble = prop::sample::select(vec![
        Trouble::Suspended,
        Trouble::Suspended,
        Trouble::Frozen,
        Trouble::CutFromPeers,
        Trouble::CutFromStore,
        Trouble::Killed,
    ]);
    vec((any::<usize>(), trouble, any::<bool>(), 0..7_000_u64), 1..8)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// Guards against any series of suspensions, cuts, changes and restarts after which an instance decides by what it
    /// believed for longer than it may.
    #[test]
    fn nothing_is_decided_on_an_old_belief_after_any_series_of_suspensions(
        size in prop::sample::select(vec![1_usize, 2, 7, 20]),
        steps in steps(),
    ) {
        let mut world = World::new(size);
        world.run(SETTLE_TIME);
        let mut troubled: Vec<usize> = Vec::new();
        let mut longest = Duration::ZERO;
        for (n, trouble, ends, pause) in steps {
            if ends && !troubled.is_empty() {
                world.restore(troubled.remove(0));
            }
            let n = n % size;
            if !troubled.contains(&n) {
                world.disturb(n, trouble);
                troubled.push(n);
            }
            world.change();
            longest = longest.max(world.run(millis(pause)));
        }
        for n in troubled {
            world.restore(n);
            longest = longest.max(world.run(millis(100)));
        }
        world.change();
        longest = longest.max(world.run(millis(7_000)));
        prop_assert!(longest <= OWED_AFTER, "an older version in touch: {:?}", longest);
        prop_assert!(world.longest_served <= REVOKED_AFTER, "a key: {:?}", world.longest_served);
        prop_assert_eq!(world.longest_error(), Duration::ZERO);
    }
}
