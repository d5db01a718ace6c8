//! Shares of accounts: in which order requests are sent, and which are refused where room is short.
//!
//! Within a rank and a pool, the account that had least work done lately for its weight goes first,
//! and what is furthest over its share is refused first (`docs/design/shares.md`). Weights are
//! declared; accounts that ask for less than their share leave the rest to those that ask for more.

use std::cmp::Reverse;
use std::collections::HashMap;

use firdock_core::{Reason, RequestId, TierRank};

use super::place;
use crate::cost;
use crate::request::{Phase, RequestRow};
use crate::table::Tables;
use crate::time::Time;

/// Units of [`Start`] in a second of work.
const MICROS: f64 = 1e6;
/// Part of its share by which an account has to be over it before a refusal says so: estimates of
/// work are off by that much, and a caller within its share is not to read that it was beyond.
const OVER_PART: f64 = 1.05;

/// Work that an account had lately, and has waiting before a request, for its weight; in microseconds.
type Start = u64;

/// Place of a request among those that wait: those that are kept and sent first come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Order {
    rank: TierRank,
    start: Start,
    arrived: Time,
}

/// Gives the place of a request: by rank, then by how much its account had, then by arrival.
fn order(row: &RequestRow, start: Start) -> Order {
    Order {
        rank: row.rank,
        start,
        arrived: row.arrived,
    }
}

/// Puts held requests in the order in which they are kept; the last is refused first.
///
/// Where accounts have no shares, it is by rank and arrival alone.
pub fn in_order<'a>(
    t: &'a Tables,
    now: Time,
    mut held: Vec<&'a RequestRow>,
) -> Vec<&'a RequestRow> {
    if !t.settings.account_shares {
        held.sort_by_key(|r| order(r, 0));
        return held;
    }
    held.sort_by_key(|r| (r.rank, is_late(t, now, r), r.arrived));
    let mut ahead: HashMap<(&str, usize), f64> = HashMap::new();
    let mut placed: Vec<(bool, Order, &RequestRow)> = Vec::with_capacity(held.len());
    for row in held {
        let key = (row.pool_key(), row.account);
        let before = ahead
            .entry(key)
            .or_insert_with(|| done(t, now, row.account, row.pool_key()));
        let start = start(t, row.account, *before);
        *before += work(t, row);
        placed.push((is_late(t, now, row), order(row, start), row));
    }
    placed.sort_by_key(|(late, order, _)| (order.rank, *late, *order));
    placed.into_iter().map(|(_, _, row)| row).collect()
}

/// Puts the first request of each account in the order in which they are sent, with their services.
pub fn sort_heads(t: &Tables, now: Time, heads: &mut [(usize, RequestId)]) {
    let key = |id: &RequestId| {
        let row = t.requests.get(*id)?;
        let had = done(t, now, row.account, row.pool_key());
        let start = start(t, row.account, had);
        Some((is_late(t, now, row), order(row, start)))
    };
    heads.sort_by_cached_key(|(_, id)| key(id));
}

/// Gives the held request of the lowest rank that is to go first when too much is held.
pub fn furthest_over(t: &Tables, now: Time) -> Option<RequestId> {
    let rank = t.requests.lowest_held()?;
    let lowest = |r: &&RequestRow| r.phase == Phase::Held && r.rank == rank;
    let held = t.requests.iter().filter(lowest).collect();
    in_order(t, now, held).last().map(|r| r.new.id)
}

/// Notes at a dispatch the work that its endpoint will do.
pub fn charge(t: &mut Tables, now: Time, id: RequestId) {
    if !t.settings.account_shares {
        return;
    }
    let Some(row) = t.requests.get(id) else {
        return;
    };
    let secs = work(t, row);
    book(t, now, id, secs);
    if let Some(row) = t.requests.get_mut(id) {
        row.charged_work = secs;
    }
}

/// Puts what the present dispatch really took in place of what was estimated.
pub fn settle(t: &mut Tables, now: Time, id: RequestId, output: u32) {
    let Some(row) = t.requests.get(id).filter(|r| r.charged_work > 0.0) else {
        return;
    };
    let more = work_of(t, row, f64::from(output)) - row.charged_work;
    book(t, now, id, more);
    clear(t, id);
}

/// Takes back the work of a dispatch that ran nowhere.
pub fn take_back(t: &mut Tables, now: Time, id: RequestId) {
    let charged = t.requests.get(id).map_or(0.0, |r| r.charged_work);
    if charged > 0.0 {
        book(t, now, id, -charged);
        clear(t, id);
    }
}

fn clear(t: &mut Tables, id: RequestId) {
    if let Some(row) = t.requests.get_mut(id) {
        row.charged_work = 0.0;
    }
}

fn book(t: &mut Tables, now: Time, id: RequestId, secs: f64) {
    if let Some(row) = t.requests.get(id) {
        let account = t.accounts.get_mut(row.account);
        account.work.add(now, row.pool_key(), secs);
    }
}

