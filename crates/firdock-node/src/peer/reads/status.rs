//! When each topic of the store was last read, by whom, and on whose word that is known here.

use firdock_core::InstanceId;
use firdock_policy::Time;

use super::ReadState;
use crate::peer::topic::Topic;

/// What is known of the reads of one topic. Times are by the local clock; zero means never.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TopicStatus {
    /// Topic.
    pub topic: Topic,
    /// When this instance itself last began to read it with success.
    pub own_read: Time,
    /// When its content was known to be the newest.
    pub confirmed: Time,
    /// Peer whose report set `confirmed`; `None` if an own read did.
    pub confirmed_by: Option<InstanceId>,
}

/// Where the times of one topic come from.
#[derive(Debug, Default)]
pub(super) struct Provenance {
    pub own_read: Time,
    pub confirmed_by: Option<InstanceId>,
}

impl Provenance {
    /// Records an own read that began at `at`, if the topic was read.
    pub fn record_own(&mut self, at: Time) {
        if at > Time::ZERO {
            self.own_read = at;
            self.confirmed_by = None;
        }
    }

    pub fn status(&self, topic: Topic, confirmed: Time) -> TopicStatus {
        TopicStatus {
            topic,
            own_read: self.own_read,
            confirmed,
            confirmed_by: self.confirmed_by.clone(),
        }
    }
}

impl ReadState {
    /// Returns when a topic was known to be the newest.
    #[must_use]
    pub fn confirmed_at(&self, topic: Topic) -> Time {
        match topic {
            Topic::Config => self.config_at,
            Topic::Endpoints => self.endpoints_at,
        }
    }
}
