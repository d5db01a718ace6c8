//! Endpoints that restart under the same name: requests that ran there, assumed state, and stale reports.
//!
//! The case is an endpoint that crashes and is back within a second while callers stream from it: the
//! platform lists the new start before the connections to the old process are found to be dead.

use std::time::Duration;

use firdock_core::resource::Resource;
use firdock_core::{Outcome, Reason};
use firdock_policy::event::{DispatchUpdate, Grant, PeerUpdate, RenewedEntry};
use firdock_policy::table::endpoint::{EndpointRow, Health};
use firdock_policy::{Action, Event, PolicySettings, Scheduler};

use crate::fixtures::{
    TestScheduler, catalog, dispatched, id, millis, request, resources, settings,
};

const BROKE: DispatchUpdate = DispatchUpdate::Broke { delivered: 0 };
const REFUSED: DispatchUpdate = DispatchUpdate::Refused { unreachable: false };
const ENDED: DispatchUpdate = DispatchUpdate::Ended {
    prompt: 0,
    cached: 0,
    output: 0,
};
/// Unix time at which the process's clock was zero, in the tests where it is known.
const UNIX_ZERO: Duration = Duration::from_secs(1_000_000);

/// The usual resources with the Unix time of each endpoint's start: `again` for `name`, 1 s for the rest.
fn with_starts(name: &str, again: Duration) -> Vec<Resource> {
    let mut all = resources();
    for resource in &mut all {
        if let Resource::Endpoint(e) = resource {
            let started = if e.name == name { again } else { millis(1_000) };
            e.started = Some(started);
        }
    }
    all
}

/// An instance whose endpoints are all at their first start.
fn instance(settings: PolicySettings) -> TestScheduler {
    let mut d = TestScheduler {
        scheduler: Scheduler::new(settings),
        now: millis(10_000),
    };
    d.step(catalog(2, with_starts("none", millis(0))));
    renew_all(&mut d);
    d
}

/// All endpoints renew their entries, as those do that serve.
fn renew_all(d: &mut TestScheduler) {
    let rows = d.scheduler.tables().endpoints.iter();
    let starts = rows.map(|(_, e)| e.start_id.clone());
    let after = d.now;
    let renewed = starts.map(|start| RenewedEntry { start, after }).collect();
    d.step(Event::EntriesRenewed(renewed));
}

/// Lists a later start of one endpoint.
fn restart(d: &mut TestScheduler, name: &str, at: Duration) -> Vec<Action> {
    let version = d.scheduler.tables().version;
    d.step(catalog(version, with_starts(name, at)))
}

fn row<'a>(d: &'a TestScheduler, name: &str) -> &'a EndpointRow {
    let endpoints = &d.scheduler.tables().endpoints;
    endpoints.get(endpoints.find(name).expect("the endpoint is listed"))
}

fn given_up(actions: &[Action]) -> Vec<(u64, u32)> {
    let given_up = actions.iter().filter_map(|a| match a {
        Action::GiveUpDispatch { id, dispatch } => Some((id.as_u64_pair().1, *dispatch)),
        _ => None,
    });
    given_up.collect()
}

#[test]
fn a_stream_on_an_earlier_start_is_resumed_on_another_endpoint() {
    let mut d = instance(settings("a"));
    let first = dispatched(&d.arrive(request(1, "draft", "shop")));
    let name = first[0].1.clone();
    d.update_dispatch(1, 1, DispatchUpdate::Started { head_sent: true });
    let actions = restart(&mut d, &name, millis(2_000));
    assert_eq!(given_up(&actions), [(1, 1)]);
    let again = d.update_dispatch(1, 1, DispatchUpdate::Broke { delivered: 12 });
    let Some(Action::Dispatch(again)) = again.first() else {
        panic!("{again:?}")
    };
    assert_eq!((again.resume_from, again.dispatch), (12, 2));
    let stats = &d.scheduler.tables().stats;
    assert_eq!((stats.restarts, stats.lost_by_restart), (1, 1));
}

#[test]
fn a_repeatable_request_may_run_on_the_later_start_after_the_earlier_one() {
    let mut d = instance(settings("a"));
    let name = dispatched(&d.arrive(request(1, "tiles", "shop")))[0]
        .1
        .clone();
    let other = if name == "plain-0" {
        "plain-1"
    } else {
        "plain-0"
    };
    d.step(Event::Peer(PeerUpdate {
        name: "b".to_owned(),
        leaving: vec![format!("{other}@1000")],
        ..PeerUpdate::default()
    }));
    restart(&mut d, &name, millis(2_000));
    let again = dispatched(&d.update_dispatch(1, 1, BROKE));
    assert_eq!(again, [(id(1), name)]);
    let rows = &d.scheduler.tables().requests;
    assert_eq!(rows.get(id(1)).expect("the request runs").tried.len(), 2);
}

