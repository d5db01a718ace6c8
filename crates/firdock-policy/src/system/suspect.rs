//! Suspects: requests during which endpoints exited, the exits that count against them, and when
//! they may be sent (`docs/design/suspects.md`).

use std::sync::Arc;
use std::time::Duration;

use firdock_core::{Content, ContentId, Outcome, Reason, RequestId, StartId};

use super::lifecycle;
use crate::action::Action;
use crate::event::BreakCause;
use crate::request::{EndpointFailure, NewRequest, Phase, RequestRow, Verdict};
use crate::suspect::{BEGIN_TIME, BrokenRun, SuspectReport};
use crate::table::Tables;
use crate::table::endpoint::EndpointRow;
use crate::table::suspects::EXITS_TO_QUARANTINE;
use crate::time::Time;

/// Maximum time between the removal of an entry and the `Restarted` update of a run there for the
/// exit to count.
const REPLACEMENT_WINDOW: Duration = Duration::from_secs(1);

/// Whether a request may be sent now, given what is known about its content and its segments.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    /// The request may be sent.
    Open,
    /// Another request with the same content is running, and its endpoint may exit.
    DuplicateRunning,
    /// Too many endpoints exited while running this content, or as they began to answer on a segment
    /// of its prompt.
    Quarantined,
}

/// Decides whether a request may be sent, regardless of who sends it and why.
///
/// A request that crashes its endpoints returns under other ids, at any instance, and every crash
/// takes down all other requests at that endpoint. After three exits in succession the content is
/// quarantined. Before that, only one attempt runs at a time, so that it costs no more than those
/// three endpoints. A segment is not limited before, since other requests that share it are sound.
pub fn gate(t: &Tables, row: &RequestRow) -> Gate {
    if is_quarantined(t, &row.new) {
        return Gate::Quarantined;
    }
    let suspect = row.content_id().and_then(|id| t.suspects.get(id));
    let Some(suspect) = suspect else {
        return Gate::Open;
    };
    let is_suspected = !suspect.counted().is_empty();
    if is_suspected && is_running_elsewhere(t, row, suspect.content.id) {
        Gate::DuplicateRunning
    } else {
        Gate::Open
    }
}

/// Returns whether the content of a request or a segment of its prompt is in quarantine, under
/// whatever request id it arrives.
pub fn is_quarantined(t: &Tables, new: &NewRequest) -> bool {
    !t.suspects.is_empty() && identities(new).any(|id| t.suspects.is_quarantined(id))
}

/// Iterates over the ids of a request's content and segments.
fn identities(new: &NewRequest) -> impl Iterator<Item = ContentId> {
    let all = new.content.iter().chain(&new.segments);
    all.map(|content| content.id)
}

/// Returns whether another request with the same content is being dispatched or is running.
fn is_running_elsewhere(t: &Tables, row: &RequestRow, content: ContentId) -> bool {
    let is_in_flight =
        |r: &RequestRow| matches!(r.phase, Phase::Dispatching(_) | Phase::Running(_));
    let mut others = t.requests.iter().filter(|r| r.new.id != row.new.id);
    others.any(|r| r.content_id() == Some(content) && is_in_flight(r))
}

/// Returns whether firdock itself may retry a request after a broken run. Once an exit counts
/// against the content, the caller decides whether it is worth risking another endpoint. A segment
/// only prevents it if one more exit would put it into quarantine, since a single exit counts against
/// all segments of the requests that the endpoint was to answer.
pub fn may_repeat(t: &Tables, row: &RequestRow) -> bool {
    let exits = |id: ContentId| t.suspects.get(id).map_or(0, |s| s.counted().len());
    let repeated = |segment: &Arc<Content>| exits(segment.id) + 1 >= EXITS_TO_QUARANTINE;
    let is_suspected = row.content_id().is_some_and(|id| exits(id) > 0);
    !is_suspected && !row.new.segments.iter().any(repeated)
}

/// Returns the verdict for a quarantined request: this attempt has not run, and no retry time can
/// be given.
pub fn quarantine_verdict() -> Verdict {
    Verdict {
        outcome: Outcome::NotRun,
        reason: Reason::EndsEndpoints,
        retry_after: None,
    }
}

