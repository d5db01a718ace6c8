//! Selects the endpoints that a request may go to by their versions.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use firdock_core::resource::Catalog;
use firdock_core::settings::Rollouts;
use firdock_core::{PoolId, rendezvous};

use crate::request::{Build, RequestRow};
use crate::rollout::Stage;
use crate::rollout::allowance;
use crate::system::start;
use crate::table::Tables;
use crate::table::endpoint::EndpointRow;
use crate::table::rollout::RolloutRow;
use crate::time::Time;

/// Maximum fraction of one service's requests that a watched version gets. A service with few
/// requests needs a larger fraction for the same evidence, but not all of its callers should be
/// part of a trial.
const MAX_SERVICE_FRACTION: f64 = 0.5;
/// Limit on how much older than its first read here an order is assumed to be.
///
/// A newly read order may have been issued at any time since the configuration without it was last
/// known to be the newest. The limit caps this uncertainty at the time of a second read of the
/// store after one that failed. After a longer outage, the time that passed beyond the limit is not
/// counted and is lost unused.
const MAX_UNCERTAINTY: Duration = Duration::from_millis(1_200);
/// Number of requests sent to a pool from which on the fractions of its services are known.
const MIN_SENT_FOR_PARTS: u64 = 50;

/// Applies the roll-out orders of a catalog. Holds back endpoints that may belong to an order that
/// this instance has not read yet.
pub fn apply(t: &mut Tables, now: Time, catalog: &Catalog) {
    for declared in &catalog.rollouts {
        let known = t.rollouts.of(&declared.pool);
        if known.is_some_and(|row| row.declared.order >= declared.order) {
            continue;
        }
        let reverts = known.is_some_and(|row| is_return_to_previous(t, row, &declared.version));
        // The version of an unfinished roll-out is not known to be good, so it gets no requests as
        // part of the old side either.
        let unproven = known.filter(|row| row.stage < Stage::Completed);
        let unproven =
            unproven.map(|row| (row.declared.pool.clone(), row.declared.version.clone()));
        t.rollouts.given_up.extend(unproven);
        let key = (declared.pool.clone(), declared.version.clone());
        t.rollouts.given_up.remove(&key);
        let bounds = t.settings.rollouts;
        let uncertainty = max_order_age(t, now);
        let mut row = RolloutRow::new(declared.clone(), now, uncertainty, first_ratio(bounds));
        if reverts {
            row.advance(Stage::Moving);
        }
        t.rollouts.rows.insert(declared.pool.clone(), row);
    }
    let ordered = |pool: &PoolId| catalog.rollouts.iter().any(|r| r.pool == *pool);
    t.rollouts.rows.retain(|pool, _| ordered(pool));
    hold_rare_versions(t, now);
}

/// Returns how long ago a newly read order may have been issued: at most since the configuration
/// without it was last known to be the newest.
fn max_order_age(t: &Tables, now: Time) -> Duration {
    let before = t.config_confirmed_at.map(|at| now.saturating_sub(at));
    before.unwrap_or_default().min(MAX_UNCERTAINTY)
}

/// Returns the ratio of requests that a version gets before any request was counted.
fn first_ratio(bounds: Rollouts) -> f64 {
    let nothing = allowance::Progress {
        elapsed: Time::ZERO,
        uncertainty: Time::ZERO,
        time: Time::ZERO,
        sent: 0,
        exposed: 0,
    };
    allowance::watched_ratio(nothing, bounds)
}

/// Returns whether an order reverts an unfinished roll-out: its version still carries the traffic
/// and needs no trial.
fn is_return_to_previous(t: &Tables, row: &RolloutRow, version: &str) -> bool {
    let unfinished = !row.stage.is_recorded() && row.stage != Stage::Moving;
    let serves_version = |e: &EndpointRow| e.present && e.declared.version == version;
    let mut pool = t.endpoints.iter().filter(|(_, e)| in_pool(e, row));
    unfinished && row.declared.version != version && pool.any(|(_, e)| serves_version(e))
}

fn in_pool(e: &EndpointRow, row: &RolloutRow) -> bool {
    e.declared.pool == row.declared.pool
}

