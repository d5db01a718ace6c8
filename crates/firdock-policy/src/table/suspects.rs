//! Suspects: requests during which endpoints exited, keyed by their content.
//!
//! They outlive the rows of the requests: what one attempt showed is needed at the next, which has
//! another id and may reach another instance.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use firdock_core::{AccountId, Content, ContentId, ServiceId, StartId};

use crate::suspect::{BrokenRun, ReportedExit, SuspectReport};
use crate::time::Time;

/// Exits that put a request into quarantine. One or two may be chance, as a server that exits for
/// another reason takes all its requests with it.
pub const EXITS_TO_QUARANTINE: usize = 3;
/// Maximum number of suspects, some hundred bytes each.
const MAX_SUSPECTS: usize = 1_024;
/// Maximum number of suspects per account, so that one account's requests evict only its own.
const MAX_PER_ACCOUNT: usize = 128;
/// Maximum number of exits kept per suspect: more than needed while it is still running somewhere.
const MAX_EXITS: usize = 16;
/// Time for which a suspect outside quarantine is kept after its last change. Callers retry within
/// minutes; a request that ends one server a day is left to the operators of the server.
const RETENTION: Duration = Duration::from_hours(1);
/// Time for which a cleared suspect is kept, so that other instances learn of it first.
const CLEARED_RETENTION: Duration = Duration::from_mins(1);
/// Time for which a change is included in every heartbeat, as several of them may be lost.
const CHANGE_REPORT_TIME: Duration = Duration::from_millis(1_500);
/// Maximum number of changed suspects per heartbeat: what several servers run, which may all exit
/// together. Those with the most exits come first, then the latest changed.
const MAX_CHANGED_REPORTS: usize = 60;
/// Number of other suspects per heartbeat, in rotation, for instances that have missed them.
const ROTATED_REPORTS: usize = 2;

/// An endpoint's exit while it ran a suspect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exit {
    /// Start of the endpoint.
    pub start: StartId,
    /// When the request was sent there.
    pub sent: Time,
    /// When the endpoint exited.
    pub at: Time,
    /// Whether it no longer counts.
    pub void: bool,
}

/// A request during which endpoints exited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// Content of the request.
    pub content: Arc<Content>,
    /// Account that sends it.
    pub account: AccountId,
    /// Service that it matched when an endpoint first exited during it.
    pub service: ServiceId,
    exits: Vec<Exit>,
    changed: Time,
    /// When this instance itself last observed a change.
    changed_here: Option<Time>,
}

impl Suspect {
    fn new(now: Time, content: Arc<Content>, account: AccountId, service: ServiceId) -> Self {
        Self {
            content,
            account,
            service,
            exits: Vec::new(),
            changed: now,
            changed_here: None,
        }
    }

    /// Returns all known exits, including those that no longer count.
    #[must_use]
    pub fn exits(&self) -> &[Exit] {
        &self.exits
    }

    /// Returns the exits that count, in order.
    ///
    /// Of runs whose times at their endpoints overlapped, only one counts: a rack that loses power
    /// ends many endpoints at once, which would incriminate whatever ran on three of them. A
    /// request that causes exits keeps doing so, one after another.
    #[must_use]
    pub fn counted(&self) -> Vec<&Exit> {
        let mut exits: Vec<&Exit> = self.exits.iter().filter(|e| !e.void).collect();
        exits.sort_by_key(|e| e.at);
        let mut counted: Vec<&Exit> = Vec::new();
        for exit in exits {
            if counted.last().is_none_or(|last| last.at <= exit.sent) {
                counted.push(exit);
            }
        }
        counted
    }

    /// Returns since when the request has been in quarantine, if it is; it is no longer sent to any
    /// endpoint.
    #[must_use]
    pub fn quarantined_since(&self) -> Option<Time> {
        let third = EXITS_TO_QUARANTINE - 1;
        self.counted().get(third).map(|exit| exit.at)
    }

    fn is_cleared(&self) -> bool {
        self.exits.iter().all(|e| e.void)
    }

