//! Notices that endpoints send with their answers: that they leave, or that they ask for a backoff.
//!
//! These tests guard against the head of an answer being used for its own request alone. In one incident
//! an endpoint announced that it was leaving while the platform's store was unavailable, and the same
//! instance sent it requests for up to 11.7 s more. In another, endpoints refused requests and asked for
//! 3 s without any: they got 17 to 27 in that time, mostly first attempts, since an endpoint that refuses
//! at once looks idle and fast. The log of state changes showed none in either incident.

use std::sync::Arc;
use std::time::Duration;

use firdock_core::resource::{Catalog, Endpoint, Resource};
use firdock_core::{Outcome, Reason};
use firdock_policy::event::{DispatchUpdate, Grant, ListedInstance, LoadReport};
use firdock_policy::notice::{Notice, NoticeReport};
use firdock_policy::table::endpoint::{EndpointRow, Health};
use firdock_policy::{Action, Event, Time};

use crate::edge::{EdgeScheduler, REFUSED, edge_settings, request, resources, verdict};
use crate::fixtures::{dispatched, id, millis};

const BROKE: DispatchUpdate = DispatchUpdate::Broke { delivered: 0 };

fn report_notice(endpoint: &str, notice: Notice, read: Time) -> Event {
    Event::NoticeReported(NoticeReport {
        endpoint: endpoint.to_owned(),
        member: String::new(),
        notice,
        read,
    })
}

fn report_leaving(edge: &mut EdgeScheduler, endpoint: &str) -> Vec<Action> {
    let notice = Notice {
        leaving: true,
        ..Notice::default()
    };
    edge.step(report_notice(endpoint, notice, edge.now))
}

/// The endpoint asks for a backoff: a time without requests.
fn report_backoff(edge: &mut EdgeScheduler, endpoint: &str, time: Duration) -> Vec<Action> {
    let notice = Notice {
        backoff: Some(time),
        ..Notice::default()
    };
    edge.step(report_notice(endpoint, notice, edge.now))
}

fn single_instance() -> EdgeScheduler {
    EdgeScheduler::new(edge_settings("a"), resources())
}

fn apply(edge: &mut EdgeScheduler, version: u64, resources: Vec<Resource>) -> Vec<Action> {
    let catalog = Catalog::new(version).with_resources(resources);
    edge.step(Event::Config(Arc::new(catalog)))
}

fn without(name: &str) -> Vec<Resource> {
    let mut all = resources();
    all.retain(|r| !matches!(r, Resource::Endpoint(e) if e.name == name));
    all
}

fn row<'a>(edge: &'a EdgeScheduler, name: &str) -> &'a EndpointRow {
    let endpoints = &edge.scheduler.tables().endpoints;
    endpoints.get(endpoints.find(name).expect("a row"))
}

/// Sends requests at once and then ends them; returns the endpoints that they were dispatched to.
fn dispatched_endpoints(edge: &mut EdgeScheduler, numbers: std::ops::Range<u64>) -> Vec<String> {
    edge.step(Event::ConfigConfirmed(edge.now));
    let mut actions: Vec<Action> = Vec::new();
    for n in numbers {
        actions.extend(edge.arrive(request(n, "safe", "free")));
    }
    let mut reached = Vec::new();
    while !actions.is_empty() {
        for (of, endpoint) in dispatched(&std::mem::take(&mut actions)) {
            reached.push(endpoint);
            let update = DispatchUpdate::Ended {
                prompt: 0,
                cached: 0,
                output: 0,
            };
            actions.extend(edge.update_dispatch(of.as_u64_pair().1, 1, update));
        }
    }
    reached
}

#[test]
fn an_endpoint_that_announced_leaving_gets_nothing_new() {
    let mut edge = single_instance();
    report_leaving(&mut edge, "e1");
    assert_eq!(dispatched_endpoints(&mut edge, 1..6), ["e2"; 5]);
}

#[test]
fn a_notice_outlasts_other_reports_and_the_endpoints_row() {
    let mut edge = single_instance();
    report_leaving(&mut edge, "e1");
    let ready = vec![ListedInstance {
        name: "e1".to_owned(),
        leaving: false,
    }];
    edge.step(Event::Listed(ready));
    edge.step(Event::Report(LoadReport {
        endpoint: "e1".to_owned(),
        age: Duration::ZERO,
        running: 0,
        waiting: 0,
        backlog: 0,
        leaving: false,
        gap: false,
        added: Vec::new(),
        removed: Vec::new(),
    }));
    assert_eq!(dispatched_endpoints(&mut edge, 1..4), ["e2"; 3]);
    // Its entry expires while the store is unavailable, and returns unchanged.
    apply(&mut edge, 2, without("e1"));
    edge.advance(millis(30_000));
    apply(&mut edge, 3, resources());
    assert_eq!(dispatched_endpoints(&mut edge, 4..8), ["e2"; 4]);
}

