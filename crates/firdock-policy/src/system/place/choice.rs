//! The choice of an endpoint for one request: which may take it, which have room, which is best, and
//! whether another is worth waiting for.

use std::cmp::Ordering;

use super::in_pool;
use crate::cost::{self, Estimate};
use crate::request::RequestRow;
use crate::system::{lateness, pace_reports, rollout};
use crate::table::Tables;
use crate::table::endpoint::EndpointRow;
use crate::time::Time;

/// Prefill work that may wait at an endpoint before it gets another prompt, in seconds.
const MAX_PREFILL_SECS: f64 = 1.0;

/// Part of a tier's target for which a request may wait for a better endpoint.
const MAX_WAIT_FRACTION: f64 = 0.3;
/// Requests held beyond which nothing waits: an endpoint left idle then costs more than a prefix.
const MAX_HELD_TO_WAIT: usize = 16;
/// Part of a request's time on a full endpoint that it is expected to wait for room there.
const EXPECTED_WAIT_FRACTION: f64 = 0.6;

/// What to do with a held request.
#[derive(Debug, Clone, Copy)]
pub(super) enum Placement {
    /// Send it.
    On(Choice),
    /// Hold it: an endpoint without room is worth waiting for.
    Wait,
    /// No endpoint has room.
    Blocked,
}

/// An endpoint that was chosen for a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Choice {
    pub(super) endpoint: usize,
    pub(super) estimate: Estimate,
}

pub(super) fn estimate(t: &Tables, now: Time, row: &RequestRow, endpoint: usize) -> Estimate {
    let service = t.services.get(row.service);
    let e = t.endpoints.get(endpoint);
    cost::estimate(
        now,
        t.settings.mechanisms,
        row,
        service,
        e,
        pace_reports::trusted_pool_of(t, e),
    )
}

pub(super) fn choose(t: &Tables, now: Time, row: &RequestRow) -> Placement {
    let endpoints = t.services.get(row.service).endpoints.iter().copied();
    let (open, full): (Vec<usize>, Vec<usize>) = endpoints
        .filter(|e| may_take(t, now, row, *e))
        .partition(|e| has_capacity(t, now, t.endpoints.get(*e)));
    if let Some(tried) = rollout::trial(t, row, &open) {
        let estimate = estimate(t, now, row, tried);
        return Placement::On(Choice {
            endpoint: tried,
            estimate,
        });
    }
    let Some(best) = lowest_score(t, now, row, &open) else {
        return Placement::Blocked;
    };
    if lateness::may_wait(t, now, row, &best.estimate) {
        let taken: Vec<usize> = full
            .iter()
            .copied()
            .filter(|e| frees_up_here(t, *e))
            .collect();
        let taken = lowest_score(t, now, row, &taken);
        if taken.is_some_and(|taken| lateness::is_better(&best.estimate, &taken.estimate)) {
            return Placement::Wait;
        }
    }
    if may_wait(t, now, row) {
        // Slots free up one by one; prefill that waits there would only make the wait longer.
        let slots_used: Vec<usize> = full
            .into_iter()
            .filter(|e| prefill_fits(t.endpoints.get(*e), now))
            .collect();
        let better = lowest_score(t, now, row, &slots_used);
        let worth = better.is_some_and(|b| {
            let wait = EXPECTED_WAIT_FRACTION * b.estimate.total_secs;
            b.estimate.score + wait < best.estimate.score
        });
        if worth {
            return Placement::Wait;
        }
    }
    Placement::On(best)
}

/// Tells whether a place on a full engine comes free here, and is reckoned by the pace that it tells.
fn frees_up_here(t: &Tables, at: usize) -> bool {
    let e = t.endpoints.get(at);
    e.running > 0 && pace_reports::trusted_pool_of(t, e).is_some()
}

/// Gives the endpoint with the least score.
fn lowest_score(t: &Tables, now: Time, row: &RequestRow, endpoints: &[usize]) -> Option<Choice> {
    let service = t.services.get(row.service);
    let on = t.settings.mechanisms;
    let zone = if row.new.zone.is_empty() {
        &t.settings.zone
    } else {
        &row.new.zone
    };
    let choices = endpoints.iter().map(|e| {
        let e_row = t.endpoints.get(*e);
        let mut estimate = cost::estimate(
            now,
            on,
            row,
            service,
            e_row,
            pace_reports::trusted_pool_of(t, e_row),
        );
        estimate.score += cost::zone_penalty_secs(on, zone, e_row);
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
    let early = now.saturating_sub(row.arrived) < target.mul_f64(MAX_WAIT_FRACTION);
    let calm = t.requests.held() <= MAX_HELD_TO_WAIT;
    t.settings.mechanisms.wait_for_cache && early && calm && !row.new.blocks.is_empty()
}

/// Tells whether an endpoint may take the request at all.
fn may_take(t: &Tables, now: Time, row: &RequestRow, at: usize) -> bool {
    let e = t.endpoints.get(at);
    let open = e.check_available(&row.new.member, now).is_ok();
    let open = open && in_pool(row, e) && !row.tried.contains(&e.start_id);
    open && rollout::admits(t, row, at)
}

fn has_capacity(t: &Tables, now: Time, e: &EndpointRow) -> bool {
    !t.settings.mechanisms.late_binding || (e.running < e.budget && prefill_fits(e, now))
}

/// Tells whether the prompts that wait at an endpoint leave room for another.
///
/// A slot alone does not mean room: sixteen long prompts would wait for each other in the engine,
/// where a more urgent request can no longer pass them nor a better endpoint be found.
fn prefill_fits(e: &EndpointRow, now: Time) -> bool {
    e.running == 0 || e.waiting_tokens(now) <= MAX_PREFILL_SECS * e.declared.prefill_rate
}
