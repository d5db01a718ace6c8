//! Updates on dispatches: started, tokens, ended, refused, broken.

use firdock_core::{Outcome, Reason, RequestId};

use super::{
    fair_share, fragile, health, key, lifecycle, liveness, pace_reports, permit, rollout, route,
    start, suspect, unproven_end,
};
use crate::action::Action;
use crate::event::{BreakCause, ConnectFailure, DispatchUpdate, EndpointEvent};
use crate::request::{
    CompletionProof, DeliveredPart, EndpointFailure, Phase, PlacementState, RequestRow, Verdict,
};
use crate::stats::WasteCause;
use crate::table::Tables;
use crate::time::Time;

/// Handles an update on a dispatch. A late update on an earlier dispatch is dropped and counted.
pub fn handle_update(t: &mut Tables, now: Time, e: &EndpointEvent, out: &mut Vec<Action>) {
    let current = t.requests.get(e.id).filter(|r| r.dispatch == e.dispatch);
    let Some(Phase::Dispatching(at) | Phase::Running(at)) = current.map(|r| r.phase) else {
        t.stats.stale_news += 1;
        return;
    };
    match e.update {
        DispatchUpdate::ConnectFailed(cause) => record_connect_failure(t, now, e.id, at, cause),
        DispatchUpdate::PassedOn => mark_passed_on(t, e.id, at),
        DispatchUpdate::NotPassedOn => handle_not_passed_on(t, now, e.id, at),
        DispatchUpdate::Refused { unreachable } => {
            handle_refused(t, now, e.id, at, unreachable, out);
        }
        DispatchUpdate::Lapsed => handle_lapsed(t, now, e.id, at, out),
        DispatchUpdate::Withheld => handle_withheld(t, now, e.id, at),
        DispatchUpdate::Started { head_sent } => handle_started(t, e.id, at, head_sent),
        DispatchUpdate::Tokens { delivered, cached } => {
            handle_tokens(t, now, e.id, at, delivered, cached);
        }
        DispatchUpdate::Ended {
            prompt,
            cached,
            output,
        } => {
            handle_ended(t, now, e.id, at, prompt, cached, output);
        }
        DispatchUpdate::Failed => rollout::record_failure(t, e.id),
        DispatchUpdate::FailureKept => mark_failure_kept(t, e.id),
        DispatchUpdate::Unproven => unproven_end::record(t, now, e.id, at, out),
        DispatchUpdate::Unresumable => mark_unresumable(t, e.id),
        DispatchUpdate::LastBytes(at) => record_last_bytes(t, e.id, at),
        DispatchUpdate::Breaking(cause) => handle_breaking(t, now, e.id, at, cause, out),
        DispatchUpdate::Broke { delivered } => handle_broken(t, now, e.id, at, delivered, out),
    }
}

/// Handles the departure of a caller: a held request is dropped, a running one is cancelled.
pub fn caller_left(t: &mut Tables, now: Time, id: RequestId, out: &mut Vec<Action>) {
    let Some(row) = t.requests.get(id) else {
        return;
    };
    let dispatch = row.dispatch;
    match row.phase {
        Phase::Held => {}
        Phase::Dispatching(e) | Phase::Running(e) => {
            let endpoint = t.endpoints.get(e).declared.name.clone();
            out.push(Action::Cancel {
                id,
                endpoint,
                dispatch,
            });
        }
        Phase::HandedOver(p) => {
            let peer = t.peers.get(p).name.clone();
            out.push(Action::CancelHandOver { id, peer });
        }
    }
    if t.settings.coordinates && matches!(row.phase, Phase::Dispatching(_)) {
        // The member returned the slot, or its request was never sent.
        fair_share::refund(t, now, id);
    }
    lifecycle::count_waste(t, id, WasteCause::CallerLeft);
    let row = t.requests.get(id);
    let outcome = row.map_or(Outcome::NotRun, RequestRow::outcome_unanswered);
    lifecycle::finish(t, now, id, outcome);
    *t.stats.reasons.entry(Reason::CallerLeft).or_default() += 1;
}

fn handle_refused(
    t: &mut Tables,
    now: Time,
    id: RequestId,
    at: usize,
    unreachable: bool,
    out: &mut Vec<Action>,
) {
    if unreachable {
        permit::put_back(t, id, at);
        health::eject(t, now, at);
    } else {
        fragile::record_refusal(t, now, at);
    }
    if !hold_again(t, now, id) || unreachable {
        return;
    }
    let shared = t.settings.retry_slack.is_some();
    let Some(row) = t.requests.get(id).filter(|_| shared) else {
        return;
    };
    // The endpoint received the request, so sending it to another one is a retry that counts
    // towards the site's retry budget.
    let most = t.max_retry_credit();
    if t.retry_budgets.allow(row.pool_key(), most) {
        t.retry_budgets.spend(row.pool_key(), most);
    } else {
        lifecycle::give_up(t, now, id, Reason::NoEndpoint, out);
    }
}

