//! What is decided where places are few: which engine a long answer gets, and which tier gets how much.

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_core::resource::{Endpoint, PoolWeight, Resource, Service, Tier};
use firdock_policy::event::DispatchNews;
use firdock_policy::{Event, NewRequest};

use crate::edge::{Edge, edge_settings, request, resources};
use crate::scene::{dispatched, millis};

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

fn long(n: u64) -> NewRequest {
    NewRequest {
        output_tokens: 4_000,
        ..request(n, "safe", "free")
    }
}

/// Lets answers of so many tokens end, until the service's are known to be as long.
fn learn(edge: &mut Edge, tokens: u32) {
    for n in 1_000..1_200 {
        edge.arrive(long(n));
        edge.tell(
            n,
            1,
            DispatchNews::Ended {
                prompt: 90,
                cached: 0,
                output: tokens,
            },
        );
    }
}

#[test]
fn a_long_answer_goes_where_it_ends_in_time() {
    let mut edge = Edge::new(
        edge_settings("a"),
        engines(&[("fast", 4.0), ("slow", 16.0)], 8),
    );
    learn(&mut edge, 800);
    // The fast engine has more to read, so that a short answer begins sooner on the slow one.
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
        let mut edge = Edge::new(edge_settings("a"), all);
        assert_eq!(dispatched(&edge.arrive(long(1))).len(), 1, "{rate}");
    }
}

/// Two kinds of request on ten engines of ten places: answers that hold a place for 1.3 s and, one tier
/// below, some that hold it for a tenth of that. Chats come 100 times a second, tags 60 times, so that
/// the places are asked for 1.36 times over: about what a burst of 1.6 times the usual did to sixty
/// engines. Gives the parts of both that were sent on in the last five of ten seconds.
fn two_tiers(catch_up: bool) -> (f64, f64) {
    let mut settings = edge_settings("a");
    settings.mechanisms.catch_up = catch_up;
    let mut all = engines(&[], 0);
    all.retain(|r| !matches!(r, Resource::Service(_) | Resource::Tier(_)));
    for (name, rank, target_millis) in [("chat", 1, 800), ("tag", 2, 1_500)] {
        all.push(Resource::Tier(Tier {
            name: name.to_owned(),
            rank,
            target_millis,
            ..Tier::default()
        }));
        all.push(Resource::Service(Service {
            name: name.to_owned(),
            tier: name.to_owned(),
            matches: format!("/{name}"),
            split: vec![PoolWeight {
                pool: "pool".to_owned(),
                weight: 1,
            }],
            ..Service::default()
        }));
    }
    let ten: Vec<String> = (0..10).map(|n| format!("e{n}")).collect();
    let ten: Vec<(&str, f64)> = ten.iter().map(|name| (name.as_str(), 4.0)).collect();
    all.extend(
        engines(&ten, 10)
            .into_iter()
            .filter(|r| matches!(r, Resource::Endpoint(_))),
    );
    let mut edge = Edge::new(settings, all);
    let mut ends: BTreeMap<Duration, Vec<u64>> = BTreeMap::new();
    let (mut came, mut sent) = ([0.0; 2], [0.0; 2]);
    let mut n = 0;
    let start = edge.now;
    while edge.now < start + millis(10_000) {
        edge.now += millis(5);
        let mut actions = Vec::new();
        let over: Vec<Duration> = ends.range(..=edge.now).map(|(at, _)| *at).collect();
        for id in over.iter().filter_map(|at| ends.remove(at)).flatten() {
            let output = if is_chat(id) { 290 } else { 22 };
            let news = DispatchNews::Ended {
                prompt: 90,
                cached: 0,
                output,
            };
            actions.extend(edge.tell(id, 1, news));
        }
        let elapsed = edge.now.saturating_sub(start).as_secs_f64();
        while (n as f64) < 160.0 * elapsed {
            n += 1;
            let service = if is_chat(n) { "chat" } else { "tag" };
            actions.extend(edge.arrive(request(n, service, "free")));
            came[usize::from(!is_chat(n))] += f64::from(elapsed > 5.0);
        }
        if n.is_multiple_of(4) {
            actions.extend(edge.step(Event::Timer));
        }
        for (id, _) in dispatched(&actions) {
            let id = id.as_u64_pair().1;
            sent[usize::from(!is_chat(id))] += f64::from(elapsed > 5.0);
            let time = if is_chat(id) { 1_300 } else { 130 };
            ends.entry(edge.now + millis(time)).or_default().push(id);
        }
    }
    (sent[0] / came[0], sent[1] / came[1])
}

/// Of eight requests five are chats.
fn is_chat(n: u64) -> bool {
    n % 8 < 5
}

#[test]
fn a_short_kind_of_a_lower_tier_is_served_as_often_as_the_one_above() {
    let (chats, tags) = two_tiers(true);
    assert!(
        (chats - tags).abs() < 0.1,
        "{chats} of chats, {tags} of tags"
    );
    let (chats_before, tags_before) = two_tiers(false);
    assert!(tags_before < 0.5, "{tags_before} of tags by strict order");
    assert!(
        chats_before - chats < 0.1,
        "{chats_before} of chats by strict order, {chats}"
    );
}
