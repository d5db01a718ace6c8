//! The directory of endpoints through outages of the platform's list.

use std::time::Duration;

use firdock_core::resource::Endpoint;
use firdock_state::directory::{Directory, GRACE, OUTAGE};

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

/// A directory that read two endpoints at second 10.
fn listed() -> Directory {
    let mut directory = Directory::new();
    directory.note_answer(seconds(10));
    directory.replace(vec![endpoint("a"), endpoint("b")]);
    directory.note_read(seconds(10));
    directory
}

#[test]
fn an_entry_that_is_dropped_goes_with_the_next_read() {
    let mut directory = listed();
    directory.note_answer(seconds(11));
    directory.remove("a");
    assert!(directory.note_read(seconds(11)));
    assert_eq!(names(&directory), ["b"]);
}

#[test]
fn an_instance_whose_peers_read_for_it_takes_no_outage_for_granted() {
    let mut directory = listed();
    let later = seconds(60);
    directory.note_answer(later);
    directory.remove("a");
    assert!(directory.note_read(later));
    assert_eq!(names(&directory), ["b"]);
}

#[test]
fn an_entry_that_lapsed_in_an_outage_is_kept_until_the_grace_ends() {
    let mut directory = listed();
    directory.note_failed(seconds(11));
    let back = seconds(11) + OUTAGE + seconds(1);
    directory.note_answer(back);
    directory.replace(vec![endpoint("b")]);
    assert!(!directory.note_read(back));
    assert_eq!(names(&directory), ["a", "b"]);
    let after = back + GRACE;
    directory.note_answer(after);
    assert!(directory.note_read(after));
    assert_eq!(names(&directory), ["b"]);
}

#[test]
fn an_entry_that_is_back_within_the_grace_stays() {
    let mut directory = listed();
    directory.note_failed(seconds(11));
    let back = seconds(20);
    directory.note_answer(back);
    directory.replace(vec![endpoint("b")]);
    directory.note_read(back);
    directory.put(endpoint("a"));
    assert!(!directory.note_read(back + GRACE));
    assert_eq!(names(&directory), ["a", "b"]);
}

#[test]
fn a_short_failure_is_no_outage() {
    let mut directory = listed();
    directory.note_failed(seconds(11));
    let back = seconds(11) + OUTAGE / 2;
    directory.note_answer(back);
    directory.remove("a");
    assert!(directory.note_read(back));
}
