//! Requests under which endpoints ended, by what they ask for.
//!
//! They outlive the rows of the requests: what was learned from one try is needed at the next, which
//! has another id and may come to another instance.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use firdock_core::{AccountId, Content, ContentId, ServiceId, StartId};

use crate::suspect::{BrokenRun, ReportedExit, SuspectReport};
use crate::time::Time;

/// Ends that put a request into quarantine. One or two may be chance: a server that ends for another
/// reason takes all with it that it runs.
pub const EXITS_TO_QUARANTINE: usize = 3;
/// Suspects that are kept, some hundred bytes each.
const MOST: usize = 1_024;
/// Suspects of one account that are kept, so that what one account sends pushes out its own alone.
const MOST_OF_ACCOUNT: usize = 128;
/// Ends of one suspect that are kept: more than are needed while it still runs somewhere.
const MAX_EXITS: usize = 16;
/// Time for which a suspect out of quarantine is kept after its last change. Callers come back within
/// minutes; a request that ends a server each day is for those who run the server.
const KEEP: Duration = Duration::from_hours(1);
/// Time for which one that was cleared is kept, so that others hear of that before it is forgotten.
const KEEP_CLEARED: Duration = Duration::from_mins(1);
/// Time for which what is new of a suspect is told with each heartbeat: several of them may be lost.
const NEW_FOR: Duration = Duration::from_millis(1_500);
/// New suspects that are told with one heartbeat: what several servers run, which may fall together. What
/// ended most goes first, then what changed last.
const MOST_NEW: usize = 60;
/// Others that are told with it by turns, for those that have missed them.
const BY_TURNS: usize = 2;

/// One end of an endpoint with a suspect on board.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exit {
    /// Start of the endpoint.
    pub start: StartId,
    /// When the request was sent there.
    pub sent: Time,
    /// When the endpoint ended.
    pub at: Time,
    /// Whether it counts no more.
    pub void: bool,
}

/// A request under which endpoints ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// What it asks for.
    pub content: Arc<Content>,
    /// Account that sends it.
    pub account: AccountId,
    /// Service that it matched when an endpoint first ended under it.
    pub service: ServiceId,
    exits: Vec<Exit>,
    changed: Time,
    /// When this instance saw a change of it itself.
    seen: Option<Time>,
}

impl Suspect {
    fn new(now: Time, content: Arc<Content>, account: AccountId, service: ServiceId) -> Self {
        Self {
            content,
            account,
            service,
            exits: Vec::new(),
            changed: now,
            seen: None,
        }
    }

    /// Gives the ends that are known, with those that count no more.
    #[must_use]
    pub fn exits(&self) -> &[Exit] {
        &self.exits
    }

    /// Gives the ends that count, in order.
    ///
    /// Of runs that were on board of endpoints at the same time, one counts: a rack that loses power
    /// ends many endpoints at one moment, and would convict whatever ran at three of them. A request
    /// that ends its endpoints goes on doing so, one after the other.
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

    /// Gives since when it is in quarantine, if it is: nothing of it is sent any more.
    #[must_use]
    pub fn quarantined_since(&self) -> Option<Time> {
        let third = EXITS_TO_QUARANTINE - 1;
        self.counted().get(third).map(|exit| exit.at)
    }

    fn is_cleared(&self) -> bool {
        self.exits.iter().all(|e| e.void)
    }

    /// Adds an end; one endpoint's end counts once, whoever saw it and however often it was sent there.
    fn add(&mut self, exit: Exit) -> bool {
        if let Some(known) = self.exits.iter_mut().find(|e| e.start == exit.start) {
            let changed = exit.void && !known.void;
            known.void |= exit.void;
            // Told times grow later on their way, so that the earliest is nearest to what was seen.
            known.sent = known.sent.min(exit.sent);
            known.at = known.at.min(exit.at);
            return changed;
        }
        if self.exits.len() >= MAX_EXITS {
            // Those that count beside others say nothing more.
            let counted: Vec<StartId> = self.counted().iter().map(|e| e.start.clone()).collect();
            self.exits.retain(|e| counted.contains(&e.start));
        }
        let room = self.exits.len() < MAX_EXITS;
        if room {
            self.exits.push(exit);
        }
        room
    }

    /// Makes all ends up to a time count no more; tells whether any did.
    fn void(&mut self, until: Time) -> bool {
        let counting = self.exits.iter_mut().filter(|e| !e.void && e.at <= until);
        counting.fold(false, |_, exit| {
            exit.void = true;
            true
        })
    }

    /// Gives what other instances are told of it.
    #[must_use]
    pub fn report(&self, now: Time) -> SuspectReport {
        let told = |e: &Exit| ReportedExit {
            start: e.start.clone(),
            sent_ago: now.saturating_sub(e.sent),
            ended_ago: now.saturating_sub(e.at),
            void: e.void,
        };
        SuspectReport {
            content: Arc::clone(&self.content),
            account: self.account.clone(),
            service: self.service.clone(),
            exits: self.exits.iter().map(told).collect(),
        }
    }
}

/// Whom a change of the table came from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Revision {
    /// Changes that this instance saw itself, which it tells at once.
    pub own: u64,
    /// All changes.
    pub all: u64,
}

/// Table of suspects.
#[derive(Debug, Default)]
pub struct Suspects {
    rows: BTreeMap<ContentId, Suspect>,
    /// Until when ends count no more of those that an operator let go: others may tell of them later.
    released: BTreeMap<ContentId, Time>,
    revision: Revision,
}

