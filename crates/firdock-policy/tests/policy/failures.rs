//! Endpoints that answer with a failure: what the caller gets when no other endpoint succeeds.

use firdock_policy::event::{BreakCause, DispatchUpdate};
use firdock_policy::{Action, Event};

use crate::edge::{EdgeScheduler, edge_settings, request, resources};
use crate::fixtures::{id, millis};

const BROKE: DispatchUpdate = DispatchUpdate::Broke { delivered: 0 };

/// The endpoint of a dispatch fails with an answer that can be forwarded.
fn fail_dispatch(edge: &mut EdgeScheduler, dispatch: u32) -> Vec<Action> {
    edge.update_dispatch(1, dispatch, DispatchUpdate::Failed);
    edge.update_dispatch(1, dispatch, DispatchUpdate::FailureKept);
    edge.update_dispatch(1, dispatch, DispatchUpdate::Breaking(BreakCause::Failed));
    edge.update_dispatch(1, dispatch, BROKE)
}

fn arrived() -> EdgeScheduler {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    edge.step(Event::ConfigConfirmed(edge.now));
    edge.arrive(request(1, "safe", "free"));
    edge
}

fn is_forwarded(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::PassFailure { id: of } if *of == id(1)))
}

#[test]
fn the_last_endpoints_failure_is_forwarded_when_no_other_is_tried() {
    let mut edge = arrived();
    let actions = fail_dispatch(&mut edge, 1);
    assert!(!is_forwarded(&actions), "another endpoint is tried first");
    let actions = fail_dispatch(&mut edge, 2);
    assert!(is_forwarded(&actions), "{actions:?}");
}

// Guards against reporting a known outcome when a later attempt may still have run.
#[test]
fn a_failure_before_a_lost_attempt_is_not_forwarded() {
    let mut edge = arrived();
    fail_dispatch(&mut edge, 1);
    edge.update_dispatch(1, 2, DispatchUpdate::Breaking(BreakCause::Closed));
    let actions = edge.update_dispatch(1, 2, BROKE);
    assert!(!is_forwarded(&actions), "{actions:?}");
}

#[test]
fn a_failure_is_forwarded_when_the_time_limit_expires_before_another_attempt() {
    let mut alone = resources();
    alone.retain(|r| !format!("{r:?}").contains("\"e2\""));
    let mut edge = EdgeScheduler::new(edge_settings("a"), alone);
    edge.step(Event::ConfigConfirmed(edge.now));
    edge.arrive(request(1, "safe", "free"));
    let mut actions = fail_dispatch(&mut edge, 1);
    for _ in 0..600 {
        edge.now += millis(10);
        edge.step(Event::ConfigConfirmed(edge.now));
        actions.extend(edge.step(Event::Timer));
    }
    assert!(is_forwarded(&actions), "{actions:?}");
}
