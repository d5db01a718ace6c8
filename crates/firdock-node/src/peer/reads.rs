//! Shared reads of the platform's store, so that not every instance has to read it.
//!
//! An instance that reads the store reports to its peers what it found, and when. A peer with the
//! same records then knows that these were the newest at that time; one with fewer records queries
//! the rest.
//!
//! Times are reported by the sender's clock. The receiver converts them by a bound from one
//! exchange: a reply is sent after its query, so the sender's clock at the reply corresponds to no
//! earlier time than that of the query. The conversion therefore never makes a report look newer
//! than it is, even if a process was suspended (see `docs/design/sharing.md`).

mod clocks;
mod schedule;
mod state;
mod status;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use firdock_core::{Offset, Version};
use firdock_policy::Time;
use tokio::sync::Notify;
use tokio::time::sleep;
use uuid::Uuid;

pub use self::schedule::{DueReads, ReadReason};
use self::state::SharedState;
pub use self::status::TopicStatus;
use super::directory::ReadTurn;
use super::sharing::{PeerProcess, StateReply};
use super::topic::{Topic, TopicRecords, TopicSnapshot};
use crate::clock::Clock;

/// Age of the read state beyond which reports of all peers are used and not those of leads alone: a
/// read every 0.6 s, and two heartbeats to forward it.
const OUTDATED_AFTER: Duration = Duration::from_millis(1_100);
/// Maximum number of peers' records waiting to be applied; records beyond that are dropped, and the
/// store is read instead.
const MAX_QUEUED_RECORDS: usize = 64;

/// Newest state of the store that an instance knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadState {
    /// Version of the configuration.
    pub version: Version,
    /// Offset after the last record of the configuration topic; not every record there is a new
    /// version of the configuration.
    pub config_next: Offset,
    /// Offset after the last record of the list of endpoints.
    pub endpoints_next: Offset,
    /// When the configuration was known to be the newest.
    pub config_at: Time,
    /// When the list of endpoints was known to be the newest.
    pub endpoints_at: Time,
    /// Since when the list of endpoints has been read without an outage; zero if not reported.
    pub steady_since: Time,
}

/// What follows from merging a peer's report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Time at which the configuration in force here was the newest, if the report confirms a later
    /// one.
    pub fresh: Option<Time>,
    /// The peer's clock has to be queried before its report is of use.
    pub ask_clock: bool,
    /// The peer has newer content, which is to be queried.
    pub ask_state: bool,
}

/// Read state of this instance, merged with the reports of its peers.
#[derive(Debug, Default)]
pub struct SharedReads {
    inner: Mutex<SharedState>,
    changed: Notify,
    known_changed: Notify,
}

impl SharedReads {
    /// Sets whether peers are queried at start before the store is read.
    #[must_use]
    pub fn with_asks_peers_first(self, asks: bool) -> Self {
        self.lock().asks_peers_first = asks;
        self
    }

    /// Returns whether peers are queried at start before the store is read.
    #[must_use]
    pub fn asks_peers_first(&self) -> bool {
        self.lock().asks_peers_first
    }

    /// Records that the content of the store is so large that it has to be queried from the own
    /// zone.
    pub fn mark_large(&self) {
        self.lock().large = true;
        self.changed.notify_one();
        self.known_changed.notify_one();
    }

    /// Returns whether the content has to be queried from the own zone.
    #[must_use]
    pub fn is_large(&self) -> bool {
        self.lock().large
    }

    /// Records that a peer queried at start has announced a delayed reply.
    pub fn record_delay(&self, now: Time) {
        self.lock().delay_announced_at = Some(now);
        self.changed.notify_one();
        self.known_changed.notify_one();
    }

    /// Returns until when a delayed reply is awaited, if one was announced.
    #[must_use]
    pub fn delayed_until(&self) -> Option<Time> {
        self.lock().delayed_until()
    }

    /// Returns whether a newly started instance still waits for the reply of a peer.
    #[must_use]
    pub fn awaits_reply(&self, now: Time) -> bool {
        let inner = self.lock();
        let until = inner.started.map(|at| inner.start_deadline(at));
        until.is_none_or(|until| now < until)
    }

    /// Records a read of the store. Times only move forward; a zero time means that a topic was not
    /// read.
    pub fn record_read(&self, now: Time, reads: ReadState) {
        let mut inner = self.lock();
        inner.read_at = now;
        inner.failed_at = None;
        inner.record_own_read(reads);
        inner.merge_own(reads);
        drop(inner);
        self.known_changed.notify_one();
    }

    /// Records the read state after applying records of peers, like `record_read`.
    pub fn record_from_peers(&self, reads: ReadState) {
        self.lock().merge_own(reads);
        self.known_changed.notify_one();
    }

    /// Waits until the read state changes.
    pub async fn wait_for_change(&self) {
        self.known_changed.notified().await;
    }

    /// Returns when each topic was last read, and on whose word that is known.
    #[must_use]
    pub fn status(&self) -> [TopicStatus; 2] {
        let inner = self.lock();
        Topic::ALL.map(|topic| inner.status(topic))
    }

