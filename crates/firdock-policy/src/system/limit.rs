//! Limits of accounts over all instances together.

use std::time::Duration;

use firdock_core::{Outcome, Reason, rendezvous};
use uuid::Uuid;

use crate::event::{AccountUse, PeerUpdate, UseCounts, UseTotals};
use crate::request::{NewRequest, RequestRow, Verdict};
use crate::table::account::Accounts;
use crate::table::limit::{Bucket, REPORT_AFTER_USE};
use crate::table::{ReachableInstances, Tables};
use crate::time::Time;

/// Part of each limit that an instance uses before it knows how many others there are: a little more
/// than the even part of one of the six or seven of a small site, so that a restart costs no caller
/// anything, and all of them together hardly exceed the limit.
const STARTUP_LIMIT_SHARE: f64 = 0.15;
/// Seconds by which a peer may have begun earlier than this instance, and count as begun with it:
/// far more than the clocks of instances differ by.
const SAME_START_SECS: u64 = 10;
/// Longest time, in seconds, after which callers beyond a limit are told to come back.
const MAX_RETRY_AFTER_SECS: f64 = 60.0;

/// Charges a request to its account's limit and gives the charge; `None` if there was no room.
pub fn charge(t: &mut Tables, now: Time, account: usize, new: &NewRequest) -> Option<f64> {
    if t.settings.coordinates {
        return Some(0.0);
    }
    let part = limit_share(t, now);
    let small = t.is_single_group();
    let phase = phase(&t.settings.member.name);
    let known_others = t.known_peers.filter(|_| t.settings.await_peers);
    let Some(bucket) = &mut t.accounts.get_mut(account).bucket else {
        return Some(0.0);
    };
    if let Some(others) = known_others {
        bucket.add_start_units(1.0 / (1.0 + others as f64));
    }
    bucket.refill(now, part);
    let cost = bucket.cost(new.tokens());
    bucket.record_demand(now, cost);
    let allowed = small || bucket.own_part_allows(now, phase);
    (allowed && bucket.try_take(cost)).then_some(cost)
}

/// Gives a number from 0 to 1 by an instance's name.
fn phase(name: &str) -> f64 {
    rendezvous::hash_key(name.as_bytes()) as f64 / u64::MAX as f64
}

/// Gives what a request beyond its account's limit is told.
pub fn verdict(t: &Tables, account: usize) -> Verdict {
    let bucket = t.accounts.get(account).bucket;
    let secs = bucket.map_or(1.0, |b| b.wait_secs());
    Verdict {
        outcome: Outcome::NotRun,
        reason: Reason::RateLimited,
        retry_after: Some(Duration::from_secs_f64(secs.min(MAX_RETRY_AFTER_SECS))),
    }
}

/// Gives a request's charge back, since it ran nowhere.
pub fn refund(t: &mut Tables, row: &RequestRow) {
    if let Some(bucket) = &mut t.accounts.get_mut(row.account).bucket {
        bucket.refund(row.charge);
    }
}

/// Takes out of the buckets what a peer let pass since its last heartbeat.
///
/// After a restart, the peer's totals begin anew. Where instances are many, leads tell the sums of all
/// instead ([`apply_site_use`]).
///
/// What a peer used before this instance first heard of it is not known to be recent, so it does not
/// count. Nor does what it used of an account before it first told of that, unless it began with
/// this instance or later. A word that was overtaken has smaller totals, and is made up for by the next.
pub fn apply_peer_use(t: &mut Tables, now: Time, news: &PeerUpdate) {
    let peer = t.peers.find(&news.name).map(|at| t.peers.get(at));
    let Some(peer) = peer.filter(|p| p.last_seen > Time::ZERO) else {
        return;
    };
    let same = peer.incarnation == news.incarnation;
    let older = began_before(news.incarnation, t.settings.member.incarnation);
    for used in &news.used {
        let before = match peer.used.get(&used.account) {
            Some(known) if same => *known,
            None if same && (older || !peer.has_full_use) => used.totals(),
            _ => UseTotals::default(),
        };
        let rise = used.totals().minus(before).named(used.account.clone());
        charge_increase(&mut t.accounts, now, &rise);
    }
}

