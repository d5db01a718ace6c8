//! Placement with account shares: one order over all services of a rank.

use std::collections::HashSet;

use firdock_core::{RequestId, TierRank};

use super::PlaceResult;
use super::lane::try_lane;
use crate::action::Action;
use crate::system::fair_share;
use crate::table::Tables;
use crate::time::Time;

/// Places the requests of a rank over all services, starting with the account that had the least
/// work for its weight.
pub fn run(t: &mut Tables, now: Time, rank: TierRank, out: &mut Vec<Action>) {
    let mut blocked: HashSet<usize> = HashSet::new();
    while place_next(t, now, rank, &mut blocked, out) {}
}

fn place_next(
    t: &mut Tables,
    now: Time,
    rank: TierRank,
    blocked: &mut HashSet<usize>,
    out: &mut Vec<Action>,
) -> bool {
    let ranked = |id: &RequestId| t.requests.get(*id).is_some_and(|r| r.rank == rank);
    let mut heads: Vec<(usize, RequestId)> = Vec::new();
    for (service, row) in t.services.iter().filter(|(at, _)| !blocked.contains(at)) {
        let ids = row.queue.heads().map(|(_, id)| id).filter(ranked);
        heads.extend(ids.map(|id| (service, id)));
    }
    fair_share::sort_heads(t, now, &mut heads);
    for (service, id) in heads {
        if blocked.contains(&service) {
            continue;
        }
        match try_lane(t, now, id, out) {
            PlaceResult::Dequeued => return true,
            PlaceResult::Waiting
            | PlaceResult::BackingOff
            | PlaceResult::DuplicateRunning
            | PlaceResult::VersionFull => {}
            PlaceResult::Blocked => {
                blocked.insert(service);
            }
        }
    }
    false
}
