//! Time limits: requests that waited too long are given up, lower tiers first.

use firdock_core::{Reason, RequestId, TierRank};

use super::{lifecycle, shed};
use crate::action::Action;
use crate::request::{Phase, RequestRow};
use crate::table::Tables;
use crate::time::Time;

/// Fraction of a caller's patience after which a held request is given up: the answer must reach
/// the caller before it leaves.
const PATIENCE_FRACTION: f64 = 0.9;

/// Moves requests past their tier's target behind those that can still meet it.
pub fn put_late_last(t: &mut Tables, now: Time) {
    if !t.settings.mechanisms.late_last {
        return;
    }
    let requests = &t.requests;
    for (_, s) in t.services.iter_mut() {
        let target = s.tier.target();
        let is_late = |id| requests.get(id).is_some_and(|r| r.arrived + target <= now);
        s.queue.put_late_last(is_late);
    }
}

/// Ends requests past their deadline, which is set by the caller or by the service.
///
/// A held request is not running now; a running one is cancelled and may have run.
pub fn end_overdue(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    let overdue = |r: &&RequestRow| r.deadline.is_some_and(|by| by <= now);
    let ids: Vec<RequestId> = t
        .requests
        .iter()
        .filter(overdue)
        .map(|r| r.new.id)
        .collect();
    end(t, now, ids, Reason::TimedOut, out);
}

/// Ends requests wherever they are. What runs at endpoints is cancelled.
pub fn end(t: &mut Tables, now: Time, ids: Vec<RequestId>, reason: Reason, out: &mut Vec<Action>) {
    for id in ids {
        let Some(row) = t.requests.get(id) else {
            continue;
        };
        if let Phase::Dispatching(e) | Phase::Running(e) = row.phase {
            out.push(Action::Cancel {
                id,
                endpoint: t.endpoints.get(e).declared.name.clone(),
                dispatch: row.dispatch,
            });
        }
        lifecycle::give_up(t, now, id, reason, out);
    }
}

/// Gives up held requests whose callers are about to leave, so that they receive a retry time.
///
/// Lower tiers are given up first, because no request of a higher tier is given up while a lower
/// one is held.
pub fn end_impatient(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    if !t.settings.mechanisms.early_refusal {
        return;
    }
    let leaving = held_where(t, |r| patience_end(t, r) <= now);
    shed::lowest_first(t, now, leaving, waited_too_long, out);
}

/// Returns until when holding a request is worthwhile: until just before its caller leaves, or
/// until half of its time has passed, when an endpoint would have too little left.
fn patience_end(t: &Tables, row: &RequestRow) -> Time {
    let half = row.deadline.map(|by| by.saturating_sub(row.arrived) / 2);
    let patience = t.services.get(row.service).declared.patience();
    let limit = [half, patience].into_iter().flatten().min();
    limit.map_or(Time::MAX, |limit| {
        row.arrived + limit.mul_f64(PATIENCE_FRACTION)
    })
}

/// Returns the latest time at which a held request can still be sent.
pub fn latest_send(t: &Tables, row: &RequestRow) -> Time {
    let refuses_early = t.settings.mechanisms.early_refusal;
    let wait = row.arrived + t.services.get(row.service).tier.wait();
    let limits = [
        Some(wait),
        row.deadline,
        refuses_early.then(|| patience_end(t, row)),
    ];
    limits.into_iter().flatten().min().unwrap_or(wait)
}

/// Gives up requests that waited too long, and forgets keys after their retention time.
///
/// A request of a higher tier stays held while one of a lower tier is held, so that it is never
/// shed before it.
pub fn end_expired(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    let wait = |r: &RequestRow| t.services.get(r.service).tier.wait();
    let late = held_where(t, |r| r.arrived + wait(r) <= now);
    shed::lowest_first(t, now, late, waited_too_long, out);
    let limit = now.saturating_sub(t.settings.key_retention);
    t.transfers.expire(limit);
    for id in t.keys.expire(limit) {
        out.push(Action::Forget { id });
    }
}

/// Returns the reason for requests that waited too long, for all accounts.
fn waited_too_long(_: &Tables, _: Time, _: RequestId) -> Reason {
    Reason::WaitedTooLong
}

/// Returns the held requests for which `is_over` is true, with their ranks.
fn held_where(t: &Tables, is_over: impl Fn(&RequestRow) -> bool) -> Vec<(TierRank, RequestId)> {
    let held = t.requests.iter().filter(|r| r.phase == Phase::Held);
    let over = held.filter(|r| is_over(r));
    over.map(|r| (r.rank, r.new.id)).collect()
}