#[test]
fn an_unrepeatable_request_ends_as_unknown_and_is_never_sent_to_the_later_start() {
    let mut d = instance(settings("a"));
    let name = dispatched(&d.arrive(request(1, "orders", "shop")))[0]
        .1
        .clone();
    assert_eq!(given_up(&restart(&mut d, &name, millis(2_000))), [(1, 1)]);
    let end = d.update_dispatch(1, 1, BROKE);
    assert!(dispatched(&end).is_empty());
    assert!(
        matches!(&*end, [Action::Answer { verdict, .. }]
            if verdict.outcome == Outcome::Unknown && verdict.reason == Reason::EndpointLost),
        "{end:?}"
    );
}

#[test]
fn a_request_that_the_earlier_start_refused_did_not_run_and_may_go_to_the_later_one() {
    let mut d = instance(settings("a"));
    let first = dispatched(&d.arrive(request(1, "orders", "shop")));
    let second = dispatched(&d.update_dispatch(1, 1, REFUSED));
    restart(&mut d, &first[0].1, millis(2_000));
    let third = dispatched(&d.update_dispatch(1, 2, REFUSED));
    assert_ne!(first[0].1, second[0].1);
    assert_eq!(third, first);
}

#[test]
fn updates_of_the_earlier_start_change_nothing_of_the_later_one() {
    let mut d = instance(settings("a"));
    let name = dispatched(&d.arrive(request(1, "tiles", "shop")))[0]
        .1
        .clone();
    restart(&mut d, &name, millis(2_000));
    assert_eq!(row(&d, &name).running, 0);
    d.update_dispatch(1, 1, BROKE);
    let fresh = row(&d, &name);
    assert_eq!(
        (fresh.health, fresh.failures, fresh.broken),
        (Health::Healthy, 0, 0)
    );
    // The next configuration removes the row of the earlier start, on which nothing runs any more.
    let rows = d.scheduler.tables().endpoints.len();
    d.step(catalog(3, with_starts(&name, millis(2_000))));
    assert_eq!(d.scheduler.tables().endpoints.len(), rows - 1);
}

#[test]
fn an_answer_that_was_complete_when_the_restart_was_read_is_delivered() {
    let mut d = instance(settings("a"));
    let name = dispatched(&d.arrive(request(1, "orders", "shop")))[0]
        .1
        .clone();
    restart(&mut d, &name, millis(2_000));
    d.update_dispatch(1, 1, ENDED);
    assert_eq!(d.scheduler.tables().stats.outcomes[&Outcome::Answered], 1);
}

#[test]
fn assumed_state_of_the_earlier_start_does_not_apply_to_the_later_one() {
    let mut d = instance(settings("a"));
    let name = dispatched(&d.arrive(request(1, "tiles", "shop")))[0]
        .1
        .clone();
    d.now += millis(900);
    d.update_dispatch(1, 1, ENDED);
    d.step(Event::Peer(PeerUpdate {
        name: "b".to_owned(),
        leaving: vec![format!("{name}@1000")],
        ..PeerUpdate::default()
    }));
    let known = row(&d, &name);
    assert!(known.leaving(d.now) && known.firsts > 0);
    restart(&mut d, &name, millis(2_000));
    let fresh = row(&d, &name);
    assert!(!fresh.leaving(d.now) && fresh.usable(d.now));
    assert_eq!((fresh.firsts, fresh.streams), (0, 0));
}

#[test]
fn a_peers_report_on_the_earlier_start_does_not_exclude_the_later_one() {
    let mut d = instance(settings("a"));
    restart(&mut d, "plain-0", millis(2_000));
    let mut tell = |start: &str| {
        d.step(Event::Peer(PeerUpdate {
            name: "b".to_owned(),
            leaving: vec![start.to_owned()],
            ..PeerUpdate::default()
        }));
        row(&d, "plain-0").leaving(d.now)
    };
    assert!(!tell("plain-0@1000"));
    assert!(tell("plain-0@2000"));
}

#[test]
fn a_request_sent_after_the_later_start_began_keeps_running_there() {
    let mut d = instance(settings("a").with_unix_zero(UNIX_ZERO));
    let name = dispatched(&d.arrive(request(1, "tiles", "shop")))[0]
        .1
        .clone();
    d.now += millis(500);
    let began = UNIX_ZERO + d.now;
    d.now += millis(500);
    let later = dispatched(&d.arrive(request(2, "tiles", "shop")))[0]
        .1
        .clone();
    let third = dispatched(&d.arrive(request(3, "tiles", "shop")))[0]
        .1
        .clone();
    let sent = if later == name { 2 } else { 3 };
    assert!(
        later == name || third == name,
        "one of them went to the endpoint of the first"
    );
    assert_eq!(given_up(&restart(&mut d, &name, began)), [(1, 1)]);
    // It still breaks later: it ran on this start, although it was sent before the start was known.
    let again = dispatched(&d.update_dispatch(sent, 1, BROKE));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].1, name);
}

