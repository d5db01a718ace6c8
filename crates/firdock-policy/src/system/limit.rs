//! Rate limits of accounts, shared by all instances.

use std::time::Duration;

use firdock_core::{Outcome, Reason, rendezvous};
use uuid::Uuid;

use crate::event::{AccountUse, PeerUpdate, UseCounts, UseTotals};
use crate::request::{NewRequest, RequestRow, Verdict};
use crate::table::account::Accounts;
use crate::table::limit::{Bucket, REPORT_AFTER_USE};
use crate::table::{ReachableInstances, Tables};
use crate::time::Time;

/// Share of each limit that an instance uses before it knows how many others there are: slightly
/// more than the even share among the six or seven instances of a small site, so that a restart
/// does not affect callers and all instances together hardly exceed the limit.
const STARTUP_LIMIT_SHARE: f64 = 0.15;
/// Difference, in seconds, up to which an earlier start of a peer counts as simultaneous: far more
/// than the clock skew between instances.
const SAME_START_SECS: u64 = 10;
/// Longest retry time, in seconds, sent to callers that exceed a limit.
const MAX_RETRY_AFTER_SECS: f64 = 60.0;

/// Charges a request to its account's limit and returns the charge, or `None` if the limit is
/// exceeded.
pub fn charge(t: &mut Tables, now: Time, account: usize, new: &NewRequest) -> Option<f64> {
    if t.settings.coordinates {
        return Some(0.0);
    }
    let part = limit_share(t, now);
    let single_group = t.is_single_group();
    let phase = instance_phase(&t.settings.member.name);
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
    let allowed = single_group || bucket.own_part_allows(now, phase);
    (allowed && bucket.try_take(cost)).then_some(cost)
}

/// Returns a number from 0 to 1 derived from an instance's name.
fn instance_phase(name: &str) -> f64 {
    rendezvous::hash_key(name.as_bytes()) as f64 / u64::MAX as f64
}

/// Returns the verdict for a request that exceeds its account's limit.
pub fn limit_verdict(t: &Tables, account: usize) -> Verdict {
    let bucket = t.accounts.get(account).bucket;
    let secs = bucket.map_or(1.0, |b| b.wait_secs());
    Verdict {
        outcome: Outcome::NotRun,
        reason: Reason::RateLimited,
        retry_after: Some(Duration::from_secs_f64(secs.min(MAX_RETRY_AFTER_SECS))),
    }
}

/// Refunds the charge of a request that did not run.
pub fn refund(t: &mut Tables, row: &RequestRow) {
    if let Some(bucket) = &mut t.accounts.get_mut(row.account).bucket {
        bucket.refund(row.charge);
    }
}

/// Charges the buckets with what a peer admitted since its last heartbeat.
///
/// After a restart, the peer's totals start from zero. On large sites, group leads report the sums
/// over all instances instead ([`apply_site_use`]).
///
/// Usage from before this instance first heard from the peer may be old and is not charged. The
/// same holds for the usage of an account from before the peer first reported it, unless the peer
/// started together with this instance or later. A heartbeat that arrives out of order has smaller
/// totals; the next one makes up for it.
pub fn apply_peer_use(t: &mut Tables, now: Time, peer_update: &PeerUpdate) {
    let peer = t.peers.find(&peer_update.name).map(|at| t.peers.get(at));
    let Some(peer) = peer.filter(|p| p.last_seen > Time::ZERO) else {
        return;
    };
    let same = peer.incarnation == peer_update.incarnation;
    let older = began_before(peer_update.incarnation, t.settings.member.incarnation);
    for used in &peer_update.used {
        let before = match peer.used.get(&used.account) {
            Some(known) if same => *known,
            None if same && (older || !peer.has_full_use) => used.totals(),
            _ => UseTotals::default(),
        };
        let increase = used.totals().minus(before).named(used.account.clone());
        charge_increase(&mut t.accounts, now, &increase);
    }
}

/// Returns whether a process started well before another. Start ids without a time count as new.
fn began_before(peer: Uuid, own: Uuid) -> bool {
    let secs = |id: Uuid| id.get_timestamp().map(|time| time.to_unix().0);
    match (secs(peer), secs(own)) {
        (Some(peer), Some(own)) => peer + SAME_START_SECS < own,
        _ => false,
    }
}

/// Charges the buckets with what other instances admitted, from a lead's counts over all instances.
///
/// The counts include this instance's own usage, which was charged on admission. Until they include
/// its latest usage, they understate that of the others.
pub fn apply_site_use(t: &mut Tables, now: Time, site_counts: &UseCounts) {
    let mut others = site_counts.clone();
    others.counts.retain_mut(|reported| {
        let Some(bucket) = bucket_of(&mut t.accounts, &reported.account) else {
            return false;
        };
        let rest = reported.totals().minus(bucket.peak_usage());
        (reported.units, reported.asked) = (rest.units, rest.asked);
        true
    });
    let increases = t.site_use.merge(now, &others);
    if t.is_single_group() {
        // Each instance reports its own usage to all others.
        return;
    }
    for increase in increases {
        charge_increase(&mut t.accounts, now, &increase);
    }
}

/// Charges a bucket with the increase in other instances' usage of its account.
fn charge_increase(accounts: &mut Accounts, now: Time, increase: &AccountUse) {
    if let Some(bucket) = bucket_of(accounts, &increase.account) {
        bucket.deduct_peer_use(increase.units);
        bucket.record_peer_demand(now, increase.asked);
    }
}

/// Drops the usage of accounts that no longer have a limit.
pub fn forget_unlimited(t: &mut Tables) {
    let accounts = &t.accounts;
    t.site_use.retain(|account| {
        let row = accounts.find(account).map(|at| accounts.get(at));
        row.is_some_and(|row| row.bucket.is_some())
    });
}

/// Returns the bucket of an account, if it has one.
fn bucket_of<'a>(accounts: &'a mut Accounts, account: &str) -> Option<&'a mut Bucket> {
    let at = accounts.find(account)?;
    accounts.get_mut(at).bucket.as_mut()
}

/// Returns what this instance admitted under each limit in use.
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

/// Returns the share of each limit that this instance may use.
///
/// Instances that hear from each other share one bucket. Others may be serving callers as well, so
/// their even shares are reserved.
///
/// On large sites, instances hear from each other too rarely for that: group leads report with each
/// heartbeat how many instances are live. An instance that hears from no lead assumes that it is
/// partitioned.
///
/// An instance that just started does not know how many others there are. All of them may have
/// started together, so none may use the whole limit alone.
pub fn limit_share(t: &Tables, now: Time) -> f64 {
    if t.settings.await_peers && t.known_peers.is_none() {
        return STARTUP_LIMIT_SHARE;
    }
    let (live, known) = live_and_known(t, now);
    live as f64 / known as f64
}

/// Returns how many instances are live and how many are known, both including this one.
pub fn live_and_known(t: &Tables, now: Time) -> (usize, usize) {
    let known = 1 + t.peers_known();
    let live = match t.reachable.filter(|_| !t.is_single_group()) {
        Some(lead_report) => reachable_count(t, now, lead_report).min(known),
        None => 1 + t.peers.iter().filter(|(_, p)| t.is_live(p, now)).count(),
    };
    (live, known)
}

/// Returns the number of instances that leads report as reachable, or 1 without a recent report.
fn reachable_count(t: &Tables, now: Time, lead_report: ReachableInstances) -> usize {
    if lead_report.at + t.settings.peer_stale_after > now {
        lead_report.count
    } else {
        1
    }
}
