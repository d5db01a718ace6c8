//! Single rules of the policy, each in a case that it decides.

use std::time::Duration;

use firdock_core::resource::EndpointKind;
use firdock_core::{Outcome, Reason};
use firdock_policy::event::{DispatchUpdate, ListedInstance, Member, PeerUpdate};
use firdock_policy::{Action, Event, Origin};
use uuid::Uuid;

use crate::fixtures::{
    LOG_START, TestScheduler, catalog, dispatched, endpoint, id, millis, request, resources,
    settings, with_key,
};

const REFUSED: DispatchUpdate = DispatchUpdate::Refused { unreachable: false };
const BROKE: DispatchUpdate = DispatchUpdate::Broke { delivered: 0 };
const ENDED: DispatchUpdate = DispatchUpdate::Ended {
    prompt: 0,
    cached: 0,
    output: 0,
};

fn verdicts(actions: &[Action]) -> Vec<(Uuid, Outcome, Reason)> {
    let verdict = |a: &Action| match a {
        Action::Answer { id, verdict } => Some((*id, verdict.outcome, verdict.reason)),
        _ => None,
    };
    actions.iter().filter_map(verdict).collect()
}

#[test]
fn a_refused_request_goes_to_each_endpoint_once_and_ends_as_not_run() {
    let mut d = TestScheduler::new(settings("a"));
    let first = dispatched(&d.arrive(request(1, "orders", "shop")));
    let second = dispatched(&d.update_dispatch(1, 1, REFUSED));
    assert_eq!((first.len(), second.len()), (1, 1));
    assert_ne!(first[0].1, second[0].1);
    let end = d.update_dispatch(1, 2, REFUSED);
    assert_eq!(
        verdicts(&end),
        [(id(1), Outcome::NotRun, Reason::NoEndpoint)]
    );
}

#[test]
fn an_order_that_broke_ends_as_unknown_and_is_never_sent_again() {
    let mut d = TestScheduler::new(settings("a"));
    d.arrive(request(1, "orders", "shop"));
    let end = d.update_dispatch(1, 1, BROKE);
    assert_eq!(
        verdicts(&end),
        [(id(1), Outcome::Unknown, Reason::EndpointLost)]
    );
    assert!(dispatched(&end).is_empty());
}

#[test]
fn a_broken_stream_is_resumed_on_another_engine_where_it_stopped() {
    let mut d = TestScheduler::new(settings("a"));
    let first = dispatched(&d.arrive(request(1, "draft", "shop")));
    d.update_dispatch(1, 1, DispatchUpdate::Started { head_sent: true });
    d.update_dispatch(
        1,
        1,
        DispatchUpdate::Tokens {
            delivered: 1,
            cached: 0,
        },
    );
    let actions = d.update_dispatch(1, 1, DispatchUpdate::Broke { delivered: 12 });
    let Some(Action::Dispatch(again)) = actions.first() else {
        panic!("{actions:?}")
    };
    assert_eq!((again.resume_from, again.dispatch), (12, 2));
    assert_ne!(again.endpoint, first[0].1);
}

#[test]
fn late_updates_of_an_earlier_dispatch_are_dropped() {
    let mut d = TestScheduler::new(settings("a"));
    d.arrive(request(1, "draft", "shop"));
    d.update_dispatch(1, 1, BROKE);
    d.update_dispatch(1, 1, ENDED);
    assert_eq!(d.scheduler.tables().requests.len(), 1);
    assert_eq!(d.scheduler.tables().stats.stale_news, 1);
}

#[test]
fn the_lowest_held_tier_is_shed_first() {
    let mut d = TestScheduler::new(settings("a"));
    // Three fill the engines' slots, six are held.
    for n in 1..=9 {
        d.arrive(request(n, "draft", "shop"));
    }
    let shed = d.arrive(request(10, "guide", "shop"));
    assert_eq!(
        verdicts(&shed),
        [(id(9), Outcome::NotRun, Reason::Overload)]
    );
    for n in 11..=15 {
        d.arrive(request(n, "guide", "hall"));
    }
    let shed = d.arrive(request(16, "guide", "hall"));
    assert_eq!(
        verdicts(&shed),
        [(id(16), Outcome::NotRun, Reason::Overload)]
    );
}

