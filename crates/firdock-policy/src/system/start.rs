//! Whether the process behind an endpoint's address is still the one that wrote its entry, and by that which build
//! began a stream (`docs/design/stream-versions.md`).
//!
//! An endpoint may restart under its name with another build, and its new entry arrives later. A broken connection is the
//! sign of it. From then on the endpoint continues no stream, and what begins there has no known build, until an entry
//! that was written after the break names its start. The same holds without a sign where no entry was read that was
//! written recently: after the start of this instance, and while the platform's store is away.

use std::time::Duration;

use super::watch;
use crate::event::{RenewedEntry, UnconfirmedStart};
use crate::request::{Build, CompletionProof, Phase, RequestRow, StreamStart};
use crate::table::Tables;
use crate::table::endpoint::{EndpointRow, Unconfirmed, Watch};
use crate::table::start_history::{KnownStart, ReplacedStart};
use crate::time::Time;

/// Largest difference of the clocks of an endpoint and of this instance that is assumed when a dispatch is compared
/// with the time at which a start began.
pub const CLOCK_TOLERANCE: Duration = Duration::from_millis(50);

/// Time within which all connections to a process that ended are seen to break.
pub const BREAK_SPREAD: Duration = Duration::from_millis(50);

/// Records that the connection of a dispatch to an endpoint broke. Its process was alive at `alive_at`.
pub fn record_break(t: &mut Tables, now: Time, at: usize, sent: Time, alive_at: Time) {
    // A dispatch to a start that was replaced since may have reached the one after it.
    let name = &t.endpoints.get(at).declared.name;
    let Some(at) = t.endpoints.find(name) else {
        return;
    };
    let e = t.endpoints.get_mut(at);
    if e.declared.started.is_none() {
        return;
    }
    confirm_connection(e, sent, alive_at);
    let shown_by = (e.confirmed_at <= alive_at).then_some(sent);
    let alive_at = alive_at.max(e.confirmed_at);
    let (since, shown_by) = match e.unconfirmed {
        None => (alive_at, shown_by),
        // A dispatch that was sent before reached the process of the entry.
        Some(known) if sent < known.since && known.since < alive_at => (alive_at, shown_by),
        Some(known) => (known.since, known.shown_by),
    };
    if e.unconfirmed.is_none() {
        t.stats.unconfirmed_starts += 1;
    }
    e.unconfirmed = Some(Unconfirmed {
        since,
        shown_by,
        first_break: e.unconfirmed.map_or(now, |known| known.first_break),
        last_break: now,
    });
}

/// Records when the last bytes of a whole answer arrived from an endpoint. All connections to a process break with it, so
/// that an answer which began before a break and went on after it confirms the process.
pub fn record_answer(t: &mut Tables, at: usize, sent: Time, last_bytes: Time) {
    let e = t.endpoints.get_mut(at);
    let survived = |u: Unconfirmed| sent <= u.since && u.last_break + BREAK_SPREAD <= last_bytes;
    if e.unconfirmed.is_some_and(survived) {
        e.unconfirmed = None;
        e.confirmed_at = e.confirmed_at.max(last_bytes.saturating_sub(BREAK_SPREAD));
    }
    confirm_connection(e, sent, last_bytes);
}

/// Records that a process served on the connection of a dispatch until `alive_at`. It is that of the entry if the entry
/// was written after the dispatch.
fn confirm_connection(e: &mut EndpointRow, sent: Time, alive_at: Time) {
    if sent <= e.confirmed_at {
        e.confirmed_at = e.confirmed_at.max(alive_at.saturating_sub(BREAK_SPREAD));
    }
}

/// Records that no process listens at an endpoint's address.
pub fn record_refused_connection(t: &mut Tables, now: Time, at: usize) {
    let e = t.endpoints.get_mut(at);
    e.last_refusal = Some(now);
    e.refuses_since.get_or_insert(now);
    record_break(t, now, at, now, now);
}

/// Applies entries that starts wrote after known times: these starts were alive then.
pub fn confirm(t: &mut Tables, renewed: &[RenewedEntry]) {
    for entry in renewed {
        let Some(at) = t.endpoints.find_start(&entry.start) else {
            continue;
        };
        let e = t.endpoints.get_mut(at);
        e.confirmed_at = e.confirmed_at.max(entry.after);
        e.unconfirmed = e.unconfirmed.filter(|u| u.last_break > entry.after);
    }
}

