//! Shares of accounts: in which order requests are sent, and which are refused where room is short.
//!
//! Within a rank and a pool, the account that had least work done lately for its weight goes first,
//! and what is furthest over its share is refused first (`docs/design/shares.md`). Weights are
//! declared; accounts that ask for less than their share leave the rest to those that ask for more.

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

/// Units of [`Start`] in a second of work.
const MICROS_PER_SEC: f64 = 1e6;
/// Part of its share by which an account has to be over it before a refusal says so: estimates of
/// work are off by that much, and a caller within its share is not to read that it was beyond.
pub const OVER_SHARE_FACTOR: f64 = 1.05;

/// Age from which a request that a member tells its coordinator of was told before: the first word goes
/// out at once, whole reports a tenth of a second apart.
const FIRST_REPORT_AGE: Time = Time::from_millis(80);

/// Work that an account had lately, and has waiting before a request, for its weight; in microseconds.
type StartTag = u64;

/// Place of a request among those that wait: those that are kept and sent first come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceOrder {
    rank: TierRank,
    start: StartTag,
    arrived: Time,
}

/// Gives the place of a request: by rank, then by how much its account had, then by arrival.
fn order_of(row: &RequestRow, start: StartTag) -> ServiceOrder {
    ServiceOrder {
        rank: row.rank,
        start,
        arrived: row.arrived,
    }
}

/// Puts held requests in the order in which they are kept; the last is refused first.
///
/// Where accounts have no shares, it is by rank and arrival alone.
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
    let mut placed: Vec<(bool, ServiceOrder, &RequestRow)> = Vec::with_capacity(held.len());
    for row in held {
        let key = (row.pool_key(), row.account, row.rank);
        let before = ahead.entry(key).or_insert_with(|| work_done(t, now, row));
        let start = start_tag(t, row.account, *before);
        *before += expected_work(t, row);
        placed.push((is_late(t, now, row), order_of(row, start), row));
    }
    placed.sort_by_key(|(late, order, _)| (order.rank, *late, *order));
    placed.into_iter().map(|(_, _, row)| row).collect()
}

/// Puts the first request of each account in the order in which they are sent, with their services.
pub fn sort_heads(t: &Tables, now: Time, heads: &mut [(usize, RequestId)]) {
    let key = |id: &RequestId| {
        let row = t.requests.get(*id)?;
        let start = start_tag(t, row.account, work_done(t, now, row));
        Some((is_late(t, now, row), order_of(row, start)))
    };
    heads.sort_by_cached_key(|(_, id)| key(id));
}

/// Gives the held request of the lowest rank that is to go first when too much is held.
pub fn most_over_share(t: &Tables, now: Time) -> Option<RequestId> {
    let rank = t.requests.lowest_held()?;
    let lowest = |r: &&RequestRow| r.phase == Phase::Held && r.rank == rank;
    let held = t.requests.iter().filter(lowest).collect();
    in_service_order(t, now, held).last().map(|r| r.new.id)
}

/// Notes at a dispatch the work that its endpoint will do.
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

/// Puts what the present dispatch really took in place of what was estimated.
pub fn settle(t: &mut Tables, now: Time, id: RequestId, output: u32) {
    let Some(row) = t.requests.get(id).filter(|r| r.charged_work > 0.0) else {
        return;
    };
    let more = declared_work(t, row, f64::from(output)) - row.charged_work;
    add_work(t, now, id, more);
    clear_charge(t, id);
}

/// Takes back the work of a dispatch that ran nowhere.
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

/// Gives the work that an endpoint as declared does for a request, in seconds.
fn expected_work(t: &Tables, row: &RequestRow) -> f64 {
    let output = cost::expected_output(row, t.services.get(row.service));
    declared_work(t, row, output)
}

fn declared_work(t: &Tables, row: &RequestRow, output: f64) -> f64 {
    let endpoint = place::eligible_endpoints(t, row).next();
    endpoint.map_or(0.0, |e| cost::declared_secs(row, e, output))
}

