//! Segments of prompts on which endpoints exit as soon as they begin to answer.
//!
//! In an incident no two requests were alike, and each with one segment in its prompt made the endpoint exit that began
//! to answer it: 31 and 46 exits, and 21 and 36 requests that were sent after the fifth. Sound requests shared the
//! account and all other segments.

mod world;

use std::sync::Arc;
use std::time::Duration;

use firdock_core::{Content, Outcome};
use firdock_policy::event::{DispatchUpdate, Liveness};
use firdock_policy::{Event, NewRequest};
use proptest::prelude::*;

use self::world::{Load, World};
use super::{ENDED, TestPool, break_connection, final_verdict, liveness_checked, with_body};
use crate::edge::EdgeScheduler;
use crate::fixtures::millis;

/// First token of an answer.
const FIRST_TOKEN: DispatchUpdate = DispatchUpdate::Tokens {
    delivered: 1,
    cached: 0,
};

pub fn segment(name: &str) -> Arc<Content> {
    Arc::new(Content::of_segment("free", "once", name))
}

/// A request unlike all others that has these segments.
pub fn with_segments(n: u64, segments: &[&str]) -> NewRequest {
    NewRequest {
        segments: segments.iter().map(|name| segment(name)).collect(),
        ..with_body(n, "once", &format!("body {n}"))
    }
}

fn is_held(edge: &EdgeScheduler, name: &str) -> bool {
    let suspects = &edge.scheduler.tables().suspects;
    suspects.is_quarantined(segment(name).id)
}

/// Sends a request, and lets its answer begin and go on for long enough to show that its endpoint lives.
fn answer(pool: &mut TestPool, n: u64, segments: &[&str]) -> bool {
    let Some((dispatch, _)) = pool.arrive(with_segments(n, segments)) else {
        return false;
    };
    pool.edge.update_dispatch(n, dispatch, FIRST_TOKEN);
    pool.edge.now += millis(400);
    pool.edge.update_dispatch(n, dispatch, ENDED);
    true
}

/// Guards against new requests that keep making endpoints exit because of a segment that they share.
#[test]
fn requests_with_a_segment_on_which_endpoints_exited_are_not_dispatched_again() {
    let mut pool = TestPool::new(12);
    for n in 1..=20 {
        pool.send_and_exit(with_segments(n, &["shared", "deadly"]));
    }
    assert!(pool.exited.len() <= 5, "{:?}", pool.exited);
    let actions = pool.edge.arrive(with_segments(30, &["shared", "deadly"]));
    let verdict = final_verdict(&actions, 30).expect("a final answer");
    assert_eq!(verdict.outcome, Outcome::NotRun);
    assert_eq!(verdict.reason.as_str(), "ends-endpoints");
    assert_eq!(verdict.retry_after, None);
}

/// Guards against sound requests that are refused for a segment which they share with deadly ones.
#[test]
fn sound_requests_that_share_the_other_segments_go_on() {
    for sound_between in [false, true] {
        let mut pool = TestPool::new(12);
        for n in 1..=20 {
            pool.send_and_exit(with_segments(n, &["shared", "deadly"]));
            if sound_between {
                assert!(answer(&mut pool, 100 + n, &["shared", "sound"]));
            }
        }
        assert!(is_held(&pool.edge, "deadly"));
        assert!(!is_held(&pool.edge, "shared"));
        assert!(answer(&mut pool, 200, &["shared", "sound"]));
        assert!(answer(&mut pool, 201, &["shared"]));
        assert!(answer(&mut pool, 202, &[]));
    }
}

/// Guards against a deadly segment that is not found because all requests with it have another one behind it.
#[test]
fn a_first_segment_is_held_if_requests_with_various_others_behind_it_make_endpoints_exit() {
    let mut pool = TestPool::new(12);
    for n in 1..=20 {
        let behind = format!("behind {n}");
        pool.send_and_exit(with_segments(n, &["deadly", &behind]));
    }
    assert!(pool.exited.len() <= 5, "{:?}", pool.exited);
    assert!(is_held(&pool.edge, "deadly"));
    assert!(answer(&mut pool, 100, &["other", "behind 1"]));
}

