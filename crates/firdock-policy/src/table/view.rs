//! Membership views from the log, and the owners of keys under them.
//!
//! `docs/design/keys.md` describes the rules that keep an old and a new owner of a key apart.

use std::collections::VecDeque;
use std::time::Duration;

use firdock_core::rendezvous;

use crate::event::{LogReading, Member, MemberView};
use crate::time::{LogTime, Time};

/// Maximum number of views kept; a key owned through all of them counts as owned since the oldest.
const MAX_VIEWS: usize = 64;

/// A period in which one member owned a key, by the numbers of its first and last view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnershipPeriod {
    /// Member.
    pub member: Member,
    /// Number of the first view.
    pub first: u64,
    /// Number of the last view.
    pub last: u64,
}

impl OwnershipPeriod {
    /// Returns whether the period includes a view.
    #[must_use]
    pub fn covers(&self, view: u64) -> bool {
        (self.first..=self.last).contains(&view)
    }
}

/// Who may run a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ownership {
    /// This instance, since the given time (`None`: since before any other could).
    Own(Option<LogTime>),
    /// Another member.
    Other(Member),
    /// No view is known.
    Nobody,
}

/// History of views, newest last.
#[derive(Debug)]
pub struct Views {
    me: Member,
    history: VecDeque<MemberView>,
    reading: Option<LogReading>,
}

impl Views {
    /// Creates an empty history for the member `me`.
    #[must_use]
    pub fn new(me: Member) -> Self {
        Self {
            me,
            history: VecDeque::new(),
            reading: None,
        }
    }

    /// Returns the members in force.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        self.history.back().map_or(&[], |v| v.members.as_slice())
    }

    /// Adds a view unless it is older than the one in force.
    pub fn push(&mut self, view: MemberView) {
        if self.history.back().is_some_and(|v| v.number >= view.number) {
            return;
        }
        self.history.push_back(view);
        if self.history.len() > MAX_VIEWS {
            self.history.pop_front();
        }
    }

    /// Records that the log was read to its end.
    pub fn record_read(&mut self, reading: LogReading) {
        if self.reading.is_none_or(|r| r.sent <= reading.sent) {
            self.reading = Some(reading);
        }
    }

    /// Returns the log's time at the last read (R).
    #[must_use]
    pub fn last_read(&self) -> Option<LogTime> {
        self.reading.map(|r| r.log_time)
    }

    /// Estimates the log's present time from the last read and this process's clock.
    #[must_use]
    pub fn log_now(&self, now: Time) -> Option<LogTime> {
        self.reading
            .map(|r| r.log_time + now.saturating_sub(r.sent))
    }

    /// Returns until when, by this process's clock, the keys of this instance are confirmed.
    #[must_use]
    pub fn confirmed_until(&self, grace: Duration) -> Option<Time> {
        self.reading.map(|r| r.sent + grace)
    }

    /// Returns who owns a key and, if it is this instance, since when.
    #[must_use]
    pub fn ownership(&self, key: u64) -> Ownership {
        let Some(newest) = self.history.back() else {
            return Ownership::Nobody;
        };
        match owner(newest, key) {
            None => Ownership::Nobody,
            Some(m) if *m != self.me => Ownership::Other(m.clone()),
            Some(_) => Ownership::Own(self.owned_since(key)),
        }
    }

    /// Returns the owners of a key since `horizon`, in order; `None` if the history does not reach
    /// back that far, so that an owner may be missing.
    #[must_use]
    pub fn ownership_periods(&self, key: u64, horizon: LogTime) -> Option<Vec<OwnershipPeriod>> {
        let is_covered = self
            .history
            .front()
            .is_some_and(|v| v.first || v.since <= horizon);
        if !is_covered {
            return None;
        }
        let mut periods: Vec<OwnershipPeriod> = Vec::new();
        for (i, view) in self.history.iter().enumerate() {
            let ended_before = self
                .history
                .get(i + 1)
                .is_some_and(|next| next.since < horizon);
            let Some(member) = owner(view, key).filter(|_| !ended_before) else {
                continue;
            };
            match periods.last_mut().filter(|t| t.member == *member) {
                Some(period) => period.last = view.number,
                None => periods.push(OwnershipPeriod {
                    member: member.clone(),
                    first: view.number,
                    last: view.number,
                }),
            }
        }
        Some(periods)
    }

    /// Returns the number of the view in force.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.history.back().map_or(0, |v| v.number)
    }

    /// Returns the member that owns a key in the view in force.
    #[must_use]
    pub fn owner_now(&self, key: u64) -> Option<&Member> {
        owner(self.history.back()?, key)
    }

    fn owned_since(&self, key: u64) -> Option<LogTime> {
        let own = |v: &&MemberView| owner(v, key) == Some(&self.me);
        let oldest = self.history.iter().rev().take_while(own).last()?;
        (!oldest.first).then_some(oldest.since)
    }
}

fn owner(view: &MemberView, key: u64) -> Option<&Member> {
    let name = rendezvous::owner(key, view.members.iter().map(|m| m.name.as_str()))?;
    view.members.iter().find(|m| m.name == name)
}
