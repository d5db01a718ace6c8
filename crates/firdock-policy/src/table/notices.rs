//! Notices that one start of an endpoint gave with its answers.

use std::collections::BTreeMap;

use firdock_core::InstanceId;

use crate::notice::{LimitNotice, Notice, NoticeReport};
use crate::time::Time;

/// A period in which an endpoint wants no requests from one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// When the answer that asked for it was read.
    pub since: Time,
    /// When it ends.
    pub until: Time,
}

/// Notices of one start of an endpoint; they are removed with its row.
#[derive(Debug, Clone, Default)]
pub struct Notices {
    leaving_since: Option<Time>,
    /// By the instance that was asked to back off, so that a coordinator keeps the back-offs of all
    /// members apart; this instance has the empty name. Expired ones are removed when the next one
    /// arrives.
    backoffs: BTreeMap<InstanceId, Backoff>,
}

impl Notices {
    /// Merges a notice; returns what it changed.
    ///
    /// A back-off lasts until the latest end that was asked for. Answers may arrive out of order,
    /// and nothing is sent during a back-off, so the answer read last is not necessarily the
    /// endpoint's latest one.
    pub fn merge(&mut self, report: &NoticeReport) -> Notice {
        let new = Notice {
            leaving: report.notice.leaving && self.leaving_since.is_none(),
            backoff: report.notice.backoff.filter(|_| self.extends(report)),
            limit: LimitNotice::Unknown,
            refusal_limit: None,
        };
        if new.leaving {
            self.leaving_since = Some(report.read);
        }
        if let Some(time) = new.backoff {
            self.backoffs.retain(|_, b| b.until > report.read);
            let since = self.backoffs.get(&report.member).map(|b| b.since);
            let backoff = Backoff {
                since: since.unwrap_or(report.read),
                until: report.read + time,
            };
            self.backoffs.insert(report.member.clone(), backoff);
        }
        new
    }

    /// Returns whether a notice asks for a later end than the one known.
    fn extends(&self, report: &NoticeReport) -> bool {
        let Some(time) = report.notice.backoff.filter(|time| !time.is_zero()) else {
            return false;
        };
        let known = self.backoffs.get(&report.member);
        known.is_none_or(|b| b.until < report.read + time)
    }

    /// Returns whether any notice is in effect.
    #[must_use]
    pub fn any_in_effect(&self, now: Time) -> bool {
        self.leaving_since.is_some() || self.backoffs.values().any(|b| b.until > now)
    }

    /// Returns since when the endpoint has been leaving according to its own notices.
    #[must_use]
    pub fn leaving_since(&self) -> Option<Time> {
        self.leaving_since
    }

    /// Returns the back-off that an endpoint asked of an instance, if it is in effect.
    #[must_use]
    pub fn backoff(&self, member: &str, now: Time) -> Option<Backoff> {
        self.backoffs.get(member).copied().filter(|b| b.until > now)
    }
}
