//! The lanes of a queue, whose first requests go first unless their instance may not send them.

use firdock_core::RequestId;

use super::{PlaceResult, eligible_endpoints, try_place};
use crate::action::Action;
use crate::request::RequestRow;
use crate::table::Tables;
use crate::table::endpoint::{EndpointRow, UnavailableReason};
use crate::time::Time;

/// Requests of a lane that are looked at behind one that its instance may not send.
const MAX_LANE_LOOKAHEAD: usize = 64;

/// Tries the first request of a lane; where endpoints want nothing of the instance that asks for it, the
/// next ones of other instances, and where another try of it runs, the next ones that ask for something
/// else: no place stays empty for what may not be sent.
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
        _ => return tried,
    };
    for id in next {
        if try_place(t, now, id, out) == PlaceResult::Dequeued {
            return PlaceResult::Dequeued;
        }
    }
    tried
}

/// Gives the first requests behind the head of a lane, of its rank, that ask for something else: what
/// waits for another try of itself holds up nothing but itself.
fn next_with_other_content(t: &Tables, head: RequestId) -> Vec<RequestId> {
    let Some(first) = t.requests.get(head) else {
        return Vec::new();
    };
    let lane = t.services.get(first.service).queue.lane_ids(first.account);
    let rows = lane
        .take(MAX_LANE_LOOKAHEAD)
        .filter_map(|id| t.requests.get(id));
    let other = |r: &&RequestRow| r.rank == first.rank && r.content_id() != first.content_id();
    rows.filter(other).map(|r| r.new.id).collect()
}

/// Gives the first requests of other instances behind the head of a lane, one of each, of its rank.
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

/// Tells whether endpoints that take the request want nothing of the instance that asks for it.
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