/// Applies the starts that a peer cannot confirm.
///
/// A report does not count where an answer is under way here, or the endpoint is watched: this connection would have broken
/// as well. The members of
/// a coordinator check its placements by their own tables.
pub fn merge_reports(t: &mut Tables, reports: &[UnconfirmedStart]) {
    if t.settings.coordinates {
        return;
    }
    for report in reports {
        let Some(at) = t.endpoints.find_start(&report.start) else {
            continue;
        };
        let e = t.endpoints.get(at);
        let is_old = report.last_break <= e.confirmed_at;
        let is_connected = watch::is_proven(t, e) || has_answer_under_way(t, at, report.since);
        if is_old || e.declared.started.is_none() || is_connected {
            continue;
        }
        let e = t.endpoints.get_mut(at);
        let known = e.unconfirmed.unwrap_or(Unconfirmed {
            since: report.since,
            shown_by: None,
            first_break: report.last_break,
            last_break: report.last_break,
        });
        let since = known.since.min(report.since).max(e.confirmed_at);
        e.unconfirmed = Some(Unconfirmed {
            since,
            shown_by: known.shown_by.filter(|_| since == known.since),
            first_break: known.first_break,
            last_break: known.last_break.max(report.last_break),
        });
    }
}

/// Returns whether the entry of an endpoint is known to be of the process that has its address now.
///
/// An entry that was written recently shows it, and so does a connection that is older than the last entry. A coordinator
/// has no connections; its members check its placements by their own tables.
#[must_use]
pub fn is_confirmed(t: &Tables, now: Time, at: usize) -> bool {
    let e = t.endpoints.get(at);
    if e.declared.started.is_none() {
        return true;
    }
    let is_shown = t.settings.coordinates
        || match e.watch {
            Watch::Open(_) => watch::is_proven(t, e),
            Watch::None(_) | Watch::Opening => e.renewed_before(now),
        }
        || has_answer_under_way(t, at, e.confirmed_at);
    e.unconfirmed.is_none() && is_shown
}

/// Returns whether an answer to a request that was sent before `sent_by` is under way from an endpoint. The connection of
/// one whose end waits for a verdict has closed.
fn has_answer_under_way(t: &Tables, at: usize, sent_by: Time) -> bool {
    let running = |r: &RequestRow| {
        r.phase == Phase::Running(at)
            && r.dispatched <= sent_by
            && r.completion_proof == CompletionProof::Proven
    };
    t.endpoints.get(at).running > 0 && t.requests.iter().any(running)
}

/// Returns the starts that cannot be confirmed by this instance's own entries, for its peers.
#[must_use]
pub fn unconfirmed_starts(t: &Tables) -> Vec<UnconfirmedStart> {
    let rows = t.endpoints.iter().filter(|(_, e)| e.present);
    let reports = rows.filter_map(|(_, e)| {
        let unconfirmed = e.unconfirmed?;
        Some(UnconfirmedStart {
            start: e.start_id.clone(),
            since: unconfirmed.since,
            last_break: unconfirmed.last_break,
        })
    });
    reports.collect()
}

/// Returns the build that began a stream; `None` while that is not known.
#[must_use]
pub fn build_of<'a>(t: &'a Tables, stream: &'a StreamStart) -> Option<&'a Build> {
    let recorded = Candidate {
        start: &stream.start,
        build: &stream.build,
        began: None,
        unconfirmed: stream.unconfirmed,
    };
    build_since(t, stream, &recorded)
}

/// A start of an endpoint that may have begun a stream. No earlier one did.
#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    start: &'a str,
    build: &'a Build,
    /// When it began, if it followed another start.
    began: Option<Time>,
    /// Whether it was not known at the time of the dispatch that it still served.
    unconfirmed: bool,
}

