//! Suspects: requests during which endpoints exited, keyed by their content, and segments of
//! prompts, keyed by their account, service and name.
//!
//! They outlive the rows of the requests: what one attempt showed is needed at the next, which has
//! another id and may reach another instance.

mod quarantine;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use firdock_core::{AccountId, Content, ContentId, ServiceId, StartId};

pub use self::quarantine::EXITS_TO_QUARANTINE;
use super::segment_answers::SegmentAnswers;
use crate::suspect::{BrokenRun, ReportedExit, SuspectKind, SuspectReport};
use crate::time::Time;

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

impl Exit {
    /// Creates the exit that ended a broken run.
    fn new(run: &BrokenRun, at: Time) -> Self {
        Self {
            start: run.start.clone(),
            sent: run.sent,
            at,
            void: false,
        }
    }
}

/// A request or prompt segment during which endpoints exited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// What it is.
    pub kind: SuspectKind,
    /// Content of the request, or the segment.
    pub content: Arc<Content>,
    /// Account that sends it.
    pub account: AccountId,
    /// Service that it matched when an endpoint first exited during it.
    pub service: ServiceId,
    exits: Vec<Exit>,
    quarantined_since: Option<Time>,
    changed: Time,
    /// When this instance itself last observed a change.
    changed_here: Option<Time>,
}

