//! Tracking of changes in tables of thousands of rows, of which few change at a time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use firdock_core::resource::{Catalog, Endpoint, Resource};
use firdock_core::settings::Settings;
use firdock_node::telemetry::change_tracker::{Change, ChangeTracker};
use firdock_node::telemetry::{EndpointList, StateChangeLog, discard_logger};
use firdock_policy::{Event, Policy as _, PolicySettings, Scheduler};
use uuid::Uuid;

type Changes = BTreeMap<String, Change<&'static str>>;

fn update(
    tracker: &mut ChangeTracker<&'static str>,
    rows: &[(usize, &str, &'static str)],
) -> Changes {
    tracker.update(rows.iter().copied())
}

fn change(before: Option<&'static str>, is: Option<&'static str>) -> Change<&'static str> {
    Change { before, is }
}

#[test]
fn an_update_returns_added_changed_and_removed_rows() {
    let mut tracker = ChangeTracker::default();
    let first = update(&mut tracker, &[(0, "a", "usable"), (1, "b", "usable")]);
    assert_eq!(first["a"], change(None, Some("usable")));
    assert!(update(&mut tracker, &[(0, "a", "usable"), (1, "b", "usable")]).is_empty());
    let next = update(&mut tracker, &[(0, "a", "leaving"), (2, "c", "usable")]);
    let expected = [
        ("a".to_owned(), change(Some("usable"), Some("leaving"))),
        ("b".to_owned(), change(Some("usable"), None)),
        ("c".to_owned(), change(None, Some("usable"))),
    ];
    assert_eq!(next, BTreeMap::from(expected));
}

#[test]
fn changes_follow_the_name_if_a_name_moves_to_another_row() {
    let mut tracker = ChangeTracker::default();
    update(&mut tracker, &[(0, "a", "usable"), (1, "b", "usable")]);
    // A restarted endpoint gets a new row, and the number of its old row goes to another endpoint.
    let moved = update(
        &mut tracker,
        &[(0, "c", "usable"), (1, "b", "usable"), (2, "a", "usable")],
    );
    assert_eq!(
        moved,
        BTreeMap::from([("c".to_owned(), change(None, Some("usable")))])
    );
    let moved = update(&mut tracker, &[(0, "a", "ejected"), (1, "b", "usable")]);
    assert_eq!(moved["a"], change(Some("usable"), Some("ejected")));
    assert_eq!(moved["c"], change(Some("usable"), None));
}

/// The operators' list kept the earlier pool of an endpoint after its entry had named another one.
#[test]
fn an_endpoint_that_moves_to_another_pool_is_listed_there() {
    let now = Duration::from_secs(100);
    let list = EndpointList::default();
    let mut state_changes = StateChangeLog::new(discard_logger(), Arc::default(), list.clone());
    let mut s = Scheduler::new(PolicySettings::new(&Settings::default(), Uuid::nil()));
    for pool in ["one", "other"] {
        let endpoint = Resource::Endpoint(Endpoint {
            name: "e".to_owned(),
            pool: pool.to_owned(),
            ..Endpoint::default()
        });
        let catalog = Catalog::new(1).with_resources(vec![endpoint]);
        s.step(now, Event::Config(Arc::new(catalog)), &mut Vec::new());
        state_changes.record(now, s.tables());
        assert_eq!(list.get()["e"].pool, pool);
    }
}
