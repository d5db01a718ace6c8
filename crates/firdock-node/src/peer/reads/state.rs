//! What an instance knows of the platform's store, and what is due because of that.

use std::time::Duration;

use firdock_policy::Time;

use super::ReadState;
use super::clocks::PeerClocks;
use super::schedule::{
    DELAYED_REPLY_TIMEOUT, DueReads, LastRead, TopicAge, next_check, start_deadline,
};
use super::status::{Provenance, TopicStatus};
use crate::peer::directory::ReadTurn;
use crate::peer::topic::{Topic, TopicRecords, TopicSnapshot};

/// Time without any instance reading the list of endpoints that counts as an outage: longer than an
/// instance waits for its peers' reports, shorter than the lifetime of entries that are not
/// renewed.
const OUTAGE_AFTER: Duration = Duration::from_millis(2_200);
/// Minimum time between two queries for newer content. A reply takes a few milliseconds; if all
/// instances query at once, the last reply arrives within some hundred milliseconds.
const QUERY_INTERVAL: Duration = Duration::from_millis(150);
/// Snapshots of the topics.
#[derive(Debug, Default)]
pub(super) struct Snapshots {
    config: Option<TopicSnapshot>,
    endpoints: Option<TopicSnapshot>,
}

impl Snapshots {
    pub(super) fn of(&mut self, topic: Topic) -> &mut Option<TopicSnapshot> {
        match topic {
            Topic::Config => &mut self.config,
            Topic::Endpoints => &mut self.endpoints,
        }
    }
}

/// State behind [`SharedReads`](super::SharedReads).
#[derive(Debug, Default)]
pub(super) struct SharedState {
    pub(super) own: ReadState,
    pub(super) read_at: Time,
    /// Time of the last read if it failed, and until when the store is not read again.
    pub(super) failed_at: Option<Time>,
    pub(super) paused_until: Time,
    /// Whether peers are queried at start before the store is read.
    pub(super) asks_peers_first: bool,
    /// Whether the content is so large that it is queried from the own zone at start.
    pub(super) large: bool,
    /// When a peer queried at start announced a delayed reply.
    pub(super) delay_announced_at: Option<Time>,
    /// When the instance first checked what is due.
    pub(super) started: Option<Time>,
    /// When a peer was last queried for newer content.
    pub(super) queried_at: Time,
    pub(super) config_newer_since: Option<Time>,
    pub(super) endpoints_newer_since: Option<Time>,
    /// Records received from peers, to be applied.
    pub(super) peer_records: Vec<TopicRecords>,
    pub(super) snapshots: Snapshots,
    pub(super) clocks: PeerClocks,
    config_provenance: Provenance,
    endpoints_provenance: Provenance,
}

impl SharedState {
    pub(super) fn steady_since(&self, at: Time) -> Time {
        let first = self.own.endpoints_at == Time::ZERO;
        if first || self.own.endpoints_at + OUTAGE_AFTER < at {
            at
        } else {
            self.own.steady_since
        }
    }

    /// Merges a peer's report on the last outage, with times converted to the local clock.
    ///
    /// An instance that was disconnected by itself saw no read for the length of an outage, while
    /// others read the list and endpoints renewed their entries. Differences shorter than an outage
    /// come from the conversion of clocks.
    pub(super) fn merge_steady_since(&mut self, reported: ReadState) {
        let own = self.own.steady_since;
        let known = reported.steady_since > Time::ZERO;
        let spans = known
            && reported.steady_since + OUTAGE_AFTER < own
            && own <= reported.endpoints_at + OUTAGE_AFTER;
        if spans {
            self.own.steady_since = reported.steady_since;
        }
    }

    /// Returns what is due now, and when to check again if nothing is.
    pub(super) fn due(
        &mut self,
        now: Time,
        pause: Duration,
        read_turn: ReadTurn,
    ) -> (DueReads, Time) {
        if !self.peer_records.is_empty() {
            return (DueReads::FROM_PEERS, now);
        }
        if now < self.paused_until {
            return (DueReads::default(), self.paused_until);
        }
        let started = *self.started.get_or_insert(now);
        if self.own.config_at == Time::ZERO {
            let by = self.start_deadline(started);
            let due = if by <= now {
                DueReads::START
            } else {
                DueReads::default()
            };
            return (due, by);
        }
        let last = LastRead {
            at: self.read_at,
            failed_at: self.failed_at,
        };
        let (config_by, config) = self.config_age().next_read(pause, read_turn, last);
        let (endpoints_by, endpoints) = self.endpoints_age().next_read(pause, read_turn, last);
        let due = DueReads {
            config: (config_by <= now).then_some(config),
            endpoints: (endpoints_by <= now).then_some(endpoints),
            from_peers: false,
        };
        let fresh_at = self.own.config_at.min(self.own.endpoints_at);
        let next = config_by.min(endpoints_by).min(next_check(now, fresh_at));
        (due, next)
    }