/// Guards against segments of requests that were being answered when their endpoint exited because of another one.
#[test]
fn an_exit_says_nothing_about_requests_whose_answers_had_begun() {
    let mut pool = TestPool::new(12);
    for n in 1..=6 {
        let (dispatch, endpoint) = pool
            .arrive(with_segments(n, &["begun"]))
            .expect("it is sent");
        pool.edge.update_dispatch(n, dispatch, FIRST_TOKEN);
        pool.edge.now += millis(400);
        pool.exit_endpoint(n, (dispatch, endpoint));
    }
    assert!(!is_held(&pool.edge, "begun"));
}

/// Guards against a failure of an endpoint, which never began to answer, that clears a deadly segment.
#[test]
fn a_failure_response_says_nothing_for_the_segments_of_its_request() {
    let mut pool = TestPool::new(12);
    for n in 1..=20 {
        pool.send_and_exit(with_segments(n, &["shared", "deadly"]));
        let Some((dispatch, _)) = pool.arrive(with_segments(100 + n, &["shared", "deadly"])) else {
            break;
        };
        pool.edge
            .update_dispatch(100 + n, dispatch, DispatchUpdate::Failed);
        pool.edge.update_dispatch(100 + n, dispatch, ENDED);
    }
    assert!(pool.exited.len() <= 5, "{:?}", pool.exited);
    assert!(is_held(&pool.edge, "deadly"));
}

/// Guards against a segment that is held because endpoints exit for another reason, all at once.
#[test]
fn segments_are_not_held_when_many_endpoints_exit_at_once() {
    let mut pool = TestPool::new(8);
    let sent: Vec<_> = (1..=8)
        .filter_map(|n| Some((n, pool.arrive(with_segments(n, &["shared"]))?)))
        .collect();
    assert!(sent.len() >= 4);
    pool.edge.now += millis(100);
    for (n, (dispatch, endpoint)) in sent {
        break_connection(&mut pool.edge, n, dispatch);
        liveness_checked(&mut pool.edge, &endpoint, Liveness::Ended);
        pool.exited.push(endpoint);
    }
    assert!(!is_held(&pool.edge, "shared"));
}

/// Guards against one account that makes another one's requests refused.
#[test]
fn a_segment_of_another_account_or_service_is_another_segment() {
    let ids = [("free", "once"), ("limited", "once"), ("free", "safe")]
        .map(|(account, service)| Content::of_segment(account, service, "deadly").id);
    assert!(ids[0] != ids[1] && ids[0] != ids[2] && ids[1] != ids[2]);
}

/// Guards against an operator's release that does not reach a segment.
#[test]
fn an_operator_releases_a_segment_like_a_request() {
    let mut pool = TestPool::new(12);
    for n in 1..=10 {
        pool.send_and_exit(with_segments(n, &["shared", "deadly"]));
    }
    assert!(is_held(&pool.edge, "deadly"));
    let until = pool.edge.now;
    pool.edge.step(Event::Released(segment("deadly").id, until));
    assert!(answer(&mut pool, 30, &["shared", "deadly"]));
}

fn load() -> impl Strategy<Value = Load> {
    let counts = (6_usize..30, 1_u32..8, 1_usize..4, 1_u64..30);
    let troubles = (any::<bool>(), any::<bool>(), any::<bool>(), 0_u64..30);
    (counts, troubles, any::<u64>()).prop_map(|(counts, troubles, seed)| {
        let (endpoints, slots, instances, deadly_percent) = counts;
        let (deadly_first, other_crashes, rack_falls, lost_percent) = troubles;
        Load {
            endpoints,
            slots,
            instances,
            deadly_from: Duration::ZERO,
            deadly_percent,
            deadly_first,
            other_crashes,
            rack_falls,
            lost_percent,
            seed,
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Guards against any load under which a deadly segment costs more than the target allows, or a sound request is
    /// refused for it.
    #[test]
    fn a_deadly_segment_costs_few_endpoints_and_no_sound_request_under_any_load(load in load()) {
        let result = World::new(load).run();
        prop_assert!(result.sent_late <= 3, "{:?}", result);
        prop_assert_eq!(result.sound_refused, 0, "{:?}", result);
    }

    /// Guards against the same at a site that has answered requests before.
    #[test]
    fn at_a_site_that_has_answered_before_a_deadly_segment_costs_few_endpoints_and_no_sound_request(
        load in load(),
    ) {
        let load = Load { deadly_from: Duration::from_secs(2), ..load };
        let result = World::new(load).run();
        prop_assert!(result.sent_late <= 3, "{:?}", result);
        prop_assert_eq!(result.sound_refused, 0, "{:?}", result);
    }
}