/// Gives the work that an endpoint as declared does for a request, in seconds.
fn work(t: &Tables, row: &RequestRow) -> f64 {
    let output = cost::expected_output(row, t.services.get(row.service));
    work_of(t, row, output)
}

fn work_of(t: &Tables, row: &RequestRow, output: f64) -> f64 {
    let endpoint = place::takers(t, row).next();
    endpoint.map_or(0.0, |e| cost::declared_secs(row, e, output))
}

/// Gives the work done lately for an account in a pool, by all groups that tell.
fn done(t: &Tables, now: Time, account: usize, pool: &str) -> f64 {
    let row = t.accounts.get(account);
    let age = t.settings.peer_stale;
    row.work.of(now, pool) + t.told_work.of(now, age, pool, &row.name)
}

fn start(t: &Tables, account: usize, secs: f64) -> Start {
    (secs * MICROS / t.accounts.get(account).weight) as Start
}

/// Tells whether a request can no longer begin within its target; it goes after those that can.
fn is_late(t: &Tables, now: Time, row: &RequestRow) -> bool {
    let target = t.services.get(row.service).tier.target();
    t.settings.mechanisms.late_last && row.arrived + target <= now
}

/// Gives why a request is refused: its account is over its share, or there is too much of all.
pub fn reason(t: &Tables, now: Time, id: RequestId) -> Reason {
    let Some(row) = t.requests.get(id).filter(|_| t.settings.account_shares) else {
        return Reason::Overload;
    };
    let standings = standings(t, now, row.pool_key());
    let own = standings.iter().find(|s| s.account == row.account);
    if own.is_some_and(|s| s.done > s.share * OVER_PART) {
        Reason::OverShare
    } else {
        Reason::Overload
    }
}

/// What an account had lately of a pool, and what its share is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Standing {
    /// Row of the account.
    pub account: usize,
    /// Work done, in seconds.
    pub done: f64,
    /// Its share of all that was done, by its weight and what it asks for.
    pub share: f64,
}

/// Gives how the accounts stand that had or ask for work of a pool.
#[must_use]
pub fn standings(t: &Tables, now: Time, pool: &str) -> Vec<Standing> {
    let mut asked: HashMap<usize, f64> = HashMap::new();
    let held = t.requests.iter().filter(|r| r.phase == Phase::Held);
    for row in held.filter(|r| r.pool_key() == pool) {
        *asked.entry(row.account).or_default() += work(t, row);
    }
    let mut rows: Vec<(usize, f64, f64)> = Vec::new();
    for (at, account) in t.accounts.iter() {
        let had = done(t, now, at, pool);
        let wants = had + asked.get(&at).copied().unwrap_or_default();
        if wants > 0.0 {
            rows.push((at, had, wants));
            debug_assert!(account.weight > 0.0, "weights are checked when declared");
        }
    }
    let all: f64 = rows.iter().map(|(_, had, _)| had).sum();
    let asks: Vec<Ask> = rows
        .iter()
        .map(|(at, _, wants)| Ask {
            weight: t.accounts.get(*at).weight,
            wants: *wants,
        })
        .collect();
    let parts = shares(all, &asks);
    let standing = |((account, done, _), share): ((usize, f64, f64), f64)| Standing {
        account,
        done,
        share,
    };
    rows.into_iter().zip(parts).map(standing).collect()
}

/// What one account asks for, and its weight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ask {
    /// Weight.
    pub weight: f64,
    /// What it asks for.
    pub wants: f64,
}

/// Divides `room` by weight; what one does not ask for goes to the others by theirs.
///
/// No account gets more than it asks for, all of the room is given where it is asked for, and no
/// account gets less for its weight than another unless it asks for no more.
#[must_use]
pub fn shares(room: f64, asks: &[Ask]) -> Vec<f64> {
    let mut by_need: Vec<usize> = (0..asks.len()).collect();
    let need = |i: &usize| asks[*i].wants / asks[*i].weight;
    by_need.sort_by(|a, b| need(a).total_cmp(&need(b)));
    let mut left = room;
    let mut weights: f64 = asks.iter().map(|a| a.weight).sum();
    let mut parts = vec![0.0; asks.len()];
    for i in by_need {
        let ask = asks[i];
        let even = left * ask.weight / weights.max(f64::MIN_POSITIVE);
        parts[i] = ask.wants.min(even).max(0.0);
        left -= parts[i];
        weights -= ask.weight;
    }
    parts
}

/// Gives what this instance's endpoints did lately, the greatest first, to tell other groups.
#[must_use]
pub fn told(t: &Tables, now: Time) -> Vec<crate::event::AccountWork> {
    if !t.settings.account_shares {
        return Vec::new();
    }
    let mut rows = Vec::new();
    for (_, account) in t.accounts.iter() {
        for (pool, secs) in account.work.iter(now) {
            rows.push(crate::event::AccountWork {
                account: account.name.clone(),
                pool: pool.clone(),
                secs,
            });
        }
    }
    rows.sort_by_key(|w| Reverse((w.secs * MICROS) as Start));
    rows
}