/// Ends a held request that is quarantined, as `not-run` if it never ran.
pub fn refuse(t: &mut Tables, now: Time, id: RequestId, out: &mut Vec<Action>) {
    let Some(row) = t.requests.get(id) else {
        return;
    };
    let outcome = row.outcome_unanswered();
    let with_outcome = Verdict {
        outcome,
        ..quarantine_verdict()
    };
    lifecycle::finish_with_verdict(t, now, id, with_outcome, out);
}

/// Handles a broken run whose row still exists: if the connection closed early, an exit of the
/// endpoint may count against the request.
pub fn record_broken_run(
    t: &mut Tables,
    now: Time,
    id: RequestId,
    at: usize,
    out: &mut Vec<Action>,
) {
    let row = t.requests.get(id).filter(|_| !t.settings.coordinates);
    let Some((cause, run)) = row.and_then(|row| blamed_run(t, now, row, at)) else {
        return;
    };
    let e = t.endpoints.get(at);
    if e.leaving(now) {
        // The endpoint announced that it would exit.
        return;
    }
    // An endpoint whose entry was removed earlier left in an orderly way; a later start replaces a
    // listed one immediately.
    let was_listed = e.present
        || e.absent_since
            .is_some_and(|gone| gone + REPLACEMENT_WINDOW > now);
    let ended = match cause {
        BreakCause::Closed if e.present => t.endpoint_exits.record_run(now, &run),
        BreakCause::Restarted if was_listed => Some(now),
        _ => None,
    };
    if let Some(at) = ended {
        blame(t, now, &run, at.max(run.sent), out);
    }
}

fn blamed_run(
    t: &Tables,
    now: Time,
    row: &RequestRow,
    at: usize,
) -> Option<(BreakCause, BrokenRun)> {
    let run = BrokenRun {
        start: t.endpoints.get(at).start_id.clone(),
        content: Arc::clone(row.new.content.as_ref()?),
        segments: blamed_segments(now, row),
        account: row.new.account.clone(),
        service: row.new.service.clone(),
        sent: row.dispatched,
        broke: now,
    };
    Some((row.breaking?, run))
}

/// Returns the segments of a prompt on which an endpoint that exits at `now` may have exited: it does
/// so when it begins to answer, so that an answer which is under way says that they are sound.
fn blamed_segments(now: Time, row: &RequestRow) -> Vec<Arc<Content>> {
    if is_under_way(now, row) {
        Vec::new()
    } else {
        row.new.segments.clone()
    }
}

/// Returns whether an answer began long enough ago to show that its endpoint did not exit on it.
fn is_under_way(now: Time, row: &RequestRow) -> bool {
    row.first.is_some_and(|first| first + BEGIN_TIME <= now)
}

/// Handles the exit of an endpoint process: it counts against all runs that broke there.
pub fn record_exit(t: &mut Tables, now: Time, start: &StartId, out: &mut Vec<Action>) {
    for run in t.endpoint_exits.record_exit(now, start) {
        blame(t, now, &run, run.broke, out);
    }
}

/// Handles entries that this configuration removes: runs that broke there earlier broke because the
/// endpoint exited, unless it announced that it was leaving. Later breaks do not count, because an
/// endpoint may leave this way.
pub fn record_removed_entries(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    if !t.endpoint_exits.has_runs() {
        return;
    }
    let gone = |e: &EndpointRow| !e.present && e.absent_since == Some(now) && !e.is_replaced();
    let rows = t.endpoints.iter().filter(|(_, e)| gone(e));
    let gone: Vec<(StartId, bool)> = rows
        .map(|(_, e)| (e.start_id.clone(), e.leaving(now)))
        .collect();
    for (start, leaving) in gone {
        for run in t.endpoint_exits.remove_runs(&start) {
            if !leaving {
                blame(t, now, &run, run.broke, out);
            }
        }
    }
}

