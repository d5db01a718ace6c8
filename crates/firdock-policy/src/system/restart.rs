//! Endpoints that start again under their names (`docs/design/restarts.md`).
//!
//! A start has a row of its own. The row of the earlier one keeps the requests that were sent there until
//! they end, so that late news of them touch nothing of the later one, which knows nothing of before.

use firdock_core::resource::Endpoint;
use firdock_core::{RequestId, StartId};

use super::suspect;
use crate::action::Action;
use crate::request::{Phase, RequestRow};
use crate::table::Tables;
use crate::time::Time;

/// Makes way for a declared endpoint, if an earlier start of it has its name.
///
/// What was sent to the earlier start before this one began ended with it. What was sent later reached
/// the new one, though this instance did not know of it yet, and ends there.
pub fn detach_previous_start(
    t: &mut Tables,
    now: Time,
    declared: &Endpoint,
    out: &mut Vec<Action>,
) {
    let Some(at) = t.endpoints.find(&declared.name) else {
        return;
    };
    if !t.endpoints.get(at).is_other_start(declared) {
        return;
    }
    t.endpoints.detach(&declared.name);
    t.endpoints.get_mut(at).mark_replaced();
    t.stats.restarts += 1;
    let start = t.endpoints.get(at).start_id.clone();
    suspect::record_exit(t, now, &start, out);
    let began = start_time(t, declared);
    for (id, sent, dispatch) in dispatches_at(t, at) {
        if began.is_none_or(|began| sent < began) {
            t.stats.lost_by_restart += 1;
            out.push(Action::GiveUpDispatch { id, dispatch });
        } else {
            record_tried_start(t, id, declared.start_id());
        }
    }
}

/// Notes that a request was sent to a start, which is not to get it twice.
fn record_tried_start(t: &mut Tables, id: RequestId, start: StartId) {
    let row = t.requests.get_mut(id);
    if let Some(row) = row.filter(|r| !r.tried.contains(&start)) {
        row.tried.push(start);
    }
}

/// Gives when a start of an endpoint began, by the clock of this process.
fn start_time(t: &Tables, declared: &Endpoint) -> Option<Time> {
    let zero = t.settings.unix_zero?;
    declared.started.map(|at| at.saturating_sub(zero))
}

/// Gives the requests that are at an endpoint, when they were sent, and by which dispatch.
fn dispatches_at(t: &Tables, at: usize) -> Vec<(RequestId, Time, u32)> {
    let here =
        |r: &&RequestRow| matches!(r.phase, Phase::Dispatching(e) | Phase::Running(e) if e == at);
    let rows = t.requests.iter().filter(here);
    rows.map(|r| (r.new.id, r.dispatched, r.dispatch)).collect()
}
