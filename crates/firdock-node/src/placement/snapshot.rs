//! Builds the entries of a member's reports from the rows of its own scheduler.

use std::collections::BTreeSet;

use firdock_core::StartId;
use firdock_policy::event::DispatchUpdate;
use firdock_policy::notice::Notice;
use firdock_policy::request::{Phase, PlacementState, RequestRow};
use firdock_policy::table::Tables;
use firdock_policy::table::endpoint::EndpointRow;
use firdock_policy::{NewRequest, Time};

use super::report::{EndpointNotice, PlacementRequest, Progress};

/// Returns the number of the assignment that a held request waits for.
pub fn next_attempt(row: &RequestRow) -> u32 {
    row.dispatch + 1
}

/// Maps a dispatch update to the progress of its request, or `None` if it need not be reported.
pub fn progress(row: &RequestRow, update: DispatchUpdate) -> Option<Progress> {
    Some(match update {
        DispatchUpdate::Started { .. }
        | DispatchUpdate::ConnectFailed(_)
        | DispatchUpdate::PassedOn
        | DispatchUpdate::Failed
        | DispatchUpdate::FailureKept
        | DispatchUpdate::Unproven
        | DispatchUpdate::Unresumable
        | DispatchUpdate::LastBytes(_)
        | DispatchUpdate::Breaking(_) => return None,
        DispatchUpdate::Tokens { .. } if row.first.is_some() => return None,
        DispatchUpdate::Tokens { .. } => Progress::FirstToken,
        DispatchUpdate::Ended { prompt, output, .. } => Progress::Ended { prompt, output },
        DispatchUpdate::Broke { .. } => Progress::Broke,
        DispatchUpdate::Refused { unreachable: false } => Progress::Refused,
        DispatchUpdate::Refused { unreachable: true } => Progress::Unreachable,
        DispatchUpdate::Lapsed | DispatchUpdate::Withheld | DispatchUpdate::NotPassedOn => {
            Progress::Dropped
        }
    })
}

/// Returns the engine that a request is dispatched to, if any.
pub fn engine_of<'a>(t: &'a Tables, row: &RequestRow) -> Option<&'a EndpointRow> {
    let (Phase::Dispatching(at) | Phase::Running(at)) = row.phase else {
        return None;
    };
    Some(t.endpoints.get(at)).filter(|e| e.is_engine())
}

/// Whether a request waits for the coordinator to assign it.
pub fn awaits_assignment(row: &RequestRow) -> bool {
    row.phase == Phase::Held && row.placement == PlacementState::Requested
}

/// Returns a request that runs on an engine together with that engine, or `None` for all others.
pub fn running_request(
    now: Time,
    t: &Tables,
    row: &RequestRow,
) -> Option<(PlacementRequest, StartId)> {
    let engine = engine_of(t, row)?;
    Some((
        placement_request(now, t, row, row.dispatch),
        engine.start_id.clone(),
    ))
}

/// Builds the placement request of a row. Times are given relative to `now`.
///
/// The content ID is included only for suspects, requests during which an endpoint exited, of which
/// one attempt may run at a time.
pub fn placement_request(
    now: Time,
    t: &Tables,
    row: &RequestRow,
    attempt: u32,
) -> PlacementRequest {
    let new = &row.new;
    PlacementRequest {
        new_request: NewRequest {
            id: new.id,
            service: new.service.clone(),
            account: new.account.clone(),
            prompt_tokens: new.prompt_tokens.saturating_add(row.delivered),
            output_tokens: new.output_tokens,
            draw: new.draw,
            age: now.saturating_sub(row.arrived),
            tried: avoided(row),
            content: new
                .content
                .clone()
                .filter(|c| t.suspects.get(c.id).is_some()),
            stream_origin: row.stream_origin.clone(),
            ..NewRequest::default()
        },
        attempt,
        remaining: row.deadline.map(|by| by.saturating_sub(now)),
    }
}

/// Returns all engine notices received by this instance that are still in force.
pub fn endpoint_notices(now: Time, t: &Tables) -> Vec<EndpointNotice> {
    let engines = t.endpoints.iter().filter(|(_, e)| e.is_engine());
    engines
        .filter_map(|(_, e)| endpoint_notice(now, e))
        .collect()
}

/// Returns the notices of one engine that are still in force, if any.
pub fn endpoint_notice(now: Time, e: &EndpointRow) -> Option<EndpointNotice> {
    let backoff = e.notices.backoff("", now);
    let notice = Notice {
        leaving: e.notices.leaving_since().is_some(),
        backoff: backoff.map(|b| b.until.saturating_sub(now)),
        ..Notice::default()
    };
    (!notice.is_empty()).then(|| EndpointNotice {
        endpoint: e.start_id.clone(),
        notice,
    })
}

/// Returns the engine processes that a request must avoid, without duplicates.
fn avoided(row: &RequestRow) -> Vec<StartId> {
    let all: BTreeSet<&StartId> = row.tried.iter().chain(&row.declined).collect();
    all.into_iter().cloned().collect()
}
