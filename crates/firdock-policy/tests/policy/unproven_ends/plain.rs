//! Streams of plain endpoints, which any other endpoint of the service may continue after their last event.

use firdock_core::resource::{EndpointKind, Resource};
use firdock_policy::Action;
use firdock_policy::event::{EndEvidence, Liveness};

use super::{Answers, MAX_WAIT, rejected, resources_of, verdict_on};
use crate::edge::{EdgeScheduler, edge_settings, request};
use crate::fixtures::{dispatched, millis};

/// Returns resources whose endpoints are plain ones.
fn plain_resources(endpoints: &[&str]) -> Vec<Resource> {
    let mut all = resources_of(endpoints);
    for resource in &mut all {
        if let Resource::Endpoint(endpoint) = resource {
            endpoint.backend = EndpointKind::Plain;
        }
    }
    all
}

/// The same where a request is sent once.
fn single_attempt_resources(endpoints: &[&str]) -> Vec<Resource> {
    let mut all = plain_resources(endpoints);
    for resource in &mut all {
        if let Resource::Service(service) = resource {
            service.attempts = 1;
        }
    }
    all
}

/// Returns streams whose ends wait, with evidence that says nothing of their endpoint.
fn ends_without_sign(
    resources: fn(&[&str]) -> Vec<Resource>,
) -> Vec<(EndEvidence, Answers, Vec<Action>)> {
    let of = || Answers::with_resources(&["stream"], resources);
    let (mut silent, mut late, mut ambiguous) = (of(), of(), of());
    silent.close(1);
    let found = silent.pass(MAX_WAIT);
    let mut ends = vec![(EndEvidence::Silent, silent, found)];
    late.edge.now += millis(1_500);
    late.close(1);
    let found = late.check(Liveness::Open);
    ends.push((EndEvidence::SeenLate, late, found));
    ambiguous.close(1);
    let found = ambiguous.check(Liveness::StoppedListening);
    ends.push((EndEvidence::Ambiguous, ambiguous, found));
    ends
}

// Guards against a part of a stream that is passed on as complete, since its endpoint is a plain one and nothing shows
// whether its process was killed.
#[test]
fn a_stream_of_a_plain_endpoint_goes_on_elsewhere_for_want_of_evidence() {
    for (evidence, mut answers, found) in ends_without_sign(plain_resources) {
        assert_eq!(verdict_on(1, &found), rejected(evidence));
        let sent = dispatched(&answers.break_off(1));
        assert_eq!(sent.len(), 1, "{evidence:?}");
        assert_eq!(sent[0].1, "e2", "{evidence:?}");
    }
}

// Guards against the same where the request may not be sent again: its caller can take the stream up.
#[test]
fn a_stream_without_further_attempts_is_broken_off_for_want_of_evidence() {
    for (evidence, mut answers, found) in ends_without_sign(single_attempt_resources) {
        assert_eq!(verdict_on(1, &found), rejected(evidence));
        let broken = answers.break_off(1);
        let is_cut = |a: &Action| matches!(a, Action::Cut { .. });
        assert!(broken.iter().any(is_cut), "{evidence:?}: {broken:?}");
    }
}

// Guards against a stream of a plain endpoint that its caller has to ask for again when the endpoint is killed.
#[test]
fn a_stream_of_a_plain_endpoint_that_was_killed_goes_on_elsewhere() {
    let mut answers = Answers::with_resources(&["stream"], plain_resources);
    let sent = dispatched(&answers.break_off(1));
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].1, "e2");
}

// Guards against a stream that its caller continues and that is told as complete without any event, although nothing shows
// whether its endpoint was killed: the caller may ask again.
#[test]
fn a_stream_without_events_or_further_attempts_does_not_end_for_want_of_evidence() {
    let resources = single_attempt_resources(&["e1"]);
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources);
    edge.arrive(request(1, "stream", "free"));
    let mut answers = Answers { edge };
    answers.pass(millis(100));
    answers.close(1);
    let found = answers.pass(MAX_WAIT);
    assert_eq!(verdict_on(1, &found), rejected(EndEvidence::Silent));
}
