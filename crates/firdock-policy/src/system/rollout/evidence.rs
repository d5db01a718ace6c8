//! Evidence on a version from the answers of dispatches and from other instances.

use firdock_core::RequestId;
use firdock_core::resource::Endpoint;
use uuid::Uuid;

use super::versions::is_new;
use crate::event::GroupEvidence;
use crate::request::{EndpointFailure, RequestRow};
use crate::rollout::{Evidence, RolloutReport, Tally};
use crate::table::Tables;
use crate::time::Time;

/// Part of the expected answer time that does not depend on length, in seconds: about the time of a
/// plain call or of an engine's first token. It only determines the center of the bins.
const BASE_SECS: f64 = 0.03;

/// Counts a request sent to an endpoint.
pub fn record_sent(t: &mut Tables, id: RequestId, at: usize) {
    let Some(row) = t.requests.get(id) else {
        return;
    };
    let e = t.endpoints.get(at);
    let new = is_new(t, e);
    let service = row.new.service.clone();
    if let Some(rollout) = t.rollouts.rows.get_mut(&e.declared.pool) {
        rollout.own.sent += 1;
        rollout.own.exposed += u64::from(new);
        *rollout.sent.entry(service).or_default() += 1;
    }
}

/// Counts a complete answer by the time it took.
pub fn record_answer(t: &mut Tables, now: Time, id: RequestId, at: usize, output: u32) {
    let Some(row) = t.requests.get(id) else {
        return;
    };
    let took = now.saturating_sub(row.dispatched);
    let expected = expected_secs(&t.endpoints.get(at).declared, row, output);
    let stretch = took.as_secs_f64() / expected;
    count(t, id, at, |tally| tally.record_answer(stretch));
}

/// Counts an answer that broke off or never arrived.
pub fn record_lost(t: &mut Tables, id: RequestId, at: usize) {
    count(t, id, at, |tally| tally.lost += 1);
}

/// Records that an endpoint returned a failure response; the update on how the dispatch ended
/// follows.
pub fn record_failure(t: &mut Tables, id: RequestId) {
    if let Some(row) = t.requests.get_mut(id) {
        row.failure = EndpointFailure::Reported;
    }
}

/// Counts how a dispatch ended. If the endpoint returned a failure response, that is counted
/// instead.
fn count(t: &mut Tables, id: RequestId, at: usize, add: impl FnOnce(&mut Tally)) {
    let Some(row) = t.requests.get(id) else {
        return;
    };
    let e = t.endpoints.get(at);
    let endpoint = if is_new(t, e) {
        e.declared.name.as_str()
    } else {
        ""
    };
    let endpoint = endpoint.to_owned();
    let Some(rollout) = t.rollouts.rows.get_mut(&e.declared.pool) else {
        return;
    };
    // Requests sent before the order do not compare one version with the other.
    if row.dispatched < rollout.began {
        return;
    }
    let tally = rollout.own.tally(&row.new.service, &endpoint);
    if row.failure == EndpointFailure::None {
        add(tally);
    } else {
        tally.failed += 1;
    }
}

/// Returns the expected time of an answer by the declared rates, which are the same for all
/// endpoints of a pool and make their answers comparable.
fn expected_secs(e: &Endpoint, row: &RequestRow, output: u32) -> f64 {
    let prompt = f64::from(row.new.prompt_tokens) / e.prefill_rate;
    let tokens = f64::from(output.saturating_sub(row.resumed_from));
    BASE_SECS + prompt + tokens * e.token_secs()
}

/// Merges a peer's evidence. Evidence of other groups comes from their leads.
pub fn merge_peer_evidence(
    t: &mut Tables,
    name: &str,
    zone: &str,
    start: Uuid,
    seen: Vec<Evidence>,
) {
    let near = zone == t.settings.zone || t.is_single_group();
    if !near || t.settings.coordinates {
        return;
    }
    for evidence in seen {
        let row = t.rollouts.find_mut(&evidence.pool, evidence.order);
        if let Some(row) = row {
            row.merge_peer_evidence(name, start, evidence);
        }
    }
}

/// Merges the evidence reported by the lead of another group.
pub fn merge_group_evidence(t: &mut Tables, group_report: GroupEvidence) {
    if group_report.zone == t.settings.zone || t.is_single_group() {
        return;
    }
    for evidence in group_report.seen {
        let row = t.rollouts.find_mut(&evidence.pool, evidence.order);
        if let Some(row) = row {
            row.merge_group_evidence(group_report.zone.clone(), evidence);
        }
    }
}

/// Returns the roll-out report for peers: the status for as long as the orders exist, and the
/// evidence until the roll-outs end.
#[must_use]
pub fn report(t: &Tables, now: Time) -> RolloutReport {
    let mut rollout_report = RolloutReport::default();
    for row in t.rollouts.rows.values() {
        rollout_report.statuses.push(row.status(now));
        if !row.stage.is_recorded() {
            rollout_report.own.push(row.own.clone());
            rollout_report.group.push(row.group_evidence());
        }
    }
    rollout_report
}
