//! What the answers of dispatches say of a version, and what other instances saw of it.

use firdock_core::RequestId;
use firdock_core::resource::Endpoint;
use uuid::Uuid;

use super::versions::is_new;
use crate::event::GroupEvidence;
use crate::request::{EndpointFailure, RequestRow};
use crate::rollout::{Evidence, RolloutReport, Tally};
use crate::table::Tables;
use crate::time::Time;

/// Time of an answer apart from what depends on its length, in seconds: about that of a plain call, and
/// of an engine's first token. It only sets the middle of the bands.
const BASE_SECS: f64 = 0.03;

/// Counts a request that is sent to an endpoint.
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

/// Counts a whole answer by the time that it took.
pub fn record_answer(t: &mut Tables, now: Time, id: RequestId, at: usize, output: u32) {
    let Some(row) = t.requests.get(id) else {
        return;
    };
    let took = now.saturating_sub(row.dispatched);
    let expected = expected_secs(&t.endpoints.get(at).declared, row, output);
    let stretch = took.as_secs_f64() / expected;
    count(t, id, at, |tally| tally.record_answer(stretch));
}

/// Counts an answer that broke off or never came.
pub fn record_lost(t: &mut Tables, id: RequestId, at: usize) {
    count(t, id, at, |tally| tally.lost += 1);
}

/// Notes that an endpoint answered that it failed; how the dispatch ends is told next.
pub fn record_failure(t: &mut Tables, id: RequestId) {
    if let Some(row) = t.requests.get_mut(id) {
        row.failure = EndpointFailure::Reported;
    }
}

/// Counts how a dispatch ended, unless the endpoint said that it failed: that is what counts then.
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
    // What was sent before the order says nothing of one version beside the other.
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

/// Gives the time that an answer takes by what is declared: the same for all endpoints of a pool, so
/// that their answers are compared by it.
fn expected_secs(e: &Endpoint, row: &RequestRow, output: u32) -> f64 {
    let prompt = f64::from(row.new.prompt_tokens) / e.prefill_rate;
    let tokens = f64::from(output.saturating_sub(row.resumed_from));
    BASE_SECS + prompt + tokens * e.token_secs()
}

/// Takes what a peer saw; that of other groups comes from their leads.
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

/// Takes what the lead of another group tells of it.
pub fn merge_group_evidence(t: &mut Tables, word: GroupEvidence) {
    if word.zone == t.settings.zone || t.is_single_group() {
        return;
    }
    for evidence in word.seen {
        let row = t.rollouts.find_mut(&evidence.pool, evidence.order);
        if let Some(row) = row {
            row.merge_group_evidence(word.zone.clone(), evidence);
        }
    }
}

/// Gives what peers are told of roll-outs: how far they are for as long as the orders stand, what was
/// seen of them until they end.
#[must_use]
pub fn report(t: &Tables, now: Time) -> RolloutReport {
    let mut told = RolloutReport::default();
    for row in t.rollouts.rows.values() {
        told.statuses.push(row.status(now));
        if !row.stage.is_recorded() {
            told.own.push(row.own.clone());
            told.group.push(row.group_evidence());
        }
    }
    told
}
