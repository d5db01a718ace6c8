//! Admission: matches a request to its service and account, and holds it.

use std::time::Duration;

use firdock_core::resource::request_rank;
use firdock_core::{Outcome, Reason, RequestId};

use super::{access, attempts, continuation, fair_share, key, lifecycle, limit, suspect};
use crate::action::Action;
use crate::request::{KeyClaim, NewRequest, Origin, RequestRow, Verdict};
use crate::table::Tables;
use crate::time::{LogTime, Time};

/// Retry time sent to callers when no endpoint serves the request.
const NO_ENDPOINT_RETRY: Duration = Duration::from_secs(5);

/// Handles the arrival of a request.
pub fn admit_request(t: &mut Tables, now: Time, mut new: NewRequest, out: &mut Vec<Action>) {
    if new.access_changed {
        reject(t, &new, access::verdict(Outcome::NotRun), out);
        return;
    }
    let Some((service, account)) = in_force(t, &new) else {
        reject(t, &new, undeclared_verdict(&new), out);
        return;
    };
    if let Err(verdict) = continuation::resolve(t, now, service, &mut new) {
        reject(t, &new, verdict, out);
        return;
    }
    let unserved = t.services.get(service).endpoints.is_empty();
    let (id, claim) = (new.id, new.key);
    match key::decide(t, now, service, &new) {
        key::Decision::Refuse(verdict) => reject(t, &new, verdict, out),
        key::Decision::Replay(earlier) => {
            *t.stats.outcomes.entry(Outcome::Answered).or_default() += 1;
            out.push(Action::Replay { id, earlier });
        }
        key::Decision::PassOn(owner) => {
            // The owner of the key charges the account limit, so there is nothing to refund here.
            insert(t, now, new, service, account, 0.0);
            super::handover::to_key_owner(t, now, id, &owner, out);
        }
        _ if suspect::is_quarantined(t, &new) => {
            reject(t, &new, suspect::quarantine_verdict(), out);
        }
        _ if unserved => reject(t, &new, no_endpoint(Outcome::NotRun), out),
        decision => {
            let Some(charge) = limit::charge(t, now, account, &new) else {
                let verdict = limit::limit_verdict(t, account);
                attempts::count_rejected(t, now, service, &new);
                reject(t, &new, verdict, out);
                return;
            };
            insert(t, now, new, service, account, charge);
            continuation::track(t, id);
            if let key::Decision::Own(minted) = decision {
                claim_key(t, id, claim, minted);
            }
        }
    }
}

/// Returns the rows of a request's service and account, if both are in force.
pub fn in_force(t: &Tables, new: &NewRequest) -> Option<(usize, usize)> {
    let service = t.services.find(&new.service)?;
    let account = t.accounts.find(&new.account)?;
    let present = t.services.get(service).present && t.accounts.get(account).present;
    present.then_some((service, account))
}

/// Records that an admitted request runs under its key.
fn claim_key(t: &mut Tables, id: RequestId, claim: Option<KeyClaim>, minted: LogTime) {
    if let (Some(row), Some(claim)) = (t.requests.get_mut(id), claim) {
        row.minted = Some(minted);
        t.keys.claim(&claim, id);
    }
}

/// Returns the verdict for a request whose service or account is not in force here.
///
/// A request with a key may have run while the service was in force, or may run at an instance
/// where it still is, so its outcome is unknown.
fn undeclared_verdict(new: &NewRequest) -> Verdict {
    no_endpoint(if new.key.is_some() {
        Outcome::Unknown
    } else {
        Outcome::NotRun
    })
}

fn no_endpoint(outcome: Outcome) -> Verdict {
    Verdict {
        outcome,
        reason: Reason::NoEndpoint,
        retry_after: Some(NO_ENDPOINT_RETRY),
    }
}

/// Answers a request that never entered the tables.
fn reject(t: &mut Tables, new: &NewRequest, verdict: Verdict, out: &mut Vec<Action>) {
    lifecycle::count_verdict(t, verdict);
    out.push(lifecycle::final_answer(new, verdict, Vec::new()));
}

/// Inserts a request into the tables in phase `Held`.
pub fn insert(
    t: &mut Tables,
    now: Time,
    new: NewRequest,
    service: usize,
    account: usize,
    charge: f64,
) {
    let id = new.id;
    let s = t.services.get_mut(service);
    s.live += 1;
    s.arrivals += 1;
    if new.origin == Origin::Caller {
        t.stats
            .tiers
            .entry(s.tier.name.clone())
            .or_default()
            .arrived += 1;
    }
    let a = t.accounts.get_mut(account);
    a.live += 1;
    a.held += 1;
    let rank = request_rank(a.rank, s.tier.rank);
    let arrived = now.saturating_sub(new.age);
    let row = RequestRow::new(arrived, new, service, account, rank);
    let row = row.with_service(&s.declared, charge);
    let mut row = attempts::with_first_attempt(s, now, row);
    row.rank = fair_share::rank(t, now, &row);
    t.dispatch_rates.record_arrival(row.pool_key(), row.rank);
    let queue = &mut t.services.get_mut(service).queue;
    queue.push(account, row.arrived, id);
    t.requests.insert(row);
    fair_share::record_arrival(t, now, id);
}
