//! Answers without a length or chunks: whether the close of their connection was meant as their end
//! (`docs/design/endings.md`).
//!
//! A process that is killed closes all of its connections in order, so that an answer which it broke off between two
//! events ends like a complete one. The end of such an answer waits until it is known whether the process lived on. An
//! answer whose process ended is continued elsewhere if it may be, and is broken off otherwise.

use std::time::Duration;

use firdock_core::RequestId;

use super::start::{BREAK_SPREAD, CLOCK_TOLERANCE};
use super::{dispatch_updates, liveness, route};
use crate::action::Action;
use crate::event::{EndEvidence, EndVerdict, Liveness};
use crate::request::{CompletionProof, Phase, RequestRow};
use crate::table::Tables;
use crate::table::request::Requests;
use crate::table::start_history::KnownStart;
use crate::table::unproven_ends::UnprovenEnd;
use crate::time::Time;

/// Longest time for which the end of an answer waits. It is longer than a liveness check within a region takes, and
/// than a throttled instance pauses; callers allow longer pauses between events.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// Time within which all connections to a process that ended are seen to close.
const CLOSE_SPREAD: Duration = Duration::from_millis(50);

/// Time before its deadline at which a request is asked for nowhere else, and its answer is passed on if nothing speaks
/// against it: an answer that is there is not to be cut for want of a verdict, unless its caller may ask for the rest.
const MIN_TIME_LEFT: Duration = Duration::from_millis(50);

/// Number of other answers that have to end together with one that may run once, at an endpoint that had stopped
/// listening or does so, to show that it was killed: the last answers of a planned stop may come two at a time.
const MIN_OTHERS_RUN_ONCE: usize = 2;

/// Records that the answer of a dispatch ended with its connection, and starts a liveness check of the endpoint.
pub fn record(t: &mut Tables, now: Time, id: RequestId, at: usize, out: &mut Vec<Action>) {
    let Some(row) = t.requests.get_mut(id) else {
        return;
    };
    row.completion_proof = CompletionProof::Unproven;
    let (dispatch, passed_on) = (row.dispatch, row.passed_on);
    if t.settings.coordinates {
        // Its member judges the end.
        return;
    }
    t.unproven_ends.add(UnprovenEnd {
        id,
        dispatch,
        dispatched_row: at,
        serving_row: at,
        passed_on,
        closed_at: now,
        is_refused: false,
        reached_by_peer: false,
        closed_checks: false,
        liveness: None,
    });
    follow_restart(t, id);
    start_check(t, now, id, out);
}

/// Looks for the start of the endpoint that gave an answer. Returns whether it is another one than was known.
fn follow_restart(t: &mut Tables, id: RequestId) -> bool {
    let Some(end) = t.unproven_ends.get(id) else {
        return false;
    };
    let server = serving_start(t, end).map_or(end.serving_row, |start| start.row);
    let is_other = server != end.serving_row;
    t.unproven_ends.set_server(id, server);
    is_other
}

/// Starts a liveness check of the start that gave an answer, on the way by which the answer came.
///
/// A start that another one has replaced is not checked: the end is judged by its replacement.
fn start_check(t: &mut Tables, now: Time, id: RequestId, out: &mut Vec<Action>) {
    let Some(end) = t.unproven_ends.get(id) else {
        return;
    };
    let Some(server) = serving_start(t, end) else {
        return;
    };
    if !end.is_refused {
        liveness::start_check_on_route(t, now, id, server.row, out);
        return;
    }
    let peer = t.requests.get(id).and_then(|row| row.route.peer().cloned());
    if let Some(peer) = peer {
        liveness::start_peer_check(t, now, server.row, (id, peer), out);
    }
}

