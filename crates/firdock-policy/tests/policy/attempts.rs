//! Outcomes of callers' attempts, counted from the first one, by which retry times are evaluated.

use std::collections::BTreeMap;

use firdock_policy::NewRequest;
use firdock_policy::event::DispatchUpdate;
use firdock_policy::stats::{AttemptKey, AttemptOutcome};

use crate::edge::{EdgeScheduler, edge_settings, request, resources};
use crate::fixtures::millis;

const ENDED: DispatchUpdate = DispatchUpdate::Ended {
    prompt: 90,
    cached: 0,
    output: 10,
};

/// A request whose deadline is `left` milliseconds away.
fn with_left(edge: &EdgeScheduler, n: u64, account: &str, left: u64) -> NewRequest {
    NewRequest {
        deadline: Some(edge.now + millis(left)),
        ..request(n, "safe", account)
    }
}

fn attempt_counts(edge: &EdgeScheduler) -> BTreeMap<(bool, AttemptOutcome), u64> {
    let all = &edge.scheduler.tables().stats.attempts;
    let short = |(key, n): (&AttemptKey, &u64)| ((key.returned, key.end), *n);
    all.iter().map(short).collect()
}

#[test]
fn an_attempt_is_timed_from_the_first_one_of_its_request() {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    // First attempts have 3 s left; the target is 0.5 s.
    edge.arrive(with_left(&edge, 1, "free", 3_000));
    edge.update_dispatch(1, 1, ENDED);
    // One is retried after 0.2 s and one after 1 s; both are answered at once.
    edge.arrive(with_left(&edge, 2, "free", 2_800));
    edge.update_dispatch(2, 1, ENDED);
    edge.arrive(with_left(&edge, 3, "free", 2_000));
    edge.update_dispatch(3, 1, ENDED);
    let expected = BTreeMap::from([
        ((false, AttemptOutcome::InTime), 1),
        ((true, AttemptOutcome::InTime), 1),
        ((true, AttemptOutcome::Late), 1),
    ]);
    assert_eq!(attempt_counts(&edge), expected);
}

#[test]
fn a_refusal_for_a_limit_is_an_attempt_that_did_not_run() {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    edge.arrive(with_left(&edge, 1, "free", 3_000));
    edge.update_dispatch(1, 1, ENDED);
    // The account's limit admits one request, which overdraws it for a while.
    for n in 2..5 {
        edge.arrive(with_left(&edge, n, "limited", 3_000));
    }
    edge.arrive(with_left(&edge, 9, "limited", 2_500));
    let refused = |returned| {
        attempt_counts(&edge)
            .get(&(returned, AttemptOutcome::NotRun))
            .copied()
    };
    assert_eq!(refused(false), Some(2));
    assert_eq!(refused(true), Some(1));
}
