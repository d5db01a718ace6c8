//! Requests that a later configuration does not admit as they were admitted, in each phase.

use firdock_core::{Outcome, Reason};
use firdock_policy::event::{BreakCause, DispatchUpdate};
use firdock_policy::{Action, Event, NewRequest};

use crate::edge::{EdgeScheduler, edge_settings, request, resources, verdict};
use crate::fixtures::{dispatched, id};

fn scheduler() -> EdgeScheduler {
    EdgeScheduler::new(edge_settings("a"), resources())
}

/// Guards against a request that is admitted at its arrival although its key went while its body came.
#[test]
fn a_request_that_arrives_after_its_access_changed_is_refused() {
    let mut edge = scheduler();
    let actions = edge.arrive(NewRequest {
        access_changed: true,
        ..request(1, "once", "free")
    });
    assert!(dispatched(&actions).is_empty());
    assert_eq!(
        verdict(&actions),
        Some((Outcome::NotRun, Reason::AccessChanged))
    );
}

/// Guards against a held request that is sent by a configuration without its key.
#[test]
fn a_held_request_ends_at_once_when_its_access_changed() {
    let mut edge = scheduler();
    let held =
        (1..1_000).find(|n| dispatched(&edge.arrive(request(*n, "once", "free"))).is_empty());
    let held = held.expect("a request that waits");
    let actions = edge.step(Event::AccessChanged(id(held)));
    assert_eq!(
        verdict(&actions),
        Some((Outcome::NotRun, Reason::AccessChanged))
    );
}

/// Guards against a dispatch that is written after the change, since it still connected.
#[test]
fn a_dispatch_that_is_not_written_yet_is_withheld_and_ends() {
    let mut edge = scheduler();
    edge.arrive(request(1, "once", "free"));
    let actions = edge.step(Event::AccessChanged(id(1)));
    assert!(
        matches!(&*actions, [Action::Withhold { .. }]),
        "{actions:?}"
    );
    let actions = edge.update_dispatch(1, 1, DispatchUpdate::Withheld);
    assert!(dispatched(&actions).is_empty());
    assert_eq!(
        verdict(&actions),
        Some((Outcome::NotRun, Reason::AccessChanged))
    );
}

/// Guards against an answer that is cut off, and against a refusal of what was written before the change.
#[test]
fn an_answer_that_began_before_the_change_goes_on() {
    let mut edge = scheduler();
    edge.arrive(request(1, "once", "free"));
    edge.update_dispatch(1, 1, DispatchUpdate::Started { head_sent: true });
    assert!(edge.step(Event::AccessChanged(id(1))).is_empty());
    let ended = DispatchUpdate::Ended {
        prompt: 0,
        cached: 0,
        output: 0,
    };
    assert_eq!(verdict(&edge.update_dispatch(1, 1, ended)), None);
}

/// Guards against a second try that is sent by a configuration without the key; the first one may have run.
#[test]
fn a_broken_request_whose_access_changed_is_not_sent_again() {
    let mut edge = scheduler();
    edge.arrive(request(1, "safe", "free"));
    edge.step(Event::AccessChanged(id(1)));
    edge.update_dispatch(1, 1, DispatchUpdate::Breaking(BreakCause::Closed));
    let actions = edge.update_dispatch(1, 1, DispatchUpdate::Broke { delivered: 0 });
    assert!(dispatched(&actions).is_empty());
    assert_eq!(
        verdict(&actions),
        Some((Outcome::Unknown, Reason::AccessChanged))
    );
}
