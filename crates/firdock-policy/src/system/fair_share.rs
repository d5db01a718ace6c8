//! Fair shares of accounts: the order in which requests are sent, and which are refused when
//! capacity is short.
//!
//! Within a rank and a pool, the account with the least recent work for its weight goes first, and
//! the request furthest over its account's share is refused first (`docs/design/shares.md`).
//! Weights are declared; the unused part of a share goes to accounts with more demand.

mod level;

pub use level::{
    FairShare, PoolFairShares, ShareDemand, fair_shares_by_pool, max_min_shares, update_levels,
};

use std::collections::HashMap;

use firdock_core::resource::last_rank;
use firdock_core::{Reason, RequestId, TierRank};

use super::{coordinate, place};
use crate::cost;
use crate::event::AccountWork;
use crate::request::{Phase, RequestRow};
use crate::table::Tables;
use crate::time::Time;

/// Units of [`StartTag`] per second of work.
const MICROS_PER_SEC: f64 = 1e6;
/// Factor by which an account must exceed its share before a refusal names that as the reason. Work
/// estimates are off by about this much, and a caller within its share must not be told that it
/// exceeded it.
pub const OVER_SHARE_FACTOR: f64 = 1.05;

/// Age from which a request reported by a member must have been reported before: a new request is
/// reported at once, and full reports follow every tenth of a second.
const FIRST_REPORT_AGE: Time = Time::from_millis(80);

/// Recent work of an account plus its work queued ahead of a request, divided by its weight, in
/// microseconds.
type StartTag = u64;

/// Position of a request in the service order; a request with a lower position is sent first and
/// refused last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceOrder {
    rank: TierRank,
    start: StartTag,
    arrived: Time,
}

/// Returns the position of a request: by rank, then by the work of its account, then by arrival.
fn order_of(row: &RequestRow, start: StartTag) -> ServiceOrder {
    ServiceOrder {
        rank: row.rank,
        start,
        arrived: row.arrived,
    }
}

/// Sorts held requests into service order; the last one is refused first.
///
/// Without account shares, the order is by rank and arrival alone.
pub fn in_service_order<'a>(
    t: &'a Tables,
    now: Time,
    mut held: Vec<&'a RequestRow>,
) -> Vec<&'a RequestRow> {
    if !t.settings.account_shares.is_on() {
        held.sort_by_key(|r| order_of(r, 0));
        return held;
    }
    held.sort_by_key(|r| (r.rank, is_late(t, now, r), r.arrived));
    let mut ahead: HashMap<(&str, usize, TierRank), f64> = HashMap::new();
    let mut positioned: Vec<(bool, ServiceOrder, &RequestRow)> = Vec::with_capacity(held.len());
    for row in held {
        let key = (row.pool_key(), row.account, row.rank);
        let before = ahead.entry(key).or_insert_with(|| work_done(t, now, row));
        let start = start_tag(t, row.account, *before);
        *before += expected_work(t, row);
        positioned.push((is_late(t, now, row), order_of(row, start), row));
    }
    positioned.sort_by_key(|(late, order, _)| (order.rank, *late, *order));
    positioned.into_iter().map(|(_, _, row)| row).collect()
}

/// Sorts the head of each account's lane, with its service, into service order.
pub fn sort_heads(t: &Tables, now: Time, heads: &mut [(usize, RequestId)]) {
    let key = |id: &RequestId| {
        let row = t.requests.get(*id)?;
        let start = start_tag(t, row.account, work_done(t, now, row));
        Some((is_late(t, now, row), order_of(row, start)))
    };
    heads.sort_by_cached_key(|(_, id)| key(id));
}

/// Returns the held request of the lowest rank that is shed first when too much is held.
pub fn most_over_share(t: &Tables, now: Time) -> Option<RequestId> {
    let rank = t.requests.lowest_held()?;
    let lowest = |r: &&RequestRow| r.phase == Phase::Held && r.rank == rank;
    let held = t.requests.iter().filter(lowest).collect();
    in_service_order(t, now, held).last().map(|r| r.new.id)
}

/// Charges the expected work of a dispatch to the account.
pub fn charge(t: &mut Tables, now: Time, id: RequestId) {
    if !t.settings.account_shares.is_on() {
        return;
    }
    let Some(row) = t.requests.get(id) else {
        return;
    };
    let secs = expected_work(t, row);
    add_work(t, now, id, secs);
    if let Some(row) = t.requests.get_mut(id) {
        row.charged_work = secs;
    }
}

/// Replaces the estimated work of the current dispatch by the actual work.
pub fn settle(t: &mut Tables, now: Time, id: RequestId, output: u32) {
    let Some(row) = t.requests.get(id).filter(|r| r.charged_work > 0.0) else {
        return;
    };
    let correction = declared_work(t, row, f64::from(output)) - row.charged_work;
    add_work(t, now, id, correction);
    clear_charge(t, id);
}

/// Refunds the work of a dispatch that did not run.
pub fn refund(t: &mut Tables, now: Time, id: RequestId) {
    let charged = t.requests.get(id).map_or(0.0, |r| r.charged_work);
    if charged > 0.0 {
        add_work(t, now, id, -charged);
        clear_charge(t, id);
    }
}

fn clear_charge(t: &mut Tables, id: RequestId) {
    if let Some(row) = t.requests.get_mut(id) {
        row.charged_work = 0.0;
    }
}

