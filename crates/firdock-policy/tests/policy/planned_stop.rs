//! Planned stops whose time is over before all requests have ended.

use firdock_core::{Outcome, Reason};
use firdock_policy::event::DispatchUpdate;
use firdock_policy::{Action, Event};

use crate::edge::{EdgeScheduler, edge_settings, request, resources};
use crate::fixtures::{dispatched, id};

/// More requests than the engines take.
const REQUESTS: u64 = 20;

// Guards against requests that nobody ends when the time of a stop is over, and against `not-run` for one that may have run.
#[test]
fn every_request_ends_when_the_time_of_a_stop_is_over() {
    let mut edge = EdgeScheduler::new(edge_settings("a"), resources());
    let mut sent = 0;
    for n in 1..=REQUESTS {
        let actions = edge.arrive(request(n, "once", "free"));
        sent += dispatched(&actions).len() as u64;
    }
    assert!((2..REQUESTS).contains(&sent), "{sent} were sent");
    edge.update_dispatch(1, 1, DispatchUpdate::Started { head_sent: true });
    edge.step(Event::Drain);
    let actions = edge.step(Event::DrainExpired);
    let verdict = |n| {
        actions.iter().find_map(|a| match a {
            Action::Answer { id: of, verdict } if *of == id(n) => Some(*verdict),
            _ => None,
        })
    };
    let cut = actions
        .iter()
        .any(|a| matches!(a, Action::Cut { id: of, reason: Reason::Stopping } if *of == id(1)));
    assert!(cut, "{actions:?}");
    for n in 2..=REQUESTS {
        let verdict = verdict(n).expect("a final answer");
        let outcome = if n <= sent {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        assert_eq!(
            (verdict.outcome, verdict.reason),
            (outcome, Reason::Stopping)
        );
        assert!(verdict.retry_after.is_some());
    }
    let cancelled = actions.iter();
    let cancelled = cancelled.filter(|a| matches!(a, Action::Cancel { .. }));
    assert_eq!(cancelled.count() as u64, sent);
    let drained = actions.iter().any(|a| matches!(a, Action::Drained));
    assert!(drained, "{actions:?}");
}