/// Tells whether a process began well before another; starts that carry no time count as new.
fn began_before(peer: Uuid, own: Uuid) -> bool {
    let secs = |id: Uuid| id.get_timestamp().map(|time| time.to_unix().0);
    match (secs(peer), secs(own)) {
        (Some(peer), Some(own)) => peer + SAME_START_SECS < own,
        _ => false,
    }
}

/// Takes out of the buckets what the others let pass, by a lead's counts of what all did.
///
/// This instance's own use is among what is counted, and was taken out when it was let pass. A count that
/// does not hold the newest of it yet falls short until it does.
pub fn apply_site_use(t: &mut Tables, now: Time, word: &UseCounts) {
    let mut others = word.clone();
    others.counts.retain_mut(|told| {
        let Some(bucket) = bucket_of(&mut t.accounts, &told.account) else {
            return false;
        };
        let rest = told.totals().minus(bucket.peak_usage());
        (told.units, told.asked) = (rest.units, rest.asked);
        true
    });
    let rises = t.site_use.merge(now, &others);
    if t.is_single_group() {
        // Each tells all the others of its own use.
        return;
    }
    for rise in rises {
        charge_increase(&mut t.accounts, now, &rise);
    }
}

/// Takes out of a bucket by how much others' use of its account rose.
fn charge_increase(accounts: &mut Accounts, now: Time, rise: &AccountUse) {
    if let Some(bucket) = bucket_of(accounts, &rise.account) {
        bucket.deduct_peer_use(rise.units);
        bucket.record_peer_demand(now, rise.asked);
    }
}

/// Forgets what others let pass of accounts that have no limit any more.
pub fn forget_unlimited(t: &mut Tables) {
    let accounts = &t.accounts;
    t.site_use.retain(|account| {
        let row = accounts.find(account).map(|at| accounts.get(at));
        row.is_some_and(|row| row.bucket.is_some())
    });
}

/// Gives the bucket of an account, if it has one.
fn bucket_of<'a>(accounts: &'a mut Accounts, account: &str) -> Option<&'a mut Bucket> {
    let at = accounts.find(account)?;
    accounts.get_mut(at).bucket.as_mut()
}

/// Gives what this instance let pass of the limits that are in use.
#[must_use]
pub fn usage(t: &Tables, now: Time) -> Vec<AccountUse> {
    let rows = t.accounts.iter().filter_map(|(_, a)| {
        let bucket = a.bucket?;
        let recent = bucket.asked > 0.0 && bucket.last_asked + REPORT_AFTER_USE > now;
        recent.then(|| AccountUse {
            account: a.name.clone(),
            units: bucket.used,
            asked: bucket.asked,
            before: bucket.before,
        })
    });
    rows.collect()
}

/// Gives the part of each limit that this instance may use.
///
/// Instances that hear each other share one bucket. Those that are not heard may be serving
/// callers as well, so that their even parts are left out.
///
/// Where instances are many, they hear each other too seldom for that: the leads of groups tell at
/// each heartbeat how many are heard. One that hears no lead takes itself for cut off.
///
/// An instance that just started does not know how many others there are. All of them may have
/// started together, so that none may take the limit for its own alone.
fn limit_share(t: &Tables, now: Time) -> f64 {
    if t.settings.await_peers && t.known_peers.is_none() {
        return STARTUP_LIMIT_SHARE;
    }
    let (heard, known) = live_and_known(t, now);
    heard as f64 / known as f64
}

/// Gives how many instances are heard, and how many are known of, this one among both.
pub fn live_and_known(t: &Tables, now: Time) -> (usize, usize) {
    let known = 1 + t.peers_known();
    let heard = match t.reachable.filter(|_| !t.is_single_group()) {
        Some(reach) => reachable_count(t, now, reach).min(known),
        None => 1 + t.peers.iter().filter(|(_, p)| t.is_live(p, now)).count(),
    };
    (heard, known)
}

/// Gives how many instances leads hear, this one alone where no lead told lately.
fn reachable_count(t: &Tables, now: Time, reach: ReachableInstances) -> usize {
    if reach.at + t.settings.peer_stale_after > now {
        reach.count
    } else {
        1
    }
}