#[test]
fn a_higher_tier_is_not_refused_for_waiting_while_a_lower_one_is_held() {
    let mut d = TestScheduler::new(settings("a"));
    for n in 1..=3 {
        d.arrive(request(n, "draft", "shop"));
    }
    d.arrive(request(4, "guide", "shop"));
    d.now += millis(2_000);
    d.arrive(request(5, "draft", "shop"));
    assert!(
        verdicts(&d.advance(millis(1_500))).is_empty(),
        "the guide request is held past its maximum wait"
    );
    let ends = d.advance(millis(1_500));
    let expected = [
        (id(5), Outcome::NotRun, Reason::WaitedTooLong),
        (id(4), Outcome::NotRun, Reason::WaitedTooLong),
    ];
    assert_eq!(verdicts(&ends), expected);
}

#[test]
fn a_full_instance_hands_a_higher_tier_to_a_peer_that_holds_a_lower_one() {
    let mut d = TestScheduler::new(settings("a"));
    for n in 1..=3 {
        d.arrive(request(n, "draft", "shop"));
    }
    for n in 4..=9 {
        d.arrive(request(n, "guide", "shop"));
    }
    d.step(Event::Peer(PeerUpdate {
        name: "b".to_owned(),
        zone: "z".to_owned(),
        held: vec![0, 0, 3],
        demand: Vec::new(),
        draining: false,
        ..PeerUpdate::default()
    }));
    let actions = d.arrive(request(10, "guide", "shop"));
    assert!(
        matches!(&*actions, [Action::HandOver { peer, .. }] if peer == "b"),
        "{actions:?}"
    );
}

#[test]
fn a_leaving_endpoint_gets_nothing_new() {
    let leave = |name: &str| ListedInstance {
        name: name.to_owned(),
        leaving: true,
    };
    let mut d = TestScheduler::new(settings("a"));
    d.step(Event::Listed(vec![leave("plain-0")]));
    for n in 1..=2 {
        assert_eq!(
            dispatched(&d.arrive(request(n, "tiles", "shop")))[0].1,
            "plain-1"
        );
    }
    d.step(Event::Listed(vec![leave("plain-0"), leave("plain-1")]));
    d.update_dispatch(1, 1, ENDED);
    assert!(dispatched(&d.arrive(request(3, "tiles", "shop"))).is_empty());
}

#[test]
fn a_removed_endpoint_gets_nothing_new_and_its_work_ends_in_place() {
    let mut d = TestScheduler::new(settings("a"));
    let first = dispatched(&d.arrive(request(1, "tiles", "shop")));
    let kept: Vec<_> = resources()
        .into_iter()
        .filter(|r| r.key().name != first[0].1)
        .collect();
    d.step(catalog(2, kept));
    let second = dispatched(&d.arrive(request(2, "tiles", "shop")));
    assert_ne!(first[0].1, second[0].1);
    d.update_dispatch(1, 1, ENDED);
    assert_eq!(d.scheduler.tables().stats.outcomes[&Outcome::Answered], 1);
}

#[test]
fn an_older_configuration_is_ignored() {
    let mut d = TestScheduler::new(settings("a"));
    let more = endpoint("plain-2", EndpointKind::Plain, &["tiles"], 1);
    d.step(catalog(5, resources().into_iter().chain([more]).collect()));
    d.step(catalog(4, resources()));
    assert_eq!(d.scheduler.tables().version, 5);
    assert!(d.scheduler.tables().endpoints.find("plain-2").is_some());
}

#[test]
fn a_resent_key_gets_the_cached_answer_or_is_refused_as_in_use() {
    let mut d = TestScheduler::new(settings("a"));
    d.own_all_keys();
    let minted = Some(LOG_START + millis(1));
    d.arrive(with_key(request(1, "orders", "shop"), 42, minted));
    let twin = d.arrive(with_key(request(2, "orders", "shop"), 42, minted));
    assert_eq!(
        verdicts(&twin),
        [(id(2), Outcome::Unknown, Reason::KeyInUse)]
    );
    d.update_dispatch(1, 1, ENDED);
    let late = d.arrive(with_key(request(3, "orders", "shop"), 42, minted));
    assert_eq!(
        late,
        [Action::Replay {
            id: id(3),
            earlier: id(1)
        }]
    );
}