/// Asks a peer whether an endpoint refuses connections, where ends of answers hang on it: the own link may be cut, while the
/// connections that exist live on. Returns whether a peer is asked, or has reached the endpoint.
pub(super) fn confirm_refusal(t: &mut Tables, now: Time, at: usize, out: &mut Vec<Action>) -> bool {
    if t.unproven_ends.awaits_own_link(at) {
        t.unproven_ends.record_cut_link(at);
        return true;
    }
    let is_own = |end: &&UnprovenEnd| end.serving_row == at && !end.passed_on;
    let waiting = t.unproven_ends.iter().find(is_own).map(|end| end.id);
    let Some(id) = waiting else {
        return false;
    };
    let peer = t.requests.get(id).and_then(|row| row.route.peer().cloned());
    let Some(peer) = peer.filter(|peer| route::may_pass_on(t, now, peer, at)) else {
        return false;
    };
    t.unproven_ends.record_refusal(at);
    liveness::start_peer_check(t, now, at, (id, peer), out);
    true
}

/// The start of an endpoint that gave an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ServingStart {
    row: usize,
    /// Whether the clocks tell it from the start before it.
    is_certain: bool,
}

/// Returns the start that gave an answer; `None` if another start has replaced it.
///
/// A request that was sent after a start began, and before its entry was read, is in the row of the start before it.
fn serving_start(t: &Tables, end: &UnprovenEnd) -> Option<ServingStart> {
    let e = t.endpoints.get(end.dispatched_row);
    if !e.is_replaced() {
        return Some(ServingStart {
            row: end.dispatched_row,
            is_certain: true,
        });
    }
    let next = &t.starts.find(&e.declared.name, &e.start_id)?.next;
    let order = order_to_next(t, t.requests.get(end.id)?, next);
    let row = t.endpoints.find_start(&next.start)?;
    (order != StartOrder::Before).then_some(ServingStart {
        row,
        is_certain: order == StartOrder::After,
    })
}

/// Whether a request was sent before or after the next start of its endpoint began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StartOrder {
    Before,
    /// After it, unless the clocks differ by more than the times do.
    ProbablyAfter,
    After,
}

/// Returns whether a request was sent before or after the next start of its endpoint began, in Unix time.
///
/// If this process's clock and the time of day have gone apart since the request was sent, either may have been right. Within that
/// and [`CLOCK_TOLERANCE`], bytes that arrived after that start had begun are its own: the process before had ended.
fn order_to_next(t: &Tables, row: &RequestRow, next: &KnownStart) -> StartOrder {
    let zeros = row.unix_zero.zip(t.latest_zero());
    let (Some((zero, latest)), Some(started)) = (zeros, next.started) else {
        return StartOrder::Before;
    };
    let (least, greatest) = (zero.min(latest), zero.max(latest));
    if greatest + row.dispatched + CLOCK_TOLERANCE < started {
        return StartOrder::Before;
    }
    let sent_after = started + CLOCK_TOLERANCE <= least + row.dispatched;
    let last_bytes = row.last_bytes.unwrap_or(row.dispatched);
    let went_on = started + CLOCK_TOLERANCE + BREAK_SPREAD <= least + last_bytes;
    if sent_after || went_on {
        StartOrder::After
    } else if started <= zero + row.dispatched {
        StartOrder::ProbablyAfter
    } else {
        StartOrder::Before
    }
}

/// Judges the ends for which there is enough evidence, or which have waited for long enough.
pub fn run(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    if t.unproven_ends.is_empty() {
        return;
    }
    let requests = &t.requests;
    t.unproven_ends.retain(|end| is_open(requests, end));
    start_missing_checks(t, now, out);
    // All are judged before any is removed: answers that ended together are evidence of each other.
    let ends = t.unproven_ends.iter();
    let judged = ends.filter_map(|end| Some((*end, judge(t, now, end)?)));
    let judged: Vec<(UnprovenEnd, EndVerdict)> = judged.collect();
    for (end, verdict) in judged {
        t.unproven_ends.remove(end.id);
        let verdict = reserve_retry(t, now, &end, verdict);
        conclude(t, &end, verdict, out);
    }
}

