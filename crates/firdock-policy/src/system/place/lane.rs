//! Placement from one lane of a queue: the head goes first, unless its instance may not send it
//! now.

use firdock_core::RequestId;

use super::{PlaceResult, eligible_endpoints, try_place};
use crate::action::Action;
use crate::request::RequestRow;
use crate::table::Tables;
use crate::table::endpoint::{EndpointRow, UnavailableReason};
use crate::time::Time;

/// Number of requests behind a lane's head that are considered when the head cannot be sent.
const MAX_LANE_LOOKAHEAD: usize = 64;

/// Tries to place the head of a lane, and falls back to requests behind it so that no slot stays
/// unused for a head that cannot be sent.
///
/// If endpoints asked the head's instance to back off, requests of other instances are tried; if
/// another request with the same content is running, requests with other content are tried; if the
/// endpoints of the version that began the head's stream are full, requests for others are tried.
pub(super) fn try_lane(
    t: &mut Tables,
    now: Time,
    head: RequestId,
    out: &mut Vec<Action>,
) -> PlaceResult {
    let tried = try_place(t, now, head, out);
    let next = match tried {
        PlaceResult::BackingOff if t.settings.coordinates => next_of_other_members(t, head),
        PlaceResult::DuplicateRunning => next_with_other_content(t, head),
        PlaceResult::VersionFull => next_of_other_versions(t, head),
        _ => return tried,
    };
    for id in next {
        if try_place(t, now, id, out) == PlaceResult::Dequeued {
            return PlaceResult::Dequeued;
        }
    }
    tried
}

/// Returns the first requests behind the head of a lane that have its rank but other content: a
/// request that waits for a duplicate delays nothing else.
fn next_with_other_content(t: &Tables, head: RequestId) -> Vec<RequestId> {
    next_that(t, head, |row, first| row.content_id() != first.content_id())
}

/// Returns the first requests behind the head of a lane that have its rank and need not run at the
/// version that began its stream.
fn next_of_other_versions(t: &Tables, head: RequestId) -> Vec<RequestId> {
    next_that(t, head, |row, first| {
        row.stream_origin != first.stream_origin
    })
}

/// Returns the first requests behind the head of a lane that have its rank and differ from it as
/// `differs` says.
fn next_that(
    t: &Tables,
    head: RequestId,
    differs: impl Fn(&RequestRow, &RequestRow) -> bool,
) -> Vec<RequestId> {
    let Some(first) = t.requests.get(head) else {
        return Vec::new();
    };
    let lane = t.services.get(first.service).queue.lane_ids(first.account);
    let rows = lane
        .take(MAX_LANE_LOOKAHEAD)
        .filter_map(|id| t.requests.get(id));
    let other = |row: &&RequestRow| row.rank == first.rank && differs(row, first);
    rows.filter(other).map(|row| row.new.id).collect()
}

/// Returns, for each other instance, its first request behind the head of a lane that has the
/// head's rank.
fn next_of_other_members(t: &Tables, head: RequestId) -> Vec<RequestId> {
    let Some(first) = t.requests.get(head) else {
        return Vec::new();
    };
    let mut members = vec![&first.new.member];
    let mut ids = Vec::new();
    let lane = t.services.get(first.service).queue.lane_ids(first.account);
    for row in lane
        .take(MAX_LANE_LOOKAHEAD)
        .filter_map(|id| t.requests.get(id))
    {
        if row.rank == first.rank && !members.contains(&&row.new.member) {
            members.push(&row.new.member);
            ids.push(row.new.id);
        }
    }
    ids
}

/// Returns whether any eligible endpoint asked the request's instance to back off.
pub(super) fn is_backing_off(t: &Tables, now: Time, row: &RequestRow) -> bool {
    let member = &row.new.member;
    let backs_off = |e: &EndpointRow| {
        let untried = !row.tried.contains(&e.start_id);
        untried
            && matches!(
                e.check_available(member, now),
                Err(UnavailableReason::BackingOff(_))
            )
    };
    t.backoffs_until > now && eligible_endpoints(t, row).any(backs_off)
}
