//! What one start of an endpoint said of itself with its answers.

use std::collections::BTreeMap;

use firdock_core::InstanceId;

use crate::notice::{Notice, NoticeReport};
use crate::time::Time;

/// A time in which an endpoint wants nothing from one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// When the answer that asked for it was read.
    pub since: Time,
    /// When it ends.
    pub until: Time,
}

/// What one start of an endpoint said, which goes with its row.
#[derive(Debug, Clone, Default)]
pub struct Notices {
    leaving_since: Option<Time>,
    /// By the instance that asked, so that a coordinator keeps those of all members apart; the own one
    /// has the empty name. Those that are over go with the next one.
    backoffs: BTreeMap<InstanceId, Backoff>,
}

impl Notices {
    /// Takes a notice; tells what it changed.
    ///
    /// A back-off lasts until the latest end that was asked for: answers pass each other on their ways,
    /// and nothing is sent during one, so that the answer that is read last is not known to be the
    /// endpoint's last word.
    pub fn merge(&mut self, told: &NoticeReport) -> Notice {
        let new = Notice {
            leaving: told.notice.leaving && self.leaving_since.is_none(),
            backoff: told.notice.backoff.filter(|_| self.extends(told)),
        };
        if new.leaving {
            self.leaving_since = Some(told.read);
        }
        if let Some(time) = new.backoff {
            self.backoffs.retain(|_, b| b.until > told.read);
            let since = self.backoffs.get(&told.member).map(|b| b.since);
            let backoff = Backoff {
                since: since.unwrap_or(told.read),
                until: told.read + time,
            };
            self.backoffs.insert(told.member.clone(), backoff);
        }
        new
    }

    /// Tells whether a notice asks for a later end than the instance knows.
    fn extends(&self, told: &NoticeReport) -> bool {
        let Some(time) = told.notice.backoff.filter(|time| !time.is_zero()) else {
            return false;
        };
        let known = self.backoffs.get(&told.member);
        known.is_none_or(|b| b.until < told.read + time)
    }

    /// Tells whether anything that was said still holds.
    #[must_use]
    pub fn any_in_effect(&self, now: Time) -> bool {
        self.leaving_since.is_some() || self.backoffs.values().any(|b| b.until > now)
    }

    /// Gives since when the endpoint is known to leave by its own word.
    #[must_use]
    pub fn leaving_since(&self) -> Option<Time> {
        self.leaving_since
    }

    /// Gives the time in which the endpoint wants nothing from an instance, while it lasts.
    #[must_use]
    pub fn backoff(&self, member: &str, now: Time) -> Option<Backoff> {
        self.backoffs.get(member).copied().filter(|b| b.until > now)
    }
}