/// Records why the present dispatch has no connection over this instance's own link.
fn record_connect_failure(
    t: &mut Tables,
    now: Time,
    id: RequestId,
    at: usize,
    cause: ConnectFailure,
) {
    t.endpoints.get_mut(at).link.record_failure(now);
    if cause == ConnectFailure::Refused {
        start::record_refused_connection(t, now, at);
    }
    *t.stats.connect_failures.entry(cause).or_default() += 1;
    if let Some(row) = t.requests.get_mut(id) {
        row.connect_failure = Some(cause);
    }
}

/// Records that the connection goes through a peer. Only the own link refused it, if anything did.
fn mark_passed_on(t: &mut Tables, id: RequestId, at: usize) {
    t.stats.passed_on += 1;
    let e = t.endpoints.get_mut(at);
    e.last_refusal = None;
    e.refuses_since = None;
    if let Some(row) = t.requests.get_mut(id) {
        row.passed_on = true;
    }
}

/// Takes back a request that the route's peer did not pass on. Another peer may.
fn handle_not_passed_on(t: &mut Tables, now: Time, id: RequestId, at: usize) {
    t.stats.not_passed_on += 1;
    let peer = t.requests.get(id).and_then(|row| row.route.peer().cloned());
    if let Some(peer) = peer {
        route::record_peer_failure(t, now, &peer);
    }
    handle_withheld(t, now, id, at);
}

/// Holds a request again whose last dispatch did not run; returns whether it is held here. A
/// coordinator forgets it instead, since its member asks again.
fn hold_again(t: &mut Tables, now: Time, id: RequestId) -> bool {
    fair_share::refund(t, now, id);
    if t.settings.coordinates {
        lifecycle::finish(t, now, id, Outcome::NotRun);
        return false;
    }
    lifecycle::set_phase(t, id, Phase::Held, true);
    if let Some(row) = t.requests.get_mut(id) {
        row.runs -= 1;
    }
    true
}

fn handle_lapsed(t: &mut Tables, now: Time, id: RequestId, at: usize, out: &mut Vec<Action>) {
    handle_withheld(t, now, id, at);
    let keyed = t.requests.get(id).is_some_and(|r| r.new.key.is_some());
    if keyed {
        lifecycle::finish_with_verdict(t, now, id, key::unconfirmed_verdict(), out);
    }
}

/// Takes back a request that was not sent. The same endpoint may still get it later.
fn handle_withheld(t: &mut Tables, now: Time, id: RequestId, at: usize) {
    permit::put_back(t, id, at);
    if !hold_again(t, now, id) {
        return;
    }
    if let Some(row) = t.requests.get_mut(id) {
        row.tried.pop();
    }
}

fn handle_started(t: &mut Tables, id: RequestId, at: usize, head_sent: bool) {
    lifecycle::set_phase(t, id, Phase::Running(at), false);
    record_working_link(t, id, at);
    record_accepted_connection(t, id, at);
    let row = t.requests.get_mut(id).filter(|_| head_sent);
    if let Some(row) = row.filter(|row| !row.head_sent()) {
        row.delivered_part = DeliveredPart::Head;
        row.begin_stream();
    }
}

/// Records that this instance's own link to the endpoint works, if the answer came over it.
fn record_working_link(t: &mut Tables, id: RequestId, at: usize) {
    let direct = t.requests.get(id).filter(|row| !row.passed_on);
    if let Some(dispatched) = direct.map(|row| row.dispatched) {
        t.endpoints.get_mut(at).link.record_success(dispatched);
    }
}

/// Records that the endpoint listened when the request was sent.
fn record_accepted_connection(t: &mut Tables, id: RequestId, at: usize) {
    let Some(dispatched) = t.requests.get(id).map(|row| row.dispatched) else {
        return;
    };
    let e = t.endpoints.get_mut(at);
    e.refuses_since = e.refuses_since.filter(|since| dispatched < *since);
}

/// Records that the endpoint's failure response can be forwarded to the caller.
fn mark_failure_kept(t: &mut Tables, id: RequestId) {
    if let Some(row) = t.requests.get_mut(id) {
        row.failure = EndpointFailure::Buffered;
    }
}

/// Records that the answer can only be continued by the endpoint that began it.
fn mark_unresumable(t: &mut Tables, id: RequestId) {
    if let Some(row) = t.requests.get_mut(id) {
        row.delivered_part = DeliveredPart::Unresumable;
    }
}

