//! What instances believe of the store while clocks of some of them stand still, jump or run at another rate.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;

use super::world::{ClockFault, Trouble, World};
use super::{OWED_AFTER, SERVED_WITHIN, SETTLE_TIME, millis};

/// Time between two changes of a series.
const CHANGE_INTERVAL: Duration = Duration::from_millis(2_500);
/// Sizes of sites: one group, groups of 5, and the groups of cedarsound-puzzles-grown.
const SIZES: [usize; 3] = [7, 20, 85];

/// What a site did while its clocks were bent.
#[derive(Debug)]
struct Outcome {
    /// By how much anyone believed a topic to have been read later than it was.
    error: Duration,
    /// Longest time for which an instance in touch lacked a change.
    delay: Duration,
    /// Highest age of the configuration at an instance with a sound clock.
    age: Duration,
    /// Calls to the store.
    calls: usize,
}

/// Lets a site of `size` instances run for ten seconds, with a change in the middle, after `bend`.
fn play(size: usize, bend: impl Fn(&mut World)) -> Outcome {
    let mut world = World::new(size);
    world.run(SETTLE_TIME);
    bend(&mut world);
    world.calls = 0;
    let mut outcome = Outcome {
        error: Duration::ZERO,
        delay: Duration::ZERO,
        age: Duration::ZERO,
        calls: 0,
    };
    for step in 0..200 {
        if step == 100 {
            world.change();
        }
        outcome.delay = outcome.delay.max(world.run(millis(50)));
        outcome.error = outcome.error.max(world.longest_error());
        outcome.age = outcome.age.max(world.longest_age());
    }
    outcome.calls = world.calls;
    outcome
}

fn bend_each_second(world: &mut World, size: usize, fault: ClockFault) {
    for n in (0..size / 2).map(|n| 2 * n) {
        world.bend(n, fault);
    }
}

/// Asserts what sites of all sizes owe whatever clocks do.
fn assert_sound(what: &str, bend: impl Fn(&mut World, usize)) {
    for size in SIZES {
        let outcome = play(size, |world| bend(world, size));
        assert_eq!(
            outcome.error,
            Duration::ZERO,
            "{what}, {size} instances: {outcome:?}"
        );
        assert!(
            outcome.delay <= OWED_AFTER && outcome.age < SERVED_WITHIN,
            "{what}, {size} instances: {outcome:?}"
        );
    }
}

/// Guards against reports that look newer than they are to an instance whose clock stood still, and through it to all.
#[test]
fn no_instance_believes_in_a_read_that_nobody_began_after_clocks_stood_still() {
    let fault = ClockFault::Stands(Duration::from_secs(3));
    assert_sound("the clock of the first stood still", |world, _| {
        world.bend(0, fault);
    });
    assert_sound("the clock of the last stood still", |world, size| {
        world.bend(size - 1, fault);
    });
    assert_sound("each second clock stood still", |world, size| {
        bend_each_second(world, size, fault);
    });
}

/// Guards against a bound on a peer's clock that is kept although one of the two clocks has jumped.
#[test]
fn no_instance_believes_in_a_read_that_nobody_began_after_clocks_jumped() {
    let fault = ClockFault::Jumps(Duration::from_secs(3));
    assert_sound("the clock of the last jumped", |world, size| {
        world.bend(size - 1, fault);
    });
    assert_sound("each second clock jumped", |world, size| {
        bend_each_second(world, size, fault);
    });
}

/// Guards against errors of milliseconds that add up from heartbeat to heartbeat.
#[test]
fn no_instance_believes_in_a_read_that_nobody_began_while_clocks_run_at_unlike_rates() {
    for ppm in [0, 50, 500] {
        let what = format!("rates differ by {ppm} ppm");
        assert_sound(&what, |world, size| {
            for n in 0..size {
                let rate = [-ppm, ppm][n % 2];
                world.bend(n, ClockFault::Rate(rate));
            }
        });
    }
}

/// Returns the longest time for which an instance in touch decides by the version before a change, for changes in
/// series that begin at some moments of a second after `bend`.
fn longest_use(size: usize, bend: impl Fn(&mut World)) -> Duration {
    let delays = (0..3).map(|n| {
        let mut world = World::new(size);
        world.run(SETTLE_TIME);
        bend(&mut world);
        world.run(millis(10 + 333 * n));
        let changes = (0..4).map(|_| {
            world.change();
            world.run(CHANGE_INTERVAL)
        });
        changes.max().unwrap_or_default()
    });
    delays.max().unwrap_or_default()
}

/// Guards against instances in touch that decide by an older version for longer than they may, since the age of what
/// they know is wrong: a site whose ages are too low does not read the store.
#[test]
fn an_instance_in_touch_decides_by_a_change_in_time_whatever_clocks_did() {
    let faults = [
        ClockFault::Stands(millis(300)),
        ClockFault::Stands(Duration::from_secs(3)),
        ClockFault::Jumps(Duration::from_secs(3)),
    ];
    for (size, every) in [(7, 2), (7, 5), (87, 2), (87, 5)] {
        for fault in faults {
            let delay = longest_use(size, |world| {
                for n in (0..size).step_by(every) {
                    world.bend(n, fault);
                }
            });
            assert!(
                delay <= OWED_AFTER,
                "{fault:?} at one in {every} of {size} instances: {delay:?}"
            );
        }
    }
}

/// Guards against a wrong clock for which sound instances read the store in place of those whose turn it is.
#[test]
fn one_clock_that_stood_still_costs_few_calls_to_the_store() {
    for size in SIZES {
        let calm = play(size, |_| {}).calls;
        let fault = ClockFault::Stands(Duration::from_secs(3));
        let bent = play(size, |world| world.bend(size - 1, fault)).calls;
        assert!(
            bent <= calm + calm / 4,
            "{size} instances: {bent} calls, {calm} without"
        );
    }
}

fn clock_fault() -> impl Strategy<Value = ClockFault> {
    prop_oneof![
        (1..4_000_u64).prop_map(|time| ClockFault::Stands(millis(time))),
        (1..4_000_u64).prop_map(|time| ClockFault::Jumps(millis(time))),
        (-500..500_i32).prop_map(ClockFault::Rate),
    ]
}

/// A wrong clock, whether a process is also killed and started again, and the time until the next one.
type Step = (usize, ClockFault, bool, u64);

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, ..ProptestConfig::default() })]

    /// Guards against any series of wrong clocks and restarts after which an instance believes in a read that nobody
    /// began.
    #[test]
    fn no_instance_believes_in_a_read_that_nobody_began_whatever_clocks_do(
        size in prop::sample::select(vec![6_usize, 16, 20, 40]),
        steps in vec((any::<usize>(), clock_fault(), any::<bool>(), 0..2_500_u64), 1..8),
    ) {
        let steps: Vec<Step> = steps;
        let mut world = World::new(size);
        world.run(SETTLE_TIME);
        for (n, fault, restarts, pause) in steps {
            // Clocks of up to half of the instances are wrong.
            let n = n % size.div_ceil(2) * 2 % size;
            world.bend(n, fault);
            if restarts {
                world.disturb((n + 1) % size, Trouble::Killed);
                world.run(millis(300));
                world.restore((n + 1) % size);
            }
            for _ in 0..=pause / 50 {
                world.run(millis(50));
                prop_assert_eq!(world.longest_error(), Duration::ZERO);
            }
        }
    }
}
