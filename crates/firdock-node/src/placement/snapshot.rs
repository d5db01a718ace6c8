//! What a member tells of its requests, from the rows of its own scheduler.

use std::collections::BTreeSet;

use firdock_core::StartId;
use firdock_policy::event::DispatchUpdate;
use firdock_policy::notice::Notice;
use firdock_policy::request::{Phase, PlacementState, RequestRow};
use firdock_policy::table::Tables;
use firdock_policy::table::endpoint::EndpointRow;
use firdock_policy::{NewRequest, Time};

use super::report::{EndpointNotice, PlacementRequest, Progress};

/// Gives the number of the place that a held request waits for.
pub fn next_attempt(row: &RequestRow) -> u32 {
    row.dispatch + 1
}

/// Gives what news of a dispatch mean for the request, if they are worth telling.
pub fn progress(row: &RequestRow, news: DispatchUpdate) -> Option<Progress> {
    Some(match news {
        DispatchUpdate::Started { .. }
        | DispatchUpdate::Failed
        | DispatchUpdate::FailureKept
        | DispatchUpdate::Unproven
        | DispatchUpdate::Unresumable
        | DispatchUpdate::Breaking(_) => return None,
        DispatchUpdate::Tokens { .. } if row.first.is_some() => return None,
        DispatchUpdate::Tokens { .. } => Progress::FirstToken,
        DispatchUpdate::Ended { prompt, output, .. } => Progress::Ended { prompt, output },
        DispatchUpdate::Broke { .. } => Progress::Broke,
        DispatchUpdate::Refused { unreachable: false } => Progress::Refused,
        DispatchUpdate::Refused { unreachable: true } => Progress::Unreachable,
        DispatchUpdate::Lapsed | DispatchUpdate::Withheld => Progress::Dropped,
    })
}

/// Gives the engine that a request is on, if it is on one.
pub fn engine_of<'a>(t: &'a Tables, row: &RequestRow) -> Option<&'a EndpointRow> {
    let (Phase::Dispatching(at) | Phase::Running(at)) = row.phase else {
        return None;
    };
    Some(t.endpoints.get(at)).filter(|e| e.is_engine())
}

/// Tells whether a request waits for the coordinator to place it.
pub fn waits(row: &RequestRow) -> bool {
    row.phase == Phase::Held && row.placement == PlacementState::Requested
}

/// Gives a request that runs on an engine, and where; `None` for all others.
pub fn running(now: Time, t: &Tables, row: &RequestRow) -> Option<(PlacementRequest, StartId)> {
    let engine = engine_of(t, row)?;
    Some((wanted(now, t, row, row.dispatch), engine.start_id.clone()))
}

/// Gives a request as far as its placement needs it, its times by how long they are from now.
///
/// What it asks for is told of one alone under which an endpoint ended, of which one try runs at a time.
pub fn wanted(now: Time, t: &Tables, row: &RequestRow, attempt: u32) -> PlacementRequest {
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
            ..NewRequest::default()
        },
        attempt,
        remaining: row.deadline.map(|by| by.saturating_sub(now)),
    }
}

/// Gives what engines said to this instance of themselves and what still holds.
pub fn notices(now: Time, t: &Tables) -> Vec<EndpointNotice> {
    let engines = t.endpoints.iter().filter(|(_, e)| e.is_engine());
    engines.filter_map(|(_, e)| noticed(now, e)).collect()
}

/// Gives what an engine said to this instance of itself, if any of it still holds.
pub fn noticed(now: Time, e: &EndpointRow) -> Option<EndpointNotice> {
    let backoff = e.notices.backoff("", now);
    let notice = Notice {
        leaving: e.notices.leaving_since().is_some(),
        backoff: backoff.map(|b| b.until.saturating_sub(now)),
    };
    (!notice.is_empty()).then(|| EndpointNotice {
        endpoint: e.start_id.clone(),
        notice,
    })
}

/// Gives the starts of engines that a request must not go to, each once.
fn avoided(row: &RequestRow) -> Vec<StartId> {
    let all: BTreeSet<&StartId> = row.tried.iter().chain(&row.declined).collect();
    all.into_iter().cloned().collect()
}
