//! What an instance knows of the platform's store and from whom, and what is due by that.

use std::time::Duration;

use firdock_policy::Time;

use super::ReadState;
use super::clocks::PeerClocks;
use super::due::{DueReads, LastRead, QUEUE_PATIENCE, TopicAge, start_by};
use crate::peer::book::ReadTurn;
use crate::peer::topic::{Topic, TopicRecords, TopicSnapshot};

/// Time in which no instance read the list of endpoints that counts as an outage of it: longer
/// than an instance waits for its peers' words, shorter than entries live without being renewed.
const OUTAGE: Duration = Duration::from_millis(2_200);
/// Least time between two questions for what a peer has newer: its answer takes a few milliseconds,
/// and comes to all that ask at once within some hundred.
const ASK_PAUSE: Duration = Duration::from_millis(150);
/// What is known of the topics, as it stands in the store.
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

/// What an instance knows, and what follows from it.
#[derive(Debug, Default)]
pub(super) struct Inner {
    pub(super) own: ReadState,
    pub(super) read_at: Time,
    /// When the last read failed, if it did, and until when nothing is read again.
    pub(super) failed_at: Option<Time>,
    pub(super) held_until: Time,
    /// Whether peers are asked before the store is, at the start.
    pub(super) asks_peers_first: bool,
    /// Whether what is known of the store is so long that it comes from the own zone at the start.
    pub(super) large: bool,
    /// When a peer that was asked at the start said that many had asked before.
    pub(super) queued_at: Option<Time>,
    /// When the instance began to look for what is due.
    pub(super) started: Option<Time>,
    /// When a peer was last asked for what it has newer.
    pub(super) asked_at: Time,
    pub(super) config_news: Option<Time>,
    pub(super) endpoints_news: Option<Time>,
    /// What peers told, to be taken.
    pub(super) told: Vec<TopicRecords>,
    pub(super) snapshots: Snapshots,
    pub(super) clocks: PeerClocks,
}

impl Inner {
    pub(super) fn steady_since(&self, at: Time) -> Time {
        let first = self.own.endpoints_at == Time::ZERO;
        if first || self.own.endpoints_at + OUTAGE < at {
            at
        } else {
            self.own.steady_since
        }
    }

    /// Takes a peer's word on the last outage, by times of the own clock.
    ///
    /// An instance that was cut off alone saw no read for as long, while the list was read by others
    /// and endpoints renewed their entries. What differs by less than an outage is the clocks' doing.
    pub(super) fn hear_steady(&mut self, told: ReadState) {
        let own = self.own.steady_since;
        let known = told.steady_since > Time::ZERO;
        let spans = known && told.steady_since + OUTAGE < own && own <= told.endpoints_at + OUTAGE;
        if spans {
            self.own.steady_since = told.steady_since;
        }
    }

    /// Gives what is due now, and when to look again if nothing is.
    pub(super) fn due(
        &mut self,
        now: Time,
        pause: Duration,
        read_turn: ReadTurn,
    ) -> (DueReads, Time) {
        if !self.told.is_empty() {
            return (DueReads::FROM_PEERS, now);
        }
        if now < self.held_until {
            return (DueReads::default(), self.held_until);
        }
        let started = *self.started.get_or_insert(now);
        if self.own.config_at == Time::ZERO {
            let by = self.start_by(started);
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
        (due, config_by.min(endpoints_by))
    }

    /// Gives until when an instance that began at `started` waits for its peers' answer.
    pub(super) fn start_by(&self, started: Time) -> Time {
        let by = start_by(started, self.asks_peers_first, self.large);
        by.max(self.queued_until().unwrap_or(by))
    }

    /// Gives until when it waits for the answer of a peer that many asked before.
    pub(super) fn queued_until(&self) -> Option<Time> {
        self.queued_at.map(|at| at + QUEUE_PATIENCE)
    }

    fn config_age(&self) -> TopicAge {
        TopicAge {
            fresh_at: self.own.config_at,
            news_since: self.config_news,
        }
    }

    fn endpoints_age(&self) -> TopicAge {
        TopicAge {
            fresh_at: self.own.endpoints_at,
            news_since: self.endpoints_news,
        }
    }

    /// Notes what a peer has newer; tells whether it is to be asked for that now.
    pub(super) fn hear_news(&mut self, now: Time, told: ReadState) -> bool {
        let config = told.version > self.own.version || told.config_next > self.own.config_next;
        let endpoints = told.endpoints_next > self.own.endpoints_next;
        if config {
            self.config_news.get_or_insert(now);
        }
        if endpoints {
            self.endpoints_news.get_or_insert(now);
        }
        let asks =
            (config || endpoints) && self.told.is_empty() && self.asked_at + ASK_PAUSE <= now;
        if asks {
            self.asked_at = now;
        }
        asks
    }

    /// Takes over when a peer found what is known here to be the newest; gives that time for the
    /// configuration, if it is later than what was known.
    pub(super) fn confirm(&mut self, told: ReadState) -> Option<Time> {
        let known = self.own.endpoints_at > Time::ZERO && told.endpoints_at > Time::ZERO;
        if known && self.own.endpoints_next >= told.endpoints_next {
            // What is known here holds all that the peer saw.
            self.see_endpoints(told.endpoints_at);
        }
        let same_config = self.own.config_at > Time::ZERO
            && self.own.version == told.version
            && self.own.config_next >= told.config_next;
        if !same_config || told.config_at <= self.own.config_at {
            return None;
        }
        self.own.config_at = told.config_at;
        (self.own.version > 0).then_some(told.config_at)
    }

    /// Takes what was read or told, by times of the own clock.
    pub(super) fn take(&mut self, reads: ReadState) {
        self.own.version = reads.version;
        self.own.config_next = reads.config_next;
        self.own.endpoints_next = reads.endpoints_next;
        if reads.config_at > Time::ZERO {
            self.own.config_at = self.own.config_at.max(reads.config_at);
            self.config_news = None;
        }
        if reads.endpoints_at > Time::ZERO {
            self.see_endpoints(reads.endpoints_at);
            self.endpoints_news = None;
        }
    }

    /// Takes it that the list of endpoints was the newest at `at`.
    fn see_endpoints(&mut self, at: Time) {
        self.own.steady_since = self.steady_since(at);
        self.own.endpoints_at = self.own.endpoints_at.max(at);
    }
}
