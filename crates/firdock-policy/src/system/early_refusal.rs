//! Early refusal: requests that cannot start in time are refused while their callers can still go
//! elsewhere.
//!
//! A caller that is refused at once can try another instance in time. One whose request is held and
//! refused later cannot (`docs/design/limits.md`).

use std::collections::HashMap;

use firdock_core::{RequestId, TierRank};

use super::{backoff, coordinate, fair_share, shed};
use crate::action::Action;
use crate::request::{Phase, RequestRow};
use crate::table::Tables;
use crate::time::Time;

/// Fraction of the target within which a request must be sent for its answer to start in time.
const SEND_DEADLINE_FRACTION: f64 = 0.8;
/// Minimum assumed number of dispatches per second, so that requests are still sent to an idle
/// pool.
const MIN_DISPATCH_RATE: f64 = 1.0;

/// Refuses held requests that cannot start in time because of the queue ahead of them.
pub fn run(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    if !t.settings.mechanisms.early_refusal {
        return;
    }
    let mut refused: Vec<(TierRank, RequestId)> = Vec::new();
    let mut ahead: HashMap<&str, u32> = HashMap::new();
    // `backoff` decides on requests that wait for the end of a back-off, because that time is
    // known. `continuation` decides on those that wait for an entry: neither the queue delays them
    // nor they the queue.
    let considered = |r: &&RequestRow| {
        r.phase == Phase::Held
            && !r.may_have_run()
            && !coordinate::awaits_placement(t, r)
            && r.unconfirmed_since.is_none()
            && backoff::earliest_attempt(t, now, r).is_none()
    };
    let held: Vec<&RequestRow> = t.requests.iter().filter(considered).collect();
    for row in fair_share::in_service_order(t, now, held) {
        let before = ahead.entry(row.pool_key()).or_default();
        if cannot_start_in_time(t, now, row, *before) {
            refused.push((row.rank, row.new.id));
        } else {
            *before += 1;
        }
    }
    // Within a tier, the last request in service order is refused first.
    refused.reverse();
    shed::lowest_first(t, now, refused, fair_share::refusal_reason, out);
}

/// Returns whether `before` requests ahead of this one leave too little of its target.
///
/// A request past its target has nothing more to lose: it keeps waiting behind requests that can
/// still start in time, until its caller leaves. This does not apply to a request beyond its
/// account's share: while it is held, no request of a higher tier within its share could be refused
/// early.
fn cannot_start_in_time(t: &Tables, now: Time, row: &RequestRow, before: u32) -> bool {
    let target = t.services.get(row.service).tier.target();
    let age = now.saturating_sub(row.arrived);
    if age > target {
        return fair_share::is_demoted(row);
    }
    let rate = if t.settings.account_shares.is_on() {
        t.dispatch_rates.rate_from(row.pool_key(), row.rank)
    } else {
        t.dispatch_rates.rate_left_to(row.pool_key(), row.rank)
    };
    let Some(rate) = rate else {
        return false;
    };
    let wait = age.as_secs_f64() + f64::from(before) / rate.max(MIN_DISPATCH_RATE);
    wait > target.as_secs_f64() * SEND_DEADLINE_FRACTION
}
