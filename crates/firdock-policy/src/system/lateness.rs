//! Which answers go where they fit: one that would be late or cut on the engines that have room waits a
//! part of its target for one on which it would not.
//!
//! What it leaves goes to requests that fit there, those of lower tiers too. It is passed by them, and
//! never refused before them.

use std::time::Duration;

use crate::cost::Estimate;
use crate::request::RequestRow;
use crate::table::Tables;
use crate::time::Time;

/// Part of the target for which a request may wait for a place that fits: what is left of it is enough
/// for the prompt to be read on an engine of usual pace.
const MAX_WAIT_FRACTION: f64 = 0.6;
/// Seconds by which an answer has to fit better elsewhere for that to be worth waiting: a third of what
/// an answer costs that is late by a pause.
const MIN_GAIN_SECS: f64 = 0.3;

/// Tells whether an estimate leaves so much to gain that a better place may be waited for.
///
/// Only where engines tell their pace is there any: elsewhere an engine that is slow by others' work is
/// not told from one that will be fast again when the answer begins.
pub fn may_wait(t: &Tables, now: Time, row: &RequestRow, best: &Estimate) -> bool {
    best.lateness_cost > MIN_GAIN_SECS && now.saturating_sub(row.arrived) < max_wait(t, row)
}

/// Tells whether a place that is taken now fits so much better that it is worth waiting for.
pub fn is_better(best: &Estimate, taken: &Estimate) -> bool {
    taken.lateness_cost + MIN_GAIN_SECS < best.lateness_cost
}

fn max_wait(t: &Tables, row: &RequestRow) -> Duration {
    let target = t.services.get(row.service).tier.target();
    target.mul_f64(MAX_WAIT_FRACTION)
}
