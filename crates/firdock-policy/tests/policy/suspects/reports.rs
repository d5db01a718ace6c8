//! What instances tell each other of suspects, what operators let go, and how much is kept.

use std::time::Duration;

use firdock_core::Outcome;
use firdock_policy::event::{Grant, Liveness, PeerUpdate};
use firdock_policy::suspect::{ReportedExit, SuspectReport};
use firdock_policy::{Action, Event, NewRequest};
use proptest::prelude::*;

use super::{
    BROKE, Pool, RUN, answer, before, breaks, content, endpoints, ends_against, found,
    is_quarantined, with_body,
};
use crate::edge::{EdgeScheduler, edge_settings};
use crate::fixtures::{dispatched, id, millis};

pub fn told_of(body: &str, account: &str, starts: &[(&str, u64)]) -> SuspectReport {
    let end = |(start, ago): &(&str, u64)| ReportedExit {
        start: (*start).to_owned(),
        sent_ago: millis(ago + 100),
        ended_ago: millis(*ago),
        void: false,
    };
    SuspectReport {
        content: content(body),
        account: account.to_owned(),
        service: "once".to_owned(),
        exits: starts.iter().map(end).collect(),
    }
}

pub fn peer(name: &str, suspects: Vec<SuspectReport>) -> Event {
    Event::Peer(PeerUpdate {
        name: name.to_owned(),
        suspects,
        ..PeerUpdate::default()
    })
}

/// A coordinator of a group gives one try of a suspect at a time a place, whichever members ask, and all
/// else goes past it.
#[test]
fn a_coordinator_places_one_try_of_a_suspect_at_a_time() {
    let settings = edge_settings("a").with_coordination();
    let mut edge = EdgeScheduler::new(settings, endpoints(8));
    let words = vec![told_of("deadly", "free", &[("x1", 900)])];
    edge.step(peer("p", words));
    let from = |member: &str, n: u64, body: &str| NewRequest {
        member: member.to_owned(),
        ..with_body(n, "once", body)
    };
    assert_eq!(dispatched(&edge.arrive(from("m1", 1, "deadly"))).len(), 1);
    assert_eq!(dispatched(&edge.arrive(from("m2", 2, "deadly"))).len(), 0);
    assert_eq!(dispatched(&edge.arrive(from("m2", 3, "other"))).len(), 1);
    let next = dispatched(&edge.update_dispatch(1, 1, BROKE));
    assert_eq!(next.iter().map(|(of, _)| *of).collect::<Vec<_>>(), [id(2)]);
}

/// A member that hears of the third end while it waits for a place ends its request, and gives the place
/// back that comes.
#[test]
fn a_place_for_a_request_in_quarantine_is_given_back() {
    let mut edge = before(8);
    edge.step(Event::Coordinated(true));
    let actions = edge.arrive(with_body(1, "once", "deadly"));
    assert!(actions.contains(&Action::Ask { id: id(1) }));
    let words = [("x1", 900), ("x2", 600), ("x3", 300)];
    let actions = edge.step(peer("p", vec![told_of("deadly", "free", &words)]));
    let verdict = answer(&actions, 1).map(|v| v.outcome);
    assert_eq!(verdict, Some(Outcome::NotRun));
    let grant = Grant {
        id: id(1),
        endpoint: "s0".to_owned(),
        predicted: Duration::ZERO,
    };
    let actions = edge.step(Event::Granted(grant.clone()));
    assert_eq!(actions, [Action::Decline(grant)]);
}

/// What ended at one instance each counts together at all of them, and a word that comes again changes
/// nothing, so that words come to rest.
#[test]
fn ends_that_others_saw_count_once_and_words_come_to_rest() {
    let mut edge = before(8);
    let words = [("x1", 900), ("x2", 600), ("x3", 300)];
    for (n, word) in words.iter().enumerate() {
        assert!(!is_quarantined(&edge, "deadly"));
        let told = told_of("deadly", "free", &[*word]);
        edge.step(peer(&format!("p{n}"), vec![told]));
    }
    assert!(is_quarantined(&edge, "deadly"));
    let actions = edge.arrive(with_body(1, "once", "deadly"));
    assert_eq!(
        answer(&actions, 1).map(|v| v.outcome),
        Some(Outcome::NotRun)
    );
    let before = edge.scheduler.tables().suspects.revision();
    for delay in [0, 5, 50] {
        edge.now += millis(delay);
        let told = told_of("deadly", "free", &words);
        let actions = edge.step(peer("p9", vec![told]));
        assert_eq!(actions, Vec::new());
    }
    assert_eq!(edge.scheduler.tables().suspects.revision(), before);
}