/// Checks the later starts that gave answers of which it was not known yet, and those that are reached through a peer and
/// were checked before the answer ended.
fn start_missing_checks(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    let ends = t.unproven_ends.iter();
    let is_unchecked = |end: &UnprovenEnd| {
        (end.passed_on || end.is_refused) && !end.reached_by_peer && end.liveness.is_none()
    };
    let ends: Vec<_> = ends.map(|end| (end.id, is_unchecked(end))).collect();
    for (id, is_unchecked) in ends {
        if follow_restart(t, id) || is_unchecked {
            start_check(t, now, id, out);
        }
    }
}

/// Repeats the checks that found nothing: a process that is about to end may close each connection at once.
pub fn repeat_checks(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    let ends = t.unproven_ends.iter();
    let unknown = ends.filter(|end| end.liveness.is_some_and(Liveness::is_nothing));
    let unknown: Vec<RequestId> = unknown.map(|end| end.id).collect();
    for id in unknown {
        start_check(t, now, id, out);
    }
}

/// Returns whether the dispatch still waits for a verdict.
fn is_open(requests: &Requests, end: &UnprovenEnd) -> bool {
    let row = requests.get(end.id);
    row.is_some_and(|row| row.dispatch == end.dispatch && is_at(row, end.dispatched_row))
}

fn is_at(row: &RequestRow, endpoint: usize) -> bool {
    [Phase::Dispatching(endpoint), Phase::Running(endpoint)].contains(&row.phase)
}

/// Spends the retry of an answer that is rejected without a sign. If the budget has none left, the end counts, unless the
/// caller may ask for the rest.
fn reserve_retry(t: &mut Tables, now: Time, end: &UnprovenEnd, verdict: EndVerdict) -> EndVerdict {
    if verdict.accepted || verdict.evidence.is_sign() {
        return verdict;
    }
    if !may_go_on(t, now, end) {
        return EndVerdict::accepted(verdict.evidence);
    }
    let paid = may_send_again(t, now, end);
    if paid {
        dispatch_updates::spend_retry(t, end.id);
    }
    if let Some(row) = t.requests.get_mut(end.id) {
        row.completion_proof = CompletionProof::Doubted { paid };
    }
    verdict
}

fn conclude(t: &mut Tables, end: &UnprovenEnd, verdict: EndVerdict, out: &mut Vec<Action>) {
    if verdict.accepted
        && verdict.evidence.shows_life()
        && let Some(row) = t.requests.get_mut(end.id)
    {
        row.completion_proof = CompletionProof::Outlived;
    }
    *t.stats.unproven_ends.entry(verdict).or_default() += 1;
    out.push(Action::JudgeEnd {
        id: end.id,
        dispatch: end.dispatch,
        verdict,
    });
}

/// Returns the verdict on an end; `None` while more evidence may come.
fn judge(t: &Tables, now: Time, end: &UnprovenEnd) -> Option<EndVerdict> {
    let wait_expired = end.closed_at + MAX_WAIT <= now || !has_time_left(t, now, end.id);
    let may_resume = may_go_on(t, now, end);
    let Some(server) = serving_start(t, end) else {
        return Some(EndVerdict::rejected(EndEvidence::Restarted));
    };
    if may_resume && !server.is_certain {
        return Some(EndVerdict::rejected(EndEvidence::Ambiguous));
    }
    let end = &with_own_refusal(*end, wait_expired);
    if let Some(evidence) = sign_of_exit(t, now, end, may_resume) {
        if !others_go_on(t, end) {
            return Some(EndVerdict::rejected(evidence));
        }
        return wait_expired.then(|| EndVerdict::accepted(EndEvidence::OthersGoOn));
    }
    if let Some(evidence) = lack_of_evidence(t, end) {
        if others_go_on(t, end) {
            return wait_expired.then(|| EndVerdict::accepted(EndEvidence::OthersGoOn));
        }
        // A check may still find something, unless the endpoint accepted its connection.
        let was_accepted = [EndEvidence::SeenLate, EndEvidence::Ambiguous].contains(&evidence);
        let is_final = wait_expired || was_accepted;
        return is_final.then(|| verdict_without_sign(evidence, may_resume));
    }
    if end.liveness == Some(Liveness::Ended) {
        return Some(EndVerdict::accepted(EndEvidence::StoppedListening));
    }
    if others_are_unchecked(t, end) && !wait_expired {
        return None;
    }
    if may_resume && may_have_exited(t, end) && !others_go_on(t, end) {
        return Some(EndVerdict::rejected(EndEvidence::OthersBroke));
    }
    Some(EndVerdict::accepted(EndEvidence::Open))
}

