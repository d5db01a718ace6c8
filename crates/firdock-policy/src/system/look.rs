//! Looks at endpoints whose connections ended early: one that has ended is told apart from one that
//! lives and broke off an answer.

use std::time::Duration;

use super::{health, suspect};
use crate::action::Action;
use crate::event::{Found, Look};
use crate::table::Tables;
use crate::time::Time;

/// Shortest time between two looks at one endpoint: what runs there breaks in the same moment when it
/// ends, and one look tells of all of that.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Has it looked whether an endpoint is still there, unless that was done a moment ago.
///
/// A coordinator has no connections, so that its members look.
pub fn ask(t: &mut Tables, now: Time, at: usize, out: &mut Vec<Action>) {
    let e = t.endpoints.get_mut(at);
    let recent = e.looked.is_some_and(|looked| looked + LOOK_PAUSE > now);
    if recent || t.settings.coordinates {
        return;
    }
    e.looked = Some(now);
    out.push(Action::Look {
        endpoint: e.declared.name.clone(),
        start: e.start_id.clone(),
    });
}

/// Takes what a look found.
pub fn take(t: &mut Tables, now: Time, look: &Look, out: &mut Vec<Action>) {
    *t.stats.looks.entry(look.found).or_default() += 1;
    match look.found {
        Found::Open => suspect::endpoint_alive(t, now, &look.start),
        Found::Ended => ended(t, now, look, out),
        Found::Silent => {}
    }
}

/// Takes it that an endpoint has ended: it gets nothing for a while, and what broke there was on board.
fn ended(t: &mut Tables, now: Time, look: &Look, out: &mut Vec<Action>) {
    let at = t.endpoints.find_start(&look.start);
    if let Some(at) = at.filter(|at| t.endpoints.get(*at).is_well()) {
        health::eject(t, now, at);
    }
    suspect::endpoint_ended(t, now, &look.start, out);
}
