//! Admission: a request is matched to its service and account, and held.

use std::time::Duration;

use firdock_core::resource::request_rank;
use firdock_core::{Outcome, Reason};

use super::{end, key, limit};
use crate::action::Action;
use crate::request::{NewRequest, Origin, RequestRow, Verdict};
use crate::table::Tables;
use crate::time::Time;

/// Time after which a caller should try again where nothing serves the request.
const NO_ENDPOINT_RETRY: Duration = Duration::from_secs(5);

/// Takes a request that arrived.
pub fn arrived(t: &mut Tables, now: Time, new: NewRequest, out: &mut Vec<Action>) {
    let service = t
        .services
        .find(&new.service)
        .filter(|s| t.services.get(*s).present);
    let account = t
        .accounts
        .find(&new.account)
        .filter(|a| t.accounts.get(*a).present);
    let (Some(service), Some(account)) = (service, account) else {
        turn_away(t, &new, undeclared(&new), out);
        return;
    };
    let unserved = t.services.get(service).endpoints.is_empty();
    let (id, claim) = (new.id, new.key);
    match key::decide(t, now, service, &new) {
        key::Decision::Refuse(verdict) => turn_away(t, &new, verdict, out),
        key::Decision::Replay(earlier) => {
            *t.stats.outcomes.entry(Outcome::Answered).or_default() += 1;
            out.push(Action::Replay { id, earlier });
        }
        key::Decision::PassOn(owner) => {
            insert(t, now, new, service, account);
            super::handover::to_key_owner(t, now, id, &owner, out);
        }
        _ if unserved => turn_away(t, &new, no_endpoint(Outcome::NotRun), out),
        _ if !limit::take(t, now, account, &new) => {
            let verdict = limit::verdict(t, account);
            turn_away(t, &new, verdict, out);
        }
        key::Decision::Unbound => insert(t, now, new, service, account),
        key::Decision::Own(minted) => {
            insert(t, now, new, service, account);
            if let (Some(row), Some(claim)) = (t.requests.get_mut(id), claim) {
                row.minted = Some(minted);
                t.keys.claim(&claim, id);
            }
        }
    }
}

/// Gives the answer to a request whose service or account is not in force here.
///
/// Its key may have run while the service was in force, or runs at an instance where it still is.
fn undeclared(new: &NewRequest) -> Verdict {
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
fn turn_away(t: &mut Tables, new: &NewRequest, verdict: Verdict, out: &mut Vec<Action>) {
    end::count_verdict(t, verdict);
    out.push(end::final_word(new, verdict, Vec::new()));
}

fn insert(t: &mut Tables, now: Time, new: NewRequest, service: usize, account: usize) {
    let id = new.id;
    let s = t.services.get_mut(service);
    s.live += 1;
    s.arrivals += 1;
    s.queue.push_back(account, id);
    if new.origin == Origin::Caller {
        t.stats
            .tiers
            .entry(s.tier.name.clone())
            .or_default()
            .arrived += 1;
    }
    let declared = s.declared.clone();
    let a = t.accounts.get_mut(account);
    a.live += 1;
    a.held += 1;
    let rank = request_rank(a.rank, s.tier.rank);
    let charge = a.bucket.map_or(0.0, |b| b.cost(new.tokens()));
    let row = RequestRow::new(now, new, service, account, rank).with_service(&declared, charge);
    t.paces.note_arrival(row.pool_key(), rank);
    t.requests.insert(row);
}