/// The resources with `e1` as started at the given second.
fn started(second: u64) -> Vec<Resource> {
    let mut all = without("e1");
    all.push(Resource::Endpoint(Endpoint {
        name: "e1".to_owned(),
        pool: "pool".to_owned(),
        slots: 2,
        started: Some(Duration::from_secs(second)),
        ..Endpoint::default()
    }));
    all
}

#[test]
fn a_notice_ends_with_the_endpoints_next_start() {
    let mut edge = EdgeScheduler::new(edge_settings("a"), started(8));
    let earlier = row(&edge, "e1").start_id.clone();
    report_leaving(&mut edge, &earlier);
    assert_eq!(dispatched_endpoints(&mut edge, 1..5), ["e2"; 4]);
    apply(&mut edge, 2, started(9));
    // A late notice of the earlier start changes nothing for the later one.
    report_leaving(&mut edge, &earlier);
    report_backoff(&mut edge, &earlier, millis(3_000));
    let open = dispatched_endpoints(&mut edge, 5..10);
    assert!(open.contains(&"e1".to_owned()), "{open:?}");
}

#[test]
fn a_placement_on_an_endpoint_with_a_notice_is_declined() {
    for backoff in [false, true] {
        let mut edge = single_instance();
        edge.step(Event::Coordinated(true));
        edge.arrive(request(1, "once", "free"));
        if backoff {
            report_backoff(&mut edge, "e1", millis(3_000));
        } else {
            report_leaving(&mut edge, "e1");
        }
        let grant = Grant {
            id: id(1),
            endpoint: "e1".to_owned(),
            predicted: millis(0),
            permitted: false,
        };
        let actions = edge.step(Event::Granted(grant.clone()));
        assert_eq!(dispatched(&actions), Vec::new());
        assert!(actions.contains(&Action::Decline(grant)), "{actions:?}");
    }
}

#[test]
fn an_endpoint_that_asked_for_a_backoff_gets_nothing_until_its_end() {
    let mut edge = single_instance();
    report_backoff(&mut edge, "e1", millis(3_000));
    assert_eq!(dispatched_endpoints(&mut edge, 1..6), ["e2"; 5]);
    edge.advance(millis(2_900));
    assert_eq!(dispatched_endpoints(&mut edge, 6..11), ["e2"; 5]);
    edge.advance(millis(101));
    assert!(dispatched_endpoints(&mut edge, 11..16).contains(&"e1".to_owned()));
}

#[test]
fn a_backoff_runs_from_the_receipt_and_the_latest_end_counts() {
    let mut edge = single_instance();
    let notice = |secs| Notice {
        backoff: Some(Duration::from_secs(secs)),
        ..Notice::default()
    };
    // The answer was read a second ago, since when the process was paused.
    let read = edge.now.saturating_sub(millis(1_000));
    edge.step(report_notice("e1", notice(3), read));
    edge.step(report_notice("e1", notice(1), read + millis(100)));
    edge.advance(millis(1_900));
    assert_eq!(dispatched_endpoints(&mut edge, 1..4), ["e2"; 3]);
    edge.advance(millis(101));
    assert!(dispatched_endpoints(&mut edge, 4..9).contains(&"e1".to_owned()));
}

/// An endpoint that asks for a backoff is healthy: neither refusals nor failures in that time count against
/// it, and it is fully usable after it.
#[test]
fn a_backoff_is_no_failure() {
    let mut edge = single_instance();
    for n in 1..=4 {
        edge.arrive(request(n, "safe", "free"));
    }
    let at_e1: Vec<u64> = (1..=4)
        .filter(|n| {
            let row = edge.scheduler.tables().requests.get(id(*n));
            row.is_some_and(|r| r.tried == ["e1"])
        })
        .collect();
    assert_eq!(at_e1.len(), 2);
    report_backoff(&mut edge, "e1", millis(3_000));
    for n in at_e1 {
        edge.update_dispatch(n, 1, BROKE);
    }
    assert_eq!(
        (row(&edge, "e1").health, row(&edge, "e1").broken),
        (Health::Healthy, 0)
    );
}

