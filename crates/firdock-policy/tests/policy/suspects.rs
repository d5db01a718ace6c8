//! Requests under which endpoints end.
//!
//! At an installation a request ended each server that began to run it, and came again, under another id
//! and at any instance: it was sent 10 and 20 times more after it had ended the third server, and 20 and
//! 27 servers ended. Each return was a first try: nothing that was learned of a request outlived its row,
//! so that no instance could know it again. The logs of a play showed the dispatches, one try each, and
//! the days below show the same without a network.

mod evidence;
mod reports;

use std::sync::Arc;
use std::time::Duration;

use firdock_core::resource::{Catalog, Endpoint, Resource};
use firdock_core::{Content, Outcome};
use firdock_policy::event::{BreakCause, DispatchUpdate, Liveness, LivenessResult};
use firdock_policy::{Action, Event, NewRequest, Time};

use crate::edge::{EdgeScheduler, edge_settings, request, resources};
use crate::fixtures::{dispatched, id, millis};

const BROKE: DispatchUpdate = DispatchUpdate::Broke { delivered: 0 };
const ENDED: DispatchUpdate = DispatchUpdate::Ended {
    prompt: 0,
    cached: 0,
    output: 0,
};
/// Time for which an endpoint runs a request that ends it.
const RUN: Duration = Duration::from_millis(100);

fn content(body: &str) -> Arc<Content> {
    Arc::new(Content::new("free", "POST", "/path", body.as_bytes()))
}

fn with_body(n: u64, service: &str, body: &str) -> NewRequest {
    NewRequest {
        content: Some(content(body)),
        ..request(n, service, "free")
    }
}

/// So many endpoints of four places, `s0` and on.
fn endpoints(count: u32) -> Vec<Resource> {
    let mut all = resources();
    all.retain(|r| !matches!(r, Resource::Endpoint(_)));
    all.extend((0..count).map(|n| {
        Resource::Endpoint(Endpoint {
            name: format!("s{n}"),
            pool: "pool".to_owned(),
            slots: 4,
            ..Endpoint::default()
        })
    }));
    all
}

fn with_endpoints(count: u32) -> EdgeScheduler {
    EdgeScheduler::new(edge_settings("a"), endpoints(count))
}

/// The connection of a run ends early.
fn break_connection(edge: &mut EdgeScheduler, n: u64, dispatch: u32) -> Vec<Action> {
    let mut actions =
        edge.update_dispatch(n, dispatch, DispatchUpdate::Breaking(BreakCause::Closed));
    actions.extend(edge.update_dispatch(n, dispatch, BROKE));
    actions
}

fn liveness_checked(edge: &mut EdgeScheduler, start: &str, found: Liveness) -> Vec<Action> {
    let start = start.to_owned();
    edge.step(Event::LivenessChecked(LivenessResult { start, found }))
}

/// Endpoints, of which those that ended refuse connections.
struct TestPool {
    edge: EdgeScheduler,
    exited: Vec<String>,
}

impl TestPool {
    fn new(count: u32) -> Self {
        Self {
            edge: with_endpoints(count),
            exited: Vec::new(),
        }
    }

    /// Gives where a request goes that is to go on by these actions: to the first endpoint that is up.
    fn deliver(&mut self, mut actions: Vec<Action>) -> Option<(u32, String)> {
        loop {
            let dispatch = actions.iter().find_map(|a| match a {
                Action::Dispatch(d) => Some(d.clone()),
                _ => None,
            })?;
            if !self.exited.contains(&dispatch.endpoint) {
                return Some((dispatch.dispatch, dispatch.endpoint));
            }
            let n = dispatch.id.as_u64_pair().1;
            let refused = DispatchUpdate::Refused { unreachable: true };
            actions = self.edge.update_dispatch(n, dispatch.dispatch, refused);
        }
    }

    fn arrive(&mut self, new: NewRequest) -> Option<(u32, String)> {
        self.edge.step(Event::ConfigConfirmed(self.edge.now));
        let actions = self.edge.arrive(new);
        self.deliver(actions)
    }

    /// The endpoint that runs a request ends; gives what follows.
    fn exit_endpoint(&mut self, n: u64, (dispatch, endpoint): (u32, String)) -> Vec<Action> {
        self.edge.now += RUN;
        let mut actions = break_connection(&mut self.edge, n, dispatch);
        actions.extend(liveness_checked(&mut self.edge, &endpoint, Liveness::Ended));
        self.exited.push(endpoint);
        actions
    }