impl Suspect {
    fn new(
        now: Time,
        kind: SuspectKind,
        content: Arc<Content>,
        account: AccountId,
        service: ServiceId,
    ) -> Self {
        Self {
            kind,
            content,
            account,
            service,
            exits: Vec::new(),
            quarantined_since: None,
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
        self.counted_if(|_| true)
    }

    /// Returns those of the exits for which `counts` holds that count, in order.
    fn counted_if(&self, counts: impl Fn(&Exit) -> bool) -> Vec<&Exit> {
        let exits = self.exits.iter().filter(|e| !e.void && counts(e));
        let mut exits: Vec<&Exit> = exits.collect();
        exits.sort_by_key(|e| e.at);
        let mut counted: Vec<&Exit> = Vec::new();
        for exit in exits {
            if counted.last().is_none_or(|last| last.at <= exit.sent) {
                counted.push(exit);
            }
        }
        counted
    }

    /// Records the number of answers on a segment that were under way at one instance.
    fn merge_answers(&mut self, more: u32) {
        if let SuspectKind::Segment { answers, .. } = &mut self.kind {
            *answers = more.max(*answers);
        }
    }

    /// Merges what another instance knows of it; returns whether that is new.
    fn merge_kind(&mut self, reported: SuspectKind) -> bool {
        let before = self.kind;
        if let SuspectKind::Segment { answers, position } = reported {
            self.merge_answers(answers);
            if let SuspectKind::Segment {
                position: known, ..
            } = &mut self.kind
            {
                *known = position.min(*known);
            }
        }
        self.kind != before
    }

    /// Returns since when the request has been in quarantine, if it is; it is no longer sent to any
    /// endpoint.
    #[must_use]
    pub fn quarantined_since(&self) -> Option<Time> {
        self.quarantined_since
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
            kind: self.kind,
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
    /// Answers on segments that were under way here.
    answers: SegmentAnswers,
    /// Suspects that entered quarantine and of which the requests here are still to be ended.
    entered: Vec<ContentId>,
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

    /// Returns whether there are no suspects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Records that an endpoint exited while it ran a request: against its content, and against the
    /// segments of its prompt. Returns the suspects of which that is new.
    pub fn record_exit(&mut self, now: Time, run: &BrokenRun, at: Time) -> Vec<ContentId> {
        let mut changed = Vec::new();
        changed.extend(self.record_exit_of(now, run, (SuspectKind::Request, &run.content), at));
        for (position, segment) in run.segments.iter().enumerate() {
            let kind = SuspectKind::Segment {
                answers: self.answers.count(&run.account, segment.id),
                position: position as u32,
            };
            changed.extend(self.record_exit_of(now, run, (kind, segment), at));
        }
        changed
    }

    /// Records an exit against one suspect; returns it if that is new.
    fn record_exit_of(
        &mut self,
        now: Time,
        run: &BrokenRun,
        (kind, content): (SuspectKind, &Arc<Content>),
        at: Time,
    ) -> Option<ContentId> {
        let (account, service) = (run.account.clone(), run.service.clone());
        let new = Suspect::new(now, kind, Arc::clone(content), account, service);
        let changed = self.change(now, new, vec![Exit::new(run, at)]);
        if changed {
            self.mark_own_change(now, content.id);
        }
        changed.then_some(content.id)
    }

    /// Records that an answer on these segments, which began at `began`, is under way: the exits
    /// recorded against them before that are void.
    pub fn record_answer(
        &mut self,
        now: Time,
        account: &AccountId,
        segments: &[Arc<Content>],
        began: Time,
    ) {
        for segment in segments {
            let answers = self.answers.record(account, segment.id);
            if let Some(row) = self.rows.get_mut(&segment.id) {
                row.merge_answers(answers);
            }
            self.clear(now, segment.id, began);
        }
    }

    /// Takes the suspects that have entered quarantine since the last call.
    pub fn take_entered(&mut self) -> Vec<ContentId> {
        std::mem::take(&mut self.entered)
    }

    /// Derives again which suspects of an account are in quarantine.
    fn update_quarantine(&mut self, account: &AccountId) {
        let of_account = self.rows.values().filter(|s| s.account == *account);
        let derived = quarantine::derive(of_account);
        for (id, row) in &mut self.rows {
            if row.account != *account {
                continue;
            }
            let since = derived.get(id).copied();
            if since.is_some() && row.quarantined_since.is_none() {
                self.entered.push(*id);
            }
            row.quarantined_since = since;
        }
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
        let new = Suspect::new(
            now,
            report.kind,
            report.content,
            report.account,
            report.service,
        );
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
        let (account, kind) = (new.account.clone(), new.kind);
        let row = self.rows.entry(id).or_insert(new);
        let is_kind_new = row.merge_kind(kind);
        let added = exits.into_iter().map(|exit| row.add(exit));
        let changed = added.fold(false, |any, one| any | one);
        if changed {
            row.changed = now;
            self.revision.all += 1;
        }
        if changed || is_kind_new {
            self.update_quarantine(&account);
        }
        changed
    }

    /// Releases a request on behalf of an operator: exits up to `until` no longer count.
    pub fn release(&mut self, now: Time, id: ContentId, until: Time) {
        if self.released.len() < MAX_SUSPECTS || self.released.contains_key(&id) {
            let known = self.released.entry(id).or_insert(until);
            *known = until.max(*known);
        }
        for explained in self.explained_by(id) {
            self.clear(now, explained, until);
        }
        self.clear(now, id, until);
    }

    /// Returns the segments outside quarantine that share an exit with a suspect.
    fn explained_by(&self, id: ContentId) -> Vec<ContentId> {
        let Some(row) = self.rows.get(&id) else {
            return Vec::new();
        };
        let shares = |other: &&Suspect| {
            let mut exits = other.exits.iter();
            exits.any(|exit| row.exits.iter().any(|known| known.start == exit.start))
        };
        let segments = self.rows.values().filter(|other| {
            let open = other.quarantined_since.is_none() && other.kind != SuspectKind::Request;
            open && other.account == row.account && other.content.id != id
        });
        segments.filter(shares).map(|s| s.content.id).collect()
    }

    /// Clears a request of the exits up to a time; returns whether that changed anything.
    pub fn clear(&mut self, now: Time, id: ContentId, until: Time) -> bool {
        let Some(row) = self.rows.get_mut(&id) else {
            return false;
        };
        let changed = row.void(until);
        if changed {
            row.changed = now;
            let account = row.account.clone();
            self.revision.all += 1;
            self.mark_own_change(now, id);
            self.update_quarantine(&account);
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