/// Endpoints end with all that they run, so that many requests become suspects at one moment. The first
/// sixteen by their hash were told of, the others by turns, up to seven seconds late.
#[test]
fn what_ended_servers_is_told_at_once_among_many_that_were_on_board() {
    let mut pool = Pool::new(70);
    let bodies: Vec<String> = (0..60).map(|n| format!("b{n}")).collect();
    let mut runs = Vec::new();
    for (n, body) in (1..).zip(&bodies) {
        let at = pool.arrives(with_body(n, "once", body));
        runs.push((n, at.expect("it is sent")));
    }
    pool.edge.now += RUN;
    for (n, (dispatch, endpoint)) in runs {
        breaks(&mut pool.edge, n, dispatch);
        found(&mut pool.edge, &endpoint, Liveness::Ended);
        pool.ended.push(endpoint);
    }
    for (n, deadly) in (100..).zip(["deadly", "another", "a third"]) {
        assert!(pool.ends_one(with_body(n, "once", deadly)));
        let told = pool
            .edge
            .scheduler
            .tables()
            .suspects
            .reports(pool.edge.now, 0);
        let is_told = |body: &str| told.iter().any(|t| t.content.id == content(body).id);
        assert!(is_told(deadly), "{deadly} is told at once");
        assert!(told.len() >= 60, "{} are told of", told.len());
    }
}

/// Words that were heard are told on by those that lead alone: the one that saw an end tells all near it.
#[test]
fn what_others_saw_is_told_on_by_those_that_lead() {
    let mut edge = before(1);
    for n in 0..8 {
        let told = told_of(&format!("b{n}"), "free", &[("x", 10)]);
        edge.step(peer("p", vec![told]));
    }
    let suspects = &edge.scheduler.tables().suspects;
    assert!(suspects.reports(edge.now, 0).len() <= 2, "by turns alone");
    assert_eq!(suspects.reports_to_forward(edge.now).len(), 8);
}

/// An operator's word lets a request go, also where others tell of what ended before only later.
#[test]
fn what_an_operator_lets_go_is_sent_until_it_ends_three_more() {
    let mut pool = Pool::new(8);
    for n in 1..=3 {
        pool.ends_one(with_body(n, "once", "deadly"));
    }
    let id = content("deadly").id;
    let words = pool
        .edge
        .scheduler
        .tables()
        .suspects
        .reports(pool.edge.now, 0);
    pool.edge.step(Event::Released(id, pool.edge.now));
    assert!(!is_quarantined(&pool.edge, "deadly"));
    pool.edge.step(peer("late", words));
    assert!(!is_quarantined(&pool.edge, "deadly"));
    let mut sent = 0;
    for n in 4..=10 {
        pool.edge.now += millis(10);
        sent += usize::from(pool.ends_one(with_body(n, "once", "deadly")));
    }
    assert_eq!(sent, 3);
}

/// Whatever one account sends pushes out its own suspects alone, and what is in quarantine goes last.
#[test]
fn suspects_are_bounded_by_account() {
    let mut edge = before(8);
    let words = [("x1", 900), ("x2", 600), ("x3", 300)];
    let own = told_of("own", "limited", &words);
    let worst = told_of("worst", "free", &words);
    edge.step(peer("p", vec![own, worst]));
    for n in 0..2_000 {
        edge.now += millis(1);
        let told = told_of(&format!("b{n}"), "free", &[("x4", 10)]);
        edge.step(peer("p", vec![told]));
    }
    assert!(is_quarantined(&edge, "own"));
    assert!(is_quarantined(&edge, "worst"));
    let kept = edge.scheduler.tables().suspects.iter().count();
    assert!(kept <= 130, "{kept}");
}

proptest! {
    /// Instances that hear the same words agree, whatever the order.
    #[test]
    fn words_in_any_order_lead_to_the_same(
        ends in prop::collection::vec((0..6_u8, 0..2_000_u64, prop::bool::ANY), 1..12),
        order in any::<prop::sample::Index>(),
    ) {
        let words: Vec<SuspectReport> = ends
            .iter()
            .map(|(start, ago, void)| {
                let name = format!("x{start}");
                let mut told = told_of("deadly", "free", &[(name.as_str(), *ago)]);
                told.exits[0].void = *void;
                told
            })
            .collect();
        let mut turned = words.clone();
        turned.rotate_left(order.index(words.len()));
        let mut heard = Vec::new();
        for words in [words, turned] {
            let mut edge = before(1);
            // A word that is void from the first is no suspicion, and is not kept.
            let first = told_of("deadly", "free", &[("x", 5_000)]);
            edge.step(peer("p", vec![first]));
            for word in words {
                edge.step(peer("p", vec![word]));
            }
            heard.push(ends_against(&edge, "deadly"));
        }
        prop_assert_eq!(heard[0], heard[1]);
    }
}