/// Gives what the account of a request had lately in requests of its rank and above, by all groups.
fn work_done(t: &Tables, now: Time, row: &RequestRow) -> f64 {
    work_done_up_to(t, now, row.account, row.pool_key(), row.rank)
}

fn work_done_up_to(t: &Tables, now: Time, account: usize, pool: &str, rank: TierRank) -> f64 {
    let row = t.accounts.get(account);
    let told = t
        .reported_work
        .of(now, t.settings.peer_stale_after, pool, &row.name);
    let elsewhere: f64 = told.filter(|w| w.rank <= rank).map(|w| w.done).sum();
    row.work.done(now, pool, rank) + elsewhere
}

fn start_tag(t: &Tables, account: usize, secs: f64) -> StartTag {
    (secs * MICROS_PER_SEC / t.accounts.get(account).weight) as StartTag
}

/// Tells whether a request can no longer begin within its target; it goes after those that can.
fn is_late(t: &Tables, now: Time, row: &RequestRow) -> bool {
    let target = t.services.get(row.service).tier.target();
    t.settings.mechanisms.late_last && row.arrived + target <= now
}

/// Notes the work that a request which arrived asks for.
///
/// A request that a member keeps although its coordinator refused it is told of again in each whole
/// report; it asks once.
pub fn record_arrival(t: &mut Tables, now: Time, id: RequestId) {
    let Some(row) = t
        .requests
        .get(id)
        .filter(|_| t.settings.account_shares.is_on())
    else {
        return;
    };
    let told_again = row.arrived + FIRST_REPORT_AGE <= now;
    if t.settings.coordinates && told_again {
        return;
    }
    let secs = expected_work(t, row);
    let account = t.accounts.get_mut(row.account);
    account
        .work
        .add_asked(now, row.pool_key(), row.declared_rank, secs);
}

/// Gives the rank that a request has: the declared one, or the last of its account's rank.
///
/// An account has its share for its highest tiers first: of a request only what the account had in
/// tiers as high and higher counts. Else a flood of a high tier would take all that others have of
/// lower ones.
///
/// An instance that asks a coordinator leaves that to it, since it sees few of the requests.
#[must_use]
pub fn rank(t: &Tables, now: Time, row: &RequestRow) -> TierRank {
    let waits = coordinate::awaits_placement(t, row) && !t.settings.coordinates;
    if waits || !t.settings.account_shares.is_over_tiers() || !exceeds_share(t, now, row, 1.0) {
        return row.rank;
    }
    let account = t.accounts.get(row.account).rank;
    row.rank.max(last_rank(account))
}

/// Tells whether a request was put behind the lower tiers of other accounts.
pub fn is_demoted(row: &RequestRow) -> bool {
    row.rank > row.declared_rank
}

/// Gives the rank in which a coordinator refused a request of this instance, which may have seen that
/// its account had its share.
pub fn refused_rank(t: &Tables, row: &RequestRow, reason: Reason) -> TierRank {
    if reason != Reason::OverShare || !t.settings.account_shares.is_over_tiers() {
        return row.rank;
    }
    let account = t.accounts.get(row.account).rank;
    row.rank.max(last_rank(account))
}

/// Gives why a request is refused: its account is over its share, or there is too much of all.
pub fn refusal_reason(t: &Tables, now: Time, id: RequestId) -> Reason {
    let row = t.requests.get(id);
    let over = |r: &RequestRow| is_demoted(r) || exceeds_share(t, now, r, OVER_SHARE_FACTOR);
    if row.is_some_and(over) {
        Reason::OverShare
    } else {
        Reason::Overload
    }
}

/// Tells whether an account had so many times its share in requests of this one's rank and above.
fn exceeds_share(t: &Tables, now: Time, row: &RequestRow, times: f64) -> bool {
    let account = t.accounts.get(row.account);
    let level = t.levels.of(row.pool_key(), account.rank);
    let Some(level) = level.filter(|_| t.settings.account_shares.is_on()) else {
        return false;
    };
    work_done(t, now, row) > level * account.weight * times
}

/// Gives what accounts asked for and had here lately, the greatest first, to tell other groups.
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
