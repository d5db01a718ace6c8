//! Progress of roll-outs: the instance that leads the site decides, and the others follow its
//! status.

use std::time::Duration;

use firdock_core::PoolId;

use super::versions::{canaries, is_new};
use crate::action::Action;
use crate::rollout::allowance::Progress;
use crate::rollout::verdict::{self, Finding};
use crate::rollout::{RolloutRecord, RolloutStatus, Stage, allowance};
use crate::system::limit;
use crate::table::Tables;
use crate::table::endpoint::EndpointRow;
use crate::table::rollout::RolloutRow;
use crate::time::Time;

/// Interval between two evaluations of the evidence; peers report every 200 ms.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(50);
/// Fraction of the old version's slots that the new version must have before the old endpoints may
/// stop.
const READY_FRACTION: f64 = 0.7;

/// Delay after which a roll-out proceeds if the pool has no endpoints of another version, because
/// it was ordered again or because they are gone. Entries that lapsed in an outage return within
/// this time.
const ALONE_DELAY: Duration = Duration::from_secs(3);

/// Sets whether this instance leads the site and decides on roll-outs.
pub fn set_decides(t: &mut Tables, decides: bool) {
    t.rollouts.decides = decides;
}

/// Applies a peer's status of a roll-out.
pub fn apply_status(t: &mut Tables, now: Time, status: &RolloutStatus) {
    let decides = t.rollouts.decides;
    let Some(row) = t.rollouts.find_mut(&status.pool, status.order) else {
        return;
    };
    row.began = row.began.min(now.saturating_sub(status.age));
    if status.ratio > 0.0 && !decides {
        row.ratio = status.ratio.min(1.0);
    }
    advance(t, &status.pool, status.stage);
}

/// Applies the platform store's record of a roll-out.
pub fn apply_record(t: &mut Tables, now: Time, record: &RolloutRecord) {
    let Some(row) = t.rollouts.find_mut(&record.pool, record.order) else {
        return;
    };
    row.began = row.began.min(now.saturating_sub(record.age));
    advance(t, &record.pool, record.stage);
}

/// Advances a roll-out to a later stage. The version of a halted or rolled-back roll-out counts as
/// given up.
fn advance(t: &mut Tables, pool: &str, stage: Stage) {
    let Some(row) = t.rollouts.rows.get_mut(pool) else {
        return;
    };
    let advanced = row.advance(stage);
    if advanced && matches!(stage, Stage::Halted | Stage::RolledBack) {
        let key = (row.declared.pool.clone(), row.declared.version.clone());
        t.rollouts.given_up.insert(key);
    }
}

/// Evaluates each roll-out that has not ended.
pub fn run(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    let due = |row: &RolloutRow| {
        row.evaluated_at + EVALUATION_INTERVAL <= now && !row.stage.is_recorded()
    };
    let rows = t.rollouts.rows.iter().filter(|(_, row)| due(row));
    let pools: Vec<PoolId> = rows.map(|(pool, _)| pool.clone()).collect();
    for pool in pools {
        evaluate(t, now, &pool, out);
    }
}

/// Selects the canary endpoints. If this instance decides, evaluates the evidence and advances the
/// roll-out accordingly.
fn evaluate(t: &mut Tables, now: Time, pool: &str, out: &mut Vec<Action>) {
    let Some(row) = t.rollouts.of(pool) else {
        return;
    };
    let selected = canaries(t, now, row);
    let evidence = t.rollouts.decides.then(|| row.site_evidence());
    let endpoints = open_endpoints(t, pool, true).count();
    let Some(row) = t.rollouts.rows.get_mut(pool) else {
        return;
    };
    row.evaluated_at = now;
    row.canaries = selected.into_iter().collect();
    let Some(evidence) = evidence else {
        return;
    };
    let progress = row.progress(now, &evidence);
    row.ratio = allowance::watched_ratio(progress, t.settings.rollouts);
    match verdict::evaluate(&evidence, endpoints) {
        Some(finding) if finding.bad && row.stage < Stage::Halted => {
            advance(t, pool, Stage::Halted);
            request_record(t, now, pool, Stage::RolledBack, &describe(&finding), out);
        }
        finding => continue_rollout(t, now, pool, progress, finding.is_some(), out),
    }
}

