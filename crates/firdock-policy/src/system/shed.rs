//! Load shedding: when too much is held, requests of the lowest tier are shed first, at whichever
//! instance they are held.

use std::cmp::Reverse;

use firdock_core::{Outcome, Reason, RequestId, TierRank};

use super::{fair_share, handover, lifecycle};
use crate::action::Action;
use crate::bodies::WantedRoom;
use crate::request::{Origin, Phase};
use crate::table::Tables;
use crate::table::service::ServiceRow;
use crate::time::Time;

/// Sheds requests until the limits on held requests are met.
pub fn run(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    while over_bounds(t) {
        let Some(id) = victim(t, now) else { break };
        let reason = fair_share::refusal_reason(t, now, id);
        shed(t, now, id, reason, out);
    }
    shed_accounts(t, now, out);
}

fn over_bounds(t: &Tables) -> bool {
    t.requests.held() > t.settings.max_held || t.requests.bytes() > t.settings.held_bytes
}

/// Sheds requests of lower tiers for a body that lacks room, the lowest tier first and in a tier the largest, if that
/// makes enough of it.
pub fn make_room(t: &mut Tables, now: Time, wanted: WantedRoom, out: &mut Vec<Action>) {
    let held = t.requests.iter().filter(|r| r.phase == Phase::Held);
    let lower = held.filter(|r| r.rank > wanted.rank);
    let most: usize = lower.map(|r| r.new.bytes).sum();
    if most < wanted.bytes {
        return;
    }
    let mut freed = 0;
    while freed < wanted.bytes {
        let Some((id, bytes)) = largest_below(t, wanted.rank) else {
            return;
        };
        let held = t.requests.held();
        let reason = fair_share::refusal_reason(t, now, id);
        shed(t, now, id, reason, out);
        if t.requests.held() >= held {
            return;
        }
        freed += bytes;
    }
}

/// Returns the largest request of the lowest tier held, if that is lower than `rank`, and its bytes.
fn largest_below(t: &Tables, rank: TierRank) -> Option<(RequestId, usize)> {
    let lowest = t.requests.lowest_held().filter(|lowest| *lowest > rank)?;
    let rows = t.requests.iter();
    let held = rows.filter(|r| r.phase == Phase::Held && r.rank == lowest);
    let largest = held.max_by_key(|r| (r.new.bytes, Reverse(r.new.id)))?;
    Some((largest.new.id, largest.new.bytes))
}

/// Gives up a held request, or hands it over to a peer that holds a lower tier.
///
/// # Panics
///
/// Panics if a request of a lower tier is held here, which must be shed first.
pub fn shed(t: &mut Tables, now: Time, id: RequestId, reason: Reason, out: &mut Vec<Action>) {
    let Some(row) = t.requests.get(id) else {
        return;
    };
    let (rank, service) = (row.rank, row.service);
    let from_caller = row.new.origin == Origin::Caller;
    assert!(
        !t.requests.holds_below(rank),
        "request {id} was shed while a lower tier is held"
    );
    if from_caller && handover::to_lower_holder(t, now, id, out) {
        return;
    }
    lifecycle::count_shed(t, service);
    lifecycle::give_up(t, now, id, reason, out);
}

/// Sheds those of the given requests that may be shed, lowest tier first and otherwise in the given
/// order.
///
/// A request of a higher tier is kept while any of a lower tier is held, so that it is never shed
/// before it.
pub fn lowest_first(
    t: &mut Tables,
    now: Time,
    mut ids: Vec<(TierRank, RequestId)>,
    reason: impl Fn(&Tables, Time, RequestId) -> Reason,
    out: &mut Vec<Action>,
) {
    ids.sort_by_key(|(rank, _)| Reverse(*rank));
    for (rank, id) in ids {
        if !t.requests.holds_below(rank) {
            let reason = reason(t, now, id);
            shed(t, now, id, reason, out);
        }
    }
}

/// Picks a request of the lowest tier from the account that holds the most for its share, late
/// requests first.
fn victim(t: &Tables, now: Time) -> Option<RequestId> {
    if t.settings.account_shares.is_on() {
        return fair_share::most_over_share(t, now);
    }
    let rank = t.requests.lowest_held()?;
    let lanes = lanes_of(t, rank);
    let weight = |account: usize, n: usize| n as f64 / t.accounts.get(account).share;
    let (service, account, _) =
        lanes.max_by(|a, b| weight(a.1, a.2).total_cmp(&weight(b.1, b.2)))?;
    t.services.get(service).queue.most_expendable(account)
}

/// Iterates over the lanes of a tier as service, account and number of requests.
fn lanes_of(t: &Tables, rank: TierRank) -> impl Iterator<Item = (usize, usize, usize)> {
    let ranked = move |id: RequestId| t.requests.get(id).is_some_and(|r| r.rank == rank);
    let lanes = move |(i, s): (usize, &ServiceRow)| {
        let lanes = s.queue.lanes();
        let of_rank = lanes.filter(|(a, _)| s.queue.most_expendable(*a).is_some_and(ranked));
        of_rank.map(|(a, n)| (i, a, n)).collect::<Vec<_>>()
    };
    t.services.iter().flat_map(lanes)
}

/// Sheds from accounts over their own limit, as far as the tier order permits.
///
/// An account's limit delays requests but never sheds out of tier order: only requests of the
/// lowest tier held by any account may be shed.
fn shed_accounts(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    while let Some(id) = account_victim(t) {
        let before = t.requests.held();
        shed(t, now, id, Reason::Overload, out);
        if t.requests.held() >= before {
            break;
        }
    }
}

fn account_victim(t: &Tables) -> Option<RequestId> {
    let rank = t.requests.lowest_held()?;
    let over = |a: usize| t.accounts.get(a).held > t.accounts.get(a).max_held;
    let (service, account, _) = lanes_of(t, rank).find(|(_, a, _)| over(*a))?;
    t.services.get(service).queue.most_expendable(account)
}

/// Returns whether a verdict is a refusal because of load.
pub fn is_load_refusal(outcome: Outcome, reason: Reason) -> bool {
    outcome == Outcome::NotRun
        && matches!(
            reason,
            Reason::Overload | Reason::OverShare | Reason::WaitedTooLong
        )
}
