//! The one way in which requests change hands and end.
//!
//! Queue, account, service and endpoint counts are kept in step here and nowhere else.

use std::time::Duration;

use firdock_core::{Outcome, Reason, RequestId, StartId};

use super::{attempts, backoff, limit};
use crate::action::Action;
use crate::request::{
    EndpointFailure, NewRequest, Origin, Phase, PlacementState, RequestRow, Verdict,
};
use crate::stats::{RefusalKey, WasteCause};
use crate::table::Tables;
use crate::time::Time;

/// Shortest and longest time after which callers are told to come back.
///
/// Sooner than a second, the load that kept a request out is still there.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_mins(1));

/// Moves a request to another phase and keeps every count in step.
pub fn set_phase(t: &mut Tables, id: RequestId, phase: Phase, front: bool) {
    let Some(row) = t.requests.get(id) else {
        return;
    };
    let (old, service, account, arrived) = (row.phase, row.service, row.account, row.arrived);
    if old == Phase::Held && phase != Phase::Held {
        t.services.get_mut(service).queue.remove(account, id);
        t.accounts.get_mut(account).held -= 1;
    }
    if old != Phase::Held && phase == Phase::Held {
        let queue = &mut t.services.get_mut(service).queue;
        if front {
            queue.push_front(account, id);
        } else {
            queue.push(account, arrived, id);
        }
        t.accounts.get_mut(account).held += 1;
        if let Some(row) = t.requests.get_mut(id) {
            row.placement = PlacementState::NotRequested;
        }
    }
    release_place(t, id, old, phase);
    t.requests.set_phase(id, phase);
}

/// Takes the request off the endpoint or peer that it leaves.
fn release_place(t: &mut Tables, id: RequestId, old: Phase, new: Phase) {
    match (old, new) {
        (Phase::Dispatching(a), Phase::Running(b)) if a == b => {}
        (Phase::Dispatching(e) | Phase::Running(e), _) => {
            release_prefill(t, id, e);
            t.endpoints.get_mut(e).running -= 1;
        }
        (Phase::HandedOver(p), _) => t.peers.get_mut(p).handed_over -= 1,
        (Phase::Held, _) => {}
    }
}

/// Takes the request's prompt off the endpoint's backlog, once.
pub fn release_prefill(t: &mut Tables, id: RequestId, endpoint: usize) {
    let Some(row) = t.requests.get(id) else {
        return;
    };
    if row.first.is_none() {
        let e = t.endpoints.get_mut(endpoint);
        e.backlog = (e.backlog - f64::from(row.uncached)).max(0.0);
    }
}

/// Ends a request with an outcome; gives its row.
pub fn finish(t: &mut Tables, now: Time, id: RequestId, outcome: Outcome) -> Option<RequestRow> {
    let phase = t.requests.get(id)?.phase;
    if phase == Phase::Held {
        let row = t.requests.get(id)?;
        let (service, account) = (row.service, row.account);
        t.services.get_mut(service).queue.remove(account, id);
        t.accounts.get_mut(account).held -= 1;
    } else {
        release_place(t, id, phase, Phase::Held);
    }
    let row = t.requests.remove(id)?;
    attempts::count(t, now, &row, outcome);
    t.services.get_mut(row.service).live -= 1;
    t.accounts.get_mut(row.account).live -= 1;
    if outcome == Outcome::NotRun {
        limit::refund(t, &row);
    }
    if let Some(claim) = row.new.key.filter(|_| row.minted.is_some()) {
        t.keys.record_outcome(now, claim.hash, id, outcome);
    }
    t.finished += 1;
    *t.stats.outcomes.entry(outcome).or_default() += 1;
    Some(row)
}

/// Ends a request whose whole answer was passed on, and counts whether it began in time.
pub fn complete(t: &mut Tables, now: Time, id: RequestId) {
    let Some(row) = t.requests.get(id) else {
        return;
    };
    let waited = row.first.unwrap_or(now).saturating_sub(row.arrived);
    let tier = &t.services.get(row.service).tier;
    let good = waited <= tier.target();
    let counts = t.stats.tiers.entry(tier.name.clone()).or_default();
    counts.answered += 1;
    counts.good += u64::from(good);
    finish(t, now, id, Outcome::Answered);
}

