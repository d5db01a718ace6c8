//! The directory of endpoints during and after outages of the platform's list.

use std::time::Duration;

use firdock_core::resource::Endpoint;
use firdock_state::directory::{ApplyOutcome, Directory, GRACE};
use proptest::prelude::*;

fn endpoint(name: &str) -> Endpoint {
    Endpoint {
        name: name.to_owned(),
        ..Endpoint::default()
    }
}

fn names(directory: &Directory) -> Vec<&str> {
    directory.endpoints().map(|e| e.name.as_str()).collect()
}

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Creates a directory that read two endpoints at second 10 from a list that has had no outage since second 5.
fn listed_directory() -> Directory {
    let mut directory = Directory::new();
    directory.replace(vec![endpoint("a"), endpoint("b")]);
    directory.record_read(seconds(10), seconds(5));
    directory
}

#[test]
fn a_removed_entry_is_dropped_with_the_next_read() {
    let mut directory = listed_directory();
    directory.remove("a");
    assert!(directory.record_read(seconds(11), seconds(5)));
    assert_eq!(names(&directory), ["b"]);
}

#[test]
fn an_entry_that_expired_in_an_outage_is_kept_until_the_grace_period_ends() {
    let mut directory = listed_directory();
    let reachable_at = seconds(20);
    directory.replace(vec![endpoint("b")]);
    assert!(!directory.record_read(reachable_at, reachable_at));
    assert_eq!(names(&directory), ["a", "b"]);
    assert!(directory.record_read(reachable_at + GRACE, reachable_at));
    assert_eq!(names(&directory), ["b"]);
}

#[test]
fn an_entry_that_returns_within_the_grace_period_stays() {
    let mut directory = listed_directory();
    let reachable_at = seconds(20);
    directory.replace(vec![endpoint("b")]);
    directory.record_read(reachable_at, reachable_at);
    directory.put(endpoint("a"));
    assert!(!directory.record_read(reachable_at + GRACE, reachable_at));
    assert_eq!(names(&directory), ["a", "b"]);
}

#[test]
fn a_leaving_entry_applies_at_once_even_in_the_grace_period() {
    let mut directory = listed_directory();
    let reachable_at = seconds(20);
    let mut leaving = endpoint("a");
    leaving.leaving = true;
    assert!(directory.put(leaving));
    directory.record_read(reachable_at, reachable_at);
    assert!(directory.endpoints().any(|e| e.name == "a" && e.leaving));
}

fn started(name: &str, start: u64, leaving: bool) -> Endpoint {
    Endpoint {
        started: Some(Duration::from_millis(start)),
        leaving,
        ..endpoint(name)
    }
}

/// Returns the start of an endpoint, and whether it is leaving, as the directory has them.
fn start_and_leaving(directory: &Directory, name: &str) -> Option<(u128, bool)> {
    let mut endpoints = directory.endpoints();
    let found = endpoints.find(|e| e.name == name)?;
    Some((found.started?.as_millis(), found.leaving))
}

#[test]
fn an_older_entry_changes_nothing_whatever_its_content() {
    let mut directory = Directory::new();
    assert_eq!(
        directory.apply(started("a", 5, true), 9),
        ApplyOutcome::Changed
    );
    for (start, count) in [(5, 8), (4, 9), (4, 99), (0, 0)] {
        let outcome = directory.apply(started("a", start, false), count);
        assert_eq!(outcome, ApplyOutcome::Older, "{start}, {count}");
    }
    assert_eq!(start_and_leaving(&directory, "a"), Some((5, true)));
    assert_eq!(
        directory.apply(started("a", 5, true), 9),
        ApplyOutcome::Known
    );
    assert_eq!(
        directory.apply(started("a", 6, false), 1),
        ApplyOutcome::Changed
    );
    assert_eq!(start_and_leaving(&directory, "a"), Some((6, false)));
}

#[test]
fn an_older_entry_does_not_bring_back_a_removed_endpoint() {
    let mut directory = Directory::new();
    directory.apply(started("a", 5, true), 9);
    directory.remove("a");
    assert!(directory.record_read(seconds(10), seconds(5)));
    assert_eq!(
        directory.apply(started("a", 5, false), 8),
        ApplyOutcome::Older
    );
    assert_eq!(
        directory.apply(started("a", 5, false), 10),
        ApplyOutcome::Changed
    );
    assert!(directory.remove_now("a") && !directory.remove_now("a"));
    assert_eq!(
        directory.apply(started("a", 5, false), 9),
        ApplyOutcome::Older
    );
    assert_eq!(
        directory.apply(started("a", 5, false), 11),
        ApplyOutcome::Changed
    );
    assert_eq!(names(&directory), ["a"]);
}

#[test]
fn an_entry_without_a_start_after_one_with_a_start_is_rejected() {
    let mut directory = Directory::new();
    directory.apply(started("a", 5, false), 1);
    assert_eq!(
        directory.apply(endpoint("a"), 2),
        ApplyOutcome::MissingStart
    );
}

/// Guards against a late write of an endpoint that has said since that it leaves, or that is gone.
#[test]
fn an_entry_without_a_start_is_ordered_by_its_number() {
    let leaving = Endpoint {
        leaving: true,
        ..endpoint("a")
    };
    let mut directory = Directory::new();
    assert_eq!(directory.apply(leaving, 7), ApplyOutcome::Changed);
    assert_eq!(directory.apply(endpoint("a"), 6), ApplyOutcome::Older);
    assert!(directory.endpoints().all(|e| e.leaving));
    directory.remove("a");
    assert!(directory.record_read(seconds(10), seconds(5)));
    assert_eq!(directory.apply(endpoint("a"), 6), ApplyOutcome::Older);
    assert!(names(&directory).is_empty());
    assert_eq!(directory.apply(endpoint("a"), 8), ApplyOutcome::Changed);
    assert_eq!(
        directory.apply(started("a", 1, true), 1),
        ApplyOutcome::Changed
    );
}

proptest! {
    #[test]
    fn the_newest_entry_applies_in_any_order_of_arrival(
        entries in prop::collection::vec((0_u64..4, 0_u64..6), 1..24),
        removals in prop::collection::vec(any::<bool>(), 24),
    ) {
        // The content of an entry follows from its order, as for entries that one endpoint writes.
        let leaving = |start: u64, count: u64| (start + count) % 2 == 1;
        let mut directory = Directory::new();
        let mut newest = (0, 0);
        for ((start, count), is_removed) in entries.into_iter().zip(removals) {
            if is_removed {
                directory.remove_now("a");
            }
            let outcome = directory.apply(started("a", start, leaving(start, count)), count);
            prop_assert_eq!(outcome == ApplyOutcome::Older, (start, count) < newest);
            newest = newest.max((start, count));
            if let Some((start, is_leaving)) = start_and_leaving(&directory, "a") {
                prop_assert_eq!((u128::from(newest.0), leaving(newest.0, newest.1)), (start, is_leaving));
            }
        }
    }
}
