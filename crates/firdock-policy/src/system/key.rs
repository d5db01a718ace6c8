//! Idempotency keys: which instance may run them, and how a repeated request is answered.
//!
//! The two rules that keep an old and a new owner from running the same key are derived in
//! `docs/design/keys.md`: an owner runs a key only if it was minted before R + G, and an owner
//! since T never runs one minted before T + G.

use std::time::Duration;

use firdock_core::{Outcome, Reason, RequestId};

use crate::action::Action;
use crate::event::{KeyTransfer, Member, MemberView};
use crate::request::{KeyClaim, NewRequest, Origin, RequestRow, Verdict};
use crate::table::Tables;
use crate::table::key::KeyState;
use crate::table::view::Ownership;
use crate::time::{LogTime, Time};

/// Retry time sent with verdicts on requests with a key.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Decision on a request by its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// No key applies: the request has none, or its service is repeatable.
    Unbound,
    /// This instance owns the key, which counts as minted at this time.
    Own(LogTime),
    /// Another member owns the key.
    PassOn(Member),
    /// The answer to an earlier request with the key is repeated.
    Replay(RequestId),
    /// The request is refused with a final answer.
    Refuse(Verdict),
}

/// Decides on an arriving request by its key.
pub fn decide(t: &Tables, now: Time, service: usize, new: &NewRequest) -> Decision {
    let Some(claim) = new
        .key
        .filter(|_| !t.services.get(service).declared.repeatable)
    else {
        return Decision::Unbound;
    };
    match t.views.ownership(claim.hash) {
        Ownership::Nobody => refuse_unconfirmed(),
        Ownership::Other(_) if new.origin != Origin::Caller => refuse_unconfirmed(),
        // An earlier start of this instance: at its name, this one answers.
        Ownership::Other(owner) if owner.name == t.settings.member.name => refuse_unconfirmed(),
        Ownership::Other(owner) => Decision::PassOn(owner),
        Ownership::Own(since) => match decide_known(t, &claim) {
            Some(decision) => decision,
            None => decide_new(t, now, &claim, since),
        },
    }
}

/// Returns until when, by this process's clock, a request with an opaque key may be dispatched.
///
/// An opaque key has no minting time that a later owner could compare, so its owner relies on how
/// recent its last read of the log is. Once another member owns the key, the last limit stays in
/// force.
pub fn confirm_by(t: &Tables, row: &RequestRow) -> Option<Time> {
    let claim = row
        .new
        .key
        .filter(|k| k.minted.is_none() && row.minted.is_some())?;
    match t.views.ownership(claim.hash) {
        Ownership::Own(_) => t.views.confirmed_until(t.settings.key_grace),
        _ => row.confirm_by,
    }
}

/// Decides on a request whose key is already known here.
fn decide_known(t: &Tables, claim: &KeyClaim) -> Option<Decision> {
    let row = t.keys.get(claim.hash)?;
    if row.fingerprint != claim.fingerprint {
        // The first request with the key may run, but this one has not run and never will.
        return Some(refuse_not_run(Reason::KeyMismatch, None));
    }
    let decision = match row.state {
        KeyState::Live => refuse_unknown(Reason::KeyInUse, Some(RETRY_AFTER)),
        KeyState::Ended(Outcome::Answered) => Decision::Replay(row.id),
        KeyState::Ended(_) => refuse_unknown(Reason::KeyUncertain, None),
    };
    Some(decision)
}

/// Returns whether every earlier owner has transferred its keys and this key was not among them.
fn all_transferred(t: &Tables, key: u64, log_now: LogTime) -> bool {
    let horizon = log_now.saturating_sub(t.settings.key_retention);
    let me = t.settings.member.incarnation;
    let ownership_periods = t.views.ownership_periods(key, horizon);
    !t.transfers.contains(key)
        && ownership_periods
            .is_some_and(|ownership_periods| t.transfers.is_complete(me, &ownership_periods))
}

/// Applies a member view, and transfers keys to the members that own them now.
pub fn apply_view(t: &mut Tables, view: MemberView, out: &mut Vec<Action>) {
    if view.number <= t.views.number() {
        return;
    }
    t.views.push(view);
    let me = t.settings.member.clone();
    let others = t.views.members().iter().filter(|m| **m != me);
    let transfers = others.map(|m| {
        let moved = |key: &u64| t.views.owner_now(*key) == Some(m);
        let transfer = KeyTransfer {
            incarnation: me.incarnation,
            view: t.views.number(),
            keys: t
                .keys
                .hashes()
                .chain(t.transfers.hashes())
                .filter(moved)
                .collect(),
            known: t.transfers.known(),
        };
        Action::TransferKeys {
            peer: m.name.clone(),
            transfer,
        }
    });
    out.extend(transfers);
}

/// Applies a key transfer from another member.
pub fn apply_transfer(t: &mut Tables, now: Time, transfer: &KeyTransfer) {
    let me = t.settings.member.incarnation;
    t.transfers.merge(now, me, transfer, t.settings.max_keys);
}

fn decide_new(t: &Tables, now: Time, claim: &KeyClaim, since: Option<LogTime>) -> Decision {
    let grace = t.settings.key_grace;
    let (Some(read), Some(log_now)) = (t.views.last_read(), t.views.log_now(now)) else {
        return refuse_unconfirmed();
    };
    let minted = claim.minted.unwrap_or(log_now);
    // An opaque key may have run at an earlier owner for as long as callers may resend it.
    let wait = if claim.minted.is_some() {
        grace
    } else {
        t.settings.key_retention
    };
    let may_have_run =
        since.is_some_and(|s| minted < s + wait) && !all_transferred(t, claim.hash, log_now);
    if may_have_run || minted + t.settings.key_retention < log_now {
        return refuse_unknown(Reason::KeyUncertain, Some(RETRY_AFTER));
    }
    if minted >= read + grace {
        return refuse_unconfirmed();
    }
    if t.keys.len() >= t.settings.max_keys {
        return refuse_not_run(Reason::Overload, Some(RETRY_AFTER));
    }
    Decision::Own(minted)
}

/// Refuses a request as `unknown`: another member may own the key and may have run it, so `not-run`
/// could be wrong.
fn refuse_unconfirmed() -> Decision {
    Decision::Refuse(unconfirmed_verdict())
}

/// Returns the verdict for a request if the owner of its key is not confirmed or cannot be reached.
///
/// An earlier attempt with the same key may have run at the owner. Retrying with the same key is
/// always safe, so the verdict carries a retry time.
pub fn unconfirmed_verdict() -> Verdict {
    let reason = Reason::KeyUnconfirmed;
    Verdict {
        outcome: Outcome::Unknown,
        reason,
        retry_after: Some(RETRY_AFTER),
    }
}

fn refuse_not_run(reason: Reason, retry_after: Option<Duration>) -> Decision {
    Decision::Refuse(Verdict {
        outcome: Outcome::NotRun,
        reason,
        retry_after,
    })
}

fn refuse_unknown(reason: Reason, retry_after: Option<Duration>) -> Decision {
    Decision::Refuse(Verdict {
        outcome: Outcome::Unknown,
        reason,
        retry_after,
    })
}