    /// Sends a request that arrives and ends the endpoint that runs it; tells whether it was sent.
    fn send_and_exit(&mut self, new: NewRequest) -> bool {
        let n = new.id.as_u64_pair().1;
        let sent = self.arrive(new);
        let is_sent = sent.is_some();
        if let Some(at) = sent {
            self.exit_endpoint(n, at);
        }
        is_sent
    }
}

/// The final answer to a request, if it got one.
fn final_verdict(actions: &[Action], n: u64) -> Option<firdock_policy::Verdict> {
    actions.iter().find_map(|a| match a {
        Action::Answer { id: of, verdict } if *of == id(n) => Some(*verdict),
        _ => None,
    })
}

#[test]
fn a_request_under_which_three_endpoints_ended_is_sent_to_none_any_more() {
    let mut pool = TestPool::new(8);
    for n in 1..=20 {
        pool.send_and_exit(with_body(n, "once", "deadly"));
    }
    assert_eq!(pool.exited.len(), 3, "{:?}", pool.exited);
    // Its caller is told at once that it has not run; when to come back is not known.
    let actions = pool.edge.arrive(with_body(30, "once", "deadly"));
    let verdict = final_verdict(&actions, 30).expect("a final answer");
    assert_eq!(verdict.outcome, Outcome::NotRun);
    assert_eq!(verdict.reason.as_str(), "ends-endpoints");
    assert_eq!(verdict.reason.status(verdict.outcome), 503);
    assert_eq!(verdict.retry_after, None);
    // Other requests of the account are served on.
    assert!(pool.arrive(with_body(31, "once", "other")).is_some());
}

/// The third end becomes known while the request is on its way to a fourth endpoint.
#[test]
fn what_is_not_written_yet_when_the_third_endpoint_ends_is_given_back() {
    let mut pool = TestPool::new(8);
    for n in 1..=2 {
        pool.send_and_exit(with_body(n, "once", "deadly"));
    }
    let (dispatch, third) = pool
        .arrive(with_body(3, "once", "deadly"))
        .expect("it is sent");
    pool.edge.now += RUN;
    break_connection(&mut pool.edge, 3, dispatch);
    // Sent before anyone has looked at the third.
    let (dispatch, _) = pool
        .arrive(with_body(4, "once", "deadly"))
        .expect("it is sent");
    let actions = liveness_checked(&mut pool.edge, &third, Liveness::Ended);
    let withheld = Action::Withhold {
        id: id(4),
        dispatch,
    };
    assert!(actions.contains(&withheld), "{actions:?}");
    let actions = pool
        .edge
        .update_dispatch(4, dispatch, DispatchUpdate::Withheld);
    assert!(dispatched(&actions).is_empty());
    let verdict = final_verdict(&actions, 4);
    assert_eq!(verdict.map(|v| v.outcome), Some(Outcome::NotRun));
}

/// Its own repeats cost endpoints as well.
#[test]
fn repeats_of_one_try_count_like_tries() {
    let mut pool = TestPool::new(8);
    for n in 1..=10 {
        let mut sent = pool.arrive(with_body(n, "safe", "deadly"));
        while let Some(at) = sent {
            let actions = pool.exit_endpoint(n, at);
            sent = pool.deliver(actions);
        }
    }
    assert_eq!(pool.exited.len(), 3, "{:?}", pool.exited);
}

fn is_quarantined(edge: &EdgeScheduler, body: &str) -> bool {
    let suspects = &edge.scheduler.tables().suspects;
    suspects.is_quarantined(content(body).id)
}

/// Gives how many ends count against a request.
fn exits_counted_against(edge: &EdgeScheduler, body: &str) -> usize {
    let suspect = edge.scheduler.tables().suspects.get(content(body).id);
    suspect.map_or(0, |s| s.counted().len())
}

/// A suspect runs once at a time; all else that its account sends goes past it.
#[test]
fn tries_of_a_suspect_wait_for_each_other_and_hold_nothing_else_up() {
    let mut pool = TestPool::new(8);
    pool.send_and_exit(with_body(1, "once", "deadly"));
    let running = pool
        .arrive(with_body(2, "once", "deadly"))
        .expect("it is sent");
    assert_eq!(pool.arrive(with_body(3, "once", "deadly")), None);
    assert!(pool.arrive(with_body(4, "once", "other")).is_some());
    let actions = pool.edge.update_dispatch(2, running.0, ENDED);
    assert_eq!(dispatched(&actions).len(), 1, "it goes on: {actions:?}");
    assert_eq!(exits_counted_against(&pool.edge, "deadly"), 0);
}

