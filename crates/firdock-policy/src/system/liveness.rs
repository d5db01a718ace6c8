//! Liveness checks of endpoints whose connections closed early: distinguish a process that exited
//! from one that is alive and broke off an answer.

use firdock_core::{InstanceId, RequestId};

use super::{health, start, suspect, unproven_end};
use crate::action::Action;
use crate::event::{Liveness, LivenessResult};
use crate::table::Tables;
use crate::table::endpoint::LivenessCheck;
use crate::table::unproven_ends::FinishedCheck;
use crate::time::Time;

/// Starts a liveness check of an endpoint. Only one runs at a time; it is repeated if another
/// dispatch breaks after it started.
///
/// A coordinator has no connections to endpoints, so its members run the checks.
pub fn start_check(t: &mut Tables, now: Time, at: usize, out: &mut Vec<Action>) {
    if t.settings.coordinates {
        return;
    }
    let e = t.endpoints.get_mut(at);
    if let Some(check) = &mut e.liveness_check {
        check.again = true;
        return;
    }
    e.liveness_check = Some(LivenessCheck {
        began: now,
        again: false,
    });
    out.push(Action::CheckLiveness {
        endpoint: e.declared.name.clone(),
        start: e.start_id.clone(),
    });
}

/// Starts a liveness check of an endpoint on the way by which the answer to a request came: the own link may be cut.
pub fn start_check_on_route(
    t: &mut Tables,
    now: Time,
    id: RequestId,
    at: usize,
    out: &mut Vec<Action>,
) {
    let row = t.requests.get(id).filter(|row| row.passed_on);
    match row.and_then(|row| row.route.peer().cloned()) {
        Some(peer) => start_peer_check(t, now, at, (id, peer), out),
        None => start_check(t, now, at, out),
    }
}

/// Starts a liveness check of an endpoint by way of the peer through which a connection to it went. Only one runs at a
/// time.
pub fn start_peer_check(
    t: &mut Tables,
    now: Time,
    at: usize,
    (id, peer): (RequestId, InstanceId),
    out: &mut Vec<Action>,
) {
    let e = t.endpoints.get_mut(at);
    if e.peer_check.is_some() {
        return;
    }
    e.peer_check = Some(now);
    out.push(Action::CheckLivenessThrough {
        endpoint: e.declared.name.clone(),
        start: e.start_id.clone(),
        peer,
        id,
    });
}

/// Handles the result of a liveness check by way of a peer.
pub fn handle_peer_result(
    t: &mut Tables,
    now: Time,
    result: &LivenessResult,
    out: &mut Vec<Action>,
) {
    *t.stats.liveness_checks.entry(result.found).or_default() += 1;
    let Some(at) = t.endpoints.find_start(&result.start) else {
        return;
    };
    let Some(began) = t.endpoints.get_mut(at).peer_check.take() else {
        return;
    };
    let is_awaited = t.unproven_ends.awaits_peer(at);
    t.unproven_ends.record_liveness(FinishedCheck {
        server: at,
        began,
        found: result.found,
        through_peer: true,
    });
    match result.found {
        Liveness::Ended => record_exit(t, now, result, out),
        Liveness::Open => {
            t.endpoints.get_mut(at).refuses_since = None;
            suspect::record_open_address(t, &result.start, began);
            if t.unproven_ends.awaits_own_link(at) {
                start_check(t, now, at, out);
            }
        }
        Liveness::Silent | Liveness::ClosesAtOnce if is_awaited => record_exit(t, now, result, out),
        Liveness::Silent | Liveness::ClosesAtOnce | Liveness::StoppedListening => {}
    }
}

/// Records that the process of an endpoint has exited. The endpoint is ejected, and its exit counts against the runs that
/// broke there.
fn record_exit(t: &mut Tables, now: Time, result: &LivenessResult, out: &mut Vec<Action>) {
    if let Some(at) = t.endpoints.find_start(&result.start) {
        if t.endpoints.get(at).is_healthy() {
            health::eject(t, now, at);
        }
        t.endpoints.get_mut(at).open_at = None;
        start::record_refused_connection(t, now, at);
    }
    suspect::record_exit(t, now, &result.start, out);
}

/// Handles the result of a liveness check.
pub fn handle_result(t: &mut Tables, now: Time, result: &LivenessResult, out: &mut Vec<Action>) {
    *t.stats.liveness_checks.entry(result.found).or_default() += 1;
    let at = t.endpoints.find_start(&result.start);
    let state = at.and_then(|at| t.endpoints.get_mut(at).liveness_check.take());
    let confirms =
        |at| result.found == Liveness::Ended && unproven_end::confirm_refusal(t, now, at, out);
    if at.is_some_and(confirms) {
        return;
    }
    if let Some((at, state)) = at.zip(state) {
        t.unproven_ends.record_liveness(FinishedCheck {
            server: at,
            began: state.began,
            found: result.found,
            through_peer: false,
        });
    }
    if result.found == Liveness::Ended {
        record_exit(t, now, result, out);
        return;
    }
    let Some((at, state)) = at.zip(state) else {
        return;
    };
    if result.found == Liveness::Open {
        let e = t.endpoints.get_mut(at);
        e.refuses_since = None;
        e.open_at = Some(state.began);
        suspect::record_open_address(t, &result.start, state.began);
    }
    if state.again {
        start_check(t, now, at, out);
    }
}
