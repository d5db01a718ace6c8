//! Requests under which endpoints end: what is held against them, and what may be sent of them
//! (`docs/design/suspects.md`).

use std::sync::Arc;
use std::time::Duration;

use firdock_core::{ContentId, Outcome, Reason, RequestId, StartId};

use super::lifecycle;
use crate::action::Action;
use crate::event::BreakCause;
use crate::request::{Phase, RequestRow, Verdict};
use crate::suspect::{BrokenRun, SuspectReport};
use crate::table::Tables;
use crate::table::endpoint::EndpointRow;
use crate::time::Time;

/// Time within which a run hears that a later start has taken its endpoint's place.
const REPLACEMENT_WINDOW: Duration = Duration::from_secs(1);

/// Whether a request may be sent now, by what is known of its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    /// It may.
    Open,
    /// Another try of it runs, under which the endpoint may end.
    DuplicateRunning,
    /// It has ended too many endpoints.
    Quarantined,
}

/// Decides whether a request may be sent, whoever would send it for whatever reason.
///
/// A request that ends its endpoints comes again under other ids, at any instance, and takes with each
/// endpoint all that runs there beside it. Nothing of it is sent any more once three ended one after the
/// other; before that one try runs at a time, so that it costs no more than these.
pub fn gate(t: &Tables, row: &RequestRow) -> Gate {
    let suspect = row.content_id().and_then(|id| t.suspects.get(id));
    let Some(suspect) = suspect else {
        return Gate::Open;
    };
    if suspect.quarantined_since().is_some() {
        return Gate::Quarantined;
    }
    let is_suspected = !suspect.counted().is_empty();
    if is_suspected && is_running_elsewhere(t, row, suspect.content.id) {
        Gate::DuplicateRunning
    } else {
        Gate::Open
    }
}

/// Tells whether another request with the same content is on its way or runs.
fn is_running_elsewhere(t: &Tables, row: &RequestRow, content: ContentId) -> bool {
    let is_in_flight =
        |r: &RequestRow| matches!(r.phase, Phase::Dispatching(_) | Phase::Running(_));
    let mut others = t.requests.iter().filter(|r| r.new.id != row.new.id);
    others.any(|r| r.content_id() == Some(content) && is_in_flight(r))
}

/// Tells whether a request of which a run broke may be tried once more by ourselves: not while an end
/// is held against it, since its caller knows better whether it is worth another endpoint.
pub fn may_repeat(t: &Tables, row: &RequestRow) -> bool {
    let suspect = row.content_id().and_then(|id| t.suspects.get(id));
    suspect.is_none_or(|s| s.counted().is_empty())
}

/// The final answer to a request in quarantine: this try has not run, and no time is known after which
/// another one would.
pub fn verdict() -> Verdict {
    Verdict {
        outcome: Outcome::NotRun,
        reason: Reason::EndsEndpoints,
        retry_after: None,
    }
}

/// Ends a held request that is in quarantine: a try that ran nowhere is told so.
pub fn refuse(t: &mut Tables, now: Time, id: RequestId, out: &mut Vec<Action>) {
    let Some(row) = t.requests.get(id) else {
        return;
    };
    let outcome = row.outcome_unanswered();
    let told = Verdict {
        outcome,
        ..verdict()
    };
    lifecycle::finish_with_verdict(t, now, id, told, out);
}

/// Takes a run that broke, while its row is still there: where its connection ended early, the
/// endpoint's end may be held against it.
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
        // It said before that it would end.
        return;
    }
    // One whose entry went before left in order; a later start takes the place of a listed one at once.
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
        account: row.new.account.clone(),
        service: row.new.service.clone(),
        sent: row.dispatched,
        broke: now,
    };
    Some((row.breaking?, run))
}

/// Takes it that an endpoint's process has ended; all that broke there was on board.
pub fn record_exit(t: &mut Tables, now: Time, start: &StartId, out: &mut Vec<Action>) {
    for run in t.endpoint_exits.record_exit(now, start) {
        blame(t, now, &run, run.broke, out);
    }
}

/// Takes it that entries are gone with this configuration: what broke there before broke with the
/// endpoint's end, unless it said that it leaves. What breaks later does not count, since an endpoint may
/// leave so.
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

/// Takes it that an endpoint's address takes connections: what broke there until the look began broke for
/// another reason. Ends that were seen stand: the address may be another start's by now.
pub fn record_open_address(t: &mut Tables, start: &StartId, began: Time) {
    t.endpoint_exits.drop_runs_until(start, began);
}

/// Takes it that a request was answered whole: the endpoint that ran it lives, so that what was held
/// against it is void.
pub fn record_answer(t: &mut Tables, now: Time, content: ContentId) {
    t.suspects.clear(now, content, now);
}

/// Takes an operator's word that a request may go again, for all that ended until then.
pub fn release(t: &mut Tables, now: Time, content: ContentId, until: Time) {
    t.suspects.release(now, content, until);
}

/// Takes what other instances tell.
pub fn merge_reports(t: &mut Tables, now: Time, told: Vec<SuspectReport>, out: &mut Vec<Action>) {
    for one in told {
        let id = one.content.id;
        if t.suspects.merge_report(now, one) {
            enforce_quarantine(t, now, id, out);
        }
    }
}

fn blame(t: &mut Tables, now: Time, run: &BrokenRun, at: Time, out: &mut Vec<Action>) {
    t.stats.blamed += 1;
    if t.suspects.record_exit(now, run, at) {
        enforce_quarantine(t, now, run.content.id, out);
    }
}

/// Does what follows where a request came into quarantine: what is on its way and not written yet is
/// given back, and what waits is refused. What runs goes on, and speaks for it if it is answered.
fn enforce_quarantine(t: &mut Tables, now: Time, content: ContentId, out: &mut Vec<Action>) {
    // Members of a coordinator end their requests themselves.
    if t.settings.coordinates || !t.suspects.is_quarantined(content) {
        return;
    }
    let same = t
        .requests
        .iter()
        .filter(|r| r.content_id() == Some(content));
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
    let told = t.suspects.get(content).map(|s| s.report(now));
    out.extend(told.map(Action::Quarantine));
}
