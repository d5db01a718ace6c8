//! Which exits of endpoints count, and against which requests; above all, that harmless requests are not
//! suspected.

use std::sync::Arc;
use std::time::Duration;

use firdock_core::resource::{Catalog, Endpoint, Resource};
use firdock_policy::event::{BreakCause, DispatchUpdate, Liveness};
use firdock_policy::notice::{Notice, NoticeReport};
use firdock_policy::{Action, Event};

use super::reports::{peer, suspect_report};
use super::{
    BROKE, ENDED, RUN, TestPool, break_connection, endpoints, exits_counted_against,
    is_quarantined, liveness_checked, with_body, with_endpoints,
};
use crate::edge::{EdgeScheduler, edge_settings};
use crate::fixtures::{dispatched, id, millis};

/// Runs the given attempts of one request at the same time, on several endpoints.
fn run_on_several(
    pool: &mut TestPool,
    attempts: std::ops::RangeInclusive<u64>,
) -> Vec<(u64, (u32, String))> {
    let runs = attempts.map(|n| {
        let at = pool.arrive(with_body(n, "once", "hot"));
        (n, at.expect("it is sent"))
    });
    runs.collect()
}

/// When a rack loses power, its endpoints exit together: a request that ran on several of them is charged
/// with one exit.
#[test]
fn a_rack_failure_quarantines_no_request() {
    let mut pool = TestPool::new(8);
    for round in 0..3 {
        let first = 10 * round;
        let runs = run_on_several(&mut pool, first + 1..=first + 4);
        let mut starts: Vec<String> = runs.iter().map(|(_, (_, at))| at.clone()).collect();
        pool.edge.now += RUN;
        for (n, (dispatch, _)) in &runs {
            break_connection(&mut pool.edge, *n, *dispatch);
        }
        starts.sort_unstable();
        starts.dedup();
        for start in &starts {
            liveness_checked(&mut pool.edge, start, Liveness::Ended);
        }
        assert_eq!(exits_counted_against(&pool.edge, "hot"), 1, "{starts:?}");
        // The next attempt is answered by a remaining endpoint, which clears the request.
        pool.exited.extend(starts);
        pool.edge.now += millis(1_000);
        let (dispatch, _) = pool
            .arrive(with_body(first + 9, "once", "hot"))
            .expect("it is sent");
        pool.edge.update_dispatch(first + 9, dispatch, ENDED);
        assert_eq!(exits_counted_against(&pool.edge, "hot"), 0);
        // The rack is up again.
        pool = TestPool {
            exited: Vec::new(),
            ..pool
        };
        pool.edge.now += millis(60_000);
        pool.edge.step(Event::Timer);
    }
    assert!(!is_quarantined(&pool.edge, "hot"));
}

/// Endpoints are killed one after the other for other reasons, each while it runs the same request.
#[test]
fn endpoints_killed_for_other_reasons_leave_no_evidence_against_an_answered_request() {
    let mut pool = TestPool::new(8);
    for n in 1..=6 {
        assert!(pool.send_and_exit(with_body(10 * n, "once", "hot")));
        let (dispatch, _) = pool
            .arrive(with_body(10 * n + 1, "once", "hot"))
            .expect("it is sent");
        pool.edge.update_dispatch(10 * n + 1, dispatch, ENDED);
        assert_eq!(exits_counted_against(&pool.edge, "hot"), 0);
    }
}

// Guards against an answer without framing that voids evidence: its end doesn't prove that it is complete,
// since an endpoint that exits would break it off in the same way.
#[test]
fn an_answer_of_unproven_completeness_keeps_earlier_exits() {
    let mut pool = TestPool::new(8);
    assert!(pool.send_and_exit(with_body(1, "once", "hot")));
    let (dispatch, _) = pool
        .arrive(with_body(2, "once", "hot"))
        .expect("it is sent");
    pool.edge
        .update_dispatch(2, dispatch, DispatchUpdate::Unproven);
    pool.edge.update_dispatch(2, dispatch, ENDED);
    assert_eq!(exits_counted_against(&pool.edge, "hot"), 1);
    let (dispatch, _) = pool
        .arrive(with_body(3, "once", "hot"))
        .expect("it is sent");
    pool.edge.update_dispatch(3, dispatch, ENDED);
    assert_eq!(exits_counted_against(&pool.edge, "hot"), 0);
}

/// Ends an answer without framing, after which a check finds the endpoint in this state; returns the verdict.
fn end_unframed(pool: &mut TestPool, n: u64, at: &(u32, String), found: Liveness) -> Vec<Action> {
    let unproven = DispatchUpdate::Unproven;
    let mut actions = pool.edge.update_dispatch(n, at.0, unproven);
    actions.extend(liveness_checked(&mut pool.edge, &at.1, found));
    actions
}