impl Suspects {
    /// Finds a suspect.
    #[must_use]
    pub fn get(&self, id: ContentId) -> Option<&Suspect> {
        self.rows.get(&id)
    }

    /// Goes over all suspects.
    pub fn iter(&self) -> impl Iterator<Item = &Suspect> {
        self.rows.values()
    }

    /// Gives how often the table changed.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Tells whether a request is in quarantine.
    #[must_use]
    pub fn is_quarantined(&self, id: ContentId) -> bool {
        let row = self.rows.get(&id);
        row.is_some_and(|s| s.quarantined_since().is_some())
    }

    /// Notes that an endpoint ended with a request on board; tells whether that is new.
    pub fn record_exit(&mut self, now: Time, of: &BrokenRun, at: Time) -> bool {
        let exit = Exit {
            start: of.start.clone(),
            sent: of.sent,
            at,
            void: false,
        };
        let new = Suspect::new(
            now,
            Arc::clone(&of.content),
            of.account.clone(),
            of.service.clone(),
        );
        let id = new.content.id;
        let changed = self.change(now, new, vec![exit]);
        if changed {
            self.mark_own_change(now, id);
        }
        changed
    }

    /// Notes that this instance saw a change itself, of which it tells all others.
    fn mark_own_change(&mut self, now: Time, id: ContentId) {
        self.revision.own += 1;
        if let Some(row) = self.rows.get_mut(&id) {
            row.seen = Some(now);
        }
    }

    /// Takes what another instance tells of a suspect; tells whether any of it is new.
    pub fn merge_report(&mut self, now: Time, told: SuspectReport) -> bool {
        let exits = told.exits.into_iter().take(MAX_EXITS).map(|e| Exit {
            start: e.start,
            sent: now.saturating_sub(e.sent_ago.max(e.ended_ago)),
            at: now.saturating_sub(e.ended_ago),
            void: e.void,
        });
        let exits: Vec<Exit> = exits.collect();
        let known = self.rows.contains_key(&told.content.id);
        if !known && exits.iter().all(|e| e.void) {
            return false;
        }
        let new = Suspect::new(now, told.content, told.account, told.service);
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

    /// Takes it that an operator lets a request go, with what ended up to a time.
    pub fn release(&mut self, now: Time, id: ContentId, until: Time) {
        if self.released.len() < MOST || self.released.contains_key(&id) {
            let known = self.released.entry(id).or_insert(until);
            *known = until.max(*known);
        }
        self.clear(now, id, until);
    }

    /// Takes it that what ended up to a time is not held against a request; tells whether that changed
    /// anything.
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

    /// Forgets what was kept long enough; what is in quarantine stays until an operator lets it go.
    pub fn sweep(&mut self, now: Time) {
        self.rows.retain(|_, s| {
            let keep = if s.is_cleared() { KEEP_CLEARED } else { KEEP };
            s.changed + keep > now || s.quarantined_since().is_some()
        });
    }

    /// Gives what is told of suspects with a heartbeat: what this instance saw lately, and others by turns.
    #[must_use]
    pub fn reports(&self, now: Time, turn: usize) -> Vec<SuspectReport> {
        let is_new = |s: &&Suspect| s.seen.is_some_and(|seen| seen + NEW_FOR > now);
        let (new, others): (Vec<&Suspect>, Vec<&Suspect>) = self.rows.values().partition(is_new);
        let start = turn * BY_TURNS % others.len().max(1);
        let turns = others.iter().cycle().skip(start);
        let turns = turns.take(BY_TURNS.min(others.len()));
        let told = most_important(new).into_iter().chain(turns.copied());
        told.map(|s| s.report(now)).collect()
    }

    /// Gives what is new and was heard from others: the leads of groups tell it on.
    #[must_use]
    pub fn reports_to_forward(&self, now: Time) -> Vec<SuspectReport> {
        let is_new = |s: &&Suspect| s.changed + NEW_FOR > now && s.seen != Some(s.changed);
        let heard = most_important(self.rows.values().filter(is_new).collect());
        heard.into_iter().map(|s| s.report(now)).collect()
    }

    /// Gives what an instance is told that was not heard before: all that counts, quarantine first.
    #[must_use]
    pub fn all_reports(&self, now: Time, most: usize) -> Vec<SuspectReport> {
        let mut rows: Vec<&Suspect> = self.rows.values().filter(|s| !s.is_cleared()).collect();
        rows.sort_by_key(|s| s.quarantined_since().is_none());
        rows.into_iter().take(most).map(|s| s.report(now)).collect()
    }

    /// Makes room for one more suspect of an account.
    fn evict_if_full(&mut self, account: &AccountId) {
        let of_account = self.rows.values().filter(|s| s.account == *account).count();
        let own = of_account >= MOST_OF_ACCOUNT;
        if !own && self.rows.len() < MOST {
            return;
        }
        let rows = self.rows.iter();
        let rows = rows.filter(|(_, s)| !own || s.account == *account);
        // What ended least, and that longest ago, is the least loss.
        let least = rows.min_by_key(|(_, s)| (s.counted().len(), s.changed));
        if let Some(id) = least.map(|(id, _)| *id) {
            self.rows.remove(&id);
        }
    }
}

/// Gives as many suspects as one heartbeat tells of, the foremost ones.
fn most_important(mut suspects: Vec<&Suspect>) -> Vec<&Suspect> {
    suspects.sort_by_key(|s| Reverse((s.counted().len(), s.changed)));
    suspects.truncate(MOST_NEW);
    suspects
}
