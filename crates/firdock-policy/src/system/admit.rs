//! Admission: a request is matched to its service and account, and held.

use firdock_core::{Outcome, Reason};

use super::{end, key};
use crate::action::Action;
use crate::request::{NewRequest, Origin, RequestRow, Verdict};
use crate::table::Tables;
use crate::time::Time;

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
        turn_away(t, &new, no_endpoint(), out);
        return;
    };
    if t.services.get(service).endpoints.is_empty() {
        turn_away(t, &new, no_endpoint(), out);
        return;
    }
    let decision = key::decide(t, now, service, &new);
    let (id, claim) = (new.id, new.key);
    match decision {
        key::Decision::Refuse(verdict) => turn_away(t, &new, verdict, out),
        key::Decision::Replay(earlier) => {
            *t.stats.outcomes.entry(Outcome::Answered).or_default() += 1;
            out.push(Action::Replay { id, earlier });
        }
        key::Decision::Unbound => insert(t, now, new, service, account),
        key::Decision::Own(minted) => {
            insert(t, now, new, service, account);
            if let (Some(row), Some(claim)) = (t.requests.get_mut(id), claim) {
                row.minted = Some(minted);
                t.keys.claim(&claim, id);
            }
        }
        key::Decision::PassOn(owner) => {
            insert(t, now, new, service, account);
            super::handover::to_key_owner(t, id, &owner, out);
        }
    }
}

fn no_endpoint() -> Verdict {
    Verdict {
        outcome: Outcome::NotRun,
        reason: Reason::NoEndpoint,
        retry_seconds: Some(5),
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
    let a = t.accounts.get_mut(account);
    a.live += 1;
    a.held += 1;
    t.requests
        .insert(RequestRow::new(now, new, service, account, s.tier.rank));
}
