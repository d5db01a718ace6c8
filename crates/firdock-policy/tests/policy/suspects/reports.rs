//! Reports of suspects between instances, releases by operators, and the bounds of what is kept.

use std::time::Duration;

use firdock_core::Outcome;
use firdock_policy::event::{Grant, Liveness, PeerUpdate};
use firdock_policy::suspect::{ReportedExit, SuspectKind, SuspectReport};
use firdock_policy::{Action, Event, NewRequest};
use proptest::prelude::*;

use super::{
    BROKE, RUN, TestPool, break_connection, content, endpoints, exits_counted_against,
    final_verdict, is_quarantined, liveness_checked, with_body, with_endpoints,
};
use crate::edge::{EdgeScheduler, edge_settings};
use crate::fixtures::{dispatched, id, millis};

pub fn suspect_report(body: &str, account: &str, starts: &[(&str, u64)]) -> SuspectReport {
    let end = |(start, ago): &(&str, u64)| ReportedExit {
        start: (*start).to_owned(),
        sent_ago: millis(ago + 100),
        ended_ago: millis(*ago),
        void: false,
    };
    SuspectReport {
        kind: SuspectKind::Request,
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

/// A group's coordinator places one attempt of a suspect at a time, whichever members ask. Other requests
/// overtake those that wait.
#[test]
fn a_coordinator_places_one_attempt_of_a_suspect_at_a_time() {
    let settings = edge_settings("a").with_coordination();
    let mut edge = EdgeScheduler::new(settings, endpoints(8));
    let reports = vec![suspect_report("deadly", "free", &[("x1", 900)])];
    edge.step(peer("p", reports));
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

/// A member that learns of the third exit while its request waits for a placement ends the request, and
/// declines a placement that arrives later.
#[test]
fn a_placement_for_a_request_in_quarantine_is_declined() {
    let mut edge = with_endpoints(8);
    edge.step(Event::Coordinated(true));
    let actions = edge.arrive(with_body(1, "once", "deadly"));
    assert!(actions.contains(&Action::Ask { id: id(1) }));
    let exits = [("x1", 900), ("x2", 600), ("x3", 300)];
    let actions = edge.step(peer("p", vec![suspect_report("deadly", "free", &exits)]));
    let verdict = final_verdict(&actions, 1).map(|v| v.outcome);
    assert_eq!(verdict, Some(Outcome::NotRun));
    let grant = Grant {
        id: id(1),
        endpoint: "s0".to_owned(),
        predicted: Duration::ZERO,
        permitted: false,
    };
    let actions = edge.step(Event::Granted(grant.clone()));
    assert_eq!(actions, [Action::Decline(grant)]);
}

/// Exits that different instances saw are added up at every instance. A repeated report changes nothing, so
/// that instances stop forwarding it.
#[test]
fn exits_that_peers_saw_count_once_and_forwarding_stops() {
    let mut edge = with_endpoints(8);
    let exits = [("x1", 900), ("x2", 600), ("x3", 300)];
    for (n, exit) in exits.iter().enumerate() {
        assert!(!is_quarantined(&edge, "deadly"));
        let report = suspect_report("deadly", "free", &[*exit]);
        edge.step(peer(&format!("p{n}"), vec![report]));
    }
    assert!(is_quarantined(&edge, "deadly"));
    let actions = edge.arrive(with_body(1, "once", "deadly"));
    assert_eq!(
        final_verdict(&actions, 1).map(|v| v.outcome),
        Some(Outcome::NotRun)
    );
    let before = edge.scheduler.tables().suspects.revision();
    for delay in [0, 5, 50] {
        edge.now += millis(delay);
        let report = suspect_report("deadly", "free", &exits);
        let actions = edge.step(peer("p9", vec![report]));
        assert_eq!(actions, Vec::new());
    }
    assert_eq!(edge.scheduler.tables().suspects.revision(), before);
}

/// When an endpoint exits, all requests that it ran become suspects at once. Reports once carried the first
/// sixteen by hash and the others in rotation, up to seven seconds late.
#[test]
fn a_deadly_request_is_reported_at_once_among_many_new_suspects() {
    let mut pool = TestPool::new(70);
    let bodies: Vec<String> = (0..60).map(|n| format!("b{n}")).collect();
    let mut runs = Vec::new();
    for (n, body) in (1..).zip(&bodies) {
        let at = pool.arrive(with_body(n, "once", body));
        runs.push((n, at.expect("it is sent")));
    }
    pool.edge.now += RUN;
    for (n, (dispatch, endpoint)) in runs {
        break_connection(&mut pool.edge, n, dispatch);
        liveness_checked(&mut pool.edge, &endpoint, Liveness::Ended);
        pool.exited.push(endpoint);
    }
    for (n, deadly) in (100..).zip(["deadly", "another", "a third"]) {
        assert!(pool.send_and_exit(with_body(n, "once", deadly)));
        let reports = pool
            .edge
            .scheduler
            .tables()
            .suspects
            .reports(pool.edge.now, 0);
        let is_reported = |body: &str| reports.iter().any(|t| t.content.id == content(body).id);
        assert!(is_reported(deadly), "{deadly} is reported at once");
        assert!(reports.len() >= 60, "{} are reported", reports.len());
    }
}

/// Only leads forward reports that they received: the instance that saw an exit reports it to all peers of
/// its group itself.
#[test]
fn only_leads_forward_reports_of_others() {
    let mut edge = with_endpoints(1);
    for n in 0..8 {
        let report = suspect_report(&format!("b{n}"), "free", &[("x", 10)]);
        edge.step(peer("p", vec![report]));
    }
    let suspects = &edge.scheduler.tables().suspects;
    assert!(suspects.reports(edge.now, 0).len() <= 2, "only in rotation");
    assert_eq!(suspects.reports_to_forward(edge.now).len(), 8);
}

/// A release by an operator also covers earlier exits that peers report only after it.
#[test]
fn a_released_request_is_dispatched_until_three_more_exits() {
    let mut pool = TestPool::new(8);
    for n in 1..=3 {
        pool.send_and_exit(with_body(n, "once", "deadly"));
    }
    let id = content("deadly").id;
    let reports = pool
        .edge
        .scheduler
        .tables()
        .suspects
        .reports(pool.edge.now, 0);
    pool.edge.step(Event::Released(id, pool.edge.now));
    assert!(!is_quarantined(&pool.edge, "deadly"));
    pool.edge.step(peer("late", reports));
    assert!(!is_quarantined(&pool.edge, "deadly"));
    let mut sent = 0;
    for n in 4..=10 {
        pool.edge.now += millis(10);
        sent += usize::from(pool.send_and_exit(with_body(n, "once", "deadly")));
    }
    assert_eq!(sent, 3);
}

/// Suspects of an account evict only suspects of the same account, those in quarantine last.
#[test]
fn suspects_are_bounded_by_account() {
    let mut edge = with_endpoints(8);
    let exits = [("x1", 900), ("x2", 600), ("x3", 300)];
    let own = suspect_report("own", "limited", &exits);
    let worst = suspect_report("worst", "free", &exits);
    edge.step(peer("p", vec![own, worst]));
    for n in 0..2_000 {
        edge.now += millis(1);
        let report = suspect_report(&format!("b{n}"), "free", &[("x4", 10)]);
        edge.step(peer("p", vec![report]));
    }
    assert!(is_quarantined(&edge, "own"));
    assert!(is_quarantined(&edge, "worst"));
    let kept = edge.scheduler.tables().suspects.iter().count();
    assert!(kept <= 130, "{kept}");
}

proptest! {
    /// Instances that receive the same reports reach the same result, whatever the order.
    #[test]
    fn reports_in_any_order_lead_to_the_same_result(
        ends in prop::collection::vec((0..6_u8, 0..2_000_u64, prop::bool::ANY), 1..12),
        order in any::<prop::sample::Index>(),
    ) {
        let reports: Vec<SuspectReport> = ends
            .iter()
            .map(|(start, ago, void)| {
                let name = format!("x{start}");
                let mut report = suspect_report("deadly", "free", &[(name.as_str(), *ago)]);
                report.exits[0].void = *void;
                report
            })
            .collect();
        let mut rotated = reports.clone();
        rotated.rotate_left(order.index(reports.len()));
        let mut exit_counts = Vec::new();
        for reports in [reports, rotated] {
            let mut edge = with_endpoints(1);
            // A report that is void when it arrives makes no suspect, and is not kept.
            let first = suspect_report("deadly", "free", &[("x", 5_000)]);
            edge.step(peer("p", vec![first]));
            for report in reports {
                edge.step(peer("p", vec![report]));
            }
            exit_counts.push(exits_counted_against(&edge, "deadly"));
        }
        prop_assert_eq!(exit_counts[0], exit_counts[1]);
    }
}
