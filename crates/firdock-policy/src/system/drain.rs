//! Planned stop: held requests are handed over to peers, running ones finish here.

use firdock_core::{Reason, RequestId};

use super::{expire, handover};
use crate::action::Action;
use crate::request::{Origin, Phase, RequestRow};
use crate::table::Tables;
use crate::time::Time;

/// Ends all requests: the process exits, and their callers learn whether they may have run.
pub fn end_all(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    let ids: Vec<RequestId> = t.requests.iter().map(|r| r.new.id).collect();
    expire::end(t, now, ids, Reason::Stopping, out);
}

/// Hands over held requests while the instance is stopping, and reports when none are left.
pub fn run(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    if !t.draining {
        return;
    }
    let can_hand_over = |r: &&RequestRow| {
        r.phase == Phase::Held
            && r.new.origin == Origin::Caller
            && r.minted.is_none()
            && !r.ran_before
    };
    let ids: Vec<RequestId> = t
        .requests
        .iter()
        .filter(can_hand_over)
        .map(|r| r.new.id)
        .collect();
    for id in ids {
        handover::to_any_peer(t, now, id, out);
    }
    if t.requests.is_empty() && !t.drained {
        t.drained = true;
        out.push(Action::Drained);
    }
}
