//! Placement: held requests go to endpoints that have room, higher tiers first.

use std::cmp::Ordering;

use firdock_core::resource::Tier;
use firdock_core::{Reason, RequestId, TierRank};

use super::{end, key};
use crate::action::{Action, Dispatch};
use crate::cost::{self, Estimate};
use crate::request::{Phase, RequestRow};
use crate::table::Tables;
use crate::table::endpoint::{EndpointRow, Health};
use crate::time::Time;

/// Lanes of a queue that are looked at before the queue counts as blocked.
const MAX_LOOKS: usize = 8;

/// Prefill work that may wait at an endpoint before it gets another prompt, in seconds.
const MAX_PREFILL_SECS: f64 = 1.0;

/// An endpoint that was chosen for a request.
#[derive(Debug, Clone, Copy)]
struct Choice {
    endpoint: usize,
    estimate: Estimate,
}

/// Dispatches held requests until none can be placed.
pub fn run(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    for rank in 0..=Tier::MAX_RANK {
        if t.requests.held_by_rank()[usize::from(rank)] > 0 {
            run_tier(t, now, rank, out);
        }
    }
}

fn run_tier(t: &mut Tables, now: Time, rank: TierRank, out: &mut Vec<Action>) {
    let waiting = |(i, s): (usize, &crate::table::service::ServiceRow)| {
        (s.tier.rank == rank && !s.queue.is_empty()).then_some(i)
    };
    let services: Vec<usize> = t.services.iter().filter_map(waiting).collect();
    for service in services {
        while place_next(t, now, service, out) {}
    }
}

/// Places the next request of a service; tells whether one left the queue.
fn place_next(t: &mut Tables, now: Time, service: usize, out: &mut Vec<Action>) -> bool {
    let heads: Vec<RequestId> = t
        .services
        .get(service)
        .queue
        .heads()
        .take(MAX_LOOKS)
        .map(|(_, id)| id)
        .collect();
    for id in heads {
        let Some(row) = t.requests.get(id) else {
            continue;
        };
        let confirm_by = key::confirm_by(t, row);
        if confirm_by.is_some_and(|until| until <= now) {
            end::answer(t, now, id, key::unconfirmed_verdict(), out);
            return true;
        }
        if let Some(choice) = choose(t, now, row) {
            if let Some(row) = t.requests.get_mut(id) {
                row.confirm_by = confirm_by;
            }
            dispatch(t, now, id, choice, out);
            return true;
        }
        if row.tried.is_empty() {
            // Whatever blocks this request blocks the rest of the queue as well.
            return false;
        }
        if exhausted(t, row) {
            end::give_up(t, now, id, Reason::NoEndpoint, out);
            return true;
        }
    }
    false
}

/// Tells whether every endpoint of the service has had the request.
fn exhausted(t: &Tables, row: &RequestRow) -> bool {
    let names = t
        .services
        .get(row.service)
        .endpoints
        .iter()
        .map(|e| &t.endpoints.get(*e).declared);
    names.into_iter().all(|d| row.tried.contains(&d.name))
}

fn choose(t: &Tables, now: Time, row: &RequestRow) -> Option<Choice> {
    let service = t.services.get(row.service);
    let by_cost = |a: &Choice, b: &Choice| {
        let order = a.estimate.score.partial_cmp(&b.estimate.score);
        order
            .unwrap_or(Ordering::Equal)
            .then(a.endpoint.cmp(&b.endpoint))
    };
    let open = service
        .endpoints
        .iter()
        .filter(|e| has_room(t, now, row, t.endpoints.get(**e)));
    let estimated = open.map(|e| {
        let estimate = cost::estimate(
            now,
            t.settings.mechanisms,
            row,
            service,
            t.endpoints.get(*e),
        );
        Choice {
            endpoint: *e,
            estimate,
        }
    });
    estimated.min_by(by_cost)
}

fn has_room(t: &Tables, now: Time, row: &RequestRow, e: &EndpointRow) -> bool {
    if !e.usable(now) || row.tried.contains(&e.declared.name) {
        return false;
    }
    let on = t.settings.mechanisms;
    !on.late_binding || (e.running < e.budget && prefill_fits(e, now))
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
/// Panics if the endpoint had the request before or is leaving, or if a request that may not be
/// repeated may have run already.
fn dispatch(t: &mut Tables, now: Time, id: RequestId, choice: Choice, out: &mut Vec<Action>) {
    charge(t, id, choice);
    end::set_phase(t, id, Phase::Dispatching(choice.endpoint), false);
    let e = t.endpoints.get_mut(choice.endpoint);
    assert!(
        !e.leaving(now),
        "endpoint {} is leaving and got new work",
        e.declared.name
    );
    if matches!(e.health, Health::Ejected(_)) {
        e.health = Health::Probing;
    }
    e.running += 1;
    e.backlog += f64::from(choice.estimate.uncached);
    let name = e.declared.name.clone();
    let Some(row) = t.requests.get_mut(id) else {
        return;
    };
    for block in &row.new.blocks {
        e.cache.add(now, *block);
    }
    let repeatable = t.services.get(row.service).declared.repeatable;
    assert!(
        !row.tried.contains(&name),
        "request {id} went to endpoint {name} twice"
    );
    assert!(
        repeatable || !row.ran_before,
        "request {id} may not be repeated"
    );
    row.tried.push(name.clone());
    row.dispatch += 1;
    row.dispatched = now;
    row.first = None;
    row.uncached = choice.estimate.uncached;
    row.predicted = choice.estimate.first();
    t.stats.dispatches += 1;
    t.retry_credit = (t.retry_credit + t.settings.retry_ratio).min(crate::table::RETRY_CREDIT_MAX);
    out.push(Action::Dispatch(Dispatch {
        id,
        endpoint: name,
        dispatch: row.dispatch,
        resume_from: row.delivered,
        priority: row.rank,
        confirm_by: row.confirm_by,
    }));
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