/// Holds back endpoints of versions that are rare in their pool until a configuration newer than
/// they are is known: an order is issued before its endpoints start, but may be read after them.
fn hold_rare_versions(t: &mut Tables, now: Time) {
    let counts = count_versions(t);
    let max_count = |pool: &str| counts[pool].values().copied().max().unwrap_or(0);
    let is_rare = |e: &EndpointRow| {
        let versions = &counts[e.declared.pool.as_str()];
        versions.len() > 1 && versions[e.declared.version.as_str()] < max_count(&e.declared.pool)
    };
    let new = t
        .endpoints
        .iter()
        .filter(|(_, e)| e.present && e.held_since.is_none());
    let rare: Vec<usize> = new.filter(|(_, e)| is_rare(e)).map(|(at, _)| at).collect();
    for at in rare {
        t.endpoints.get_mut(at).held_since = Some(now);
    }
}

/// Counts the endpoints of each pool by version.
fn count_versions(t: &Tables) -> HashMap<&str, HashMap<&str, usize>> {
    let mut counts: HashMap<&str, HashMap<&str, usize>> = HashMap::new();
    for (_, e) in t.endpoints.iter().filter(|(_, e)| e.present) {
        let versions = counts.entry(&e.declared.pool).or_default();
        *versions.entry(&e.declared.version).or_default() += 1;
    }
    counts
}

/// Returns whether any order that concerns the endpoint would be known by now.
fn is_settled(t: &Tables, e: &EndpointRow) -> bool {
    let Some(since) = e.held_since else {
        return true;
    };
    t.rollouts.of(&e.declared.pool).is_some() || t.config_confirmed_at.is_none_or(|at| at > since)
}

/// Side of a roll-out that a request belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    /// The request goes to the old version.
    Old,
    /// The request is part of the trial of the new version.
    Trial,
    /// The request goes to the new version.
    New,
}

fn side(row: &RequestRow, rollout: &RolloutRow) -> Side {
    match rollout.stage {
        Stage::Watching if request_fraction(row) < service_ratio(&row.new.service, rollout) => {
            Side::Trial
        }
        Stage::Watching | Stage::Halted | Stage::RolledBack => Side::Old,
        Stage::Moving | Stage::Completed => Side::New,
    }
}

/// Returns a number from 0 to 1 derived from the request id; the request's instance and the
/// coordinator compute the same one.
fn request_fraction(row: &RequestRow) -> f64 {
    rendezvous::hash_key(row.new.id.as_bytes()) as f64 / u64::MAX as f64
}

/// Returns the fraction of a service's requests that go to a watched version. Every service
/// contributes the same number of requests, so that a version that fails for a rare service is
/// detected.
fn service_ratio(service: &str, rollout: &RolloutRow) -> f64 {
    let all: u64 = rollout.sent.values().sum();
    let own = rollout.sent.get(service).copied().unwrap_or(0);
    if all < MIN_SENT_FOR_PARTS {
        return rollout.ratio;
    }
    let even = all as f64 / rollout.sent.len() as f64;
    (rollout.ratio * even / own.max(1) as f64).min(MAX_SERVICE_FRACTION)
}

/// Returns whether an endpoint has the new version of a roll-out in its pool.
#[must_use]
pub fn is_new(t: &Tables, e: &EndpointRow) -> bool {
    let rollout = t.rollouts.of(&e.declared.pool);
    rollout.is_some_and(|r| r.declared.version == e.declared.version)
}

/// Returns whether a request may go to an endpoint, by its version.
#[must_use]
pub fn admits(t: &Tables, now: Time, row: &RequestRow, at: usize) -> bool {
    let e = t.endpoints.get(at);
    if !row.stream_origin.is_new() {
        return continues_now(t, now, row, at);
    }
    if !is_settled(t, e) || is_given_up(t, e) {
        return false;
    }
    let Some(rollout) = t.rollouts.of(&e.declared.pool) else {
        return true;
    };
    let new = is_new(t, e);
    match side(row, rollout) {
        Side::Old => !new,
        Side::Trial => !new || rollout.canaries.contains(&at),
        Side::New => new || !has_new(t, rollout),
    }
}

