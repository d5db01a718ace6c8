//! Rate limits that endpoints name for all instances together.
//!
//! An instance sends to such an endpoint only with a permit. One instance grants the permits of an
//! endpoint, from one token bucket; all others request them as they have work
//! (`docs/design/endpoint-limits.md`).

use std::collections::BTreeMap;
use std::time::Duration;

use firdock_core::RequestId;

use super::limit;
use crate::action::Action;
use crate::permit::{LimitReport, PermitGrant, PermitHolder, PermitRequest};
use crate::table::Tables;
use crate::table::endpoint_limit::{EndpointLimit, PermitDemand};
use crate::time::Time;

/// Minimum time by which a peer's report has to be newer than what is known here: the error of the
/// times at which peers read their answers.
const REPORT_MARGIN: Duration = Duration::from_millis(50);
/// Factor for the instances that are not heard. Those that are down use nothing of a limit, and
/// cannot be told from those that are cut off. All parts of a divided site together grant at most
/// this much more than the limit, which endpoints bear.
const UNHEARD_FACTOR: f64 = 1.25;

/// Records the limits that peers know.
pub fn merge_peer_reports(t: &mut Tables, reports: &[LimitReport]) {
    merge_reports(t, reports, |limit, report| {
        limit.record_report(report.read, report.limit, REPORT_MARGIN)
    });
}

/// Records the limits that this instance's own scheduler knows, for its coordinator.
pub fn copy_reports(t: &mut Tables, reports: &[LimitReport]) {
    merge_reports(t, reports, |limit, report| {
        limit.record(report.read, report.limit)
    });
}

fn merge_reports(
    t: &mut Tables,
    reports: &[LimitReport],
    record: impl Fn(&mut EndpointLimit, &LimitReport) -> bool,
) {
    for report in reports {
        let Some(at) = t.endpoints.find_start(&report.endpoint) else {
            continue;
        };
        let limit = &mut t.endpoints.get_mut(at).limit;
        if record(limit, report) {
            t.limits.revision.all += 1;
        }
        t.limits.named |= limit.rate().is_some();
    }
}

/// Returns the limits that peers are told of.
#[must_use]
pub fn reports(t: &Tables, now: Time) -> Vec<LimitReport> {
    let rows = t.endpoints.iter().map(|(_, e)| e);
    let current = rows.filter(|e| !e.is_replaced());
    current
        .filter_map(|e| e.limit.report(now, &e.start_id))
        .collect()
}

/// Requests permits for the endpoints that this scheduler has work for.
///
/// Permits are requested ahead of the requests that use them where these are frequent, so that they
/// need not wait.
pub fn request(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    t.permit_issuer.sweep(now);
    if !t.limits.named {
        return;
    }
    let demand = demand_on_limited(t);
    let mut wanted = Vec::new();
    for (at, demand) in demand {
        let e = t.endpoints.get_mut(at);
        wanted.extend(e.limit.request(now, &e.start_id, demand));
    }
    let mut rows = t.endpoints.iter();
    t.limits.named = rows.any(|(_, e)| e.limit.rate().is_some());
    if !wanted.is_empty() {
        out.push(Action::RequestPermits(wanted));
    }
}

/// Returns the demand on each endpoint with a rate limit for which this scheduler chooses requests.
fn demand_on_limited(t: &Tables) -> BTreeMap<usize, PermitDemand> {
    let mut demand: BTreeMap<usize, PermitDemand> = BTreeMap::new();
    for (_, s) in t.services.iter() {
        for at in &s.endpoints {
            let e = t.endpoints.get(*at);
            // The coordinator requests the permits for the engines that it chooses.
            let chosen_here = !(t.coordinated && e.is_engine());
            if chosen_here && e.limit.rate().is_some() {
                let sum = demand.entry(*at).or_default();
                sum.held += s.queue.len() as u32;
                sum.rate += s.rate;
            }
        }
    }
    demand
}

/// Adds granted permits.
pub fn apply_grants(t: &mut Tables, now: Time, grants: &[PermitGrant]) {
    for grant in grants {
        if let Some(at) = t.endpoints.find_start(&grant.endpoint) {
            t.endpoints.get_mut(at).limit.add(now, grant);
        }
    }
}

/// Grants permits for endpoints that this instance is responsible for.
pub fn grant(
    t: &mut Tables,
    now: Time,
    holder: PermitHolder,
    requests: &[PermitRequest],
    out: &mut Vec<Action>,
) {
    let share = grantable_share(t, now);
    let mut grants = Vec::new();
    for request in requests {
        // The holder may not know the latest limit yet.
        let at = t.endpoints.find_start(&request.endpoint);
        let known = at.and_then(|at| t.endpoints.get(at).limit.rate());
        let request = PermitRequest {
            rate: known.unwrap_or(request.rate),
            ..request.clone()
        };
        grants.push(t.permit_issuer.grant(now, share, &holder, &request));
    }
    out.push(Action::GrantPermits { holder, grants });
}

/// Returns the fraction of a limit that this instance may grant: the part of the instances that it
/// hears, since the others may have elected another one to grant permits.
fn grantable_share(t: &Tables, now: Time) -> f64 {
    if !t.settings.shares_permits {
        return 1.0 / (1.0 + t.peers_known() as f64);
    }
    (limit::limit_share(t, now) * UNHEARD_FACTOR).min(1.0)
}

/// Returns the permit of a dispatch that did not reach its endpoint.
pub fn put_back(t: &mut Tables, id: RequestId, at: usize) {
    let permit = t.requests.get_mut(id).and_then(|row| row.permit.take());
    if let Some(until) = permit {
        t.endpoints.get_mut(at).limit.put_back(until);
    }
}