fn is_accepted(actions: &[Action]) -> Option<bool> {
    actions.iter().find_map(|action| match action {
        Action::JudgeEnd { verdict, .. } => Some(verdict.accepted),
        _ => None,
    })
}

// Guards against a sound request that is quarantined, since whole answers without framing counted for nothing: each
// endpoint that was killed for other reasons counted against what it ran.
#[test]
fn an_unframed_answer_that_its_endpoint_outlived_voids_earlier_exits() {
    let mut pool = TestPool::new(8);
    for n in 1..=6 {
        assert!(pool.send_and_exit(with_body(10 * n, "once", "hot")), "{n}");
        assert_eq!(exits_counted_against(&pool.edge, "hot"), 1, "{n}");
        let n = 10 * n + 1;
        let at = pool
            .arrive(with_body(n, "once", "hot"))
            .expect("it is sent");
        let actions = end_unframed(&mut pool, n, &at, Liveness::Open);
        assert_eq!(is_accepted(&actions), Some(true));
        pool.edge.update_dispatch(n, at.0, ENDED);
        assert_eq!(exits_counted_against(&pool.edge, "hot"), 0, "{n}");
    }
}

// Guards against a deadly request that clears itself: it may write a part of an answer, and an endpoint that exits closes
// its connections in order.
#[test]
fn an_unframed_part_of_an_answer_clears_nothing_when_its_endpoint_exits() {
    let mut pool = TestPool::new(8);
    for n in 1..=3 {
        let at = pool
            .arrive(with_body(n, "once", "hot"))
            .expect("it is sent");
        pool.edge.now += RUN;
        let actions = end_unframed(&mut pool, n, &at, Liveness::Ended);
        assert_eq!(is_accepted(&actions), Some(false));
        break_connection(&mut pool.edge, n, at.0);
        pool.exited.push(at.1);
        pool.edge.now += millis(1_000);
    }
    assert!(is_quarantined(&pool.edge, "hot"));
    assert!(pool.arrive(with_body(9, "once", "hot")).is_none());
}

// Guards against a check without a result that counts as a sign of life.
#[test]
fn an_unframed_answer_whose_endpoint_is_silent_clears_nothing() {
    let mut pool = TestPool::new(8);
    assert!(pool.send_and_exit(with_body(1, "once", "hot")));
    let at = pool
        .arrive(with_body(2, "once", "hot"))
        .expect("it is sent");
    let mut actions = end_unframed(&mut pool, 2, &at, Liveness::Silent);
    for _ in 0..20 {
        pool.edge.now += millis(25);
        actions.extend(pool.edge.step(Event::Timer));
    }
    assert_eq!(is_accepted(&actions), Some(true));
    pool.edge.update_dispatch(2, at.0, ENDED);
    assert_eq!(exits_counted_against(&pool.edge, "hot"), 1);
}

/// Endpoints replaced by a release announce that they leave, or their entries are removed first; then they
/// exit with the requests that they run.
#[test]
fn a_release_leaves_no_evidence() {
    let mut pool = TestPool::new(8);
    for n in 1..=8_u64 {
        let (dispatch, endpoint) = pool
            .arrive(with_body(n, "once", "hot"))
            .expect("it is sent");
        if n.is_multiple_of(2) {
            pool.edge.step(Event::NoticeReported(NoticeReport {
                endpoint: endpoint.clone(),
                member: String::new(),
                notice: Notice {
                    leaving: true,
                    ..Notice::default()
                },
                read: pool.edge.now,
            }));
        } else {
            let left: Vec<Resource> = endpoints(8)
                .into_iter()
                .filter(|r| !matches!(r, Resource::Endpoint(e) if e.name == endpoint || pool.exited.contains(&e.name)))
                .collect();
            let catalog = Catalog::new(1 + n).with_resources(left);
            pool.edge.step(Event::Config(Arc::new(catalog)));
        }
        pool.exit_endpoint(n, (dispatch, endpoint));
    }
    assert_eq!(exits_counted_against(&pool.edge, "hot"), 0);
}