#[test]
fn a_new_owner_never_runs_keys_minted_before_its_grace_ends() {
    let mut d = TestScheduler::new(settings("a"));
    let me = d.scheduler.tables().settings.member.clone();
    let other = Member {
        name: "b".to_owned(),
        incarnation: Uuid::from_u64_pair(2, 0),
    };
    d.view(1, true, vec![other]);
    d.view(2, false, vec![me]);
    d.read_log(LOG_START + Duration::from_secs(3));
    let since = LOG_START + millis(2);
    let early = Some(since + millis(1_999));
    let ends = d.arrive(with_key(request(1, "orders", "shop"), 1, early));
    assert_eq!(
        verdicts(&ends),
        [(id(1), Outcome::Unknown, Reason::KeyUncertain)]
    );
    let late = Some(since + millis(2_000));
    assert_eq!(
        dispatched(&d.arrive(with_key(request(2, "orders", "shop"), 2, late))).len(),
        1
    );
}

#[test]
fn without_the_log_an_owner_runs_keys_minted_up_to_its_grace_only() {
    let mut d = TestScheduler::new(settings("a"));
    d.own_all_keys();
    d.now += Duration::from_secs(30);
    let known = Some(LOG_START + millis(1_999));
    assert_eq!(
        dispatched(&d.arrive(with_key(request(1, "orders", "shop"), 1, known))).len(),
        1
    );
    let later = Some(LOG_START + millis(2_000));
    let ends = d.arrive(with_key(request(2, "orders", "shop"), 2, later));
    assert_eq!(
        verdicts(&ends),
        [(id(2), Outcome::Unknown, Reason::KeyUnconfirmed)]
    );
    let opaque = d.arrive(with_key(request(3, "orders", "shop"), 3, None));
    assert_eq!(
        verdicts(&opaque),
        [(id(3), Outcome::Unknown, Reason::KeyUnconfirmed)]
    );
    assert_eq!(
        dispatched(&d.arrive(request(4, "orders", "shop"))).len(),
        1,
        "without a key"
    );
}

#[test]
fn a_full_key_table_refuses_new_keys_instead_of_evicting_old_ones() {
    let mut s = settings("a");
    s.max_keys = 1;
    let mut d = TestScheduler::new(s);
    d.own_all_keys();
    let minted = Some(LOG_START + millis(1));
    d.arrive(with_key(request(1, "orders", "shop"), 1, minted));
    d.update_dispatch(1, 1, ENDED);
    let ends = d.arrive(with_key(request(2, "orders", "shop"), 2, minted));
    assert_eq!(
        verdicts(&ends),
        [(id(2), Outcome::NotRun, Reason::Overload)]
    );
}

#[test]
fn a_peers_request_that_is_shed_is_returned_to_the_peer() {
    let mut d = TestScheduler::new(settings("a"));
    for n in 1..=9 {
        d.arrive(request(n, "guide", "shop"));
    }
    let mut handed = request(10, "draft", "shop");
    handed.origin = Origin::Peer("b".to_owned());
    let actions = d.arrive(handed);
    assert!(
        matches!(&*actions, [Action::RefuseHandOver { .. }]),
        "{actions:?}"
    );
}

#[test]
fn a_flooding_account_is_shed_before_others_of_its_tier() {
    let mut d = TestScheduler::new(settings("a"));
    for n in 1..=3 {
        d.arrive(request(n, "draft", "hall"));
    }
    d.arrive(request(4, "draft", "hall"));
    let mut shed = Vec::new();
    for n in 5..=20 {
        shed.extend(verdicts(&d.arrive(request(n, "draft", "shop"))));
    }
    assert_eq!(shed.len(), 11);
    assert!(
        shed.iter().all(|(shed, _, _)| *shed != id(4)),
        "the account with little demand was shed"
    );
}

