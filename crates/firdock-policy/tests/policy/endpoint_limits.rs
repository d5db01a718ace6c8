//! Endpoints that name a rate limit for all instances together, in virtual time.
//!
//! Guards against instances that overrun an endpoint in need. In one incident two endpoints named limits of
//! 3.1 and 1.9 requests a second and got 31 and 20 in 4 s, which a coordinator had placed there.
//!
//! The load: every instance has more work than its part of the limit, or one has all of it, and other
//! endpoints serve what the limited one does not take.

mod world;

use std::time::Duration;

use firdock_policy::event::Grant;
use firdock_policy::notice::{LimitNotice, Notice, NoticeReport};
use firdock_policy::permit::{LimitReport, PermitGrant, PermitHolder, PermitRequest};
use firdock_policy::rate::RequestRate;
use firdock_policy::{Action, Event};
use proptest::prelude::*;

use self::world::{Plan, World};
use crate::edge::{EdgeScheduler, edge_settings, request, resources};
use crate::fixtures::{dispatched, id, millis};

/// Requests per second of each site's whole load.
const LOAD: f64 = 120.0;

fn rate(per_second: f64) -> RequestRate {
    RequestRate::from_per_second(per_second).expect("a rate")
}

fn plan(instances: usize, limit: f64) -> Plan {
    Plan {
        instances,
        limit,
        busy: instances,
        load: LOAD,
        load_before: 2.0 * limit + 2.0,
        ..Plan::default()
    }
}

/// The limit holds and is used, whether one instance or all have the work.
fn holds_at(instances: usize) {
    for limit in [0.5, 2.2, 20.0] {
        for busy in [1, instances] {
            let played = Plan {
                busy,
                ..plan(instances, limit)
            };
            let world = World::played(played.clone());
            world.check_limit();
            if instances <= 30 {
                world.check_use();
            }
            waiting_work_uses_it(&played);
        }
    }
}

/// Where no other endpoint is left, requests wait for the limited one.
fn waiting_work_uses_it(played: &Plan) {
    let world = World::played(Plan {
        alone: true,
        ..played.clone()
    });
    world.check_limit();
    world.check_use();
}

#[test]
fn six_instances_keep_an_endpoints_limit_and_use_it() {
    holds_at(6);
}

#[test]
fn thirty_instances_keep_an_endpoints_limit_and_use_it() {
    holds_at(30);
}

#[test]
fn hundreds_of_instances_keep_an_endpoints_limit_and_use_it() {
    holds_at(295);
}

#[test]
fn a_fleet_keeps_an_endpoints_limit_and_uses_it() {
    for busy in [1, 985] {
        waiting_work_uses_it(&Plan {
            busy,
            ..plan(985, 2.2)
        });
    }
}

/// A limit that begins under load counts what was sent right before it.
#[test]
fn a_limit_that_begins_under_load_holds_three_seconds_later() {
    for (limit, load) in [(2.2, 9.0), (3.1, 12.0), (1.9, 7.0)] {
        let world = World::played(Plan {
            load_before: load,
            ..plan(6, limit)
        });
        world.check_limit();
    }
}

#[test]
fn lost_and_late_messages_break_no_limit() {
    for (lost, late) in [(0.3, 5), (0.0, 150), (0.3, 150)] {
        let world = World::played(Plan {
            lost,
            late: millis(late),
            ..plan(6, 2.2)
        });
        world.check_limit();
    }
}

#[test]
fn an_instance_that_is_cut_from_its_peers_takes_only_its_part() {
    for limit in [2.2, 20.0] {
        let world = World::played(Plan {
            cut: Some(0),
            ..plan(6, limit)
        });
        world.check_limit();
        world.check_use();
    }
}

#[test]
fn half_of_a_divided_site_takes_no_more_than_its_part() {
    let world = World::played(Plan {
        divided: true,
        ..plan(6, 20.0)
    });
    world.check_limit();
    world.check_use();
}