/// All connections of an instance are reset, or answers are corrupted, while the endpoints stay up.
#[test]
fn broken_connections_to_live_endpoints_leave_no_evidence() {
    let mut edge = with_endpoints(8);
    for n in 1..=9 {
        edge.step(Event::ConfigConfirmed(edge.now));
        let sent = dispatched(&edge.arrive(with_body(n, "once", "hot")));
        edge.now += RUN;
        if n.is_multiple_of(3) {
            edge.update_dispatch(n, 1, DispatchUpdate::Breaking(BreakCause::Foreign));
            edge.update_dispatch(n, 1, BROKE);
            // A liveness check for another request finds it exited a moment later.
            edge.now += millis(10);
            liveness_checked(&mut edge, &sent[0].1, Liveness::Ended);
        } else {
            break_connection(&mut edge, n, 1);
            liveness_checked(&mut edge, &sent[0].1, Liveness::Open);
        }
        edge.now += millis(40_000);
    }
    assert_eq!(exits_counted_against(&edge, "hot"), 0);
}

/// One request makes three endpoints exit; the others that ran there each time are retried and served.
#[test]
fn requests_that_ran_beside_a_deadly_one_are_served_on_retry() {
    let mut pool = TestPool::new(8);
    let mut n = 100;
    for _ in 0..3 {
        let (dispatch, endpoint) = pool
            .arrive(with_body(n, "once", "deadly"))
            .expect("it is sent");
        let first = n;
        let (mut beside, mut elsewhere) = (Vec::new(), Vec::new());
        for _ in 0..24 {
            n += 1;
            let Some((dispatch, at)) = pool.arrive(with_body(n, "once", &format!("b{n}"))) else {
                break;
            };
            let there = at == endpoint;
            let list = if there { &mut beside } else { &mut elsewhere };
            list.push((n, dispatch));
        }
        assert!(beside.len() >= 2, "others run on the same endpoint");
        for (n, dispatch) in &beside {
            break_connection(&mut pool.edge, *n, *dispatch);
        }
        pool.exit_endpoint(first, (dispatch, endpoint));
        for (n, dispatch) in elsewhere {
            pool.edge.update_dispatch(n, dispatch, ENDED);
        }
        for (of, _) in beside {
            n += 1;
            let (dispatch, _) = pool
                .arrive(with_body(n, "once", &format!("b{of}")))
                .expect("it is sent at once");
            pool.edge.update_dispatch(n, dispatch, ENDED);
            assert_eq!(exits_counted_against(&pool.edge, &format!("b{of}")), 0);
        }
        n += 1;
    }
    assert!(is_quarantined(&pool.edge, "deadly"));
}

/// A broken dispatch and an exit are matched in whichever order they become known, and an exit counts once,
/// however many attempts of the request ran there.
#[test]
fn an_exit_counts_once_in_whichever_order_it_becomes_known() {
    let mut edge = with_endpoints(1);
    for n in 1..=2 {
        edge.step(Event::ConfigConfirmed(edge.now));
        edge.arrive(with_body(n, "once", "deadly"));
    }
    edge.now += RUN;
    break_connection(&mut edge, 1, 1);
    liveness_checked(&mut edge, "s0", Liveness::Ended);
    break_connection(&mut edge, 2, 1);
    liveness_checked(&mut edge, "s0", Liveness::Ended);
    assert_eq!(exits_counted_against(&edge, "deadly"), 1);
}

/// The liveness check got no reply, and the endpoint's entry expires: dispatches that broke before count as
/// broken by its exit.
#[test]
fn an_entry_that_expires_implies_an_exit() {
    let mut edge = with_endpoints(2);
    let sent = dispatched(&edge.arrive(with_body(1, "once", "deadly")));
    let at = sent[0].1.clone();
    edge.now += RUN;
    break_connection(&mut edge, 1, 1);
    liveness_checked(&mut edge, &at, Liveness::Silent);
    assert_eq!(exits_counted_against(&edge, "deadly"), 0);
    edge.now += millis(3_600);
    let mut left = endpoints(2);
    left.retain(|r| !matches!(r, Resource::Endpoint(e) if e.name == at));
    edge.step(Event::Config(Arc::new(
        Catalog::new(2).with_resources(left),
    )));
    assert_eq!(exits_counted_against(&edge, "deadly"), 1);
}

/// After an exit, the address may accept connections again before the entry lists a new start, or for another
/// endpoint. Such a connection doesn't disprove the exit: it once voided the evidence against a request,
/// which then made three more endpoints exit.
#[test]
fn an_address_that_accepts_connections_again_does_not_disprove_an_exit() {
    let mut edge = with_endpoints(2);
    let sent = dispatched(&edge.arrive(with_body(1, "once", "deadly")));
    edge.now += RUN;
    break_connection(&mut edge, 1, 1);
    liveness_checked(&mut edge, &sent[0].1, Liveness::Ended);
    edge.now += millis(4_000);
    liveness_checked(&mut edge, &sent[0].1, Liveness::Open);
    let catalog = Catalog::new(2).with_resources(endpoints(2));
    edge.step(Event::Config(Arc::new(catalog)));
    assert_eq!(exits_counted_against(&edge, "deadly"), 1);
}