#[test]
fn retries_have_a_budget() {
    let mut d = TestScheduler::new(settings("a"));
    let mut unknown = 0;
    for n in 1..=40 {
        let first = dispatched(&d.arrive(request(n, "tiles", "shop")));
        if first.is_empty() {
            d.advance(Duration::from_secs(40));
        }
        let mut attempts = 0;
        while d.scheduler.tables().requests.get(id(n)).is_some() {
            attempts += 1;
            unknown += verdicts(&d.update_dispatch(n, attempts, BROKE)).len();
            d.advance(Duration::from_secs(40));
        }
    }
    assert!(
        d.scheduler.tables().stats.retries < 30,
        "{:?}",
        d.scheduler.tables().stats
    );
    assert_eq!(unknown, 40);
}

#[test]
fn a_removed_account_leaves_no_row() {
    let mut d = TestScheduler::new(settings("a"));
    for n in 1..=3 {
        d.arrive(request(n, "draft", "shop"));
    }
    d.arrive(request(4, "draft", "hall"));
    for n in 5..=9 {
        d.arrive(request(n, "draft", "shop"));
    }
    // The queue never empties, so the lane of `hall` remains after its request is gone.
    for n in [1, 2, 4] {
        d.update_dispatch(n, 1, ENDED);
    }
    assert!(d.scheduler.tables().requests.get(id(4)).is_none());
    let kept = || {
        resources()
            .into_iter()
            .filter(|r| r.key().name != "hall")
            .collect()
    };
    d.step(catalog(2, kept()));
    d.step(catalog(3, kept()));
    for n in 10..=25 {
        d.arrive(request(n, "draft", "shop"));
    }
    assert_eq!(d.scheduler.tables().accounts.len(), 1);
}

/// Returns a scheduler that has handed its only request over to the owner of its key.
fn handed_over() -> TestScheduler {
    let mut d = TestScheduler::new(settings("a"));
    let other = Member {
        name: "b".to_owned(),
        incarnation: Uuid::from_u64_pair(2, 0),
    };
    d.view(1, true, vec![other]);
    d.read_log(LOG_START);
    let handed = d.arrive(with_key(request(1, "orders", "shop"), 1, Some(LOG_START)));
    assert!(matches!(&*handed, [Action::HandOver { .. }]), "{handed:?}");
    d
}

#[test]
fn a_hand_over_to_a_peer_that_stopped_reporting_ends() {
    let mut d = handed_over();
    assert!(d.advance(Duration::from_secs(9)).is_empty());
    let ends = d.advance(Duration::from_secs(2));
    assert!(
        matches!(&ends[0], Action::CancelHandOver { .. }),
        "{ends:?}"
    );
    assert_eq!(
        verdicts(&ends),
        [(id(1), Outcome::Unknown, Reason::PeerLost)]
    );
}

/// Guards against hand-overs that end, with an unknown outcome, since their instance itself did not run for a while and
/// takes the silence of that time for the peer's.
#[test]
fn a_hand_over_does_not_end_because_the_instance_itself_did_not_run() {
    let mut d = handed_over();
    assert!(d.advance(Duration::ZERO).is_empty());
    assert!(d.advance(Duration::from_secs(30)).is_empty());
    for _ in 0..9 {
        assert!(d.advance(Duration::from_secs(1)).is_empty());
    }
    let ends = d.advance(Duration::from_secs(2));
    assert!(
        matches!(&ends[0], Action::CancelHandOver { .. }),
        "{ends:?}"
    );
}

/// Guards against an instance that hands a request over to itself, under the id that it has already: after a restart, the members are
/// those of before until its record is read, and its earlier start owns keys.
#[test]
fn a_key_of_the_earlier_start_of_this_instance_is_not_passed_on() {
    let mut t = TestScheduler::new(settings("a"));
    let earlier = Member {
        incarnation: Uuid::from_u64_pair(7, 7),
        ..t.scheduler.tables().settings.member.clone()
    };
    t.view(1, true, vec![earlier]);
    t.read_log(LOG_START);
    let actions = t.arrive(with_key(request(1, "orders", "shop"), 5, None));
    let unconfirmed = vec![(id(1), Outcome::Unknown, Reason::KeyUnconfirmed)];
    assert_eq!(verdicts(&actions), unconfirmed, "{actions:?}");
}
