//! Answers of the log that are not as they should be.

use firdock_core::resource::{Kind, Resource, ResourceKey, Tier};
use firdock_state::{Batch, Body, Change, Follower, LogRecord, Progress, Record, State};
use uuid::Uuid;

const NAME: &str = "tier";

fn record(offset: u64, body: Body) -> LogRecord {
    let id = Uuid::from_u64_pair(9, offset);
    LogRecord {
        offset,
        time_millis: offset,
        body: serde_json::to_string(&Record { id, body }).expect("a record is JSON"),
    }
}

/// Returns a record that replaces a tier of a version.
fn change(offset: u64, base: u64) -> LogRecord {
    let tier = Tier {
        name: NAME.to_owned(),
        ..Tier::default()
    };
    let change = Change {
        key: ResourceKey::new(Kind::Tier, NAME),
        base,
        resource: Some(Resource::Tier(tier)),
    };
    record(offset, Body::Change(change))
}

fn batch(first: u64, records: Vec<LogRecord>) -> Batch {
    let next = records.last().map_or(first, |r| r.offset + 1);
    Batch {
        first,
        next,
        time_millis: next,
        records,
    }
}

/// Guards against a reader of the log that panics at an answer in which records are missing, and is gone for good.
#[test]
fn a_record_that_is_missing_in_an_answer_is_read_again() {
    let mut follower = Follower::default();
    let all = [change(0, 0), change(1, 1), change(2, 2)];
    let spoilt = batch(0, vec![all[0].clone(), all[2].clone()]);
    follower.fold_batch(&spoilt);
    assert_eq!(follower.read_from(), 1);
    let still = batch(0, vec![all[2].clone()]);
    // It is no end, and reading on at once would not help.
    let again = Progress::Gap { read_from: 1 };
    assert_eq!(follower.fold_batch(&still), again);
    follower.fold_batch(&batch(0, all[1..].to_vec()));
    assert_eq!(follower.state().version, 3);
}

/// Guards against a reader of the log that panics, since it took over a snapshot whose version no record before it can have.
#[test]
fn a_snapshot_of_a_version_beyond_its_records_is_passed_over() {
    let mut state = State::new();
    state.next = 11;
    state.version = 1_000;
    let spoilt = record(
        11,
        Body::Snapshot {
            state: Box::new(state.clone()),
        },
    );
    let mut follower = Follower::default();
    let all = vec![spoilt, change(12, 0)];
    follower.fold_batch(&batch(10, all.clone()));
    follower.fold_batch(&batch(10, all));
    assert_eq!(follower.state().version, 0);
    assert!(!follower.adopt(state));
}
