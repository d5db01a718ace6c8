//! Requests that were admitted by an earlier configuration and are not by the one in force.
//!
//! Keys are judged outside of the policy, which knows accounts by name alone. A request is sent only by a configuration
//! that admits it: the one by whose freshness it is sent (`docs/design/configuration.md`).

use std::time::Duration;

use firdock_core::{Outcome, Reason, RequestId};

use super::lifecycle;
use crate::action::Action;
use crate::request::{Phase, Verdict};
use crate::table::Tables;
use crate::time::Time;

/// Retry time of callers whose request is no longer admitted as it was; the next attempt is judged anew.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Keeps a request from being sent from now on. An answer that has begun goes on.
pub fn withdraw(t: &mut Tables, id: RequestId, out: &mut Vec<Action>) {
    let Some(row) = t.requests.get(id) else {
        return;
    };
    if let Phase::Dispatching(_) = row.phase {
        out.push(Action::Withhold {
            id,
            dispatch: row.dispatch,
        });
    }
    t.withdrawn.insert(id);
}

/// Ends withdrawn requests as soon as they are held: before they are sent, or sent again.
pub fn run(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    if t.withdrawn.is_empty() {
        return;
    }
    let requests = &t.requests;
    t.withdrawn.retain(|id| requests.get(*id).is_some());
    let held = t.withdrawn.iter().filter_map(|id| requests.get(*id));
    let held: Vec<(RequestId, Outcome)> = held
        .filter(|row| row.phase == Phase::Held)
        .map(|row| (row.new.id, row.outcome_unanswered()))
        .collect();
    for (id, outcome) in held {
        lifecycle::finish_with_verdict(t, now, id, verdict(outcome), out);
        t.withdrawn.remove(&id);
    }
}

/// Returns the final answer for a request that is no longer admitted as it was.
pub fn verdict(outcome: Outcome) -> Verdict {
    Verdict {
        outcome,
        reason: Reason::AccessChanged,
        retry_after: Some(RETRY_AFTER),
    }
}