#[test]
fn an_instance_that_was_frozen_returns_without_permits_of_before() {
    let world = World::played(Plan {
        frozen: Some(2),
        ..plan(6, 20.0)
    });
    world.check_limit();
    world.check_use();
}

#[test]
fn the_instance_that_grants_permits_may_fail() {
    let world = World::played(Plan {
        grantor_fails: true,
        ..plan(6, 20.0)
    });
    world.check_limit();
}

/// An instance that starts while the limit holds learns it from its peers.
#[test]
fn an_instance_that_just_started_keeps_the_limit() {
    let world = World::played(Plan {
        started_late: Some(3),
        ..plan(6, 2.2)
    });
    world.check_limit();
    world.check_use();
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn any_site_keeps_a_limit(
        instances in 1_usize..10,
        busy in 1_usize..10,
        limit in 0.25_f64..30.0,
        load in 5.0_f64..150.0,
        lost in 0.0_f64..0.4,
        late in 1_u64..120,
        seed in any::<u64>(),
    ) {
        let world = World::played(Plan {
            instances,
            busy: busy.min(instances),
            limit,
            load,
            load_before: limit + 2.0,
            lost,
            late: millis(late),
            seed,
            ..Plan::default()
        });
        world.check_limit();
    }
}

fn notice(limit: LimitNotice, read: Duration) -> Event {
    Event::NoticeReported(NoticeReport {
        endpoint: "e1".to_owned(),
        member: String::new(),
        notice: Notice {
            limit,
            ..Notice::default()
        },
        read,
    })
}

fn known_limit(edge: &EdgeScheduler) -> Option<RequestRate> {
    let endpoints = &edge.scheduler.tables().endpoints;
    endpoints
        .get(endpoints.find("e1").expect("a row"))
        .limit
        .rate()
}

fn peer_report(edge: &mut EdgeScheduler, limit: Option<RequestRate>, read: Duration) {
    edge.step(Event::Peer(firdock_policy::event::PeerUpdate {
        name: "b".to_owned(),
        limits: vec![LimitReport {
            endpoint: "e1".to_owned(),
            limit,
            read,
        }],
        ..firdock_policy::event::PeerUpdate::default()
    }));
}

/// A late report of a peer neither brings back a limit that ended nor ends one that began since.
#[test]
fn reports_of_peers_are_ordered_by_when_the_answer_was_read() {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    let at = |n: u64| edge_start() + millis(n);
    edge.now = at(1_000);
    edge.step(notice(LimitNotice::Limited(rate(3.0)), at(1_000)));
    peer_report(&mut edge, None, at(900));
    assert_eq!(known_limit(&edge), Some(rate(3.0)));
    edge.step(notice(LimitNotice::Unlimited, at(2_000)));
    peer_report(&mut edge, Some(rate(3.0)), at(1_500));
    assert_eq!(known_limit(&edge), None);
    peer_report(&mut edge, Some(rate(4.0)), at(2_500));
    assert_eq!(known_limit(&edge), Some(rate(4.0)));
    // An answer that was read before that report changes nothing either.
    edge.step(notice(LimitNotice::Unlimited, at(2_400)));
    assert_eq!(known_limit(&edge), Some(rate(4.0)));
}

fn edge_start() -> Duration {
    millis(100_000)
}

/// What a limited endpoint cannot take goes elsewhere at once, and waits only if there is nowhere else.
#[test]
fn requests_without_a_permit_go_elsewhere_or_wait() {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    edge.step(notice(LimitNotice::Limited(rate(1.0)), edge.now));
    let mut n = 1;
    loop {
        let sent = dispatched(&edge.arrive(request(n, "safe", "free")));
        if sent.is_empty() {
            break;
        }
        assert_eq!(sent, vec![(id(n), "e2".to_owned())]);
        n += 1;
    }
    assert!((2..6).contains(&n), "the other endpoint's slots are used");
    let asked = edge.now;
    let grant = PermitGrant {
        endpoint: "e1".to_owned(),
        count: 1,
        retry_after: millis(100),
        asked,
    };
    let sent = dispatched(&edge.step(Event::PermitsGranted(vec![grant])));
    assert_eq!(sent, vec![(id(n), "e1".to_owned())]);
    let next = edge.arrive(request(n + 1, "safe", "free"));
    assert_eq!(dispatched(&next), []);
}

