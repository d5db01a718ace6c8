//! Endpoints that restart under the same name (`docs/design/restarts.md`).
//!
//! Every start has its own row. The row of an earlier start keeps the requests that were sent there
//! until they end, so that late updates on them do not affect the later start, which knows nothing
//! of them.

use firdock_core::resource::Endpoint;
use firdock_core::{RequestId, StartId};

use super::start::{BREAK_SPREAD, CLOCK_TOLERANCE};
use super::{suspect, watch};
use crate::action::Action;
use crate::request::{Build, Phase, RequestRow};
use crate::table::Tables;
use crate::table::endpoint::{Unconfirmed, Watch};
use crate::table::start_history::{KnownStart, ReplacedStart};
use crate::time::Time;

/// What the row of a new start takes over from the one before.
#[derive(Debug, Clone, Copy)]
pub struct Inherited {
    /// Breaks that were seen after the new start had begun. Its entry may be older than they are, so that it may be over as
    /// well.
    pub later_breaks: Option<Unconfirmed>,
    /// Connections by which the endpoint is watched.
    pub watch: Watch,
    /// When it last closed all of them.
    pub watch_closed: Option<Time>,
}

/// Detaches the row of an earlier start with the name of a declared endpoint.
///
/// Requests sent to the earlier start before this one began were lost with it. Those sent later
/// reached the new start, of which this instance did not know yet, and end there.
///
/// Returns what the new start takes over.
pub fn detach_previous_start(
    t: &mut Tables,
    now: Time,
    declared: &Endpoint,
    out: &mut Vec<Action>,
) -> Option<Inherited> {
    let at = t.endpoints.find(&declared.name)?;
    if !t.endpoints.get(at).is_other_start(declared) {
        return None;
    }
    let inherited = Inherited {
        later_breaks: breaks_after_start(t, at, declared),
        watch: watch::carry_over(t, t.endpoints.get(at), declared),
        watch_closed: t.endpoints.get(at).watch_closed,
    };
    record_start(t, now, at, declared);
    t.endpoints.detach(&declared.name);
    t.endpoints.get_mut(at).mark_replaced();
    t.stats.restarts += 1;
    let start = t.endpoints.get(at).start_id.clone();
    suspect::record_exit(t, now, &start, out);
    let began = earliest_start_time(t, declared);
    for (id, sent, dispatch) in dispatches_at(t, at) {
        if began.is_none_or(|began| sent < began) {
            t.stats.lost_by_restart += 1;
            out.push(Action::GiveUpDispatch { id, dispatch });
        } else {
            record_tried_start(t, id, declared.start_id());
        }
    }
    Some(inherited)
}

/// Returns the breaks that were seen at an earlier start after the declared one had begun.
fn breaks_after_start(t: &Tables, at: usize, declared: &Endpoint) -> Option<Unconfirmed> {
    let began = start_time(t, declared)?;
    let seen_by = began + CLOCK_TOLERANCE + BREAK_SPREAD;
    let unconfirmed = t.endpoints.get(at).unconfirmed?;
    (seen_by < unconfirmed.last_break).then_some(Unconfirmed {
        since: unconfirmed.since.max(began),
        shown_by: None,
        ..unconfirmed
    })
}

/// Keeps what the earlier start ran, for the streams that began there.
fn record_start(t: &mut Tables, now: Time, at: usize, declared: &Endpoint) {
    let next = KnownStart {
        start: declared.start_id(),
        build: Build::of(declared),
        began: start_time(t, declared),
        started: declared.started,
    };
    let e = t.endpoints.get(at);
    let replaced = ReplacedStart {
        start: e.start_id.clone(),
        build: Build::of(&e.declared),
        unconfirmed: e.unconfirmed,
        confirmed_at: e.confirmed_at,
        next,
        replaced_at: now,
    };
    t.starts.add(now, &declared.name, replaced);
}

/// Records that a request was sent to a start, so that it is not sent there again.
fn record_tried_start(t: &mut Tables, id: RequestId, start: StartId) {
    let row = t.requests.get_mut(id);
    if let Some(row) = row.filter(|r| !r.tried.contains(&start)) {
        row.tried.push(start);
    }
}

/// Returns when a start of an endpoint began, by this process's clock.
pub fn start_time(t: &Tables, declared: &Endpoint) -> Option<Time> {
    let unix_epoch = t.settings.unix_zero?;
    declared.started.map(|at| at.saturating_sub(unix_epoch))
}

/// Returns the earliest time by this process's clock at which a start of an endpoint may have begun.
///
/// If the clock stood still since the process began, the Unix time at its zero has grown by that time: what was sent after
/// it has a smaller time than [`start_time`] reckons with.
fn earliest_start_time(t: &Tables, declared: &Endpoint) -> Option<Time> {
    let unix_zero = t.settings.unix_zero?;
    let latest_zero = t.unix_zero.map_or(unix_zero, |read| read.max(unix_zero));
    declared.started.map(|at| at.saturating_sub(latest_zero))
}

/// Returns the requests at an endpoint, with the time and number of their dispatch.
fn dispatches_at(t: &Tables, at: usize) -> Vec<(RequestId, Time, u32)> {
    let here =
        |r: &&RequestRow| matches!(r.phase, Phase::Dispatching(e) | Phase::Running(e) if e == at);
    let rows = t.requests.iter().filter(here);
    rows.map(|r| (r.new.id, r.dispatched, r.dispatch)).collect()
}
