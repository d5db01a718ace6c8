//! Requests that continue a stream: which build began it, where no instance knows
//! (`docs/design/stream-versions.md`).

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use firdock_core::{Outcome, PoolId, Reason, RequestId};

use super::{lifecycle, place, rollout, start};
use crate::action::Action;
use crate::request::{Build, NewRequest, Phase, RequestRow, StreamOrigin, Verdict};
use crate::table::Tables;
use crate::table::build_history::ServedBuild;
use crate::time::Time;

/// Longest life of a stream over all attempts of its caller, as a multiple of its service's time limit.
const STREAM_LIFE_FACTOR: u32 = 2;
/// The same for services without a time limit.
const DEFAULT_STREAM_LIFE: Duration = Duration::from_mins(1);
/// Retry time for callers whose stream is not known here: another instance may know it, and what is known reaches
/// all that keep it within a fraction of that time.
const UNKNOWN_RETRY: Duration = Duration::from_millis(300);

/// Longest time for which a request waits for a start of an endpoint to be confirmed: callers give a stream up after two
/// seconds without an event.
const MAX_CONFIRMATION_WAIT: Duration = Duration::from_secs(2);

/// Records the builds that serve at present.
pub fn record_builds(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    let present = t.endpoints.iter().filter(|(_, e)| e.present);
    let present: BTreeSet<Build> = present.map(|(_, e)| Build::of(&e.declared)).collect();
    if t.builds.update(now, &present) {
        publish_builds(t, out);
    }
}

/// Adds the builds that served before this instance started, as other instances recorded them.
pub fn merge_builds(t: &mut Tables, now: Time, recorded: Vec<ServedBuild>, out: &mut Vec<Action>) {
    t.builds.merge(now, recorded);
    publish_builds(t, out);
}

/// Requests a record of the builds, once those from before the start are known: the record replaces the one that lists
/// them.
fn publish_builds(t: &Tables, out: &mut Vec<Action>) {
    if t.settings.records_builds && t.builds.is_complete() {
        out.push(Action::RecordBuilds(t.builds.iter().collect()));
    }
}

/// Sets the build that began a request's stream where it is not known and only one can have.
///
/// # Errors
///
/// Returns the refusal if several builds served within the longest life of a stream, or none did, or if it is not known
/// which ones did.
pub fn resolve(t: &Tables, now: Time, service: usize, new: &mut NewRequest) -> Result<(), Verdict> {
    if let StreamOrigin::Started(stream) = &new.stream_origin
        && let Some(build) = start::build_of(t, stream)
    {
        new.stream_origin = StreamOrigin::Known(Arc::new(build.clone()));
    }
    if new.stream_origin != StreamOrigin::Unknown {
        return Ok(());
    }
    let declared = &t.services.get(service).declared;
    let life = declared.timeout().map(|limit| limit * STREAM_LIFE_FACTOR);
    let since = now.saturating_sub(life.unwrap_or(DEFAULT_STREAM_LIFE));
    let pool = declared.pick_pool(new.draw);
    match only_build_since(t, now, pool, since) {
        Some(build) => {
            new.stream_origin = StreamOrigin::Known(Arc::new(build.clone()));
            Ok(())
        }
        None => Err(unknown_verdict(Outcome::NotRun)),
    }
}

/// Returns the refusal of a request whose stream was begun by a build that is not known.
fn unknown_verdict(outcome: Outcome) -> Verdict {
    Verdict {
        outcome,
        reason: Reason::VersionUnknown,
        retry_after: Some(UNKNOWN_RETRY),
    }
}

/// Tracks a request that is held, if it continues a stream.
pub fn track(t: &mut Tables, id: RequestId) {
    let row = t.requests.get(id);
    if row.is_some_and(|row| !row.stream_origin.is_new()) && !t.settings.coordinates {
        t.continuing.push(id);
    }
}

/// Sets the builds that began streams once they are known. Ends the requests that have waited too long for a start to be
/// confirmed, whether that at which their stream began or those that could continue it.
pub fn run(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    let tracked = std::mem::take(&mut t.continuing);
    for id in tracked {
        if is_held(t, id) && confirm_or_wait(t, now, id, out) {
            t.continuing.push(id);
        }
    }
}

fn is_held(t: &Tables, id: RequestId) -> bool {
    let row = t.requests.get(id);
    row.is_some_and(|row| row.phase == Phase::Held)
}

/// Sets the build that began a held request's stream if it is known now. Returns whether the request goes on.
fn confirm_or_wait(t: &mut Tables, now: Time, id: RequestId, out: &mut Vec<Action>) -> bool {
    let stream = t.requests.get(id).and_then(|row| row.stream_origin.start());
    let build = stream.and_then(|stream| start::build_of(t, stream).cloned());
    if let (Some(build), Some(row)) = (build, t.requests.get_mut(id)) {
        row.stream_origin = StreamOrigin::Known(Arc::new(build));
    }
    let waits = t
        .requests
        .get(id)
        .is_some_and(|row| awaits_confirmation(t, now, row));
    let Some(row) = t.requests.get_mut(id) else {
        return false;
    };
    if !waits {
        row.unconfirmed_since = None;
        return true;
    }
    let since = *row.unconfirmed_since.get_or_insert(now);
    if since + MAX_CONFIRMATION_WAIT > now {
        return true;
    }
    let verdict = unknown_verdict(row.outcome_unanswered());
    lifecycle::finish_with_verdict(t, now, id, verdict, out);
    false
}

/// Returns whether a held request waits for a start to be confirmed.
fn awaits_confirmation(t: &Tables, now: Time, row: &RequestRow) -> bool {
    let Some(build) = row.stream_origin.build() else {
        return true;
    };
    let able = |at: &usize| {
        let e = t.endpoints.get(*at);
        e.present && rollout::continues(t, build, e) && !row.tried.contains(&e.start_id)
    };
    let rows = place::eligible_rows(t, row).filter(able);
    let mut confirmed = rows.map(|at| start::is_confirmed(t, now, at)).peekable();
    confirmed.peek().is_some() && confirmed.all(|is_confirmed| !is_confirmed)
}

/// Returns the build of a pool, or of all pools, that alone served at any time since `since`.
fn only_build_since<'a>(
    t: &'a Tables,
    now: Time,
    pool: Option<&PoolId>,
    since: Time,
) -> Option<&'a Build> {
    if t.settings.records_builds && !t.builds.covers(since) {
        return None;
    }
    let served = t.builds.served_since(since);
    let is_of = |other: &PoolId| pool.is_none_or(|pool| pool == other);
    let mut present = t
        .endpoints
        .iter()
        .filter(|(_, e)| e.present && is_of(&e.declared.pool));
    if present.any(|(at, _)| !start::is_confirmed(t, now, at)) {
        return None;
    }
    let mut in_pool = served.filter(|build| is_of(&build.pool));
    let only = in_pool.next();
    only.filter(|_| in_pool.next().is_none())
}
