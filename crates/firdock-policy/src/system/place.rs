//! Placement: held requests go to endpoints that have room, higher tiers first.

mod shared;

use std::cmp::Ordering;

use firdock_core::resource::Tier;
use firdock_core::{Reason, RequestId, TierRank};

use super::{coordinate, end, fair, fit, key, paced, rollout};
use crate::action::{Action, Dispatch};
use crate::cost::{self, Estimate};
use crate::request::{Phase, RequestRow};
use crate::table::Tables;
use crate::table::endpoint::{Closed, EndpointRow, Health};
use crate::time::Time;

/// Lanes of a queue that are looked at before the queue counts as blocked.
const MAX_LOOKS: usize = 8;
/// Requests of a lane that are looked at behind one that its instance may not send.
const MAX_BEHIND: usize = 64;

/// Prefill work that may wait at an endpoint before it gets another prompt, in seconds.
const MAX_PREFILL_SECS: f64 = 1.0;

/// Part of a tier's target for which a request may wait for a better endpoint.
const WAIT_LIMIT: f64 = 0.3;
/// Requests held beyond which nothing waits: an endpoint left idle then costs more than a prefix.
const WAIT_HELD: usize = 16;
/// Part of a request's time on a full endpoint that it is expected to wait for room there.
const WAIT_PART: f64 = 0.6;

/// What to do with a held request.
#[derive(Debug, Clone, Copy)]
enum Placement {
    /// Send it.
    On(Choice),
    /// Hold it: an endpoint without room is worth waiting for.
    Wait,
    /// No endpoint has room.
    Blocked,
}

/// An endpoint that was chosen for a request.
#[derive(Debug, Clone, Copy)]
struct Choice {
    endpoint: usize,
    estimate: Estimate,
}

/// Dispatches held requests until none can be placed.
pub fn run(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    for rank in 0..=Tier::MAX_RANK {
        if t.requests.held_by_rank()[usize::from(rank)] == 0 {
            continue;
        }
        if t.settings.account_shares.is_on() {
            shared::run(t, now, rank, out);
        } else {
            run_tier(t, now, rank, out);
        }
    }
}

fn run_tier(t: &mut Tables, now: Time, rank: TierRank, out: &mut Vec<Action>) {
    let waiting =
        |(i, s): (usize, &crate::table::service::ServiceRow)| (!s.queue.is_empty()).then_some(i);
    let services: Vec<usize> = t.services.iter().filter_map(waiting).collect();
    for service in services {
        while place_next(t, now, service, rank, out) {}
    }
}

/// Places the next request of a service and rank; tells whether one left the queue.
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
        .take(MAX_LOOKS)
        .collect();
    for id in heads {
        match try_lane(t, now, id, out) {
            Tried::Left => return true,
            Tried::Waits | Tried::HeldUp => {}
            // Whatever blocks this request blocks the rest of the queue as well.
            Tried::Blocked => return false,
        }
    }
    false
}

/// What came of a try to place a held request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Tried {
    /// It left the queue.
    Left,
    /// It stays, and others of its queue may still go.
    Waits,
    /// It stays, since endpoints want nothing of the instance that asks; those of others may go.
    HeldUp,
    /// It stays, and so does the rest of its queue.
    Blocked,
}

/// Tries the first request of a lane, and where endpoints want nothing of the instance that asks for
/// it, the next ones of other instances: no place stays empty for what one of them may not send.
fn try_lane(t: &mut Tables, now: Time, head: RequestId, out: &mut Vec<Action>) -> Tried {
    let tried = try_place(t, now, head, out);
    if tried != Tried::HeldUp || !t.settings.coordinates {
        return tried;
    }
    for id in behind(t, head) {
        if try_place(t, now, id, out) == Tried::Left {
            return Tried::Left;
        }
    }
    Tried::HeldUp
}

