//! What an instance knows of the platform's store, and what is due because of that.

use std::time::Duration;

use firdock_policy::Time;
use uuid::Uuid;

use super::ReadState;
use super::echo::{EchoedRead, ReadEcho, SentTimes};
use super::schedule::{
    DELAYED_REPLY_TIMEOUT, DueReads, LastRead, ReadReason, TopicAge, next_check, start_deadline,
};
use super::status::{Provenance, TopicStatus};
use crate::peer::directory::{ReadRole, ReadTurn};
use crate::peer::topic::{Topic, TopicRecords, TopicSnapshot};

/// Time without any instance reading the list of endpoints that counts as an outage: longer than an
/// instance waits for its peers' reports, shorter than the lifetime of entries that are not
/// renewed.
const OUTAGE_AFTER: Duration = Duration::from_millis(2_200);
/// Minimum time between two queries for newer content. A reply takes a few milliseconds; if all
/// instances query at once, the last reply arrives within some hundred milliseconds.
const QUERY_INTERVAL: Duration = Duration::from_millis(150);
/// Delay of a read for processes that arrived, in which others arrive that started with them.
const ARRIVAL_READ_DELAY: Duration = Duration::from_millis(50);
/// Time after its start in which the lead of a group reads for those that start with it.
const STARTING_TIME: Duration = Duration::from_secs(5);

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

    /// Returns whether the content of a topic may differ from what peers know at the same offset: it neither
    /// confirms theirs, nor is it confirmed by theirs.
    fn differs(&self, topic: Topic) -> bool {
        let snapshot = match topic {
            Topic::Config => &self.config,
            Topic::Endpoints => &self.endpoints,
        };
        snapshot.as_ref().is_some_and(TopicSnapshot::differs)
    }
}

/// Time of a read of each topic.
#[derive(Debug, Default)]
struct ReadTimes {
    config: Time,
    endpoints: Time,
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
    /// Times that peers sent, to be returned to them.
    pub(super) sent_times: SentTimes,
    /// When the first heartbeat of a new process arrived last; zero once its sender can be told of a
    /// later read.
    pub(super) arrived_at: Time,
    /// Estimates of when the latest known reads began, never ahead of the clock. They determine when
    /// the store is read next.
    estimates: ReadTimes,
    config_provenance: Provenance,
    endpoints_provenance: Provenance,
}

impl SharedState {
    pub(super) fn steady_since(&self, at: Time) -> Time {
        let last = self.estimates.endpoints;
        if last == Time::ZERO || last + OUTAGE_AFTER < at {
            at
        } else {
            self.own.steady_since
        }
    }

    /// Merges a peer's report on the last outage before its read, which began after `after` by the
    /// local clock.
    ///
    /// An instance that was disconnected by itself saw no read for the length of an outage, while
    /// others read the list and endpoints renewed their entries. Only the length of the time without
    /// an outage is taken from the peer's clock; differences shorter than an outage are of the way
    /// that a report takes.
    fn merge_steady_since(&mut self, reported: ReadState, after: Time) {
        if reported.steady_since == Time::ZERO {
            return;
        }
        let steady_for = reported.endpoints_at.saturating_sub(reported.steady_since);
        let steady_since = after.saturating_sub(steady_for);
        let own = self.own.steady_since;
        if steady_since + OUTAGE_AFTER < own && own <= after + OUTAGE_AFTER {
            self.own.steady_since = steady_since;
        }
    }

    /// Returns whether both topics are known.
    pub(super) fn is_complete(&self) -> bool {
        self.estimates.config > Time::ZERO && self.estimates.endpoints > Time::ZERO
    }