fn handle_tokens(t: &mut Tables, now: Time, id: RequestId, at: usize, delivered: u32, cached: u32) {
    record_first_token(t, now, id, at, cached);
    if let Some(row) = t.requests.get_mut(id) {
        row.delivered = row.delivered.max(delivered);
    }
    suspect::record_progress(t, now, id);
}

/// Records the first token of a dispatch: the prompt has been processed, so the endpoint's rate can
/// be learned.
fn record_first_token(t: &mut Tables, now: Time, id: RequestId, at: usize, cached: u32) {
    let Some(row) = t.requests.get(id).filter(|r| r.first.is_none()) else {
        return;
    };
    let took = now.saturating_sub(row.dispatched);
    let (predicted, work) = (row.predicted, row.work);
    lifecycle::release_prefill(t, id, at);
    pace_reports::learn_first(t, now, at, work, took);
    let e = t.endpoints.get_mut(at);
    let engine = e.is_engine();
    if engine {
        e.learn_first(work, took);
    } else {
        e.learn_plain(predicted, took);
    }
    e.recover();
    let Some(row) = t.requests.get_mut(id) else {
        return;
    };
    row.first = Some(now);
    if engine {
        row.uncached = (row.new.prompt_tokens + row.delivered).saturating_sub(cached);
    }
}

fn handle_ended(
    t: &mut Tables,
    now: Time,
    id: RequestId,
    at: usize,
    prompt: u32,
    cached: u32,
    output: u32,
) {
    record_first_token(t, now, id, at, cached);
    rollout::record_answer(t, now, id, at, output);
    let Some(row) = t.requests.get(id) else {
        return;
    };
    let is_alive = matches!(
        row.completion_proof,
        CompletionProof::Proven | CompletionProof::Outlived
    );
    let content = row.content_id().filter(|_| is_alive);
    let service = row.service;
    let last_bytes = row.last_bytes.map(|at| (row.dispatched, at));
    let first = row.first.unwrap_or(now);
    let tokens_after_first = output.saturating_sub(1);
    if prompt > 0 && row.tried.len() == 1 && row.placement != PlacementState::Adopted {
        let took = now.saturating_sub(first);
        t.endpoints
            .get_mut(at)
            .learn_tokens(tokens_after_first, took);
        pace_reports::learn_tokens(t, now, at, tokens_after_first, took);
    }
    if prompt > 0 {
        t.services.get_mut(service).learn_output(output);
        fair_share::settle(t, now, id, output);
    }
    if let Some((sent, last_bytes)) = last_bytes {
        start::record_answer(t, at, sent, last_bytes);
    }
    suspect::record_end(t, now, id);
    lifecycle::complete(t, now, id);
    if let Some(content) = content {
        suspect::record_answer(t, now, content);
    }
}

/// Records when the last bytes of an answer arrived that is about to end or to break.
fn record_last_bytes(t: &mut Tables, id: RequestId, at: Time) {
    if let Some(row) = t.requests.get_mut(id) {
        row.last_bytes = Some(at);
    }
}

/// Records how a dispatch is about to break, and starts a liveness check if its connection closed.
fn handle_breaking(
    t: &mut Tables,
    now: Time,
    id: RequestId,
    at: usize,
    cause: BreakCause,
    out: &mut Vec<Action>,
) {
    if let Some(row) = t.requests.get_mut(id) {
        row.breaking = Some(cause);
    }
    *t.stats.broken.entry(cause).or_default() += 1;
    if is_doubted(t, id) {
        return;
    }
    record_closed_connection(t, now, id, at, cause);
    if let (BreakCause::Closed | BreakCause::Silent, Some(row)) = (cause, t.requests.get(id)) {
        let alive_at = row.last_bytes.or(row.first).unwrap_or(row.dispatched);
        start::record_break(t, now, at, row.dispatched, alive_at);
    }
    if cause == BreakCause::Closed {
        liveness::start_check_on_route(t, now, id, at, out);
    }
}

/// Records that the endpoint, and not a peer on the way, closed a connection before the end of an answer.
fn record_closed_connection(
    t: &mut Tables,
    now: Time,
    id: RequestId,
    at: usize,
    cause: BreakCause,
) {
    let Some(row) = t.requests.get(id) else {
        return;
    };
    // An end that was rejected has been counted with what it was rejected for.
    let is_proven = row.completion_proof == CompletionProof::Proven;
    // Before its head an answer may be reset for want of room alone.
    let has_begun = row.last_bytes.is_some() || matches!(row.phase, Phase::Running(_));
    if cause == BreakCause::Closed && is_proven && has_begun && !row.passed_on {
        t.endpoints.get_mut(at).last_break = Some(now);
    }
}