/// Requests wait for the first backoff to end if their deadlines allow it; the others are refused at once
/// with a time to retry after.
#[test]
fn when_all_ask_for_a_backoff_some_wait_and_the_rest_get_a_retry_time() {
    let mut edge = single_instance();
    report_backoff(&mut edge, "e1", millis(1_000));
    report_backoff(&mut edge, "e2", millis(3_000));
    let mut times = Vec::new();
    for n in 1..=20 {
        let mut new = request(n, "once", "free");
        new.deadline = Some(edge.now + millis(700));
        let actions = edge.arrive(new);
        assert_eq!(dispatched(&actions), Vec::new());
        assert_eq!(verdict(&actions).map(|v| v.0), Some(Outcome::NotRun), "{n}");
        times.extend(actions.iter().filter_map(|a| match a {
            Action::Answer { verdict, .. } => verdict.retry_after,
            _ => None,
        }));
    }
    assert!(
        times
            .iter()
            .all(|t| (millis(1_000)..millis(3_000)).contains(t)),
        "{times:?}"
    );
    times.sort_unstable();
    times.dedup();
    assert!(times.len() > 10, "retry times are spread: {times:?}");
    // This one's deadline allows the wait.
    assert_eq!(edge.arrive(request(21, "once", "free")), Vec::new());
    assert_eq!(dispatched(&edge.advance(millis(900))), Vec::new());
    assert_eq!(
        dispatched(&edge.advance(millis(101))),
        vec![(id(21), "e1".to_owned())]
    );
}

/// A request that may have run is never reported as not run, even when the backoffs keep it from being
/// repeated.
#[test]
fn a_broken_request_that_cannot_wait_ends_as_unknown() {
    let mut edge = single_instance();
    let mut new = request(1, "safe", "free");
    new.deadline = Some(edge.now + millis(700));
    let first = dispatched(&edge.arrive(new))[0].1.clone();
    for endpoint in ["e1", "e2"] {
        report_backoff(&mut edge, endpoint, millis(3_000));
    }
    let actions = edge.update_dispatch(1, 1, BROKE);
    assert!(dispatched(&actions).is_empty(), "after {first}");
    assert_eq!(verdict(&actions).map(|v| v.0), Some(Outcome::Unknown));
    assert_ne!(verdict(&actions).map(|v| v.1), Some(Reason::TimedOut));
}

/// The second incident, replayed without a network: of six endpoints with four slots, a third refuses all
/// requests for 3 s and asks for a backoff of as long, at 40 requests a second, half of what the others
/// can serve.
#[test]
fn endpoints_that_ask_for_a_backoff_attract_no_requests() {
    let endpoint = |n: u32| {
        Resource::Endpoint(Endpoint {
            name: format!("s{n}"),
            pool: "pool".to_owned(),
            slots: 4,
            ..Endpoint::default()
        })
    };
    let mut all = without("e1");
    all.retain(|r| !matches!(r, Resource::Endpoint(_)));
    all.extend((0..6).map(endpoint));
    let mut edge = EdgeScheduler::new(edge_settings("a"), all);
    let refuses = |name: &str| matches!(name, "s0" | "s1");
    let began = edge.now;
    let mut asked_at: [Option<Time>; 2] = [None; 2];
    let (mut sent, mut served, mut late) = (0_u64, 0_u64, 0_u64);
    let mut running: Vec<(Time, u64, u32)> = Vec::new();
    let mut queue: Vec<Action> = Vec::new();
    while edge.now < began + millis(3_500) {
        edge.now += millis(25);
        edge.step(Event::ConfigConfirmed(edge.now));
        queue.extend(edge.step(Event::Timer));
        if edge.now <= began + millis(3_000) {
            sent += 1;
            let mut new = request(sent, "safe", "free");
            new.deadline = Some(edge.now + millis(1_000));
            queue.extend(edge.arrive(new));
        }
        let over: Vec<_> = running.extract_if(.., |(at, ..)| *at <= edge.now).collect();
        for (_, n, dispatch) in over {
            served += 1;
            let update = DispatchUpdate::Ended {
                prompt: 0,
                cached: 0,
                output: 0,
            };
            queue.extend(edge.update_dispatch(n, dispatch, update));
        }
        while let Some(action) = queue.pop() {
            let Action::Dispatch(d) = action else {
                continue;
            };
            let n = d.id.as_u64_pair().1;
            if !refuses(&d.endpoint) {
                running.push((edge.now + millis(200), n, d.dispatch));
                continue;
            }
            let first = &mut asked_at[usize::from(d.endpoint == "s1")];
            let since = first.get_or_insert(edge.now);
            let in_time = *since + millis(500)..*since + millis(3_000);
            late += u64::from(in_time.contains(&edge.now));
            let endpoint = d.endpoint.clone();
            queue.extend(report_backoff(&mut edge, &endpoint, millis(3_000)));
            queue.extend(edge.update_dispatch(n, d.dispatch, REFUSED));
        }
    }
    println!("{served} of {sent} served, {late} sent to endpoints that asked for none");
    assert_eq!(late, 0);
    assert_eq!(served, sent);
}