    /// Returns whether both topics are known, so that peers' queries can be answered.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let own = self.own();
        own.config_at > Time::ZERO && own.endpoints_at > Time::ZERO
    }

    /// Returns whether the read state is older than peers' reports normally let it get.
    #[must_use]
    pub fn is_outdated(&self, now: Time) -> bool {
        let own = self.own();
        own.config_at.min(own.endpoints_at) + OUTDATED_AFTER < now
    }

    /// Returns when the list of endpoints was first read after its last outage, given a read at
    /// `at`.
    #[must_use]
    pub fn steady_since(&self, at: Time) -> Time {
        self.lock().steady_since(at)
    }

    /// Stores records in the topic's snapshot and returns the changes, to be forwarded.
    pub fn apply_records(&self, new: &TopicRecords) -> Option<TopicRecords> {
        let mut inner = self.lock();
        let slot = inner.snapshots.of(new.topic);
        let known = slot.is_some();
        slot.get_or_insert_default().take(new, known)
    }

    /// Returns the snapshots of the topics, for a peer's query.
    #[must_use]
    pub fn snapshots(&self) -> Vec<(Topic, TopicSnapshot)> {
        let mut inner = self.lock();
        let snapshot = |topic| {
            inner
                .snapshots
                .of(topic)
                .clone()
                .map(|snapshot| (topic, snapshot))
        };
        Topic::ALL.into_iter().filter_map(snapshot).collect()
    }

    /// Queues changes that a peer read. They are dropped if there is no bound on its clock, since
    /// their times cannot be converted then.
    pub fn merge_changes(&self, sender: &PeerProcess, changes: TopicRecords) {
        let inner = self.lock();
        let Some(bound) = inner.clocks.get(&sender.name, sender.incarnation) else {
            return;
        };
        let read_at = bound.local_time(changes.read_at);
        self.queue(inner, vec![TopicRecords { read_at, ..changes }]);
    }

    /// Queues the records of a peer's reply.
    pub fn merge_reply(&self, reply: StateReply) {
        let PeerProcess { name, incarnation } = &reply.sender;
        self.take_clock(name, *incarnation, reply.query_sent_at, reply.clock);
        let inner = self.lock();
        let Some(bound) = inner.clocks.get(name, *incarnation) else {
            return;
        };
        let by_own_clock = |reported: TopicRecords| TopicRecords {
            read_at: bound.local_time(reported.read_at),
            ..reported
        };
        let records = reply.topics.into_iter().map(by_own_clock).collect();
        self.queue(inner, records);
    }

    fn queue(&self, mut inner: MutexGuard<'_, SharedState>, records: Vec<TopicRecords>) {
        if inner.peer_records.len() < MAX_QUEUED_RECORDS {
            inner.peer_records.extend(records);
        }
        drop(inner);
        self.changed.notify_one();
    }

    /// Records that a peer's changes are not contiguous with the known records, so that a complete
    /// snapshot is queried.
    pub fn record_gap(&self, now: Time, topic: Topic) {
        let mut inner = self.lock();
        match topic {
            Topic::Config => inner.config_newer_since.get_or_insert(now),
            Topic::Endpoints => inner.endpoints_newer_since.get_or_insert(now),
        };
        drop(inner);
        self.changed.notify_one();
    }

    /// Takes the queued records of peers.
    #[must_use]
    pub fn take_peer_records(&self) -> Vec<TopicRecords> {
        std::mem::take(&mut self.lock().peer_records)
    }

    /// Records a failed read; the store is not read again during `pause`.
    pub fn record_failure(&self, now: Time, pause: Duration) {
        let mut inner = self.lock();
        inner.read_at = now;
        inner.failed_at = Some(now);
        inner.paused_until = now + pause;
    }

    /// Returns the read state of this instance.
    #[must_use]
    pub fn own(&self) -> ReadState {
        self.lock().own
    }

    /// Merges a peer's report, whose times are by the peer's clock.
    #[must_use]
    pub fn merge_report(
        &self,
        now: Time,
        sender: &PeerProcess,
        reported: ReadState,
    ) -> MergeOutcome {
        let mut inner = self.lock();
        let ask_state = inner.record_newer(now, reported);
        let Some(bound) = inner.clocks.get(&sender.name, sender.incarnation) else {
            // The reply to a state query contains the peer's clock as well.
            return MergeOutcome {
                fresh: None,
                ask_clock: !ask_state,
                ask_state,
            };
        };
        let reported = ReadState {
            config_at: bound.local_time(reported.config_at),
            endpoints_at: bound.local_time(reported.endpoints_at),
            steady_since: bound.local_time(reported.steady_since),
            ..reported
        };
        let fresh = inner.confirm(&sender.name, reported);
        inner.merge_steady_since(reported);
        MergeOutcome {
            fresh,
            ask_clock: false,
            ask_state,
        }
    }

    /// Records a peer's clock from the reply to a query that was sent at `query_sent_at`.
    pub fn take_clock(&self, peer: &str, incarnation: Uuid, query_sent_at: Time, clock: Time) {
        self.lock()
            .clocks
            .record(peer, incarnation, query_sent_at, clock);
    }

    /// Returns what is due now, and when to check again if nothing is due and no report arrives.
    #[must_use]
    pub fn due_at(&self, now: Time, pause: Duration, read_turn: ReadTurn) -> (DueReads, Time) {
        self.lock().due(now, pause, read_turn)
    }

    /// Waits until this instance has to read the store or records of peers arrive, and returns
    /// which.
    ///
    /// `read_turn` returns this instance's turn in reading the store.
    pub async fn due(
        &self,
        clock: Clock,
        pause: Duration,
        read_turn: impl Fn() -> ReadTurn,
    ) -> DueReads {
        loop {
            let now = clock.now();
            let (due, next) = self.due_at(now, pause, read_turn());
            if due.any() {
                return due;
            }
            tokio::select! {
                () = sleep(next.saturating_sub(now)) => {}
                () = self.changed.notified() => {}
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, SharedState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
