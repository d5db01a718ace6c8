//! Placement: dispatches held requests to endpoints with free capacity, higher tiers first.

mod choice;
mod fair_order;
mod lane;

use std::sync::Arc;

use firdock_core::resource::Tier;
use firdock_core::{Reason, RequestId, TierRank};

use self::choice::{Choice, Placement, choose, estimate};
use self::lane::{is_backing_off, try_lane};
use super::suspect::{self, Gate};
use super::{coordinate, fair_share, key, lifecycle, rollout, route, start};
use crate::action::{Action, Dispatch};
use crate::event::Grant;
use crate::request::{
    Build, CompletionProof, EndpointFailure, Phase, RequestRow, StreamOrigin, StreamStart, Verdict,
};
use crate::table::Tables;
use crate::table::endpoint::{EndpointRow, Health, UnavailableReason};
use crate::time::Time;

/// Number of lane heads of a queue that are tried before the queue counts as blocked.
const MAX_LANE_HEADS: usize = 8;

/// Dispatches held requests until none can be placed.
pub fn run(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    if t.requests.held() == 0 {
        return;
    }
    for rank in 0..=Tier::MAX_RANK {
        if t.requests.held_by_rank()[usize::from(rank)] == 0 {
            continue;
        }
        if t.settings.account_shares.is_on() {
            fair_order::run(t, now, rank, out);
        } else {
            place_tier(t, now, rank, out);
        }
    }
}

fn place_tier(t: &mut Tables, now: Time, rank: TierRank, out: &mut Vec<Action>) {
    let with_queue =
        |(i, s): (usize, &crate::table::service::ServiceRow)| (!s.queue.is_empty()).then_some(i);
    let services: Vec<usize> = t.services.iter().filter_map(with_queue).collect();
    for service in services {
        while place_next(t, now, service, rank, out) {}
    }
}

/// Places the next request of a service and rank. Returns whether a request left the queue.
fn place_next(
    t: &mut Tables,
    now: Time,
    service: usize,
    rank: TierRank,
    out: &mut Vec<Action>,
) -> bool {
    let ranked = |id: &RequestId| t.requests.get(*id).is_some_and(|r| r.rank == rank);
    let heads: Vec<RequestId> = t
        .services
        .get(service)
        .queue
        .heads()
        .map(|(_, id)| id)
        .filter(ranked)
        .take(MAX_LANE_HEADS)
        .collect();
    for id in heads {
        match try_lane(t, now, id, out) {
            PlaceResult::Dequeued => return true,
            PlaceResult::Waiting
            | PlaceResult::BackingOff
            | PlaceResult::DuplicateRunning
            | PlaceResult::VersionFull => {}
            // Whatever blocks this request blocks the rest of the queue as well.
            PlaceResult::Blocked => return false,
        }
    }
    false
}

/// Result of an attempt to place a held request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PlaceResult {
    /// The request left the queue.
    Dequeued,
    /// The request stays; others of its queue may still be placed.
    Waiting,
    /// The request stays because endpoints asked its instance to back off; requests of other
    /// instances may still be placed.
    BackingOff,
    /// The request stays because another request with the same content is running; all others may
    /// still be placed.
    DuplicateRunning,
    /// The request stays because the endpoints of the version that began its stream are full;
    /// requests that may go to others may still be placed.
    VersionFull,
    /// The request stays, and so does the rest of its queue.
    Blocked,
}

fn try_place(t: &mut Tables, now: Time, id: RequestId, out: &mut Vec<Action>) -> PlaceResult {
    let Some(row) = t.requests.get(id) else {
        return PlaceResult::Waiting;
    };
    let coordinated = coordinate::awaits_placement(t, row);
    let gate = suspect::gate(t, row);
    // On a coordinator, the member that owns a quarantined request ends it and releases its slot.
    if gate == Gate::DuplicateRunning || (gate == Gate::Quarantined && t.settings.coordinates) {
        return PlaceResult::DuplicateRunning;
    }
    if !ensure_sendable(t, now, id, out) {
        return PlaceResult::Dequeued;
    }
    let Some(row) = t.requests.get(id).filter(|_| !coordinated) else {
        return PlaceResult::Waiting;
    };
    match choose(t, now, row) {
        Placement::On(choice) => {
            dispatch(t, now, id, choice, out);
            return PlaceResult::Dequeued;
        }
        Placement::Wait => return PlaceResult::Waiting,
        Placement::Blocked if is_backing_off(t, now, row) => return PlaceResult::BackingOff,
        Placement::Blocked if row.tried.is_empty() && row.stream_origin.is_new() => {
            return PlaceResult::Blocked;
        }
        Placement::Blocked => {}
    }
    if all_eligible_tried(t, row) {
        lifecycle::give_up(t, now, id, Reason::NoEndpoint, out);
        return PlaceResult::Dequeued;
    }
    if row.stream_origin.is_new() {
        PlaceResult::Waiting
    } else {
        PlaceResult::VersionFull
    }
}