/// Handles an endpoint whose address accepts connections: runs that broke there before the check
/// started broke for another reason. Exits already recorded remain, because the address may now
/// belong to a later start.
pub fn record_open_address(t: &mut Tables, start: &StartId, began: Time) {
    t.endpoint_exits.drop_runs_until(start, began);
}

/// Handles a complete answer: the endpoint that ran the request is alive, so all exits recorded
/// against the content are void.
pub fn record_answer(t: &mut Tables, now: Time, content: ContentId) {
    t.suspects.clear(now, content, now);
}

/// Handles a part of an answer: once it is under way, the segments of its prompt are sound, so that
/// the exits that were recorded against them before it began are void.
pub fn record_progress(t: &mut Tables, now: Time, id: RequestId) {
    let row = t.requests.get(id).filter(|row| !row.cleared_segments);
    if row.is_some_and(|row| is_under_way(now, row)) {
        record_segments(t, now, id);
    }
}

/// Handles an answer that has ended, as [`record_progress`] does. Must be called before the request's
/// row is removed.
pub fn record_end(t: &mut Tables, now: Time, id: RequestId) {
    if t.requests.get(id).is_some_and(|row| !row.cleared_segments) {
        record_segments(t, now, id);
    }
}

fn record_segments(t: &mut Tables, now: Time, id: RequestId) {
    let Some(row) = t.requests.get_mut(id) else {
        return;
    };
    row.cleared_segments = true;
    // An endpoint may fail a request without having begun to answer on its prompt.
    let began = row.first.filter(|_| row.failure == EndpointFailure::None);
    if let Some(began) = began {
        let (account, segments) = (&row.new.account, &row.new.segments);
        t.suspects.record_answer(now, account, segments, began);
    }
}

/// Releases content from quarantine on behalf of an operator; exits up to `until` are void.
pub fn release(t: &mut Tables, now: Time, content: ContentId, until: Time) {
    t.suspects.release(now, content, until);
}

/// Merges suspects reported by other instances.
pub fn merge_reports(
    t: &mut Tables,
    now: Time,
    reports: Vec<SuspectReport>,
    out: &mut Vec<Action>,
) {
    // Applied together: of segments that share their exits, only some are held.
    let mut changed = Vec::new();
    for report in reports {
        let id = report.content.id;
        if t.suspects.merge_report(now, report) {
            changed.push(id);
        }
    }
    enforce_quarantines(t, now, changed, out);
}

fn blame(t: &mut Tables, now: Time, run: &BrokenRun, at: Time, out: &mut Vec<Action>) {
    t.stats.blamed += 1;
    let changed = t.suspects.record_exit(now, run, at);
    enforce_quarantines(t, now, changed, out);
}

/// Enforces the quarantine of suspects that changed, and of those that entered it with them.
fn enforce_quarantines(
    t: &mut Tables,
    now: Time,
    mut changed: Vec<ContentId>,
    out: &mut Vec<Action>,
) {
    changed.extend(t.suspects.take_entered());
    changed.sort_unstable();
    changed.dedup();
    for id in changed {
        enforce_quarantine(t, now, id, out);
    }
}

/// Enforces a quarantine: dispatches that have not been written yet are withheld, and held requests
/// are refused. Running requests continue; a complete answer clears the content.
fn enforce_quarantine(t: &mut Tables, now: Time, content: ContentId, out: &mut Vec<Action>) {
    // Members of a coordinator end their own requests.
    if t.settings.coordinates || !t.suspects.is_quarantined(content) {
        return;
    }
    let same = t
        .requests
        .iter()
        .filter(|r| identities(&r.new).any(|id| id == content));
    let mut held = Vec::new();
    for row in same {
        match row.phase {
            Phase::Held => held.push(row.new.id),
            Phase::Dispatching(_) => out.push(Action::Withhold {
                id: row.new.id,
                dispatch: row.dispatch,
            }),
            Phase::Running(_) | Phase::HandedOver(_) => {}
        }
    }
    for id in held {
        refuse(t, now, id, out);
    }
    let report = t.suspects.get(content).map(|s| s.report(now));
    out.extend(report.map(Action::Quarantine));
}
