//! The lanes of a queue, whose first requests go first unless their instance may not send them.

use firdock_core::RequestId;

use super::{Tried, takers, try_place};
use crate::action::Action;
use crate::request::RequestRow;
use crate::table::Tables;
use crate::table::endpoint::{Closed, EndpointRow};
use crate::time::Time;

/// Requests of a lane that are looked at behind one that its instance may not send.
const MAX_BEHIND: usize = 64;

/// Tries the first request of a lane, and where endpoints want nothing of the instance that asks for
/// it, the next ones of other instances: no place stays empty for what one of them may not send.
pub(super) fn try_lane(t: &mut Tables, now: Time, head: RequestId, out: &mut Vec<Action>) -> Tried {
    let tried = try_place(t, now, head, out);
    if tried != Tried::HeldUp || !t.settings.coordinates {
        return tried;
    }
    for id in behind(t, head) {
        if try_place(t, now, id, out) == Tried::Left {
            return Tried::Left;
        }
    }
    Tried::HeldUp
}

/// Gives the first requests of other instances behind the head of a lane, one of each, of its rank.
fn behind(t: &Tables, head: RequestId) -> Vec<RequestId> {
    let Some(first) = t.requests.get(head) else {
        return Vec::new();
    };
    let mut members = vec![&first.new.member];
    let mut ids = Vec::new();
    let lane = t.services.get(first.service).queue.lane_ids(first.account);
    for row in lane.take(MAX_BEHIND).filter_map(|id| t.requests.get(id)) {
        if row.rank == first.rank && !members.contains(&&row.new.member) {
            members.push(&row.new.member);
            ids.push(row.new.id);
        }
    }
    ids
}

/// Tells whether endpoints that take the request want nothing of the instance that asks for it.
pub(super) fn is_held_up(t: &Tables, now: Time, row: &RequestRow) -> bool {
    let member = &row.new.member;
    let backs_off = |e: &EndpointRow| {
        let untried = !row.tried.contains(&e.start_id);
        untried && matches!(e.open_to(member, now), Err(Closed::BackingOff(_)))
    };
    t.backoffs_until > now && takers(t, row).any(backs_off)
}
