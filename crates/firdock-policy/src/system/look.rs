//! Looks at endpoints whose connections ended early: one that has ended is told apart from one that
//! lives and broke off an answer.

use super::{health, suspect};
use crate::action::Action;
use crate::event::{Found, Look};
use crate::table::Tables;
use crate::table::endpoint::LookState;
use crate::time::Time;

/// Has it looked whether an endpoint is still there; one look at a time is made, and once more if
/// something broke after it began.
///
/// A coordinator has no connections, so that its members look.
pub fn ask(t: &mut Tables, now: Time, at: usize, out: &mut Vec<Action>) {
    if t.settings.coordinates {
        return;
    }
    let e = t.endpoints.get_mut(at);
    if let Some(look) = &mut e.look {
        look.again = true;
        return;
    }
    e.look = Some(LookState {
        began: now,
        again: false,
    });
    out.push(Action::Look {
        endpoint: e.declared.name.clone(),
        start: e.start_id.clone(),
    });
}

/// Takes what a look found.
pub fn take(t: &mut Tables, now: Time, look: &Look, out: &mut Vec<Action>) {
    *t.stats.looks.entry(look.found).or_default() += 1;
    let at = t.endpoints.find_start(&look.start);
    let state = at.and_then(|at| t.endpoints.get_mut(at).look.take());
    if look.found == Found::Ended {
        // It gets nothing for a while, and what broke there was on board.
        if let Some(at) = at.filter(|at| t.endpoints.get(*at).is_healthy()) {
            health::eject(t, now, at);
        }
        suspect::endpoint_ended(t, now, &look.start, out);
        return;
    }
    let Some((at, state)) = at.zip(state) else {
        return;
    };
    if look.found == Found::Open {
        suspect::endpoint_open(t, &look.start, state.began);
    }
    if state.again {
        ask(t, now, at, out);
    }
}