/// Returns why nothing is known of the process, if so.
fn lack_of_evidence(t: &Tables, end: &UnprovenEnd) -> Option<EndEvidence> {
    if is_ambiguous(end) {
        return Some(EndEvidence::Ambiguous);
    }
    match end.liveness {
        Some(Liveness::Open) => is_seen_late(t, end).then_some(EndEvidence::SeenLate),
        Some(Liveness::Ended | Liveness::StoppedListening) => None,
        Some(Liveness::Silent | Liveness::ClosesAtOnce) | None => Some(EndEvidence::Silent),
    }
}

/// Returns whether a connection that stays open says nothing: others were refused after it, or closed at once before it.
fn is_ambiguous(end: &UnprovenEnd) -> bool {
    let is_open = end.liveness == Some(Liveness::Open);
    end.liveness == Some(Liveness::StoppedListening) || (is_open && end.closed_checks)
}

/// Returns whether other answers of the endpoint ended at the same time and were not covered by the check of this one: the
/// process may have ended while it accepted the connection.
fn others_are_unchecked(t: &Tables, end: &UnprovenEnd) -> bool {
    let mut others = ends_beside(t, end);
    others.any(|other| other.liveness.is_none())
}

/// Returns whether it is not known, also by what peers reported, that the process of the endpoint outlived the answer.
fn may_have_exited(t: &Tables, end: &UnprovenEnd) -> bool {
    let unconfirmed = t.endpoints.get(end.serving_row).unconfirmed;
    let dispatched = t.requests.get(end.id).map(|row| row.dispatched);
    unconfirmed.zip(dispatched).is_some_and(|(u, dispatched)| {
        dispatched <= u.last_break && end.closed_at <= u.last_break + CLOSE_SPREAD
    })
}

/// Returns an end that is judged by the refusal of the own link if no peer has said more in time, or by what a peer found
/// if the own link has not been checked again.
fn with_own_refusal(end: UnprovenEnd, wait_expired: bool) -> UnprovenEnd {
    let found = if end.reached_by_peer {
        Liveness::Open
    } else {
        Liveness::Ended
    };
    let known = (end.is_refused && wait_expired).then_some(found);
    let liveness = end.liveness.or(known);
    UnprovenEnd { liveness, ..end }
}

/// Returns the verdict where nothing is known of the process: an answer that may be continued is, which proves its end.
fn verdict_without_sign(evidence: EndEvidence, may_resume: bool) -> EndVerdict {
    if may_resume {
        EndVerdict::rejected(evidence)
    } else {
        EndVerdict::accepted(evidence)
    }
}

/// Returns whether the connection may have closed while this instance did not run: another process may listen by now.
fn is_seen_late(t: &Tables, end: &UnprovenEnd) -> bool {
    let returned = t.stalls.runs_since();
    let began_before = |row: &RequestRow| row.dispatched < returned;
    end.closed_at <= returned + MAX_WAIT && t.requests.get(end.id).is_some_and(began_before)
}

