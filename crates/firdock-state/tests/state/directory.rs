//! The directory of endpoints through outages of the platform's list.

use std::time::Duration;

use firdock_core::resource::Endpoint;
use firdock_state::directory::{Directory, Entered, GRACE};
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

/// A directory that read two endpoints at second 10, of a list that is steady since second 5.
fn listed() -> Directory {
    let mut directory = Directory::new();
    directory.replace(vec![endpoint("a"), endpoint("b")]);
    directory.note_read(seconds(10), seconds(5));
    directory
}

#[test]
fn an_entry_that_is_dropped_goes_with_the_next_read() {
    let mut directory = listed();
    directory.remove("a");
    assert!(directory.note_read(seconds(11), seconds(5)));
    assert_eq!(names(&directory), ["b"]);
}

#[test]
fn an_entry_that_lapsed_in_an_outage_is_kept_until_the_grace_ends() {
    let mut directory = listed();
    let back = seconds(20);
    directory.replace(vec![endpoint("b")]);
    assert!(!directory.note_read(back, back));
    assert_eq!(names(&directory), ["a", "b"]);
    assert!(directory.note_read(back + GRACE, back));
    assert_eq!(names(&directory), ["b"]);
}

#[test]
fn an_entry_that_is_back_within_the_grace_stays() {
    let mut directory = listed();
    let back = seconds(20);
    directory.replace(vec![endpoint("b")]);
    directory.note_read(back, back);
    directory.put(endpoint("a"));
    assert!(!directory.note_read(back + GRACE, back));
    assert_eq!(names(&directory), ["a", "b"]);
}

#[test]
fn an_entry_that_says_it_leaves_is_believed_at_once_even_in_the_grace() {
    let mut directory = listed();
    let back = seconds(20);
    let mut leaving = endpoint("a");
    leaving.leaving = true;
    assert!(directory.put(leaving));
    directory.note_read(back, back);
    assert!(directory.endpoints().any(|e| e.name == "a" && e.leaving));
}

fn started(name: &str, start: u64, leaving: bool) -> Endpoint {
    Endpoint {
        started: Some(Duration::from_millis(start)),
        leaving,
        ..endpoint(name)
    }
}

/// Gives the start and the state that are believed.
fn believed(directory: &Directory, name: &str) -> Option<(u128, bool)> {
    let mut endpoints = directory.endpoints();
    let found = endpoints.find(|e| e.name == name)?;
    Some((found.started?.as_millis(), found.leaving))
}

#[test]
fn an_older_entry_changes_nothing_whatever_it_says() {
    let mut directory = Directory::new();
    assert_eq!(directory.enter(started("a", 5, true), 9), Entered::Changed);
    for (start, count) in [(5, 8), (4, 9), (4, 99), (0, 0)] {
        let entered = directory.enter(started("a", start, false), count);
        assert_eq!(entered, Entered::Older, "{start}, {count}");
    }
    assert_eq!(believed(&directory, "a"), Some((5, true)));
    assert_eq!(directory.enter(started("a", 5, true), 9), Entered::Known);
    assert_eq!(directory.enter(started("a", 6, false), 1), Entered::Changed);
    assert_eq!(believed(&directory, "a"), Some((6, false)));
}

#[test]
fn an_older_entry_brings_nothing_back_that_is_gone_or_taken_out() {
    let mut directory = Directory::new();
    directory.enter(started("a", 5, true), 9);
    directory.remove("a");
    assert!(directory.note_read(seconds(10), seconds(5)));
    assert_eq!(directory.enter(started("a", 5, false), 8), Entered::Older);
    assert_eq!(
        directory.enter(started("a", 5, false), 10),
        Entered::Changed
    );
    assert!(directory.take_out("a") && !directory.take_out("a"));
    assert_eq!(directory.enter(started("a", 5, false), 9), Entered::Older);
    assert_eq!(
        directory.enter(started("a", 5, false), 11),
        Entered::Changed
    );
    assert_eq!(names(&directory), ["a"]);
}

#[test]
fn an_entry_without_a_start_after_one_with_a_start_is_no_whole_one() {
    let mut directory = Directory::new();
    directory.enter(started("a", 5, false), 1);
    assert_eq!(directory.enter(endpoint("a"), 2), Entered::Startless);
    // Where no start is told, entries are taken as they come.
    assert_eq!(directory.enter(endpoint("b"), 7), Entered::Changed);
    assert_eq!(directory.enter(endpoint("b"), 3), Entered::Known);
}

proptest! {
    #[test]
    fn the_newest_entry_is_believed_however_they_are_shuffled(
        told in prop::collection::vec((0_u64..4, 0_u64..6), 1..24),
        removals in prop::collection::vec(any::<bool>(), 24),
    ) {
        // What an entry says follows from its order, as it does where one endpoint wrote it.
        let leaving = |start: u64, count: u64| (start + count) % 2 == 1;
        let mut directory = Directory::new();
        let mut newest = (0, 0);
        for ((start, count), taken_out) in told.into_iter().zip(removals) {
            if taken_out {
                directory.take_out("a");
            }
            let entered = directory.enter(started("a", start, leaving(start, count)), count);
            prop_assert_eq!(entered == Entered::Older, (start, count) < newest);
            newest = newest.max((start, count));
            if let Some((start, is)) = believed(&directory, "a") {
                prop_assert_eq!((u128::from(newest.0), leaving(newest.0, newest.1)), (start, is));
            }
        }
    }
}