/// Gives the first requests of other instances behind the head of a lane, one of each, of its rank.
fn behind(t: &Tables, head: RequestId) -> Vec<RequestId> {
    let Some(first) = t.requests.get(head) else {
        return Vec::new();
    };
    let mut members = vec![&first.new.member];
    let mut ids = Vec::new();
    let lane = t.services.get(first.service).queue.lane_ids(first.account);
    for row in lane.take(MAX_BEHIND).filter_map(|id| t.requests.get(id)) {
        if row.rank == first.rank && !members.contains(&&row.new.member) {
            members.push(&row.new.member);
            ids.push(row.new.id);
        }
    }
    ids
}

fn try_place(t: &mut Tables, now: Time, id: RequestId, out: &mut Vec<Action>) -> Tried {
    let Some(row) = t.requests.get(id) else {
        return Tried::Waits;
    };
    let coordinated = coordinate::waits(t, row);
    if !may_send(t, now, id, out) {
        return Tried::Left;
    }
    let Some(row) = t.requests.get(id).filter(|_| !coordinated) else {
        return Tried::Waits;
    };
    match choose(t, now, row) {
        Placement::On(choice) => {
            dispatch(t, now, id, choice, out);
            return Tried::Left;
        }
        Placement::Wait => return Tried::Waits,
        Placement::Blocked if is_held_up(t, now, row) => return Tried::HeldUp,
        Placement::Blocked if row.tried.is_empty() => return Tried::Blocked,
        Placement::Blocked => {}
    }
    if exhausted(t, row) {
        end::give_up(t, now, id, Reason::NoEndpoint, out);
        return Tried::Left;
    }
    Tried::Waits
}

/// Notes until when a request may be sent, by its key and by the configuration in force; gives it up
/// where that time has passed.
pub fn may_send(t: &mut Tables, now: Time, id: RequestId, out: &mut Vec<Action>) -> bool {
    let Some(row) = t.requests.get(id) else {
        return false;
    };
    let confirm_by = key::confirm_by(t, row);
    let fresh_by = fresh_by(t, row);
    if confirm_by.is_some_and(|until| until <= now) {
        end::answer(t, now, id, key::unconfirmed_verdict(), out);
        return false;
    }
    if fresh_by.is_some_and(|until| until <= now) {
        end::give_up(t, now, id, Reason::StateStale, out);
        return false;
    }
    let overdue = t
        .requests
        .get(id)
        .is_some_and(|r| r.deadline.is_some_and(|by| by <= now));
    if overdue {
        // Its caller is gone: an instance that stood still for a while takes up what came meanwhile.
        end::give_up(t, now, id, Reason::TimedOut, out);
        return false;
    }
    if let Some(row) = t.requests.get_mut(id) {
        row.confirm_by = [confirm_by, fresh_by].into_iter().flatten().min();
    }
    true
}

/// Sends a request to an endpoint that was chosen elsewhere.
///
/// What is expected there is reckoned here where that was not told with it.
pub fn send_to(
    t: &mut Tables,
    now: Time,
    id: RequestId,
    (endpoint, predicted): (usize, Time),
    out: &mut Vec<Action>,
) {
    let Some(row) = t.requests.get(id) else {
        return;
    };
    let mut estimate = estimate(t, now, row, endpoint);
    if !predicted.is_zero() {
        estimate.first_secs = predicted.as_secs_f64();
    }
    dispatch(t, now, id, Choice { endpoint, estimate }, out);
}

fn estimate(t: &Tables, now: Time, row: &RequestRow, endpoint: usize) -> Estimate {
    let service = t.services.get(row.service);
    let e = t.endpoints.get(endpoint);
    cost::estimate(
        now,
        t.settings.mechanisms,
        row,
        service,
        e,
        paced::pool_of(t, e),
    )
}

/// Gives until when a request may be sent by the configuration in force.
///
/// Only a key can be taken away from a caller, so that public services go on.
fn fresh_by(t: &Tables, row: &RequestRow) -> Option<Time> {
    let public = t.services.get(row.service).declared.public;
    t.fresh_until().filter(|_| !public)
}