    /// Returns what dates the known reads by a peer's clock, and the peer's process.
    pub(super) fn echo_for(&self, now: Time, peer: &str) -> Option<(Uuid, ReadEcho)> {
        let (config_at, endpoints_at) = (self.own.config_at, self.own.endpoints_at);
        let times = self.sent_times.latest_before(peer, config_at, endpoints_at);
        let (process, [config, endpoints]) = times?;
        let echoed = |topic, after, estimate| {
            if self.snapshots.differs(topic) {
                return EchoedRead::default();
            }
            EchoedRead {
                after,
                age: now.saturating_sub(estimate),
            }
        };
        let echo = ReadEcho {
            config: echoed(Topic::Config, config, self.estimates.config),
            endpoints: echoed(Topic::Endpoints, endpoints, self.estimates.endpoints),
        };
        Some((process, echo))
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
        if self.estimates.config == Time::ZERO {
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
        let arrival_read = self.arrival_read(now, started, read_turn);
        let next_read = |age: TopicAge| {
            let regular = age.next_read(pause, read_turn, last);
            let arrival = arrival_read.map(|by| (by.max(last.earliest()), ReadReason::Arrival));
            arrival.filter(|(by, _)| *by < regular.0).unwrap_or(regular)
        };
        let (config_by, config) = next_read(self.config_age());
        let (endpoints_by, endpoints) = next_read(self.endpoints_age());
        let due = DueReads {
            config: (config_by <= now).then_some(config),
            endpoints: (endpoints_by <= now).then_some(endpoints),
            from_peers: false,
        };
        let fresh_at = self.estimates.config.min(self.estimates.endpoints);
        let next = config_by.min(endpoints_by).min(next_check(now, fresh_at));
        (due, next)
    }

    /// Returns when a lead reads for processes that arrived after the last known read, since nothing
    /// confirms to them what they were told. Leads of groups leave that to the site's lead unless they
    /// have just started as well, which suggests that all have.
    fn arrival_read(&self, now: Time, started: Time, read_turn: ReadTurn) -> Option<Time> {
        let reads = match read_turn.role {
            ReadRole::SiteLead => true,
            ReadRole::GroupLead => now < started + STARTING_TIME,
            ReadRole::SingleGroupMember | ReadRole::Member => false,
        };
        let awaits_read = self.arrived_at > Time::ZERO && !self.has_confirmed_arrivals();
        (reads && awaits_read).then(|| self.arrived_at + ARRIVAL_READ_DELAY)
    }

    /// Returns whether a read began after processes arrived.
    pub(super) fn has_confirmed_arrivals(&self) -> bool {
        let confirmed = self.own.config_at.min(self.own.endpoints_at);
        self.arrived_at > Time::ZERO && self.arrived_at < confirmed
    }

    /// Returns the same, once for each time that processes arrived.
    pub(super) fn take_confirmed_arrivals(&mut self) -> bool {
        let confirmed = self.has_confirmed_arrivals();
        if confirmed {
            self.arrived_at = Time::ZERO;
        }
        confirmed
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
            fresh_at: self.estimates.config,
            newer_since: self.config_newer_since,
        }
    }

    fn endpoints_age(&self) -> TopicAge {
        TopicAge {
            fresh_at: self.estimates.endpoints,
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
    pub(super) fn confirm(
        &mut self,
        now: Time,
        peer: &str,
        reported: ReadState,
        echo: ReadEcho,
    ) -> Option<Time> {
        // All records that the peer knows are known here.
        if self.estimates.endpoints > Time::ZERO
            && !self.snapshots.differs(Topic::Endpoints)
            && self.own.endpoints_next >= reported.endpoints_next
            && is_later(now, echo.endpoints, self.own.endpoints_at)
        {
            let after = echo.endpoints.after;
            self.own.endpoints_at = after;
            self.estimate_endpoints(estimate(now, echo.endpoints));
            self.merge_steady_since(reported, after);
            self.endpoints_provenance.confirmed_by = Some(peer.to_owned());
        }
        let same_config = self.estimates.config > Time::ZERO
            && !self.snapshots.differs(Topic::Config)
            && self.own.version == reported.version
            && self.own.config_next >= reported.config_next;
        if !same_config || !is_later(now, echo.config, self.own.config_at) {
            return None;
        }
        self.own.config_at = echo.config.after;
        self.config_provenance.confirmed_by = Some(peer.to_owned());
        self.estimates.config = self.estimates.config.max(estimate(now, echo.config));
        (self.own.version > 0).then_some(echo.config.after)
    }

    /// Merges the state after a read that began at the given times.
    pub(super) fn confirm_own(&mut self, reads: ReadState) {
        self.merge_content(reads);
        self.own.config_at = self.own.config_at.max(reads.config_at);
        self.own.endpoints_at = self.own.endpoints_at.max(reads.endpoints_at);
    }

    /// Merges the known content after a read or after applying records, with estimates of when it was
    /// read.
    pub(super) fn merge_content(&mut self, reads: ReadState) {
        let config_advanced =
            reads.version > self.own.version || reads.config_next > self.own.config_next;
        let endpoints_advanced = reads.endpoints_next > self.own.endpoints_next;
        self.own.version = reads.version;
        self.own.config_next = reads.config_next;
        self.own.endpoints_next = reads.endpoints_next;
        if config_advanced || reads.config_at > Time::ZERO {
            self.config_newer_since = None;
        }
        if endpoints_advanced || reads.endpoints_at > Time::ZERO {
            self.endpoints_newer_since = None;
        }
        self.estimates.config = self.estimates.config.max(reads.config_at);
        if reads.endpoints_at > Time::ZERO {
            self.estimate_endpoints(reads.endpoints_at);
        }
    }

    /// Records that a read of the list of endpoints began at about `at`.
    fn estimate_endpoints(&mut self, at: Time) {
        self.own.steady_since = self.steady_since(at);
        self.estimates.endpoints = self.estimates.endpoints.max(at);
    }
}

/// Returns whether an echoed read is later than a known time. A time ahead of the clock was never
/// sent.
fn is_later(now: Time, echoed: EchoedRead, known: Time) -> bool {
    echoed.after > known && echoed.after <= now
}

/// Returns when an echoed read began, as far as the peer's clock tells: after the echoed time, and
/// before now.
fn estimate(now: Time, echoed: EchoedRead) -> Time {
    now.saturating_sub(echoed.age).max(echoed.after)
}
