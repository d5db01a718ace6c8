//! What is decided where places are few: which engine a long answer gets, and who waits for whom.

use firdock_core::resource::{Endpoint, Resource};
use firdock_policy::NewRequest;
use uuid::Uuid;

use crate::edge::{Edge, REFUSED, edge_settings, request, resources};
use crate::scene::{dispatched, id, millis};

/// The usual resources, with engines that take so many milliseconds for each token.
fn engines(token_millis: &[(&str, f64)], slots: u32) -> Vec<Resource> {
    let mut all = resources();
    all.retain(|r| !matches!(r, Resource::Endpoint(_)));
    let engine = |(name, millis): &(&str, f64)| {
        Resource::Endpoint(Endpoint {
            name: (*name).to_owned(),
            pool: "pool".to_owned(),
            slots,
            token_millis: *millis,
            ..Endpoint::default()
        })
    };
    all.extend(token_millis.iter().map(engine));
    all
}

fn long(n: u64, tokens: u32) -> NewRequest {
    NewRequest {
        output_tokens: 4_000,
        expected_tokens: tokens,
        ..request(n, "safe", "free")
    }
}

#[test]
fn a_long_answer_goes_where_it_ends_in_time() {
    let mut edge = Edge::new(
        edge_settings("a"),
        engines(&[("fast", 4.0), ("slow", 16.0)], 8),
    );
    // The fast engine has more to read, so that a short answer begins sooner on the slow one.
    for n in 0..3 {
        edge.arrive(long(n, 800));
    }
    let at = dispatched(&edge.arrive(long(10, 800)));
    assert_eq!(at[0].1, "fast", "of 5 s, the slow engine needs 13");
}

/// Gives which of two requests that wait for the only place goes first: number 2, which expects
/// `long_tokens`, or number 3, which comes a `pause` in milliseconds later and expects `short_tokens`.
fn first_of(long_tokens: u32, pause: u64, short_tokens: u32) -> Option<Uuid> {
    let mut edge = Edge::new(edge_settings("a"), engines(&[("only", 4.0)], 1));
    edge.arrive(request(1, "safe", "free"));
    edge.arrive(long(2, long_tokens));
    edge.now += millis(pause);
    edge.arrive(long(3, short_tokens));
    edge.now += millis(1);
    let at = dispatched(&edge.tell(1, 1, REFUSED));
    at.first().map(|(n, _)| *n)
}

#[test]
fn a_long_answer_waits_for_the_short_ones_of_its_account() {
    assert_eq!(first_of(1_000, 50, 10), Some(id(3)));
}

#[test]
fn no_answer_waits_for_what_comes_a_target_later() {
    // The target is 0.5 s; it is not yet over for the long one when the short one comes.
    assert_eq!(first_of(4_000, 490, 1), Some(id(3)));
    assert_eq!(first_of(4_000, 501, 1), Some(id(2)));
}

#[test]
fn an_engine_of_any_declared_rate_can_be_chosen() {
    for rate in [f64::MIN_POSITIVE, 1e-300, f64::MAX] {
        let mut all = engines(&[("only", 4.0)], 1);
        for resource in &mut all {
            if let Resource::Endpoint(e) = resource {
                e.prefill_rate = rate;
            }
        }
        let mut edge = Edge::new(edge_settings("a"), all);
        assert_eq!(dispatched(&edge.arrive(long(1, 10))).len(), 1, "{rate}");
    }
}