/// Returns the build that began a stream at this start or a later one; `None` if that cannot be told.
fn build_since<'a>(
    t: &'a Tables,
    stream: &'a StreamStart,
    candidate: &Candidate<'a>,
) -> Option<&'a Build> {
    let name = stream.endpoint();
    let present = t.endpoints.find(name).map(|at| t.endpoints.get(at));
    if let Some(e) = present.filter(|e| e.start_id == candidate.start) {
        let is_doubtful = if candidate.began.is_some() {
            // The entry of a later start was read after the dispatch, so that what broke since broke after it.
            e.unconfirmed.is_some_and(|u| u.first_break < stream.sent)
        } else {
            // Nobody may have seen a restart before the dispatch, and the next entry is about to tell.
            is_unconfirmed(stream, candidate, e.unconfirmed) || e.awaits_entry()
        };
        let is_recent = e.renewed_before(stream.sent);
        let known = e.confirmed_at >= stream.sent || (is_recent && !is_doubtful);
        return known.then_some(candidate.build);
    }
    match t.starts.find(name, candidate.start) {
        Some(replaced) => build_after_restart(t, stream, candidate, replaced),
        // The endpoint left without a successor, or this instance has not read the entry of its start yet.
        None => (!candidate.unconfirmed).then_some(candidate.build),
    }
}

/// Returns whether the process of a candidate may have ended before a stream began.
fn is_unconfirmed(
    stream: &StreamStart,
    candidate: &Candidate<'_>,
    unconfirmed: Option<Unconfirmed>,
) -> bool {
    candidate.unconfirmed || unconfirmed.is_some_and(|u| u.since <= stream.sent)
}

/// Returns the build that began a stream at a start that another one has replaced since, or at a later one; `None` if
/// that cannot be told.
///
/// A process serves from its start on, and the earlier one has ended by then, whether or not its end was seen.
fn build_after_restart<'a>(
    t: &'a Tables,
    stream: &'a StreamStart,
    candidate: &Candidate<'a>,
    replaced: &'a ReplacedStart,
) -> Option<&'a Build> {
    let next = &replaced.next;
    let is_same_build = next.build == *candidate.build;
    let after_next = next
        .began
        .is_some_and(|at| at + CLOCK_TOLERANCE <= stream.sent);
    if after_next {
        // The clocks differ by more than is assumed if the earlier process is known to have served then.
        let is_confirmed = replaced.confirmed_at >= stream.sent;
        let is_consistent = is_same_build || !(is_confirmed || served_late(replaced));
        return build_at_next(t, stream, candidate, next).filter(|_| is_consistent);
    }
    let before_next = next
        .began
        .is_none_or(|at| stream.sent + CLOCK_TOLERANCE < at);
    let is_shown = replaced.confirmed_at >= stream.sent;
    if before_next && (is_shown || !is_unconfirmed(stream, candidate, replaced.unconfirmed)) {
        return Some(candidate.build);
    }
    if !is_same_build {
        return None;
    }
    if !before_next {
        return build_at_next(t, stream, candidate, next).filter(|build| **build == next.build);
    }
    // Another start, whose entry was never read, can only have served after the first break.
    let first_break = replaced.unconfirmed.map(|u| u.first_break);
    let before_break = first_break.is_none_or(|at| stream.sent <= at);
    let known = before_break && !candidate.unconfirmed;
    known.then_some(candidate.build)
}

/// Returns whether an answer that was sent before the next start began shows that the process served after that.
fn served_late(replaced: &ReplacedStart) -> bool {
    let shown = replaced.unconfirmed.zip(replaced.next.began);
    shown.is_some_and(|(unconfirmed, began)| {
        let is_earlier = unconfirmed.shown_by.is_some_and(|sent| sent < began);
        is_earlier && began + CLOCK_TOLERANCE <= unconfirmed.since
    })
}

/// Returns the build that began a stream at the start after a candidate, or at a later one.
fn build_at_next<'a>(
    t: &'a Tables,
    stream: &'a StreamStart,
    candidate: &Candidate<'a>,
    next: &'a KnownStart,
) -> Option<&'a Build> {
    // Entries that return do not lead back to earlier starts.
    let is_later = candidate.began < next.began;
    let next = Candidate {
        start: &next.start,
        build: &next.build,
        began: next.began,
        unconfirmed: false,
    };
    is_later.then(|| build_since(t, stream, &next)).flatten()
}