/// Tells whether endpoints that take the request want nothing of the instance that asks for it.
fn is_held_up(t: &Tables, now: Time, row: &RequestRow) -> bool {
    let member = &row.new.member;
    let backs_off = |e: &EndpointRow| {
        let untried = !row.tried.contains(&e.start_id);
        untried && matches!(e.open_to(member, now), Err(Closed::BackingOff(_)))
    };
    t.backoffs_until > now && takers(t, row).any(backs_off)
}

/// Tells whether every endpoint that takes the request has had it.
fn exhausted(t: &Tables, row: &RequestRow) -> bool {
    takers(t, row).all(|e| row.tried.contains(&e.start_id))
}

/// Goes over the endpoints of a request's service that belong to the pool that it goes to.
pub fn takers<'a>(t: &'a Tables, row: &'a RequestRow) -> impl Iterator<Item = &'a EndpointRow> {
    let endpoints = t.services.get(row.service).endpoints.iter();
    endpoints
        .map(|e| t.endpoints.get(*e))
        .filter(|e| in_pool(row, e))
}

/// Gives one of the engines that take a request; `None` where it goes to plain endpoints, since all
/// endpoints of a pool are of one kind.
pub fn engine_for<'a>(t: &'a Tables, row: &'a RequestRow) -> Option<&'a EndpointRow> {
    takers(t, row).next().filter(|e| e.is_engine())
}

/// Tells whether an endpoint belongs to the pool that the request goes to.
pub fn in_pool(row: &RequestRow, e: &EndpointRow) -> bool {
    row.pool
        .as_ref()
        .is_none_or(|pool| *pool == e.declared.pool)
}

fn choose(t: &Tables, now: Time, row: &RequestRow) -> Placement {
    let endpoints = t.services.get(row.service).endpoints.iter().copied();
    let (open, full): (Vec<usize>, Vec<usize>) = endpoints
        .filter(|e| may_take(t, now, row, *e))
        .partition(|e| has_room(t, now, t.endpoints.get(*e)));
    if let Some(tried) = rollout::trial(t, row, &open) {
        let estimate = estimate(t, now, row, tried);
        return Placement::On(Choice {
            endpoint: tried,
            estimate,
        });
    }
    let Some(best) = best_of(t, now, row, &open) else {
        return Placement::Blocked;
    };
    if fit::may_wait(t, now, row, &best.estimate) {
        let taken: Vec<usize> = full.iter().copied().filter(|e| comes_free(t, *e)).collect();
        let taken = best_of(t, now, row, &taken);
        if taken.is_some_and(|taken| fit::is_better(&best.estimate, &taken.estimate)) {
            return Placement::Wait;
        }
    }
    if may_wait(t, now, row) {
        // Slots free up one by one; prefill that waits there would only make the wait longer.
        let slots_used: Vec<usize> = full
            .into_iter()
            .filter(|e| prefill_fits(t.endpoints.get(*e), now))
            .collect();
        let better = best_of(t, now, row, &slots_used);
        let worth = better.is_some_and(|b| {
            let wait = WAIT_PART * b.estimate.total_secs;
            b.estimate.score + wait < best.estimate.score
        });
        if worth {
            return Placement::Wait;
        }
    }
    Placement::On(best)
}

/// Tells whether a place on a full engine comes free here, and is reckoned by the pace that it tells.
fn comes_free(t: &Tables, at: usize) -> bool {
    let e = t.endpoints.get(at);
    e.running > 0 && paced::pool_of(t, e).is_some()
}

