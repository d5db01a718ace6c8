//! Early refusal: a request that cannot begin in time is told so while its caller can go elsewhere.
//!
//! A caller that is refused at once can try another instance within its time; one that is held and
//! then refused has lost it (`docs/design/limits.md`).

use std::collections::HashMap;

use firdock_core::{RequestId, TierRank};

use super::{backoff, coordinate, fair_share, shed};
use crate::action::Action;
use crate::request::{Phase, RequestRow};
use crate::table::Tables;
use crate::time::Time;

/// Part of the target within which a request has to be sent, so that its answer begins in time.
const SEND_DEADLINE_FRACTION: f64 = 0.8;
/// Least dispatches a second that are reckoned with, so that a pool at rest is given a try.
const MIN_DISPATCH_RATE: f64 = 1.0;

/// Refuses held requests that the queue before them keeps from beginning in time.
pub fn run(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    if !t.settings.mechanisms.early_refusal {
        return;
    }
    let mut hopeless: Vec<(TierRank, RequestId)> = Vec::new();
    let mut ahead: HashMap<&str, u32> = HashMap::new();
    // How long a back-off lasts is known, and whether its end is waited for is decided by that.
    let waits = |r: &&RequestRow| {
        r.phase == Phase::Held
            && !r.may_have_run()
            && !coordinate::awaits_placement(t, r)
            && backoff::earliest_attempt(t, now, r).is_none()
    };
    let held: Vec<&RequestRow> = t.requests.iter().filter(waits).collect();
    for row in fair_share::in_service_order(t, now, held) {
        let before = ahead.entry(row.pool_key()).or_default();
        if cannot_start_in_time(t, now, row, *before) {
            hopeless.push((row.rank, row.new.id));
        } else {
            *before += 1;
        }
    }
    // The last in order of a tier goes first.
    hopeless.reverse();
    shed::lowest_first(t, now, hopeless, fair_share::refusal_reason, out);
}

/// Tells whether `before` requests that go first leave too little of the target.
///
/// A request that is past its target has lost what it could lose; it goes on waiting behind those
/// that have not, until its caller leaves. One beyond its account's share does not: while it is held,
/// none of the higher tiers, which are within theirs, could be told in time that it has to go elsewhere.
fn cannot_start_in_time(t: &Tables, now: Time, row: &RequestRow, before: u32) -> bool {
    let target = t.services.get(row.service).tier.target();
    let age = now.saturating_sub(row.arrived);
    if age > target {
        return fair_share::is_demoted(row);
    }
    let pace = if t.settings.account_shares.is_on() {
        t.dispatch_rates.rate_from(row.pool_key(), row.rank)
    } else {
        t.dispatch_rates.rate_left_to(row.pool_key(), row.rank)
    };
    let Some(pace) = pace else {
        return false;
    };
    let wait = age.as_secs_f64() + f64::from(before) / pace.max(MIN_DISPATCH_RATE);
    wait > target.as_secs_f64() * SEND_DEADLINE_FRACTION
}
