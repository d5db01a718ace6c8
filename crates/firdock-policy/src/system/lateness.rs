//! Decides whether to hold a request whose answer would be late or cut short on every engine with
//! free capacity, until a better engine frees up.
//!
//! The skipped capacity goes to requests that fit there, including those of lower tiers. These
//! overtake the request, which is never refused before them.

use std::time::Duration;

use crate::cost::Estimate;
use crate::request::RequestRow;
use crate::table::Tables;
use crate::time::Time;

/// Fraction of the target for which a request may wait for a better place: the rest is enough to
/// process the prompt on an engine of typical pace.
const MAX_WAIT_FRACTION: f64 = 0.6;
/// Minimum gain in lateness cost, in seconds, that is worth waiting for: a third of the cost of an
/// answer that is late by a pause.
const MIN_GAIN_SECS: f64 = 0.3;

/// Returns whether an estimate leaves enough to gain for the request to wait for a better place.
///
/// There is a gain only if engines report their pace: otherwise an engine slowed down by other work
/// cannot be told from one that will be fast again when the answer starts.
pub fn may_wait(t: &Tables, now: Time, row: &RequestRow, best: &Estimate) -> bool {
    best.lateness_cost > MIN_GAIN_SECS && now.saturating_sub(row.arrived) < max_wait(t, row)
}

/// Returns whether a place that is occupied now is so much better that it is worth waiting for.
pub fn is_better(best: &Estimate, occupied: &Estimate) -> bool {
    occupied.lateness_cost + MIN_GAIN_SECS < best.lateness_cost
}

fn max_wait(t: &Tables, row: &RequestRow) -> Duration {
    let target = t.services.get(row.service).tier.target();
    target.mul_f64(MAX_WAIT_FRACTION)
}