/// Gives the endpoint with the least score.
fn best_of(t: &Tables, now: Time, row: &RequestRow, endpoints: &[usize]) -> Option<Choice> {
    let service = t.services.get(row.service);
    let on = t.settings.mechanisms;
    let zone = if row.new.zone.is_empty() {
        &t.settings.zone
    } else {
        &row.new.zone
    };
    let choices = endpoints.iter().map(|e| {
        let e_row = t.endpoints.get(*e);
        let mut estimate = cost::estimate(now, on, row, service, e_row, paced::pool_of(t, e_row));
        estimate.score += cost::far_secs(on, zone, e_row);
        Choice {
            endpoint: *e,
            estimate,
        }
    });
    choices.min_by(|a, b| {
        let order = a.estimate.score.partial_cmp(&b.estimate.score);
        order
            .unwrap_or(Ordering::Equal)
            .then(a.endpoint.cmp(&b.endpoint))
    })
}

/// Tells whether a request may wait for a better endpoint than those that have room.
fn may_wait(t: &Tables, now: Time, row: &RequestRow) -> bool {
    let target = t.services.get(row.service).tier.target();
    let early = now.saturating_sub(row.arrived) < target.mul_f64(WAIT_LIMIT);
    let calm = t.requests.held() <= WAIT_HELD;
    t.settings.mechanisms.waiting && early && calm && !row.new.blocks.is_empty()
}

/// Tells whether an endpoint may take the request at all.
fn may_take(t: &Tables, now: Time, row: &RequestRow, at: usize) -> bool {
    let e = t.endpoints.get(at);
    let open = e.open_to(&row.new.member, now).is_ok();
    let open = open && in_pool(row, e) && !row.tried.contains(&e.start_id);
    open && rollout::admits(t, row, at)
}

fn has_room(t: &Tables, now: Time, e: &EndpointRow) -> bool {
    !t.settings.mechanisms.late_binding || (e.running < e.budget && prefill_fits(e, now))
}

/// Tells whether the prompts that wait at an endpoint leave room for another.
///
/// A slot alone does not mean room: sixteen long prompts would wait for each other in the engine,
/// where a more urgent request can no longer pass them nor a better endpoint be found.
fn prefill_fits(e: &EndpointRow, now: Time) -> bool {
    e.running == 0 || e.waiting_tokens(now) <= MAX_PREFILL_SECS * e.declared.prefill_rate
}

/// Sends a request to an endpoint.
///
/// # Panics
///
/// Panics if the endpoint had the request before or may not get it, or if a request that may not be
/// repeated may have run already.
fn dispatch(t: &mut Tables, now: Time, id: RequestId, choice: Choice, out: &mut Vec<Action>) {
    charge(t, id, choice);
    fair::charge(t, now, id);
    let most = t.most_retries();
    end::set_phase(t, id, Phase::Dispatching(choice.endpoint), false);
    let member = t.requests.get(id).map(|r| r.new.member.clone());
    let e = t.endpoints.get_mut(choice.endpoint);
    let closed = e.open_to(&member.unwrap_or_default(), now).err();
    assert!(
        closed.is_none_or(Closed::is_health),
        "endpoint {} is closed and got new work: {closed:?}",
        e.declared.name
    );
    if matches!(e.health, Health::Ejected(_)) {
        e.health = Health::Probing;
    }
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
        "request {id} went to endpoint {name} twice"
    );
    assert!(
        repeatable || !row.ran_before,
        "request {id} may not be repeated"
    );
    row.tried.push(start);
    row.runs += 1;
    row.dispatch += 1;
    row.dispatched = now;
    row.first = None;
    row.uncached = choice.estimate.uncached;
    row.work = choice.estimate.work;
    row.predicted = choice.estimate.first();
    row.resumed_from = row.delivered;
    row.failed = false;
    t.stats.dispatches += 1;
    t.paces.note(row.pool_key(), row.rank);
    t.retries.earn(row.pool_key(), &t.settings, most);
    out.push(Action::Dispatch(Dispatch {
        id,
        endpoint: name,
        dispatch: row.dispatch,
        resume_from: row.delivered,
        priority: row.rank,
        confirm_by: row.confirm_by,
        deadline: row.deadline,
    }));
    rollout::sent(t, id, choice.endpoint);
}

/// Charges the account's lane for the work, by its share.
fn charge(t: &mut Tables, id: RequestId, choice: Choice) {
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
