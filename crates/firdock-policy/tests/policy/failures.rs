//! Endpoints that answer that they failed: what a caller gets once no other endpoint does better.

use firdock_policy::event::{BreakCause, DispatchUpdate};
use firdock_policy::{Action, Event};

use crate::edge::{EdgeScheduler, edge_settings, request, resources};
use crate::fixtures::{id, millis};

const BROKE: DispatchUpdate = DispatchUpdate::Broke { delivered: 0 };

/// The endpoint of a dispatch fails; its answer can be passed on.
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
fn the_last_endpoints_failure_is_passed_on_once_no_other_one_is_tried() {
    let mut edge = arrived();
    let actions = fail_dispatch(&mut edge, 1);
    assert!(!is_forwarded(&actions), "another endpoint is tried first");
    let actions = fail_dispatch(&mut edge, 2);
    assert!(is_forwarded(&actions), "{actions:?}");
}

// Guards against an outcome that is told known where a later try may still have run.
#[test]
fn a_failure_before_a_try_that_was_lost_is_not_passed_on() {
    let mut edge = arrived();
    fail_dispatch(&mut edge, 1);
    edge.update_dispatch(1, 2, DispatchUpdate::Breaking(BreakCause::Closed));
    let actions = edge.update_dispatch(1, 2, BROKE);
    assert!(!is_forwarded(&actions), "{actions:?}");
}

#[test]
fn a_failure_is_passed_on_to_a_request_whose_time_is_up_before_another_try() {
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
