//! Chooses an endpoint for a request: which endpoints are eligible, which have capacity, which
//! scores best, and whether a busy endpoint is worth waiting for.

use std::cmp::Ordering;

use super::in_pool;
use crate::cost::{self, Estimate};
use crate::request::RequestRow;
use crate::system::{lateness, pace_reports, rollout};
use crate::table::Tables;
use crate::table::endpoint::EndpointRow;
use crate::time::Time;

/// Prefill work, in seconds, that may be queued at an endpoint before it gets another prompt.
const MAX_PREFILL_SECS: f64 = 1.0;

/// Fraction of a tier's target for which a request may wait for a better endpoint.
const MAX_WAIT_FRACTION: f64 = 0.3;
/// Number of held requests above which none waits: an idle endpoint then costs more than a cached
/// prefix saves.
const MAX_HELD_TO_WAIT: usize = 16;
/// Expected wait for capacity at a full endpoint, as a fraction of the request's time there.
const EXPECTED_WAIT_FRACTION: f64 = 0.6;

/// Placement decision for a held request.
#[derive(Debug, Clone, Copy)]
pub(super) enum Placement {
    /// Send the request.
    On(Choice),
    /// Hold the request: an endpoint without free capacity is worth waiting for.
    Wait,
    /// No endpoint has free capacity.
    Blocked,
}

/// Endpoint that was chosen for a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Choice {
    pub(super) endpoint: usize,
    pub(super) estimate: Estimate,
    /// Whether a coordinator used a permit for it.
    pub(super) permitted: bool,
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
    if let Some(tried) = rollout::trial_endpoint(t, row, &open) {
        let estimate = estimate(t, now, row, tried);
        return Placement::On(Choice {
            endpoint: tried,
            estimate,
            permitted: false,
        });
    }
    let Some(best) = lowest_score(t, now, row, &open) else {
        return Placement::Blocked;
    };
    if lateness::may_wait(t, now, row, &best.estimate) {
        let occupied: Vec<usize> = full
            .iter()
            .copied()
            .filter(|e| frees_up_here(t, *e))
            .collect();
        let occupied = lowest_score(t, now, row, &occupied);
        if occupied.is_some_and(|occupied| lateness::is_better(&best.estimate, &occupied.estimate))
        {
            return Placement::Wait;
        }
    }
    if may_wait(t, now, row) {
        // Slots free up one by one; prefill queued there would only make the wait longer.
        let slots_used: Vec<usize> = full
            .into_iter()
            .filter(|e| prefill_fits(t.endpoints.get(*e), now))
            .collect();
        let better = lowest_score(t, now, row, &slots_used);
        let worth_waiting = better.is_some_and(|b| {
            let wait = EXPECTED_WAIT_FRACTION * b.estimate.total_secs;
            b.estimate.score + wait < best.estimate.score
        });
        if worth_waiting {
            return Placement::Wait;
        }
    }
    Placement::On(best)
}

/// Returns whether one of this instance's own requests will free a slot at the endpoint, and the
/// endpoint's estimate is based on the pace that it reports.
fn frees_up_here(t: &Tables, at: usize) -> bool {
    let e = t.endpoints.get(at);
    e.running > 0 && pace_reports::trusted_pool_of(t, e).is_some()
}

/// Returns the endpoint with the lowest score.
fn lowest_score(t: &Tables, now: Time, row: &RequestRow, endpoints: &[usize]) -> Option<Choice> {
    let service = t.services.get(row.service);
    let mechanisms = t.settings.mechanisms;
    let zone = if row.new.zone.is_empty() {
        &t.settings.zone
    } else {
        &row.new.zone
    };
    let choices = endpoints.iter().map(|e| {
        let endpoint_row = t.endpoints.get(*e);
        let mut estimate = cost::estimate(
            now,
            mechanisms,
            row,
            service,
            endpoint_row,
            pace_reports::trusted_pool_of(t, endpoint_row),
        );
        estimate.score += cost::zone_penalty_secs(mechanisms, zone, endpoint_row);
        Choice {
            endpoint: *e,
            estimate,
            permitted: false,
        }
    });
    choices.min_by(|a, b| {
        let order = a.estimate.score.partial_cmp(&b.estimate.score);
        order
            .unwrap_or(Ordering::Equal)
            .then(a.endpoint.cmp(&b.endpoint))
    })
}

/// Returns whether a request may wait for a better endpoint than those with free capacity.
fn may_wait(t: &Tables, now: Time, row: &RequestRow) -> bool {
    let target = t.services.get(row.service).tier.target();
    let is_recent = now.saturating_sub(row.arrived) < target.mul_f64(MAX_WAIT_FRACTION);
    let queue_is_short = t.requests.held() <= MAX_HELD_TO_WAIT;
    t.settings.mechanisms.wait_for_cache
        && is_recent
        && queue_is_short
        && !row.new.blocks.is_empty()
}

/// Returns whether an endpoint is eligible for the request at all.
fn may_take(t: &Tables, now: Time, row: &RequestRow, at: usize) -> bool {
    let e = t.endpoints.get(at);
    let open = e.check_available(&row.new.member, now).is_ok();
    let open = open && in_pool(row, e) && !row.tried.contains(&e.start_id);
    open && rollout::admits(t, now, row, at)
}

fn has_capacity(t: &Tables, now: Time, e: &EndpointRow) -> bool {
    !t.settings.mechanisms.late_binding || (e.running < e.budget && prefill_fits(e, now))
}

/// Returns whether the queued prompts at an endpoint leave room for another one.
///
/// A free slot alone is not enough: sixteen long prompts would queue inside the engine, where a
/// more urgent request can no longer overtake them and no better endpoint can be chosen.
fn prefill_fits(e: &EndpointRow, now: Time) -> bool {
    e.running == 0 || e.waiting_tokens(now) <= MAX_PREFILL_SECS * e.declared.prefill_rate
}