/// Handles a broken dispatch: retries the request elsewhere if permitted, otherwise ends it.
fn handle_broken(
    t: &mut Tables,
    now: Time,
    id: RequestId,
    at: usize,
    delivered: u32,
    out: &mut Vec<Action>,
) {
    lifecycle::count_waste(t, id, WasteCause::EndpointLost);
    rollout::record_lost(t, id, at);
    let is_doubted = is_doubted(t, id);
    if !is_doubted && !is_backing_off(t, now, id, at) {
        health::record_broken_dispatch(t, now, at);
    }
    // Decided by the exits recorded before this one: a single exit is no reason to give up on a
    // caller.
    let may_retry_now = may_retry(t, id, at);
    let is_paid = is_paid(t, id);
    suspect::record_broken_run(t, now, id, at, out);
    if t.settings.coordinates {
        lifecycle::finish(t, now, id, Outcome::Unknown);
        return;
    }
    if may_retry_now {
        if !is_paid {
            spend_retry(t, id);
        }
        t.stats.retries += 1;
        if let Some(row) = t.requests.get_mut(id) {
            row.ran_before = true;
            row.delivered = row.delivered.max(delivered);
        }
        lifecycle::set_phase(t, id, Phase::Held, true);
        return;
    }
    let retry_after = None;
    let reason = Reason::EndpointLost;
    let verdict = Verdict {
        outcome: Outcome::Unknown,
        reason,
        retry_after,
    };
    lifecycle::finish_with_verdict(t, now, id, verdict, out);
}

/// Takes the retry of a request from its pool's budget.
pub(super) fn spend_retry(t: &mut Tables, id: RequestId) {
    let most = t.max_retry_credit();
    if let Some(row) = t.requests.get(id) {
        t.retry_budgets.spend(row.pool_key(), most);
    }
}

/// Returns whether the end of a request's answer was rejected without a sign against its endpoint.
fn is_doubted(t: &Tables, id: RequestId) -> bool {
    let row = t.requests.get(id);
    row.is_some_and(|row| matches!(row.completion_proof, CompletionProof::Doubted { .. }))
}

/// Returns whether the next run of a request has been paid for.
fn is_paid(t: &Tables, id: RequestId) -> bool {
    let row = t.requests.get(id);
    row.is_some_and(|row| row.completion_proof == CompletionProof::Doubted { paid: true })
}

/// Returns whether the endpoint currently asks the request's instance to back off. A dispatch that
/// breaks during a back-off does not count as a failure of the endpoint, and ejecting it would save
/// nothing.
fn is_backing_off(t: &Tables, now: Time, id: RequestId, at: usize) -> bool {
    let Some(row) = t.requests.get(id) else {
        return false;
    };
    let e = t.endpoints.get(at);
    e.notices.backoff(&row.new.member, now).is_some()
}

/// Returns whether a broken request may run on a second endpoint.
pub(super) fn may_retry(t: &Tables, id: RequestId, at: usize) -> bool {
    let Some(row) = t.requests.get(id) else {
        return false;
    };
    let service = &t.services.get(row.service).declared;
    let attempts = service.attempts as usize;
    let attempts_left = attempts == 0 || row.runs < attempts;
    let suspect_permits = suspect::may_repeat(t, row);
    service.repeatable
        && has_retry_budget(t, row)
        && attempts_left
        && suspect_permits
        && (!row.head_sent() || is_resumable(t, row, at))
}

/// Returns whether the caller of a broken stream may ask for the rest itself, as a request of its own with attempts, a
/// deadline and a retry budget of its own.
pub(super) fn caller_may_resume(t: &Tables, id: RequestId, at: usize) -> bool {
    let Some(row) = t.requests.get(id) else {
        return false;
    };
    let is_streamed = t.services.get(row.service).declared.streamed;
    is_streamed && is_resumable(t, row, at)
}

/// Returns whether the retry budget admits another run of a request.
fn has_retry_budget(t: &Tables, row: &RequestRow) -> bool {
    let is_paid = row.completion_proof == CompletionProof::Doubted { paid: true };
    is_paid || t.retry_budgets.allow(row.pool_key(), t.max_retry_credit())
}

/// Returns whether an answer of which the caller has a part can be resumed: streams by the IDs of their events, where
/// their service permits it, and all other answers by engines alone.
fn is_resumable(t: &Tables, row: &RequestRow, at: usize) -> bool {
    let service = &t.services.get(row.service).declared;
    let permitted = if service.streamed {
        service.resumable
    } else {
        t.endpoints.get(at).is_engine()
    };
    t.settings.mechanisms.resume && permitted && row.delivered_part != DeliveredPart::Unresumable
}