    /// Adds an exit; the exit of one endpoint counts once, whoever reports it and however often the
    /// request was sent there.
    fn add(&mut self, exit: Exit) -> bool {
        if let Some(known) = self.exits.iter_mut().find(|e| e.start == exit.start) {
            let changed = exit.void && !known.void;
            known.void |= exit.void;
            // Reported times drift later in transit, so the earliest is the most accurate.
            known.sent = known.sent.min(exit.sent);
            known.at = known.at.min(exit.at);
            return changed;
        }
        if self.exits.len() >= MAX_EXITS {
            // Exits that overlap with a counted one carry no further information.
            let counted: Vec<StartId> = self.counted().iter().map(|e| e.start.clone()).collect();
            self.exits.retain(|e| counted.contains(&e.start));
        }
        let has_capacity = self.exits.len() < MAX_EXITS;
        if has_capacity {
            self.exits.push(exit);
        }
        has_capacity
    }

    /// Marks all exits up to a time as no longer counting; returns whether any changed.
    fn void(&mut self, until: Time) -> bool {
        let counting = self.exits.iter_mut().filter(|e| !e.void && e.at <= until);
        counting.fold(false, |_, exit| {
            exit.void = true;
            true
        })
    }

    /// Returns the report for other instances.
    #[must_use]
    pub fn report(&self, now: Time) -> SuspectReport {
        let exit = |e: &Exit| ReportedExit {
            start: e.start.clone(),
            sent_ago: now.saturating_sub(e.sent),
            ended_ago: now.saturating_sub(e.at),
            void: e.void,
        };
        SuspectReport {
            content: Arc::clone(&self.content),
            account: self.account.clone(),
            service: self.service.clone(),
            exits: self.exits.iter().map(exit).collect(),
        }
    }
}

/// Revision of the table, by the source of its changes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Revision {
    /// Changes that this instance observed itself and reports at once.
    pub own: u64,
    /// All changes.
    pub all: u64,
}

/// Table of suspects.
#[derive(Debug, Default)]
pub struct Suspects {
    rows: BTreeMap<ContentId, Suspect>,
    /// For requests released by an operator: the time up to which exits do not count, as other
    /// instances may report them later.
    released: BTreeMap<ContentId, Time>,
    revision: Revision,
}

impl Suspects {
    /// Finds a suspect.
    #[must_use]
    pub fn get(&self, id: ContentId) -> Option<&Suspect> {
        self.rows.get(&id)
    }

    /// Iterates over all suspects.
    pub fn iter(&self) -> impl Iterator<Item = &Suspect> {
        self.rows.values()
    }

    /// Returns the revision of the table.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns whether a request is in quarantine.
    #[must_use]
    pub fn is_quarantined(&self, id: ContentId) -> bool {
        let row = self.rows.get(&id);
        row.is_some_and(|s| s.quarantined_since().is_some())
    }

    /// Records that an endpoint exited while it ran a request; returns whether that is new.
    pub fn record_exit(&mut self, now: Time, run: &BrokenRun, at: Time) -> bool {
        let exit = Exit {
            start: run.start.clone(),
            sent: run.sent,
            at,
            void: false,
        };
        let new = Suspect::new(
            now,
            Arc::clone(&run.content),
            run.account.clone(),
            run.service.clone(),
        );
        let id = new.content.id;
        let changed = self.change(now, new, vec![exit]);
        if changed {
            self.mark_own_change(now, id);
        }
        changed
    }

    /// Records that this instance itself observed a change, which it reports to all others.
    fn mark_own_change(&mut self, now: Time, id: ContentId) {
        self.revision.own += 1;
        if let Some(row) = self.rows.get_mut(&id) {
            row.changed_here = Some(now);
        }
    }

    /// Merges the report of another instance; returns whether any of it is new.
    pub fn merge_report(&mut self, now: Time, report: SuspectReport) -> bool {
        let exits = report.exits.into_iter().take(MAX_EXITS).map(|e| Exit {
            start: e.start,
            sent: now.saturating_sub(e.sent_ago.max(e.ended_ago)),
            at: now.saturating_sub(e.ended_ago),
            void: e.void,
        });
        let exits: Vec<Exit> = exits.collect();
        let known = self.rows.contains_key(&report.content.id);
        if !known && exits.iter().all(|e| e.void) {
            return false;
        }
        let new = Suspect::new(now, report.content, report.account, report.service);
        self.change(now, new, exits)
    }