// Guards against an answer that is given up although its endpoint's new start gives it: the instance's clock stood still, so
// that the start seems to have begun later than the request was sent.
#[test]
fn a_request_sent_to_a_later_start_goes_on_after_the_clock_stood_still() {
    let mut d = instance(settings("a").with_unix_zero(UNIX_ZERO));
    let first = dispatched(&d.arrive(request(1, "tiles", "shop")));
    let name = first[0].1.clone();
    let stood_still = millis(700);
    d.step(Event::UnixZeroRead(UNIX_ZERO + stood_still));
    d.now += millis(100);
    let began = UNIX_ZERO + stood_still + d.now;
    d.now += millis(100);
    let sent: Vec<_> = [2, 3]
        .into_iter()
        .filter(|n| dispatched(&d.arrive(request(*n, "tiles", "shop")))[0].1 == name)
        .collect();
    assert!(!sent.is_empty(), "one went to the endpoint of the first");
    assert_eq!(given_up(&restart(&mut d, &name, began)), [(1, 1)]);
}

// Guards against requests that wait for a start that is over while the time of day is set back.
#[test]
fn a_time_of_day_that_is_set_back_keeps_no_request_at_an_earlier_start() {
    let mut d = instance(settings("a").with_unix_zero(UNIX_ZERO));
    let first = dispatched(&d.arrive(request(1, "tiles", "shop")));
    d.step(Event::UnixZeroRead(UNIX_ZERO.saturating_sub(millis(2_000))));
    d.now += millis(100);
    let began = UNIX_ZERO + d.now;
    let actions = restart(&mut d, &first[0].1, began);
    assert_eq!(given_up(&actions), [(1, 1)]);
}

#[test]
fn the_same_start_listed_again_changes_nothing() {
    let mut d = instance(settings("a"));
    d.arrive(request(1, "tiles", "shop"));
    let actions = d.step(catalog(3, with_starts("none", millis(0))));
    assert!(actions.is_empty(), "{actions:?}");
    assert_eq!(d.scheduler.tables().stats.restarts, 0);
}

#[test]
fn a_placement_on_an_earlier_or_unknown_start_is_declined() {
    let mut d = instance(settings("a"));
    d.step(Event::Coordinated(true));
    restart(&mut d, "engine-0", millis(2_000));
    d.arrive(request(1, "draft", "shop"));
    let mut grant = |start: &str| {
        d.step(Event::Granted(Grant {
            id: id(1),
            endpoint: start.to_owned(),
            predicted: Duration::ZERO,
            permitted: false,
        }))
    };
    for start in ["engine-0@1000", "engine-0@3000"] {
        let actions = grant(start);
        assert!(dispatched(&actions).is_empty());
        let back = |a: &Action| matches!(a, Action::Decline(g) if g.endpoint == start);
        assert!(actions.iter().any(back), "{actions:?}");
    }
    assert_eq!(dispatched(&grant("engine-0@2000")).len(), 1);
}

/// Members and coordinators learn of a start at different times. A member must not report the only engine
/// of a pool as one to avoid, since the request could then not be placed at all.
#[test]
fn an_unknown_start_is_not_reported_as_an_engine_to_avoid() {
    let mut d = instance(settings("a"));
    d.step(Event::Coordinated(true));
    d.arrive(request(1, "draft", "shop"));
    d.step(Event::Granted(Grant {
        id: id(1),
        endpoint: "engine-0@3000".to_owned(),
        predicted: Duration::ZERO,
        permitted: false,
    }));
    let row = d.scheduler.tables().requests.get(id(1));
    assert!(row.is_some_and(|r| r.declined.is_empty()));
}

#[test]
fn a_coordinator_does_not_count_requests_of_the_earlier_start_on_the_later_one() {
    let mut d = instance(settings("a").with_coordination());
    let adopt = |n: u64, start: &str| Event::Adopted(request(n, "draft", "shop"), start.to_owned());
    d.step(adopt(1, "engine-0@1000"));
    assert_eq!(row(&d, "engine-0").running, 1);
    restart(&mut d, "engine-0", millis(2_000));
    d.step(adopt(2, "engine-0@1000"));
    assert_eq!(row(&d, "engine-0").running, 0);
    d.step(adopt(3, "engine-0@2000"));
    assert_eq!(row(&d, "engine-0").running, 1);
    // The member reports that the first request broke; this doesn't count against the later start.
    d.update_dispatch(1, 1, BROKE);
    assert_eq!(
        (row(&d, "engine-0").running, row(&d, "engine-0").failures),
        (1, 0)
    );
}
