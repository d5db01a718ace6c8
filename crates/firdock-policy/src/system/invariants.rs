//! Invariants between tables, asserted after every step in tests and periodically in the daemon.

use std::collections::HashMap;

use crate::request::Phase;
use crate::table::Tables;
use crate::time::Time;

/// Checks all invariants.
///
/// # Panics
///
/// Panics if an invariant is violated.
pub fn check_all(t: &Tables, now: Time) {
    check_queues(t);
    check_endpoints(t);
    check_bounds(t);
    check_requests(t, now);
}

fn check_queues(t: &Tables) {
    let queued: usize = t.services.iter().map(|(_, s)| s.queue.len()).sum();
    assert_eq!(
        queued,
        t.requests.held(),
        "queues and counts of held requests differ"
    );
    let by_account: u32 = t.accounts.iter().map(|(_, a)| a.held).sum();
    assert_eq!(
        by_account as usize, queued,
        "counts of held requests of accounts and queues differ"
    );
}

fn check_endpoints(t: &Tables) {
    // One pass over the requests counts them for all endpoints: a coordinator has thousands of
    // endpoints and hundreds of requests.
    let mut counts: HashMap<usize, usize> = HashMap::new();
    for row in t.requests.iter() {
        if let Phase::Dispatching(at) | Phase::Running(at) = row.phase {
            *counts.entry(at).or_default() += 1;
        }
    }
    for (at, e) in t.endpoints.iter() {
        let n = counts.get(&at).copied().unwrap_or(0);
        assert_eq!(
            n, e.running as usize,
            "the count of running requests of endpoint {} is wrong",
            e.declared.name
        );
    }
}

fn check_bounds(t: &Tables) {
    assert!(
        t.requests.held() <= t.settings.max_held,
        "more requests are held than `max_held`"
    );
    assert!(
        t.keys.len() <= t.settings.max_keys,
        "more keys are kept than `max_keys`"
    );
}

fn check_requests(t: &Tables, now: Time) {
    for row in t.requests.iter() {
        assert!(
            row.arrived <= now,
            "request {} arrived later than now",
            row.new.id
        );
        let repeatable = t.services.get(row.service).declared.repeatable;
        let again = row.ran_before && row.phase == Phase::Held && !repeatable;
        assert!(
            !again,
            "request {} is not repeatable, ran before and is held",
            row.new.id
        );
        let mut tried = row.tried.clone();
        tried.sort_unstable();
        tried.dedup();
        assert_eq!(
            tried.len(),
            row.tried.len(),
            "request {} was sent to an endpoint twice",
            row.new.id
        );
    }
}