/// A liveness check that began before a dispatch broke says nothing about that break: another one follows,
/// one at a time.
#[test]
fn a_liveness_check_that_began_before_a_break_is_repeated() {
    let mut edge = with_endpoints(1);
    for n in 1..=3 {
        edge.step(Event::ConfigConfirmed(edge.now));
        edge.arrive(with_body(n, "once", &format!("b{n}")));
    }
    let liveness_checks = |actions: &[Action]| {
        let liveness_checks = actions
            .iter()
            .filter(|a| matches!(a, Action::CheckLiveness { .. }));
        liveness_checks.count()
    };
    edge.now += RUN;
    assert_eq!(liveness_checks(&break_connection(&mut edge, 1, 1)), 1);
    edge.now += millis(10);
    assert_eq!(
        liveness_checks(&break_connection(&mut edge, 2, 1)),
        0,
        "a check is in progress"
    );
    edge.now += millis(10);
    assert_eq!(
        liveness_checks(&liveness_checked(&mut edge, "s0", Liveness::Open)),
        1
    );
    liveness_checked(&mut edge, "s0", Liveness::Ended);
    assert_eq!(exits_counted_against(&edge, "b1"), 0);
    assert_eq!(exits_counted_against(&edge, "b2"), 1);
    break_connection(&mut edge, 3, 1);
    assert_eq!(exits_counted_against(&edge, "b3"), 1);
}

/// Resources in which `s0` started at the given second, or is not listed.
fn with_start(second: Option<u64>) -> Vec<Resource> {
    let mut all = endpoints(1);
    all.retain(|r| !matches!(r, Resource::Endpoint(_)));
    all.extend(second.map(|second| {
        Resource::Endpoint(Endpoint {
            name: "s0".to_owned(),
            pool: "pool".to_owned(),
            slots: 4,
            started: Some(Duration::from_secs(second)),
            ..Endpoint::default()
        })
    }));
    all
}

/// A later start implies the exit of an earlier one that was still listed, but not of one whose entry was
/// removed before.
#[test]
fn a_later_start_implies_an_exit_unless_the_entry_was_removed_before() {
    for (removed, ends) in [(false, 1), (true, 0)] {
        let mut edge = EdgeScheduler::new(edge_settings("a"), with_start(Some(8)));
        edge.arrive(with_body(1, "once", "deadly"));
        edge.now += RUN;
        let mut version = 2;
        let mut apply = |edge: &mut EdgeScheduler, start: Option<u64>| {
            let catalog = Catalog::new(version).with_resources(with_start(start));
            version += 1;
            edge.step(Event::Config(Arc::new(catalog)))
        };
        if removed {
            apply(&mut edge, None);
            edge.now += millis(3_000);
        }
        let actions = apply(&mut edge, Some(9));
        let given_up = Action::GiveUpDispatch {
            id: id(1),
            dispatch: 1,
        };
        assert!(actions.contains(&given_up));
        edge.update_dispatch(1, 1, DispatchUpdate::Breaking(BreakCause::Restarted));
        edge.update_dispatch(1, 1, BROKE);
        assert_eq!(
            exits_counted_against(&edge, "deadly"),
            ends,
            "removed: {removed}"
        );
    }
}

/// The entry of an endpoint that exited expires seconds later, and configurations still list it meanwhile.
/// Each of these once voided the reported exits at all instances, so that 14 endpoints exited instead of
/// three.
#[test]
fn an_entry_that_is_still_listed_does_not_disprove_an_exit() {
    let mut edge = with_endpoints(8);
    let exits = [("s1", 900), ("s2", 600)];
    edge.step(peer("p", vec![suspect_report("deadly", "free", &exits)]));
    let sent = dispatched(&edge.arrive(with_body(1, "once", "deadly")));
    edge.now += RUN;
    break_connection(&mut edge, 1, 1);
    for version in 2..5 {
        edge.now += millis(200);
        let catalog = Catalog::new(version).with_resources(endpoints(8));
        edge.step(Event::Config(Arc::new(catalog)));
        assert_eq!(exits_counted_against(&edge, "deadly"), 2);
    }
    liveness_checked(&mut edge, &sent[0].1, Liveness::Ended);
    assert!(is_quarantined(&edge, "deadly"));
}
