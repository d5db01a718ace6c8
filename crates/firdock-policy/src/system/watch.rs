//! Connections without requests that are kept to endpoints, so that an instance hears of the end of a process at which it has
//! nothing under way (`docs/design/stream-versions.md`).
//!
//! A process is known to be that of an entry if the entry was written after the connection had been opened, for as long as
//! the connection is open. Neither the store nor a request is needed for that.

use std::time::Duration;

use firdock_core::rendezvous;
use firdock_core::resource::Endpoint;

use super::restart::start_time;
use super::start::{self, BREAK_SPREAD, CLOCK_TOLERANCE};
use crate::action::Action;
use crate::event::{WatchChange, WatchUpdate};
use crate::table::Tables;
use crate::table::endpoint::{EndpointRow, Watch};
use crate::time::Time;

/// Largest number of endpoints that an instance watches: each takes two connections.
const MAX_WATCHED: usize = 128;
/// Largest number of instances that watch an endpoint, which bounds its connections. They tell the others.
const MAX_WATCHERS: usize = 8;
/// Time until an endpoint is watched again after it has closed its connections.
const RETRY_TIME: Duration = Duration::from_millis(100);
/// Time from the start of a process within which it is watched, if its address listens.
const MAX_OPENING_TIME: Duration = Duration::from_secs(1);
/// Time within which the end of a process is heard of on its connections, also by an instance that is busy.
const HEARING_TIME: Duration = Duration::from_millis(250);

/// Watches the endpoints that are told apart by their starts, and confirms those whose connections are open.
pub fn run(t: &mut Tables, now: Time, out: &mut Vec<Action>) {
    if t.settings.coordinates {
        return;
    }
    confirm_open(t, now);
    let is_due = |e: &EndpointRow| {
        let is_due = matches!(e.watch, Watch::None(from) if from <= now);
        is_due && e.present && e.declared.started.is_some()
    };
    let present = t.endpoints.iter().filter(|(_, e)| e.present).count();
    let due = t.endpoints.iter().filter(|(_, e)| is_due(e));
    let due: Vec<usize> = due.map(|(at, _)| at).collect();
    for at in due.into_iter().filter(|_| present <= MAX_WATCHED) {
        if !is_watcher(t, &t.endpoints.get(at).declared.name) {
            continue;
        }
        let e = t.endpoints.get_mut(at);
        e.watch = Watch::Opening;
        let endpoint = e.declared.name.clone();
        out.push(Action::Watch { endpoint });
    }
}

/// Records a change of the connections to an endpoint.
pub fn record(t: &mut Tables, now: Time, update: &WatchUpdate) {
    let Some(at) = t.endpoints.find(&update.endpoint) else {
        return;
    };
    let before = t.endpoints.get(at).watch;
    t.endpoints.get_mut(at).watch = match update.change {
        WatchChange::Opened(opened) => Watch::Open(opened),
        WatchChange::Ended | WatchChange::Closed => Watch::None(now + RETRY_TIME),
    };
    if let (WatchChange::Closed, Watch::Open(opened)) = (update.change, before) {
        let e = t.endpoints.get_mut(at);
        e.watch_closed = Some(now);
        let alive_at = heard_until(t, now)
            .map_or(Time::ZERO, |_| now.saturating_sub(BREAK_SPREAD))
            .max(opened);
        start::record_break(t, now, at, opened, alive_at);
    }
}

/// Returns whether the entry of an endpoint is known to be of the process that it is watched by: the entry was written after
/// the connection had been opened, or the connection was opened as soon as the start of the entry served, and is the first
/// since those to the process before were closed.
pub fn is_proven(t: &Tables, e: &EndpointRow) -> bool {
    let Watch::Open(opened) = e.watch else {
        return false;
    };
    let is_first = |began: Time| {
        let by_then = |closed: Time| closed <= began + CLOCK_TOLERANCE + BREAK_SPREAD;
        let follows = e.watch_closed.is_some_and(by_then);
        (began..began + MAX_OPENING_TIME).contains(&opened) && follows
    };
    let written_later = opened <= e.confirmed_at + BREAK_SPREAD;
    written_later || start_time(t, &e.declared).is_some_and(is_first)
}

/// Returns the connections that the row of a new start takes over from the one before: those that its process accepted.
pub fn carry_over(t: &Tables, before: &EndpointRow, declared: &Endpoint) -> Watch {
    let began = start_time(t, declared);
    match before.watch {
        Watch::Open(opened) if began.is_none_or(|began| opened < began) => Watch::Opening,
        watch => watch,
    }
}

/// Confirms the starts whose connections are open, whatever single answers have broken off meanwhile.
///
/// What an instance hears of late, since it did not run, confirms nothing.
fn confirm_open(t: &mut Tables, now: Time) {
    let Some(heard_until) = heard_until(t, now) else {
        return;
    };
    let proven = t.endpoints.iter().filter(|(_, e)| is_proven(t, e));
    let proven: Vec<usize> = proven.map(|(at, _)| at).collect();
    for at in proven {
        let e = t.endpoints.get_mut(at);
        e.confirmed_at = e.confirmed_at.max(heard_until);
        e.unconfirmed = e.unconfirmed.filter(|u| u.last_break > heard_until);
    }
}

/// Returns the time until which this instance has heard of the connections that were closed; `None` right after a time in
/// which it did not run.
fn heard_until(t: &Tables, now: Time) -> Option<Time> {
    let heard_until = now.saturating_sub(HEARING_TIME);
    (t.stalls.runs_since() <= heard_until).then_some(heard_until)
}

/// Returns whether this instance is one of those that watch an endpoint, by rendezvous hashing over the live ones.
fn is_watcher(t: &Tables, endpoint: &str) -> bool {
    let key = rendezvous::hash_key(endpoint.as_bytes());
    let own = rendezvous::weight(key, &t.settings.member.name);
    let peers = t.peers.iter();
    let before = peers.filter(|(_, peer)| rendezvous::weight(key, &peer.name) > own);
    before.count() < MAX_WATCHERS
}
