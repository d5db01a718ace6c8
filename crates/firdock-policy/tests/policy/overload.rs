//! Choice of an engine under overload, above all for long answers.

use firdock_core::resource::{Endpoint, Resource};
use firdock_policy::NewRequest;
use firdock_policy::event::DispatchUpdate;

use crate::edge::{EdgeScheduler, edge_settings, request, resources};
use crate::fixtures::dispatched;

/// The usual resources, with the given engines, each with its milliseconds per token.
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

fn long(n: u64) -> NewRequest {
    NewRequest {
        output_tokens: 4_000,
        ..request(n, "safe", "free")
    }
}

/// Finishes answers of the given length until the service's answers are predicted to be as long.
fn learn(edge: &mut EdgeScheduler, tokens: u32) {
    for n in 1_000..1_200 {
        edge.arrive(long(n));
        edge.update_dispatch(
            n,
            1,
            DispatchUpdate::Ended {
                prompt: 90,
                cached: 0,
                output: tokens,
            },
        );
    }
}

#[test]
fn a_long_answer_goes_where_it_ends_in_time() {
    let mut edge = EdgeScheduler::new(
        edge_settings("a"),
        engines(&[("fast", 4.0), ("slow", 16.0)], 8),
    );
    learn(&mut edge, 800);
    // The fast engine has more prompts to read, so that a short answer would start sooner on the slow one.
    for n in 0..3 {
        edge.arrive(long(n));
    }
    let at = dispatched(&edge.arrive(long(10)));
    assert_eq!(at[0].1, "fast", "of 5 s, the slow engine needs 13");
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
        let mut edge = EdgeScheduler::new(edge_settings("a"), all);
        assert_eq!(dispatched(&edge.arrive(long(1))).len(), 1, "{rate}");
    }
}