/// A grant that was read long after it was requested, as by a process that was suspended, gives nothing.
#[test]
fn a_late_grant_gives_no_permit() {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    edge.step(notice(LimitNotice::Limited(rate(1.0)), edge.now));
    let asked = edge.now;
    edge.now += millis(600);
    edge.step(Event::PermitsGranted(vec![PermitGrant {
        endpoint: "e1".to_owned(),
        count: 5,
        retry_after: millis(100),
        asked,
    }]));
    let sent = dispatched(&edge.arrive(request(1, "safe", "free")));
    assert_eq!(sent, vec![(id(1), "e2".to_owned())]);
}

/// A coordinator's placement without a permit is declined by a member that knows the limit, and one with a
/// permit is used.
#[test]
fn a_placement_on_a_limited_engine_needs_a_permit() {
    for permitted in [false, true] {
        let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
        edge.step(Event::Coordinated(true));
        edge.arrive(request(1, "once", "free"));
        edge.step(notice(LimitNotice::Limited(rate(1.0)), edge.now));
        let grant = Grant {
            id: id(1),
            endpoint: "e1".to_owned(),
            predicted: millis(0),
            permitted,
        };
        let actions = edge.step(Event::Granted(grant.clone()));
        assert_eq!(dispatched(&actions).len(), usize::from(permitted));
        assert_eq!(actions.contains(&Action::Decline(grant)), !permitted);
    }
}

/// Permits that holders return unused are granted again.
#[test]
fn unused_permits_are_granted_again() {
    let mut edge = EdgeScheduler::new(edge_settings("a").with_shared_permits(), resources());
    let mut ask = |unused: u32, wanted: u32| {
        let request = PermitRequest {
            endpoint: "e1".to_owned(),
            rate: rate(1.0),
            wanted,
            unused,
            recent: 0,
            asked: edge.now,
        };
        let event = Event::PermitsRequested(PermitHolder::default(), vec![request]);
        match &*edge.step(event) {
            [Action::GrantPermits { grants, .. }] => grants[0].count,
            other => panic!("{other:?}"),
        }
    };
    let first = ask(0, 5);
    assert!((1..=3).contains(&first), "{first} saved up");
    assert_eq!(ask(0, 5), 0);
    assert_eq!(ask(first, 5), first);
}

/// What peers tell each other of a limit must not look newer each time: an old limit would outlast the answer
/// that ended it.
#[test]
fn a_limit_that_peers_repeat_to_each_other_gets_no_newer() {
    let mut edges = ["a", "b"].map(|name| EdgeScheduler::new(edge_settings(name), resources()));
    let began = edge_start();
    for edge in &mut edges {
        edge.now = began;
    }
    edges[0].step(notice(LimitNotice::Limited(rate(3.0)), began));
    // Heartbeats take 120 ms, which the receiver cannot know, and each repeats what the other one told.
    for beat in 1..=50 {
        let from = beat % 2;
        let sent = began + millis(200 * beat as u64);
        let report = firdock_policy::limit_reports(edges[1 - from].scheduler.tables(), sent);
        let transit = millis(120);
        let edge = &mut edges[from];
        edge.now = sent + transit;
        for report in report {
            peer_report(edge, report.limit, report.read + transit);
        }
    }
    // An answer that ended the limit was read soon after the first one.
    let end = began + millis(1_000);
    for edge in &mut edges {
        peer_report(edge, None, end);
        assert_eq!(known_limit(edge), None);
    }
}