/// What callers had of a day.
#[derive(Debug, Default)]
struct TrafficResult {
    sent: u64,
    served: u64,
    exited: u64,
}

/// Twenty seconds before six endpoints of four places, 40 requests a second that take 200 ms each, half
/// of what they bear; with them comes one ten times a second under which the endpoint that runs it ends
/// after 100 ms, and is back 3 s later as another one.
fn run_traffic(with_deadly: bool) -> TrafficResult {
    let mut edge = with_endpoints(6);
    let began = edge.now;
    let mut result = TrafficResult::default();
    let mut names: Vec<(String, Time)> = (0..6).map(|n| (format!("s{n}"), Time::ZERO)).collect();
    let mut running: Vec<(Time, u64, u32, String)> = Vec::new();
    let mut queue: Vec<Action> = Vec::new();
    let deadly = |n: u64| n.is_multiple_of(5) && with_deadly;
    let mut n = 0;
    let mut version = 1;
    while edge.now < began + millis(20_500) {
        edge.now += millis(20);
        edge.step(Event::ConfigConfirmed(edge.now));
        queue.extend(edge.step(Event::Timer));
        // Starts that are due, in place of what ended.
        if names
            .iter()
            .any(|(_, due)| *due <= edge.now && !due.is_zero())
        {
            for (name, due) in &mut names {
                if !due.is_zero() && *due <= edge.now {
                    *due = Time::ZERO;
                    name.push('x');
                }
            }
            version += 1;
            let listed = names.iter().filter(|(_, due)| due.is_zero());
            let mut all = endpoints(0);
            all.extend(listed.map(|(name, _)| {
                Resource::Endpoint(Endpoint {
                    name: name.clone(),
                    pool: "pool".to_owned(),
                    slots: 4,
                    ..Endpoint::default()
                })
            }));
            let catalog = Catalog::new(version).with_resources(all);
            queue.extend(edge.step(Event::Config(Arc::new(catalog))));
        }
        if edge.now <= began + millis(20_000) {
            n += 1;
            let body = if deadly(n) {
                "deadly".to_owned()
            } else {
                result.sent += 1;
                format!("body {n}")
            };
            let mut new = with_body(n, "once", &body);
            new.deadline = Some(edge.now + millis(1_000));
            queue.extend(edge.arrive(new));
        }
        let over: Vec<_> = running.extract_if(.., |(at, ..)| *at <= edge.now).collect();
        for (_, n, dispatch, endpoint) in over {
            if !deadly(n) {
                result.served += 1;
                queue.extend(edge.update_dispatch(n, dispatch, ENDED));
                continue;
            }
            result.exited += 1;
            let on_board = running.extract_if(.., |(.., at)| *at == endpoint);
            let mut lost: Vec<_> = on_board.map(|(_, n, d, _)| (n, d)).collect();
            lost.push((n, dispatch));
            for (n, dispatch) in lost {
                queue.extend(break_connection(&mut edge, n, dispatch));
            }
            queue.extend(liveness_checked(&mut edge, &endpoint, Liveness::Ended));
            let row = names.iter_mut().find(|(name, _)| *name == endpoint);
            row.expect("a known endpoint").1 = edge.now + millis(3_000);
        }
        while let Some(action) = queue.pop() {
            let Action::Dispatch(d) = action else {
                continue;
            };
            let n = d.id.as_u64_pair().1;
            let up = names
                .iter()
                .any(|(name, due)| *name == d.endpoint && due.is_zero());
            if !up {
                let refused = DispatchUpdate::Refused { unreachable: true };
                queue.extend(edge.update_dispatch(n, d.dispatch, refused));
                continue;
            }
            let time = if deadly(n) { RUN } else { millis(200) };
            running.push((edge.now + time, n, d.dispatch, d.endpoint));
        }
    }
    result
}

/// The neighbours of such a request are served nearly as on a day without it.
#[test]
fn other_callers_are_served_while_a_request_comes_again_that_ends_endpoints() {
    let quiet = run_traffic(false);
    assert_eq!(quiet.served, quiet.sent);
    let result = run_traffic(true);
    println!("{result:?}");
    let share = result.served as f64 / result.sent as f64;
    assert!(share >= 0.95, "{share}: {result:?}");
    // Three rounds, in each of which at most one more is on its way.
    assert!(result.exited <= 6, "{result:?}");
}