/// Counts a request of a service as given up for load.
pub fn count_shed(t: &mut Tables, service: usize) {
    let tier = t.services.get(service).tier.name.clone();
    t.stats.tiers.entry(tier).or_default().shed += 1;
}

/// Ends a request with firdock's own final answer.
///
/// # Panics
///
/// Panics if `not-run` would be untrue: a request that may have run is never said not to have.
pub fn finish_with_verdict(
    t: &mut Tables,
    now: Time,
    id: RequestId,
    verdict: Verdict,
    out: &mut Vec<Action>,
) {
    let Some(row) = t.requests.get(id) else {
        return;
    };
    let untrue = verdict.outcome == Outcome::NotRun && row.may_have_run();
    assert!(
        !untrue,
        "request {id} may have run and would be told `not-run`"
    );
    if row.head_sent() {
        cut_answer(t, now, id, verdict.reason, out);
        return;
    }
    if row.failure == EndpointFailure::Buffered && verdict.outcome == Outcome::Unknown {
        // The last endpoint that had it answered, so that more is known than that it may have run.
        finish(t, now, id, Outcome::Answered);
        out.push(Action::PassFailure { id });
        return;
    }
    let Some(row) = finish(t, now, id, verdict.outcome) else {
        return;
    };
    count_refusal(t, &row, verdict.reason);
    *t.stats.reasons.entry(verdict.reason).or_default() += 1;
    out.push(final_answer(&row.new, verdict, row.tried));
}

/// Counts by account what was refused for load, where accounts have shares.
fn count_refusal(t: &mut Tables, row: &RequestRow, reason: Reason) {
    let over = reason == Reason::OverShare;
    if !t.settings.account_shares.is_on() || !(over || reason == Reason::Overload) {
        return;
    }
    t.stats.count_refusal(RefusalKey {
        account: t.accounts.get(row.account).name.clone(),
        rank: row.declared_rank,
        over,
    });
}

/// Ends an answer that has begun and cannot be completed.
pub fn cut_answer(t: &mut Tables, now: Time, id: RequestId, reason: Reason, out: &mut Vec<Action>) {
    if finish(t, now, id, Outcome::Unknown).is_some() {
        *t.stats.reasons.entry(reason).or_default() += 1;
        out.push(Action::Cut { id, reason });
    }
}

/// Gives a held request up: `not-run` if it ran nowhere, else `unknown`.
pub fn give_up(t: &mut Tables, now: Time, id: RequestId, reason: Reason, out: &mut Vec<Action>) {
    let Some(row) = t.requests.get(id) else {
        return;
    };
    let verdict = Verdict {
        outcome: row.outcome_unanswered(),
        reason,
        retry_after: Some(retry_after(t, now, row)),
    };
    finish_with_verdict(t, now, id, verdict, out);
}

/// Estimates when the queue will have room, and an endpoint of the request takes any.
fn retry_after(t: &Tables, now: Time, row: &RequestRow) -> Duration {
    let wait = t.requests.held() as f64 / t.finish_rate.max(1.0);
    let room = Duration::from_secs_f64(wait).clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
    let open = backoff::retry_after(t, now, row).unwrap_or_default();
    room.max(open)
}

/// Counts a final answer of firdock's own to a request that has no row.
pub fn count_verdict(t: &mut Tables, verdict: Verdict) {
    *t.stats.outcomes.entry(verdict.outcome).or_default() += 1;
    *t.stats.reasons.entry(verdict.reason).or_default() += 1;
}

/// Gives the final answer in the form that fits where the request came from.
pub fn final_answer(new: &NewRequest, verdict: Verdict, tried: Vec<StartId>) -> Action {
    let id = new.id;
    match (&new.origin, verdict.outcome) {
        (Origin::Peer(_), Outcome::NotRun) => Action::RefuseHandOver { id, verdict, tried },
        _ => Action::Answer { id, verdict },
    }
}

/// Counts the prefill of a dispatch that is lost.
pub fn count_waste(t: &mut Tables, id: RequestId, cause: WasteCause) {
    let Some(row) = t.requests.get(id) else {
        return;
    };
    let (Phase::Running(e) | Phase::Dispatching(e)) = row.phase else {
        return;
    };
    if t.endpoints.get(e).is_engine() {
        *t.stats.wasted.entry(cause).or_default() += u64::from(row.uncached);
    }
}