/// Sets the time until which a request may be sent, as limited by its key and by the configuration
/// in force. Ends the request and returns `false` if that time has passed or the request is
/// quarantined.
pub fn ensure_sendable(t: &mut Tables, now: Time, id: RequestId, out: &mut Vec<Action>) -> bool {
    let Some(row) = t.requests.get(id) else {
        return false;
    };
    if suspect::gate(t, row) == Gate::Quarantined && !t.settings.coordinates {
        suspect::refuse(t, now, id, out);
        return false;
    }
    if !has_version(t, now, row) {
        let verdict = Verdict {
            outcome: row.outcome_unanswered(),
            reason: Reason::VersionGone,
            retry_after: None,
        };
        lifecycle::finish_with_verdict(t, now, id, verdict, out);
        return false;
    }
    let confirm_by = key::confirm_by(t, row);
    let fresh_by = config_valid_until(t, row);
    if confirm_by.is_some_and(|until| until <= now) {
        lifecycle::finish_with_verdict(t, now, id, key::unconfirmed_verdict(), out);
        return false;
    }
    if fresh_by.is_some_and(|until| until <= now) {
        lifecycle::give_up(t, now, id, Reason::StateStale, out);
        return false;
    }
    let overdue = t
        .requests
        .get(id)
        .is_some_and(|r| r.deadline.is_some_and(|by| by <= now));
    if overdue {
        // The caller is gone: an instance that was paused handles events that queued up in the
        // meantime.
        lifecycle::give_up(t, now, id, Reason::TimedOut, out);
        return false;
    }
    if let Some(row) = t.requests.get_mut(id) {
        row.confirm_by = [confirm_by, fresh_by].into_iter().flatten().min();
    }
    true
}

/// Sends a request to an endpoint that was chosen elsewhere.
///
/// Uses the local estimate of the time to the first token if the grant carries none.
pub fn send_to(
    t: &mut Tables,
    now: Time,
    id: RequestId,
    (endpoint, grant): (usize, &Grant),
    out: &mut Vec<Action>,
) {
    let Some(row) = t.requests.get(id) else {
        return;
    };
    let mut estimate = estimate(t, now, row, endpoint);
    if !grant.predicted.is_zero() {
        estimate.first_secs = grant.predicted.as_secs_f64();
    }
    let choice = Choice {
        endpoint,
        estimate,
        permitted: grant.permitted,
    };
    dispatch(t, now, id, choice, out);
}

/// Returns the time until which the configuration in force permits sending a request.
///
/// Only a key can be revoked from a caller, so public services are not limited.
fn config_valid_until(t: &Tables, row: &RequestRow) -> Option<Time> {
    let public = t.services.get(row.service).declared.public;
    t.config_valid_until().filter(|_| !public)
}

/// Returns whether the request was already sent to every eligible endpoint.
fn all_eligible_tried(t: &Tables, row: &RequestRow) -> bool {
    let mut eligible = eligible_endpoints(t, row).filter(|e| may_continue(t, row, e));
    eligible.all(|e| row.tried.contains(&e.start_id))
}

/// Returns whether an endpoint takes requests of the version that began the request's stream.
fn has_version(t: &Tables, now: Time, row: &RequestRow) -> bool {
    let takes = |e: &EndpointRow| e.present && !e.leaving(now) && may_continue(t, row, e);
    row.stream_origin.is_new() || eligible_endpoints(t, row).any(takes)
}

/// Returns whether an endpoint may run the request, by the version that began its stream.
fn may_continue(t: &Tables, row: &RequestRow, e: &EndpointRow) -> bool {
    match &row.stream_origin {
        // Any build may turn out to have begun a stream whose start is not confirmed.
        StreamOrigin::New | StreamOrigin::Started(_) => true,
        StreamOrigin::Known(build) => rollout::continues(t, build, e),
        StreamOrigin::Unknown => false,
    }
}

/// Returns the origin of a stream that begins with a dispatch to an endpoint.
fn stream_origin_at(t: &Tables, now: Time, at: usize) -> StreamOrigin {
    let e = t.endpoints.get(at);
    let build = Build::of(&e.declared);
    if e.declared.started.is_none() {
        return StreamOrigin::Known(Arc::new(build));
    }
    StreamOrigin::Started(Arc::new(StreamStart {
        build,
        start: e.start_id.clone(),
        sent: now,
        unconfirmed: !start::is_confirmed(t, now, at),
    }))
}

/// Iterates over the endpoints of a request's service that belong to the request's pool.
pub fn eligible_endpoints<'a>(
    t: &'a Tables,
    row: &'a RequestRow,
) -> impl Iterator<Item = &'a EndpointRow> {
    eligible_rows(t, row).map(|at| t.endpoints.get(at))
}