fn add_work(t: &mut Tables, now: Time, id: RequestId, secs: f64) {
    if let Some(row) = t.requests.get(id) {
        let account = t.accounts.get_mut(row.account);
        account
            .work
            .add_done(now, row.pool_key(), row.declared_rank, secs);
    }
}

/// Returns the work of a request, in seconds, on an endpoint that performs as declared.
fn expected_work(t: &Tables, row: &RequestRow) -> f64 {
    let output = cost::expected_output(row, t.services.get(row.service));
    declared_work(t, row, output)
}

fn declared_work(t: &Tables, row: &RequestRow, output: f64) -> f64 {
    let endpoint = place::eligible_endpoints(t, row).next();
    endpoint.map_or(0.0, |e| cost::declared_secs(row, e, output))
}

/// Returns the recent work, over all groups, of a request's account in requests of its rank and
/// above.
fn work_done(t: &Tables, now: Time, row: &RequestRow) -> f64 {
    work_done_up_to(t, now, row.account, row.pool_key(), row.rank)
}

fn work_done_up_to(t: &Tables, now: Time, account: usize, pool: &str, rank: TierRank) -> f64 {
    let row = t.accounts.get(account);
    let remote = t
        .reported_work
        .of(now, t.settings.peer_stale_after, pool, &row.name);
    let elsewhere: f64 = remote.filter(|w| w.rank <= rank).map(|w| w.done).sum();
    row.work.done(now, pool, rank) + elsewhere
}

fn start_tag(t: &Tables, account: usize, secs: f64) -> StartTag {
    (secs * MICROS_PER_SEC / t.accounts.get(account).weight) as StartTag
}

/// Returns whether a request can no longer start within its target. Late requests go after those
/// that can.
fn is_late(t: &Tables, now: Time, row: &RequestRow) -> bool {
    let target = t.services.get(row.service).tier.target();
    t.settings.mechanisms.late_last && row.arrived + target <= now
}

/// Records the work that an arriving request asks for.
///
/// A request that a member keeps holding after its coordinator refused it appears in every full
/// report, but its demand counts once.
pub fn record_arrival(t: &mut Tables, now: Time, id: RequestId) {
    let Some(row) = t
        .requests
        .get(id)
        .filter(|_| t.settings.account_shares.is_on())
    else {
        return;
    };
    let reported_before = row.arrived + FIRST_REPORT_AGE <= now;
    if t.settings.coordinates && reported_before {
        return;
    }
    let secs = expected_work(t, row);
    let account = t.accounts.get_mut(row.account);
    account
        .work
        .add_asked(now, row.pool_key(), row.declared_rank, secs);
}

/// Returns the rank of a request: the declared one, or the last rank of its account if the account
/// exceeds its share.
///
/// An account uses its share for its highest tiers first: for a request, only the account's work in
/// tiers as high or higher counts. Otherwise a flood in a high tier would take the capacity that
/// other accounts need for lower ones.
///
/// An instance with a coordinator leaves the decision to it, because it sees only few of the
/// requests.
#[must_use]
pub fn rank(t: &Tables, now: Time, row: &RequestRow) -> TierRank {
    let waits = coordinate::awaits_placement(t, row) && !t.settings.coordinates;
    if waits || !t.settings.account_shares.is_over_tiers() || !exceeds_share(t, now, row, 1.0) {
        return row.rank;
    }
    let account = t.accounts.get(row.account).rank;
    row.rank.max(last_rank(account))
}

/// Returns whether a request was placed behind the lower tiers of other accounts.
pub fn is_demoted(row: &RequestRow) -> bool {
    row.rank > row.declared_rank
}

/// Returns the rank at which a coordinator refused a request of this instance. The coordinator may
/// know that the account has used up its share.
pub fn refused_rank(t: &Tables, row: &RequestRow, reason: Reason) -> TierRank {
    if reason != Reason::OverShare || !t.settings.account_shares.is_over_tiers() {
        return row.rank;
    }
    let account = t.accounts.get(row.account).rank;
    row.rank.max(last_rank(account))
}

/// Returns the reason for refusing a request: its account exceeds its share, or the load is too
/// high overall.
pub fn refusal_reason(t: &Tables, now: Time, id: RequestId) -> Reason {
    let row = t.requests.get(id);
    let over = |r: &RequestRow| is_demoted(r) || exceeds_share(t, now, r, OVER_SHARE_FACTOR);
    if row.is_some_and(over) {
        Reason::OverShare
    } else {
        Reason::Overload
    }
}

/// Returns whether an account received more than `times` its share in requests of this rank and
/// above.
fn exceeds_share(t: &Tables, now: Time, row: &RequestRow, factor: f64) -> bool {
    let account = t.accounts.get(row.account);
    let level = t.levels.of(row.pool_key(), account.rank);
    let Some(level) = level.filter(|_| t.settings.account_shares.is_on()) else {
        return false;
    };
    work_done(t, now, row) > level * account.weight * factor
}

/// Returns the recent demand and work of the accounts at this instance, largest first, as reported
/// to other groups.
#[must_use]
pub fn work_report(t: &Tables, now: Time) -> Vec<AccountWork> {
    if !t.settings.account_shares.is_on() {
        return Vec::new();
    }
    let accounts = t.accounts.iter();
    let mut rows: Vec<AccountWork> = accounts
        .flat_map(|(_, a)| a.work.reports(now, &a.name))
        .collect();
    rows.sort_by(|a, b| b.asked.max(b.done).total_cmp(&a.asked.max(a.done)));
    rows
}
