//! Long random runs: operations and faults in any order, with every invariant checked.
//!
//! `FIRDOCK_SEEDS` sets how many seeds are run, `FIRDOCK_SEED` runs a single one. A failure prints
//! the seed, the shortest failing list of operations, and the command that repeats it.

use std::cell::Cell;
use std::fmt::Debug;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};

use crate::simulation::{Op, Simulation};

/// Number of seeds of a run in CI.
const SEEDS: u64 = 192;
/// Number of seeds of a run in CI with restarts of endpoints: fewer, since all else is the same.
const SEEDS_WITH_RESTARTS: u64 = 64;
/// Number of operations for each seed.
const OPS: usize = 160;
/// Largest number of shorter lists that are tried once one has failed.
const MAX_SHRINK_ITERS: u32 = 4_096;

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        8 => (any::<u8>(), any::<u8>(), any::<u8>())
            .prop_map(|(instance, service, account)| Op::Send { instance, service, account }),
        5 => (any::<u8>(), any::<bool>()).prop_map(|(instance, timed)| Op::Order { instance, timed }),
        4 => (any::<u8>(), any::<u8>()).prop_map(|(instance, order)| Op::Resend { instance, order }),
        1 => any::<u8>().prop_map(|request| Op::Leave { request }),
        8 => (0_u16..1_500).prop_map(|millis| Op::Wait { millis }),
        2 => (any::<u8>(), any::<u8>())
            .prop_map(|(endpoint, fault)| Op::Endpoint { endpoint, fault }),
        1 => (any::<u8>(), any::<bool>())
            .prop_map(|(endpoint, leaving)| Op::Leaving { endpoint, leaving }),
        1 => any::<u8>().prop_map(|instance| Op::Kill { instance }),
        2 => (any::<u8>(), any::<bool>()).prop_map(|(instance, paused)| Op::Pause { instance, paused }),
        2 => (any::<u8>(), any::<bool>()).prop_map(|(instance, cut)| Op::LogCut { instance, cut }),
        1 => any::<u8>().prop_map(|instance| Op::Remove { instance }),
        1 => any::<u8>().prop_map(|instance| Op::Drain { instance }),
        2 => any::<u8>().prop_map(|resource| Op::Toggle { resource }),
        2 => (any::<u8>(), any::<bool>())
            .prop_map(|(instance, answers)| Op::Coordinate { instance, answers }),
    ]
}

/// The same with endpoints that restart under their names, and more that break what they run.
fn op_with_restarts() -> impl Strategy<Value = Op> {
    prop_oneof![
        12 => op(),
        1 => any::<u8>().prop_map(|endpoint| Op::Restart { endpoint }),
        2 => any::<u8>().prop_map(|endpoint| Op::Endpoint { endpoint, fault: 3 }),
    ]
}

/// Runs a seed; returns how often a request was put in quarantine.
fn run_seed(seed: u64, op: impl Strategy<Value = Op>) -> u64 {
    let quarantined = Cell::new(0);
    play("random", seed, vec(op, OPS..=OPS), |ops| {
        let mut world = Simulation::new(seed);
        for op in ops {
            world.apply(op);
        }
        world.check();
        quarantined.set(world.quarantined);
    });
    quarantined.get()
}

/// Plays a list of operations that a seed draws, and prints the shortest list found that fails.
pub fn play<O: Debug>(
    test: &str,
    seed: u64,
    ops: impl Strategy<Value = Vec<O>>,
    run: impl Fn(Vec<O>),
) {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let config = Config {
        cases: 1,
        failure_persistence: None,
        max_shrink_iters: MAX_SHRINK_ITERS,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&ops, |ops| {
        run(ops);
        Ok(())
    });
    if let Err(TestError::Fail(why, ops)) = result {
        panic!(
            "seed {seed}: {why}\n{ops:?}\nrepeat with: FIRDOCK_SEED={seed} cargo test -p \
             firdock-policy --test policy {test}"
        );
    }
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Returns the seeds to run: `count`, or those that the environment asks for.
pub fn seeds(count: u64) -> std::ops::Range<u64> {
    match env_number("FIRDOCK_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..env_number("FIRDOCK_SEEDS").unwrap_or(count),
    }
}

#[test]
fn all_guarantees_hold_under_random_faults() {
    for seed in seeds(SEEDS) {
        run_seed(seed, op());
    }
}

#[test]
fn all_guarantees_hold_while_endpoints_restart() {
    let seeds = seeds(SEEDS_WITH_RESTARTS);
    let quarantined: u64 = seeds.map(|seed| run_seed(seed, op_with_restarts())).sum();
    let one_seed = env_number("FIRDOCK_SEED").is_some();
    assert!(
        quarantined > 0 || one_seed,
        "no request was put in quarantine"
    );
}