/// Iterates over the rows of these endpoints.
pub fn eligible_rows<'a>(t: &'a Tables, row: &'a RequestRow) -> impl Iterator<Item = usize> + 'a {
    let endpoints = t.services.get(row.service).endpoints.iter().copied();
    endpoints.filter(|at| in_pool(row, t.endpoints.get(*at)))
}

/// Returns one of the engines that are eligible for a request, or `None` if the request goes to
/// plain endpoints: all endpoints of a pool are of the same kind.
pub fn engine_for<'a>(t: &'a Tables, row: &'a RequestRow) -> Option<&'a EndpointRow> {
    eligible_endpoints(t, row).next().filter(|e| e.is_engine())
}

/// Returns whether an endpoint belongs to the pool that the request goes to.
pub fn in_pool(row: &RequestRow, e: &EndpointRow) -> bool {
    row.pool
        .as_ref()
        .is_none_or(|pool| *pool == e.declared.pool)
}

/// Sends a request to an endpoint.
///
/// # Panics
///
/// Panics if the request was sent to this endpoint before, if the endpoint may not receive it, or
/// if a request that is not repeatable may already have run.
fn dispatch(t: &mut Tables, now: Time, id: RequestId, choice: Choice, out: &mut Vec<Action>) {
    let origin = stream_origin_at(t, now, choice.endpoint);
    charge_lane(t, id, choice);
    fair_share::charge(t, now, id);
    let most = t.max_retry_credit();
    lifecycle::set_phase(t, id, Phase::Dispatching(choice.endpoint), false);
    let e = t.endpoints.get(choice.endpoint);
    let closed = t
        .requests
        .get(id)
        .and_then(|r| e.check_available(&r.new.member, now).err());
    let permitted = choice.permitted && closed == Some(UnavailableReason::RateLimited);
    assert!(
        permitted || closed.is_none_or(UnavailableReason::is_health_or_room),
        "endpoint {} is closed and got new work: {closed:?}",
        e.declared.name
    );
    let row = t.requests.get(id);
    assert!(
        row.is_none_or(|row| suspect::gate(t, row) == Gate::Open),
        "request {id} was sent although its content is quarantined or already running"
    );
    let route = route::choose(t, now, id, choice.endpoint);
    let unix_zero = t.latest_zero();
    let e = t.endpoints.get_mut(choice.endpoint);
    if matches!(e.health, Health::Ejected(_)) {
        e.health = Health::Probing;
    }
    let limited = choice.permitted || e.limit.rate().is_some();
    let permit = if choice.permitted {
        None
    } else {
        e.limit.take_permit(now)
    };
    e.limit.record_sent(now);
    e.running += 1;
    e.backlog += f64::from(choice.estimate.uncached);
    let (name, start) = (e.declared.name.clone(), e.start_id.clone());
    let Some(row) = t.requests.get_mut(id) else {
        return;
    };
    for block in &row.new.blocks {
        e.cache.add(now, *block);
    }
    let repeatable = t.services.get(row.service).declared.repeatable;
    assert!(
        !row.tried.contains(&start),
        "request {id} was sent to endpoint {name} twice"
    );
    assert!(
        repeatable || !row.ran_before,
        "request {id} is not repeatable and was sent again"
    );
    row.tried.push(start);
    row.runs += 1;
    row.dispatch += 1;
    row.dispatched = now;
    row.unix_zero = unix_zero;
    row.first = None;
    row.cleared_segments = false;
    row.permit = permit;
    row.uncached = choice.estimate.uncached;
    row.work = choice.estimate.work;
    row.predicted = choice.estimate.first();
    row.dispatched_to = origin;
    row.last_bytes = None;
    row.unconfirmed_since = None;
    row.resumed_from = row.delivered;
    row.failure = EndpointFailure::None;
    row.completion_proof = CompletionProof::Proven;
    row.route = route.clone();
    row.passed_on = false;
    row.connect_failure = None;
    row.breaking = None;
    t.stats.dispatches += 1;
    t.dispatch_rates.record_dispatch(row.pool_key(), row.rank);
    t.retry_budgets.earn(row.pool_key(), &t.settings, most);
    out.push(Action::Dispatch(Dispatch {
        id,
        endpoint: name,
        dispatch: row.dispatch,
        resume_from: row.delivered,
        priority: row.rank,
        confirm_by: row.confirm_by,
        deadline: row.deadline,
        limited,
        route,
    }));
    rollout::record_sent(t, id, choice.endpoint);
}

/// Charges the work to the account's lane, scaled by the account's share.
fn charge_lane(t: &mut Tables, id: RequestId, choice: Choice) {
    let Some(row) = t.requests.get(id) else {
        return;
    };
    let share = t.accounts.get(row.account).share;
    let micros = choice.estimate.total_secs * 1e6 / share;
    t.services
        .get_mut(row.service)
        .queue
        .charge(row.account, micros.max(1.0) as u64);
}
