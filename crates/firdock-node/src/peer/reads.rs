//! Shared reads of the platform's store, so that not every instance has to read it.
//!
//! An instance that reads the store reports to its peers what it found, and when. A peer with the
//! same records then knows that these were the newest at that time; one with fewer records queries
//! the rest.
//!
//! No time is converted from a peer's clock. Heartbeats return times that the receiver itself sent
//! before a read began, so that a report never looks newer than it is. When the next
//! read is due goes by estimates, which a wrong clock may only make wrong by the time between a
//! heartbeat and its echo (see `docs/design/sharing.md`).

mod echo;
mod schedule;
mod state;
mod status;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use firdock_core::{Offset, Version};
use firdock_policy::Time;
use tokio::sync::Notify;
use uuid::Uuid;

pub use self::echo::{EchoedRead, ReadEcho};
pub use self::schedule::{DueReads, ReadReason};
use self::state::SharedState;
pub use self::status::TopicStatus;
use super::directory::ReadTurn;
use super::sharing::{PeerProcess, StateReply};
use super::topic::{Topic, TopicRecords, TopicSnapshot};
use crate::clock::Clock;

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
    /// When the configuration was known to be the newest: the read that says so began later.
    pub config_at: Time,
    /// When the list of endpoints was known to be the newest, likewise.
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

    /// Records a read of the store, with the time at which it began. Times only move forward; a zero
    /// time means that a topic was not read.
    pub fn record_read(&self, now: Time, reads: ReadState) {
        let mut inner = self.lock();
        inner.read_at = now;
        inner.failed_at = None;
        inner.record_own_read(reads);
        inner.confirm_own(reads);
        drop(inner);
        self.known_changed.notify_one();
    }

    /// Records the known content after applying records of peers. Their times are estimates: they
    /// determine when the store is read next, and confirm nothing.
    pub fn record_from_peers(&self, reads: ReadState) {
        self.lock().merge_content(reads);
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
        self.lock().is_complete()
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

    /// Returns the snapshots of the topics, for a peer's query, without those that may differ from what others
    /// know at the same offset.
    #[must_use]
    pub fn snapshots(&self) -> Vec<(Topic, TopicSnapshot)> {
        let mut inner = self.lock();
        let snapshot = |topic| {
            inner
                .snapshots
                .of(topic)
                .clone()
                .filter(|snapshot| !snapshot.differs())
                .map(|snapshot| (topic, snapshot))
        };
        Topic::ALL.into_iter().filter_map(snapshot).collect()
    }

    /// Queues changes that a peer read. They carry no time of this clock; the next heartbeats date
    /// them.
    pub fn merge_changes(&self, changes: TopicRecords) {
        let read_at = Time::ZERO;
        self.queue(self.lock(), vec![TopicRecords { read_at, ..changes }]);
    }

    /// Queues the records of a peer's reply, with estimates of when they were read.
    pub fn merge_reply(&self, now: Time, reply: StateReply) {
        let estimate = |reported: Time| {
            let known = Some(reported).filter(|at| *at > Time::ZERO);
            // A read ahead of the peer's clock has no age.
            let age = known.and_then(|at| reply.clock.checked_sub(at));
            age.map_or(Time::ZERO, |age| {
                reply.query_sent_at.min(now).saturating_sub(age)
            })
        };
        let with_estimate = |reported: TopicRecords| TopicRecords {
            read_at: estimate(reported.read_at),
            ..reported
        };
        let records = reply.topics.into_iter().map(with_estimate).collect();
        self.queue(self.lock(), records);
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

    /// Records the clock that a peer sent with a heartbeat, to be returned to it.
    pub fn record_clock(&self, now: Time, sender: &PeerProcess, sent_at: Time) {
        let mut inner = self.lock();
        if inner.sent_times.record(now, sender, sent_at) {
            inner.arrived_at = now;
            drop(inner);
            self.changed.notify_one();
        }
    }

    /// Returns whether the processes that arrived can be told that a read began after they did; once
    /// for each time that any arrived.
    #[must_use]
    pub fn take_confirmed_arrivals(&self) -> bool {
        self.lock().take_confirmed_arrivals()
    }

    /// Returns the read state, and what dates it by the clock of a peer's process; no echo if the
    /// peer has sent no clock. Both are of one moment: an echo of a later read would confirm the
    /// content of an earlier one.
    #[must_use]
    pub fn report_for(&self, now: Time, peer: &str) -> (ReadState, Option<(Uuid, ReadEcho)>) {
        let inner = self.lock();
        (inner.own, inner.echo_for(now, peer))
    }

    /// Merges a peer's report, whose times are by the peer's clock. `echo` dates it by this one.
    #[must_use]
    pub fn merge_report(
        &self,
        now: Time,
        sender: &PeerProcess,
        reported: ReadState,
        echo: Option<ReadEcho>,
    ) -> MergeOutcome {
        let mut inner = self.lock();
        let ask_state = inner.record_newer(now, reported);
        let fresh = echo.and_then(|echo| inner.confirm(now, &sender.name, reported, echo));
        if inner.has_confirmed_arrivals() {
            self.known_changed.notify_one();
        }
        MergeOutcome { fresh, ask_state }
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
                () = clock.sleep_until(next) => {}
                () = self.changed.notified() => {}
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, SharedState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