    /// Returns until when an instance started at `started` waits for a reply.
    pub(super) fn start_deadline(&self, started: Time) -> Time {
        let by = start_deadline(started, self.asks_peers_first, self.large);
        by.max(self.delayed_until().unwrap_or(by))
    }

    /// Returns until when a delayed reply is awaited.
    pub(super) fn delayed_until(&self) -> Option<Time> {
        self.delay_announced_at.map(|at| at + DELAYED_REPLY_TIMEOUT)
    }

    fn config_age(&self) -> TopicAge {
        TopicAge {
            fresh_at: self.own.config_at,
            newer_since: self.config_newer_since,
        }
    }

    fn endpoints_age(&self) -> TopicAge {
        TopicAge {
            fresh_at: self.own.endpoints_at,
            newer_since: self.endpoints_newer_since,
        }
    }

    /// Records newer content at a peer and returns whether to query it now.
    pub(super) fn record_newer(&mut self, now: Time, reported: ReadState) -> bool {
        let config =
            reported.version > self.own.version || reported.config_next > self.own.config_next;
        let endpoints = reported.endpoints_next > self.own.endpoints_next;
        if config {
            self.config_newer_since.get_or_insert(now);
        }
        if endpoints {
            self.endpoints_newer_since.get_or_insert(now);
        }
        let query_now = (config || endpoints)
            && self.peer_records.is_empty()
            && self.queried_at + QUERY_INTERVAL <= now;
        if query_now {
            self.queried_at = now;
        }
        query_now
    }

    /// Records where the times of an own read come from.
    pub(super) fn record_own_read(&mut self, reads: ReadState) {
        self.config_provenance.record_own(reads.config_at);
        self.endpoints_provenance.record_own(reads.endpoints_at);
    }

    pub(super) fn status(&self, topic: Topic) -> TopicStatus {
        let provenance = match topic {
            Topic::Config => &self.config_provenance,
            Topic::Endpoints => &self.endpoints_provenance,
        };
        provenance.status(topic, self.own.confirmed_at(topic))
    }

    /// Updates the times of the read state if a peer confirms the content known here. Returns the
    /// time for the configuration if it is later than the known one.
    pub(super) fn confirm(&mut self, peer: &str, reported: ReadState) -> Option<Time> {
        let known = self.own.endpoints_at > Time::ZERO && reported.endpoints_at > Time::ZERO;
        if known && self.own.endpoints_next >= reported.endpoints_next {
            // All records that the peer knows are known here.
            if reported.endpoints_at > self.own.endpoints_at {
                self.endpoints_provenance.confirmed_by = Some(peer.to_owned());
            }
            self.confirm_endpoints(reported.endpoints_at);
        }
        let same_config = self.own.config_at > Time::ZERO
            && self.own.version == reported.version
            && self.own.config_next >= reported.config_next;
        if !same_config || reported.config_at <= self.own.config_at {
            return None;
        }
        self.own.config_at = reported.config_at;
        self.config_provenance.confirmed_by = Some(peer.to_owned());
        (self.own.version > 0).then_some(reported.config_at)
    }

    /// Merges the state after a read or after applying records, with times by the local clock.
    pub(super) fn merge_own(&mut self, reads: ReadState) {
        self.own.version = reads.version;
        self.own.config_next = reads.config_next;
        self.own.endpoints_next = reads.endpoints_next;
        if reads.config_at > Time::ZERO {
            self.own.config_at = self.own.config_at.max(reads.config_at);
            self.config_newer_since = None;
        }
        if reads.endpoints_at > Time::ZERO {
            self.confirm_endpoints(reads.endpoints_at);
            self.endpoints_newer_since = None;
        }
    }

    /// Records that the list of endpoints was the newest at `at`.
    fn confirm_endpoints(&mut self, at: Time) {
        self.own.steady_since = self.steady_since(at);
        self.own.endpoints_at = self.own.endpoints_at.max(at);
    }
}
