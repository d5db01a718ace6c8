//! Requests that make endpoints exit.
//!
//! In two incidents a request made every endpoint exit that began to run it, and its caller sent it again
//! under another id and to any instance: it was dispatched 10 and 20 times more after the third exit, and
//! 20 and 27 endpoints exited. Each retry counted as a first attempt, since nothing that an instance learned
//! about a request outlived the request's row. Logs of a replay showed one attempt per dispatch; the traffic
//! below reproduces this without a network.

mod evidence;
mod reports;
mod segments;

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
/// Time after which an endpoint exits that runs a deadly request.
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

/// The given number of endpoints with four slots each, named from `s0`.
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

/// The connection of a dispatch ends early.
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

/// An instance and its endpoints, of which those that exited refuse connections.
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

    /// Follows dispatches until one reaches an endpoint that is up; returns its number and the endpoint.
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

    /// Makes the endpoint exit that runs a request; returns the resulting actions.
    fn exit_endpoint(&mut self, n: u64, (dispatch, endpoint): (u32, String)) -> Vec<Action> {
        self.edge.now += RUN;
        let mut actions = break_connection(&mut self.edge, n, dispatch);
        actions.extend(liveness_checked(&mut self.edge, &endpoint, Liveness::Ended));
        self.exited.push(endpoint);
        actions
    }

    /// Sends a request that makes the endpoint exit that runs it; returns whether it was dispatched.
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

/// The final verdict on a request, if there is one.
fn final_verdict(actions: &[Action], n: u64) -> Option<firdock_policy::Verdict> {
    actions.iter().find_map(|a| match a {
        Action::Answer { id: of, verdict } if *of == id(n) => Some(*verdict),
        _ => None,
    })
}

#[test]
fn a_request_that_made_three_endpoints_exit_is_not_dispatched_again() {
    let mut pool = TestPool::new(8);
    for n in 1..=20 {
        pool.send_and_exit(with_body(n, "once", "deadly"));
    }
    assert_eq!(pool.exited.len(), 3, "{:?}", pool.exited);
    // The caller learns at once that the request did not run; there is no time to retry after.
    let actions = pool.edge.arrive(with_body(30, "once", "deadly"));
    let verdict = final_verdict(&actions, 30).expect("a final answer");
    assert_eq!(verdict.outcome, Outcome::NotRun);
    assert_eq!(verdict.reason.as_str(), "ends-endpoints");
    assert_eq!(verdict.reason.status(verdict.outcome), 503);
    assert_eq!(verdict.retry_after, None);
    // Other requests of the account are still served.
    assert!(pool.arrive(with_body(31, "once", "other")).is_some());
}

/// The third exit becomes known while the request is in flight to a fourth endpoint.
#[test]
fn a_dispatch_not_yet_written_when_the_third_endpoint_exits_is_withheld() {
    let mut pool = TestPool::new(8);
    for n in 1..=2 {
        pool.send_and_exit(with_body(n, "once", "deadly"));
    }
    let (dispatch, third) = pool
        .arrive(with_body(3, "once", "deadly"))
        .expect("it is sent");
    pool.edge.now += RUN;
    break_connection(&mut pool.edge, 3, dispatch);
    // Sent before the liveness of the third has been checked.
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

/// Retries that the instance makes itself make endpoints exit as well.
#[test]
fn retries_within_one_attempt_count_like_attempts() {
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

/// Number of exits that count against a request.
fn exits_counted_against(edge: &EdgeScheduler, body: &str) -> usize {
    let suspect = edge.scheduler.tables().suspects.get(content(body).id);
    suspect.map_or(0, |s| s.counted().len())
}

/// A suspect runs once at a time; other requests of its account overtake it.
#[test]
fn attempts_of_a_suspect_run_one_at_a_time_and_delay_no_other_request() {
    let mut pool = TestPool::new(8);
    pool.send_and_exit(with_body(1, "once", "deadly"));
    let running = pool
        .arrive(with_body(2, "once", "deadly"))
        .expect("it is sent");
    assert_eq!(pool.arrive(with_body(3, "once", "deadly")), None);
    assert!(pool.arrive(with_body(4, "once", "other")).is_some());
    let actions = pool.edge.update_dispatch(2, running.0, ENDED);
    assert_eq!(
        dispatched(&actions).len(),
        1,
        "the next attempt runs: {actions:?}"
    );
    assert_eq!(exits_counted_against(&pool.edge, "deadly"), 0);
}

/// Outcome of the simulated traffic.
#[derive(Debug, Default)]
struct TrafficResult {
    sent: u64,
    served: u64,
    exited: u64,
}

/// Simulates 20 s of traffic to six endpoints with four slots: 50 requests a second, of which ordinary ones
/// take 200 ms each; 40 a second of these are half of what the endpoints can serve. With `with_deadly`, ten
/// a second are the same request that makes its endpoint exit after 100 ms; the endpoint is back 3 s later
/// under another name.
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
        // Replaces exited endpoints whose restart is due.
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

/// Other requests are served nearly as well as without the deadly one.
#[test]
fn other_callers_are_served_while_a_deadly_request_is_retried() {
    let quiet = run_traffic(false);
    assert_eq!(quiet.served, quiet.sent);
    let result = run_traffic(true);
    println!("{result:?}");
    let share = result.served as f64 / result.sent as f64;
    assert!(share >= 0.95, "{share}: {result:?}");
    // Three rounds, with at most one more dispatch in flight in each.
    assert!(result.exited <= 6, "{result:?}");
}