    fn change(&mut self, now: Time, new: Suspect, mut exits: Vec<Exit>) -> bool {
        let id = new.content.id;
        if let Some(until) = self.released.get(&id) {
            for exit in &mut exits {
                exit.void |= exit.at <= *until;
            }
        }
        if !self.rows.contains_key(&id) {
            self.evict_if_full(&new.account);
        }
        let row = self.rows.entry(id).or_insert(new);
        let added = exits.into_iter().map(|exit| row.add(exit));
        let changed = added.fold(false, |any, one| any | one);
        if changed {
            row.changed = now;
            self.revision.all += 1;
        }
        changed
    }

    /// Releases a request on behalf of an operator: exits up to `until` no longer count.
    pub fn release(&mut self, now: Time, id: ContentId, until: Time) {
        if self.released.len() < MAX_SUSPECTS || self.released.contains_key(&id) {
            let known = self.released.entry(id).or_insert(until);
            *known = until.max(*known);
        }
        self.clear(now, id, until);
    }

    /// Clears a request of the exits up to a time; returns whether that changed anything.
    pub fn clear(&mut self, now: Time, id: ContentId, until: Time) -> bool {
        let Some(row) = self.rows.get_mut(&id) else {
            return false;
        };
        let changed = row.void(until);
        if changed {
            row.changed = now;
            self.revision.all += 1;
            self.mark_own_change(now, id);
        }
        changed
    }

    /// Removes what has been kept long enough; a request in quarantine stays until an operator
    /// releases it.
    pub fn sweep(&mut self, now: Time) {
        self.rows.retain(|_, s| {
            let keep = if s.is_cleared() {
                CLEARED_RETENTION
            } else {
                RETENTION
            };
            s.changed + keep > now || s.quarantined_since().is_some()
        });
    }

    /// Returns the reports for a heartbeat: recent changes that this instance observed, and others
    /// in rotation.
    #[must_use]
    pub fn reports(&self, now: Time, round: usize) -> Vec<SuspectReport> {
        let is_new = |s: &&Suspect| {
            s.changed_here
                .is_some_and(|changed_here| changed_here + CHANGE_REPORT_TIME > now)
        };
        let (new, others): (Vec<&Suspect>, Vec<&Suspect>) = self.rows.values().partition(is_new);
        let start = round * ROTATED_REPORTS % others.len().max(1);
        let rotated = others.iter().cycle().skip(start);
        let rotated = rotated.take(ROTATED_REPORTS.min(others.len()));
        let chosen = most_important(new).into_iter().chain(rotated.copied());
        chosen.map(|s| s.report(now)).collect()
    }

    /// Returns recent changes learned from other instances, which the leads of groups forward.
    #[must_use]
    pub fn reports_to_forward(&self, now: Time) -> Vec<SuspectReport> {
        let is_new = |s: &&Suspect| {
            s.changed + CHANGE_REPORT_TIME > now && s.changed_here != Some(s.changed)
        };
        let received = most_important(self.rows.values().filter(is_new).collect());
        received.into_iter().map(|s| s.report(now)).collect()
    }

    /// Returns the reports for a newly discovered instance: all suspects that are not cleared,
    /// those in quarantine first.
    #[must_use]
    pub fn all_reports(&self, now: Time, limit: usize) -> Vec<SuspectReport> {
        let mut rows: Vec<&Suspect> = self.rows.values().filter(|s| !s.is_cleared()).collect();
        rows.sort_by_key(|s| s.quarantined_since().is_none());
        rows.into_iter()
            .take(limit)
            .map(|s| s.report(now))
            .collect()
    }

    /// Makes room for one more suspect of an account.
    fn evict_if_full(&mut self, account: &AccountId) {
        let of_account = self.rows.values().filter(|s| s.account == *account).count();
        let own = of_account >= MAX_PER_ACCOUNT;
        if !own && self.rows.len() < MAX_SUSPECTS {
            return;
        }
        let rows = self.rows.iter();
        let rows = rows.filter(|(_, s)| !own || s.account == *account);
        // The suspect with the fewest exits, and of those the least recently changed, is the least
        // loss.
        let least_important = rows.min_by_key(|(_, s)| (s.counted().len(), s.changed));
        if let Some(id) = least_important.map(|(id, _)| *id) {
            self.rows.remove(&id);
        }
    }
}

/// Returns the most important suspects, as many as fit into one heartbeat.
fn most_important(mut suspects: Vec<&Suspect>) -> Vec<&Suspect> {
    suspects.sort_by_key(|s| Reverse((s.counted().len(), s.changed)));
    suspects.truncate(MAX_CHANGED_REPORTS);
    suspects
}