/// Returns whether an answer that is rejected may go on: at another endpoint, or because its caller may ask for the rest.
fn may_go_on(t: &Tables, now: Time, end: &UnprovenEnd) -> bool {
    may_send_again(t, now, end)
        || dispatch_updates::caller_may_resume(t, end.id, end.dispatched_row)
}

/// Returns whether this instance may send the request of an answer that is rejected to another endpoint.
fn may_send_again(t: &Tables, now: Time, end: &UnprovenEnd) -> bool {
    has_time_left(t, now, end.id) && dispatch_updates::may_retry(t, end.id, end.dispatched_row)
}

/// Returns whether a request may still be sent elsewhere before its deadline.
fn has_time_left(t: &Tables, now: Time, id: RequestId) -> bool {
    let deadline = t.requests.get(id).and_then(|row| row.deadline);
    deadline.is_none_or(|by| now + MIN_TIME_LEFT < by)
}

/// Returns what shows that the process of an endpoint ended when an answer did. Other answers that go on may contradict it.
fn sign_of_exit(t: &Tables, now: Time, end: &UnprovenEnd, may_resume: bool) -> Option<EndEvidence> {
    let e = t.endpoints.get(end.serving_row);
    let row = t.requests.get(end.id)?;
    let last_break = e.last_break.filter(|at| row.dispatched <= *at);
    if last_break.is_some_and(|at| end.closed_at <= at + CLOSE_SPREAD) {
        return Some(EndEvidence::OthersBroke);
    }
    let last_bytes = row.last_bytes.unwrap_or(row.dispatched);
    let min_others = if may_resume { 1 } else { MIN_OTHERS_RUN_ONCE };
    let ended_together = ends_beside(t, end).count() >= min_others;
    if is_ambiguous(end) {
        return ended_together.then_some(EndEvidence::EndedTogether);
    }
    if end.liveness != Some(Liveness::Ended) {
        // Who listens after a refusal is another process.
        let since = if may_resume {
            row.dispatched
        } else {
            last_bytes
        };
        let refused = e.last_refusal.is_some_and(|at| since <= at);
        let is_other = refused && end.liveness == Some(Liveness::Open) && !end.passed_on;
        return is_other.then_some(EndEvidence::Refused);
    }
    let stopped_before = e
        .refuses_since
        .is_some_and(|since| since + CLOSE_SPREAD <= last_bytes);
    if stopped_before {
        return ended_together.then_some(EndEvidence::EndedTogether);
    }
    // An endpoint that leaves stops listening at some time, and its last answers are complete.
    let is_expected = !may_resume && e.leaving(now);
    (!is_expected).then_some(EndEvidence::Refused)
}

/// Returns whether another answer of an endpoint goes on that was sent before this one ended: all connections to a
/// process end with it.
fn others_go_on(t: &Tables, end: &UnprovenEnd) -> bool {
    let passed_on = t.requests.get(end.id).is_some_and(|row| row.passed_on);
    let goes_on = |row: &RequestRow| {
        let is_connected = match row.phase {
            Phase::Running(at) => at == end.dispatched_row && row.dispatched <= end.closed_at,
            Phase::Dispatching(at) => {
                at == end.dispatched_row && row.dispatched + CLOSE_SPREAD <= end.closed_at
            }
            _ => false,
        };
        is_connected
            && row.passed_on == passed_on
            && row.completion_proof == CompletionProof::Proven
    };
    t.endpoints.get(end.dispatched_row).running > 1 && t.requests.iter().any(goes_on)
}

/// Returns the other ends at an endpoint at the same time.
fn ends_beside<'a>(t: &'a Tables, end: &UnprovenEnd) -> impl Iterator<Item = &'a UnprovenEnd> {
    let (id, closed_at) = (end.id, end.closed_at);
    let others = t.unproven_ends.at(end.dispatched_row);
    others
        .filter(move |other| other.id != id && other.closed_at.abs_diff(closed_at) <= CLOSE_SPREAD)
}
