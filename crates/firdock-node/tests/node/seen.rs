//! Looks at tables of thousands of rows, of which few change.

use std::collections::BTreeMap;

use firdock_node::telemetry::seen::{Change, Seen};

type Changes = BTreeMap<String, Change<&'static str>>;

fn look(seen: &mut Seen<&'static str>, rows: &[(usize, &str, &'static str)]) -> Changes {
    seen.look(rows.iter().copied())
}

fn change(before: Option<&'static str>, is: Option<&'static str>) -> Change<&'static str> {
    Change { before, is }
}

#[test]
fn a_look_gives_what_is_new_what_changed_and_what_is_gone() {
    let mut seen = Seen::default();
    let first = look(&mut seen, &[(0, "a", "usable"), (1, "b", "usable")]);
    assert_eq!(first["a"], change(None, Some("usable")));
    assert!(look(&mut seen, &[(0, "a", "usable"), (1, "b", "usable")]).is_empty());
    let next = look(&mut seen, &[(0, "a", "leaving"), (2, "c", "usable")]);
    let expected = [
        ("a".to_owned(), change(Some("usable"), Some("leaving"))),
        ("b".to_owned(), change(Some("usable"), None)),
        ("c".to_owned(), change(None, Some("usable"))),
    ];
    assert_eq!(next, BTreeMap::from(expected));
}

#[test]
fn a_name_that_moves_to_another_row_and_a_row_that_gets_another_name_are_told_by_name() {
    let mut seen = Seen::default();
    look(&mut seen, &[(0, "a", "usable"), (1, "b", "usable")]);
    // A restarted endpoint has a new row, and the old one's number goes to another endpoint.
    let moved = look(
        &mut seen,
        &[(0, "c", "usable"), (1, "b", "usable"), (2, "a", "usable")],
    );
    assert_eq!(
        moved,
        BTreeMap::from([("c".to_owned(), change(None, Some("usable")))])
    );
    let moved = look(&mut seen, &[(0, "a", "ejected"), (1, "b", "usable")]);
    assert_eq!(moved["a"], change(Some("usable"), Some("ejected")));
    assert_eq!(moved["c"], change(Some("usable"), None));
}