/// Moves all traffic when that is due, and requests a record of the stage reached.
fn continue_rollout(
    t: &mut Tables,
    now: Time,
    pool: &str,
    progress: Progress,
    has_finding: bool,
    out: &mut Vec<Action>,
) {
    let Some(stage) = t.rollouts.of(pool).map(|row| row.stage) else {
        return;
    };
    let stage = if stage == Stage::Watching && !has_finding && may_move(t, now, pool, progress) {
        // Requests of instances that do not know of the move yet are refused by the old endpoints
        // without running. Waiting for all instances would cost, by calculation, a third of the
        // exposure by which the version can be watched.
        advance(t, pool, Stage::Moving);
        Stage::Moving
    } else {
        stage
    };
    match stage {
        Stage::Watching => request_record(t, now, pool, Stage::Watching, "", out),
        Stage::Moving => request_record(t, now, pool, Stage::Completed, "", out),
        Stage::Halted => request_record(t, now, pool, Stage::RolledBack, "", out),
        Stage::Completed | Stage::RolledBack => {}
    }
}

/// Returns whether all traffic may move to the new version now.
fn may_move(t: &Tables, now: Time, pool: &str, progress: Progress) -> bool {
    let due = allowance::may_move_all(progress, t.settings.rollouts);
    let no_other_version = progress.elapsed >= ALONE_DELAY && !has_old(t, pool);
    (due || no_other_version) && is_ready(t, pool) && hears_majority(t, now)
}

/// Requests a record of a stage, once.
fn request_record(
    t: &mut Tables,
    now: Time,
    pool: &str,
    stage: Stage,
    reason: &str,
    out: &mut Vec<Action>,
) {
    let Some(row) = t.rollouts.rows.get_mut(pool) else {
        return;
    };
    if row.requested_record == Some(stage) {
        return;
    }
    row.requested_record = Some(stage);
    out.push(Action::Record(RolloutRecord {
        pool: row.declared.pool.clone(),
        order: row.declared.order,
        version: row.declared.version.clone(),
        stage,
        age: row.age(now),
        reason: reason.to_owned(),
    }));
}

/// Describes a finding for operators.
fn describe(finding: &Finding) -> String {
    let scope = finding.service.as_deref().unwrap_or("all services");
    format!(
        "{} of {} answers to {scope} were failures or slow; {:.0} in 100 with the old version",
        finding.bad_answers,
        finding.answers,
        finding.old_part * 100.0
    )
}

/// Iterates over the endpoints of one version of a pool that accept work.
fn open_endpoints<'a>(
    t: &'a Tables,
    pool: &'a str,
    new: bool,
) -> impl Iterator<Item = &'a EndpointRow> {
    let rows = t.endpoints.iter().map(|(_, e)| e);
    let open = rows.filter(move |e| e.declared.pool == pool && e.present && !e.declared.leaving);
    open.filter(move |e| is_new(t, e) == new)
}

fn open_slots(t: &Tables, pool: &str, new: bool) -> f64 {
    let slots = open_endpoints(t, pool, new).map(|e| f64::from(e.declared.slots));
    slots.sum()
}

/// Returns whether any endpoint of the old version accepts work.
fn has_old(t: &Tables, pool: &str) -> bool {
    open_slots(t, pool, false) > 0.0
}

/// Returns whether the new version has enough slots to replace the old one.
fn is_ready(t: &Tables, pool: &str) -> bool {
    let new = open_slots(t, pool, true);
    new > 0.0 && new >= READY_FRACTION * open_slots(t, pool, false)
}

/// Returns whether a majority of the known instances is live, as needed to decide for all.
fn hears_majority(t: &Tables, now: Time) -> bool {
    let (live, known) = limit::live_and_known(t, now);
    2 * live > known
}