/// Returns the canary endpoint among `available` that a trial request goes to. It is selected by
/// the request id instead of by speed, so that every canary provides evidence.
#[must_use]
pub fn trial_endpoint(t: &Tables, row: &RequestRow, available: &[usize]) -> Option<usize> {
    let rollout = t.rollouts.of(row.pool_key())?;
    if !row.stream_origin.is_new() || side(row, rollout) != Side::Trial {
        return None;
    }
    let is_canary = |at: &&usize| rollout.canaries.contains(*at);
    let canaries: Vec<&usize> = available.iter().filter(is_canary).collect();
    let pick = |at: &&&usize| {
        let name = &t.endpoints.get(***at).declared.name;
        rendezvous::weight(rendezvous::hash_key(row.new.id.as_bytes()), name)
    };
    canaries.iter().max_by_key(pick).map(|at| **at)
}

/// Returns whether a granted endpoint may be used: the instance may know more recent progress of
/// the roll-out than the coordinator.
#[must_use]
pub fn admits_grant(t: &Tables, now: Time, row: &RequestRow, at: usize) -> bool {
    let e = t.endpoints.get(at);
    if !row.stream_origin.is_new() {
        return continues_now(t, now, row, at);
    }
    if !is_settled(t, e) || is_given_up(t, e) {
        return false;
    }
    match t.rollouts.of(&e.declared.pool) {
        Some(r) if r.stage == Stage::Completed => is_new(t, e) || !has_new(t, r),
        _ => true,
    }
}

/// Returns whether an endpoint may continue a request's stream now: its entry is known to be of the process that has its
/// address.
fn continues_now(t: &Tables, now: Time, row: &RequestRow, at: usize) -> bool {
    let e = t.endpoints.get(at);
    let build = row.stream_origin.build();
    build.is_some_and(|build| continues(t, build, e)) && start::is_confirmed(t, now, at)
}

/// Returns whether an endpoint may continue a stream that a build began.
///
/// A version that is rare in its pool is not held back here: the caller has part of its answer already. One that was
/// given up, or was replaced by a completed roll-out, continues nothing.
#[must_use]
pub fn continues(t: &Tables, build: &Build, e: &EndpointRow) -> bool {
    let replaced = t.rollouts.of(&build.pool).is_some_and(|rollout| {
        rollout.stage == Stage::Completed && !is_new(t, e) && has_new(t, rollout)
    });
    build.is_of(&e.declared) && !replaced && !is_given_up(t, e)
}

/// Returns whether an endpoint's version was given up.
fn is_given_up(t: &Tables, e: &EndpointRow) -> bool {
    let Some(rollout) = t.rollouts.of(&e.declared.pool) else {
        return false;
    };
    let halted = matches!(rollout.stage, Stage::Halted | Stage::RolledBack);
    let key = (e.declared.pool.clone(), e.declared.version.clone());
    (halted && is_new(t, e)) || t.rollouts.given_up.contains(&key)
}

/// Returns whether any endpoint of the new version accepts work. If none does, the old ones
/// continue to serve.
fn has_new(t: &Tables, rollout: &RolloutRow) -> bool {
    let new = |e: &EndpointRow| in_pool(e, rollout) && is_new(t, e);
    let mut endpoints = t.endpoints.iter();
    endpoints.any(|(_, e)| new(e) && e.present && !e.declared.leaving)
}

/// Returns the canary endpoints: few, so that they are as busy as the old ones, and some in each
/// availability zone, so that every group reaches them.
pub fn canaries(t: &Tables, now: Time, rollout: &RolloutRow) -> Vec<usize> {
    const LEAST_IN_ZONE: usize = 2;
    let mut zones: BTreeMap<&str, Vec<(Reverse<u64>, usize)>> = BTreeMap::new();
    let usable = t
        .endpoints
        .iter()
        .filter(|(_, e)| in_pool(e, rollout) && is_new(t, e) && e.usable(now) && is_settled(t, e));
    for (at, e) in usable {
        let order = Reverse(rendezvous::hash_key(e.declared.name.as_bytes()));
        zones.entry(&e.declared.zone).or_default().push((order, at));
    }
    let mut chosen = Vec::new();
    for mut endpoints in zones.into_values() {
        let part = (rollout.ratio * endpoints.len() as f64).ceil() as usize;
        endpoints.sort_unstable();
        endpoints.truncate(part.max(LEAST_IN_ZONE));
        chosen.extend(endpoints.into_iter().map(|(_, at)| at));
    }
    chosen
}
