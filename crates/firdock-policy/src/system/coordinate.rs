//! Coordination: one instance of each group places the requests of the whole group on engines.
//!
//! An engine has only a few slots and there are many instances, so no single instance knows which
//! slots are free, how fast each engine is, or which request is the most urgent overall. The
//! coordinator does. It stores nothing that its members would not report again: if it falls silent,
//! each instance places its own requests within its own budget (`docs/design/placement.md`).

use firdock_core::{Reason, RequestId, StartId};

use super::suspect::{self, Gate};
use super::{admit, budget, fair_share, lifecycle, place, rollout};
use crate::action::Action;
use crate::event::Grant;
use crate::request::{NewRequest, Phase, PlacementState, RequestRow, Verdict};
use crate::table::Tables;
use crate::table::endpoint::UnavailableReason;
use crate::time::Time;

/// Sets whether a coordinator currently answers.
pub fn set_coordinated(t: &mut Tables, now: Time, answers: bool) {
    t.coordinated = answers;
    if !answers {
        budget::set_budgets(t, now);
    }
}

/// Returns whether a held request is to be placed by the coordinator.
pub fn awaits_placement(t: &Tables, row: &RequestRow) -> bool {
    let local = row.placement == PlacementState::Local;
    t.coordinated && !local && place::engine_for(t, row).is_some()
}

/// Requests placements from the coordinator for newly held requests.
pub fn request_placements(t: &mut Tables, out: &mut Vec<Action>) {
    if !t.coordinated || t.requests.held() == 0 {
        return;
    }
    let open =
        |r: &RequestRow| r.phase == Phase::Held && r.placement == PlacementState::NotRequested;
    let new = |r: &&RequestRow| {
        let is_known = r.stream_origin.start().is_none();
        open(r)
            && is_known
            && awaits_placement(t, r)
            && suspect::gate(t, r) != Gate::DuplicateRunning
    };
    let ids: Vec<RequestId> = t.requests.iter().filter(new).map(|r| r.new.id).collect();
    for id in ids {
        if let Some(row) = t.requests.get_mut(id) {
            row.placement = PlacementState::Requested;
            out.push(Action::Ask { id });
        }
    }
}

/// Sends a request to the engine that the coordinator granted.
///
/// A grant that arrives twice is used once; a grant that cannot be used is declined.
pub fn apply_grant(t: &mut Tables, now: Time, grant: &Grant, out: &mut Vec<Action>) {
    let endpoint = t.endpoints.find_start(&grant.endpoint);
    let Some(row) = t.requests.get(grant.id) else {
        out.push(Action::Decline(grant.clone()));
        return;
    };
    if let Phase::Dispatching(at) | Phase::Running(at) = row.phase {
        if endpoint != Some(at) {
            out.push(Action::Decline(grant.clone()));
        }
        return;
    }
    if endpoint.is_none() {
        // The start has ended or is not known here yet. The placement is requested again with the
        // next full report: by then both sides may know the same starts, and the engine stays
        // eligible for the request.
        out.push(Action::Decline(grant.clone()));
        return;
    }
    let usable = endpoint.filter(|at| may_use(t, now, row, *at, grant.permitted));
    let busy = suspect::gate(t, row) == Gate::DuplicateRunning;
    if let Some(at) = usable.filter(|_| row.phase == Phase::Held && !busy) {
        if place::ensure_sendable(t, now, grant.id, out) {
            place::send_to(t, now, grant.id, (at, grant), out);
            return;
        }
    } else {
        reopen_placement(t, now, grant);
    }
    out.push(Action::Decline(grant.clone()));
}

/// Lets a request ask for another placement after a grant that cannot be used.
///
/// The engine is excluded from further grants, unless it only asks callers to back off or the
/// request waits for a duplicate to end: it may go to that engine afterwards.
fn reopen_placement(t: &mut Tables, now: Time, grant: &Grant) {
    let at = t.endpoints.find_start(&grant.endpoint);
    let closed = at.and_then(|at| t.endpoints.get(at).check_available("", now).err());
    let row = t.requests.get(grant.id);
    let busy = row.is_some_and(|row| suspect::gate(t, row) == Gate::DuplicateRunning);
    let Some(row) = t.requests.get_mut(grant.id) else {
        return;
    };
    row.placement = PlacementState::NotRequested;
    if !busy && !matches!(closed, Some(UnavailableReason::BackingOff(_))) {
        row.declined.push(grant.endpoint.clone());
    }
}

/// Returns whether a request may go to an engine at all. The coordinator tracks the engine's
/// health, and may have used a permit for it.
fn may_use(t: &Tables, now: Time, row: &RequestRow, at: usize, permitted: bool) -> bool {
    let e = t.endpoints.get(at);
    let serves = t.services.get(row.service).endpoints.contains(&at) && place::in_pool(row, e);
    let closed = e.check_available(&row.new.member, now).err();
    let permitted = permitted && closed == Some(UnavailableReason::RateLimited);
    let open = permitted || closed.is_none_or(UnavailableReason::is_health_or_room);
    serves && open && !row.tried.contains(&e.start_id) && rollout::admits_grant(t, now, row, at)
}

/// Gives up a request that the coordinator will not place in time.
///
/// The request stays held while one of a lower tier is held here, of which the coordinator may not
/// know, and if the coordinator knows no endpoint for it: its configuration may be older than the
/// one in force here, which decides.
pub fn apply_refusal(
    t: &mut Tables,
    now: Time,
    id: RequestId,
    verdict: Verdict,
    out: &mut Vec<Action>,
) {
    let Some(row) = t.requests.get(id).filter(|r| r.phase == Phase::Held) else {
        return;
    };
    if verdict.reason == Reason::NoEndpoint && awaits_placement(t, row) {
        if let Some(row) = t.requests.get_mut(id) {
            row.placement = PlacementState::Local;
        }
        return;
    }
    if t.requests
        .holds_below(fair_share::refused_rank(t, row, verdict.reason))
    {
        return;
    }
    let service = row.service;
    let outcome = row.outcome_unanswered();
    lifecycle::count_shed(t, service);
    lifecycle::finish_with_verdict(t, now, id, Verdict { outcome, ..verdict }, out);
}

/// Adds a request that a member already runs to the coordinator's tables.
pub fn adopt(t: &mut Tables, now: Time, new: NewRequest, reported_start: &StartId) {
    let Some(at) = t.endpoints.find_start(reported_start) else {
        return;
    };
    let start = t.endpoints.get(at).start_id.clone();
    let known = t.requests.get(new.id).is_some();
    let Some((service, account)) = admit::in_force(t, &new).filter(|_| !known) else {
        return;
    };
    let id = new.id;
    admit::insert(t, now, new, service, account, 0.0);
    lifecycle::set_phase(t, id, Phase::Running(at), false);
    t.endpoints.get_mut(at).running += 1;
    fair_share::charge(t, now, id);
    if let Some(row) = t.requests.get_mut(id) {
        row.dispatch = 1;
        row.runs = 1;
        row.dispatched = now;
        row.first = Some(now);
        row.placement = PlacementState::Adopted;
        if !row.tried.contains(&start) {
            row.tried.push(start);
        }
    }
}
