//! Random runs of several followers of one log: retention, outages, concurrent changes and snapshots.
//!
//! `FIRDOCK_SEEDS` sets how many seeds are run, `FIRDOCK_SEED` runs a single one.

use std::time::Duration;

use firdock_core::resource::{Kind, Resource, ResourceKey, Tier};
use firdock_state::{
    Batch, Body, Change, FoldOutcome, Follower, LogRecord, MemberRecord, Progress, Record, State,
};
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use uuid::Uuid;

/// Number of seeds of a run in CI.
const SEEDS: u64 = 300;
const STEPS: usize = 400;
const FOLLOWERS: usize = 4;

struct Log {
    first: u64,
    records: Vec<LogRecord>,
}

impl Log {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, body: Body) -> Uuid {
        let id = Uuid::from_u64_pair(9, self.next());
        let body = serde_json::to_string(&Record { id, body }).expect("a record is JSON");
        let offset = self.next();
        self.records.push(LogRecord {
            offset,
            time_millis: offset,
            body,
        });
        id
    }

    fn read(&self, from: u64, max: usize) -> Batch {
        let skip = from.saturating_sub(self.first) as usize;
        let records = self.records.iter().skip(skip).take(max).cloned().collect();
        Batch {
            first: self.first,
            next: self.next(),
            time_millis: self.next(),
            records,
        }
    }
}

/// Folds every record that was ever written, as the reference for the followers.
struct Reference {
    state: State,
    results: Vec<(Uuid, FoldOutcome)>,
}

impl Reference {
    fn fold(&mut self, log: &LogRecord) {
        let record = log.decode();
        let outcome = self.state.fold(log.offset, log.time(), record.as_ref());
        self.results.extend(record.map(|r| (r.id, outcome)));
    }
}

fn tier(rng: &mut StdRng) -> Resource {
    let name = format!("tier-{}", rng.random_range(0..4));
    Resource::Tier(Tier {
        name,
        wait_millis: rng.random_range(1..1_000),
        ..Tier::default()
    })
}

fn change(rng: &mut StdRng, seen: &State) -> Body {
    let resource = tier(rng);
    let key = resource.key();
    let base = seen.version_of(&key);
    let resource = if rng.random_bool(0.2) {
        None
    } else {
        Some(resource)
    };
    Body::Change(Change {
        key,
        base,
        resource,
    })
}

fn member(rng: &mut StdRng) -> Body {
    Body::Member(MemberRecord {
        name: format!("node-{}", rng.random_range(0..3)),
        incarnation: Uuid::from_u64_pair(8, rng.random_range(0..3)),
        joins: rng.random_bool(0.6),
    })
}

fn run_seed(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut log = Log {
        first: 0,
        records: Vec::new(),
    };
    let mut reference = Reference {
        state: State::new(),
        results: Vec::new(),
    };
    let mut followers: Vec<Follower> = (0..FOLLOWERS).map(|_| Follower::default()).collect();
    let mut versions = [0; FOLLOWERS];
    for _ in 0..STEPS {
        let i = rng.random_range(0..FOLLOWERS);
        match rng.random_range(0..100) {
            0..30 => {
                let body = change(&mut rng, followers[i].state());
                append(&mut log, &mut reference, body);
            }
            30..38 => {
                let body = member(&mut rng);
                append(&mut log, &mut reference, body);
            }
            38..44 => {
                let state = Box::new(followers[i].state().clone());
                append(&mut log, &mut reference, Body::Snapshot { state });
            }
            44..50 => expire(&mut rng, &mut log),
            50..53 => {
                // A new instance replaces an old one.
                followers[i] = Follower::default();
                versions[i] = 0;
            }
            53..56 => {
                let state = followers[(i + 1) % FOLLOWERS].state().clone();
                followers[i].adopt(state);
            }
            _ => read(&mut rng, &log, &reference, &mut followers[i]),
        }
        let version = followers[i].state().version;
        assert!(
            version >= versions[i],
            "seed {seed}: version of follower {i} decreased to {version}"
        );
        versions[i] = version;
    }
    check_convergence(seed, &mut log, &mut reference, &mut followers);
}

fn append(log: &mut Log, reference: &mut Reference, body: Body) {
    log.append(body);
    let record = log.records.last().expect("one was just written").clone();
    reference.fold(&record);
}

fn expire(rng: &mut StdRng, log: &mut Log) {
    let n = rng.random_range(0..=log.records.len());
    log.records.drain(..n);
    log.first += n as u64;
}

fn read(rng: &mut StdRng, log: &Log, reference: &Reference, follower: &mut Follower) {
    let batch = log.read(follower.read_from(), rng.random_range(1..20));
    if let Progress::Folded { results, at_end } = follower.fold_batch(&batch) {
        for result in results {
            assert!(
                reference.results.contains(&result),
                "all folds of a record agree"
            );
        }
        if at_end {
            assert_same(follower.state(), &reference.state);
        }
    }
}

fn assert_same(state: &State, expected: &State) {
    assert_eq!(state.entries, expected.entries);
    assert_eq!(
        (&state.members, &state.views),
        (&expected.members, &expected.views)
    );
    assert_eq!(
        (state.version, state.next),
        (expected.version, expected.next)
    );
}

/// Appends an up-to-date snapshot and checks that all followers then reach the same state.
fn check_convergence(
    seed: u64,
    log: &mut Log,
    reference: &mut Reference,
    followers: &mut [Follower],
) {
    let state = Box::new(reference.state.clone());
    append(log, reference, Body::Snapshot { state });
    for follower in followers {
        for _ in 0..1_000 {
            let batch = log.read(follower.read_from(), 7);
            if matches!(
                follower.fold_batch(&batch),
                Progress::Folded { at_end: true, .. }
            ) {
                break;
            }
        }
        assert_eq!(
            follower.state().next,
            reference.state.next,
            "seed {seed}: not caught up"
        );
        assert_same(follower.state(), &reference.state);
    }
}

fn number_from_env(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn all_followers_converge_to_one_state_and_versions_never_decrease() {
    let seeds = match number_from_env("FIRDOCK_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number_from_env("FIRDOCK_SEEDS").unwrap_or(SEEDS),
    };
    for seed in seeds {
        let run = std::panic::catch_unwind(|| run_seed(seed));
        assert!(
            run.is_ok(),
            "seed {seed} failed; repeat with: FIRDOCK_SEED={seed} cargo test -p firdock-state \
             --test state random"
        );
    }
}

#[test]
fn a_change_on_an_outdated_base_changes_nothing() {
    let mut state = State::new();
    let key = ResourceKey::new(Kind::Tier, "draft");
    let make = |base, wait_millis| {
        let tier = Tier {
            name: "draft".to_owned(),
            wait_millis,
            ..Tier::default()
        };
        let change = Change {
            key: key.clone(),
            base,
            resource: Some(Resource::Tier(tier)),
        };
        Record {
            id: Uuid::nil(),
            body: Body::Change(change),
        }
    };
    let time = Duration::ZERO;
    let first = state.fold(0, time, Some(&make(0, 1)));
    assert_eq!(first, FoldOutcome::Accepted { version: 1 });
    let loser = state.fold(1, time, Some(&make(0, 2)));
    assert_eq!(loser, FoldOutcome::Outdated { present: 1 });
    let next = state.fold(2, time, Some(&make(1, 3)));
    assert_eq!(next, FoldOutcome::Accepted { version: 3 });
}
