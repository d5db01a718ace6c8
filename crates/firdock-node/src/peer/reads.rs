//! Reads of the platform's store that instances share, so that not each of them has to read.
//!
//! An instance that read tells its peers what it found, and when. A peer that knows the same records
//! knows then that they were the newest at that time; one that knows fewer asks for them.
//!
//! Times are told by the sender's clock. The receiver places them on its own by a bound from one
//! exchange: an answer is sent after its question, so the sender's clock at the answer stands for no
//! earlier time than that of the question. A process that stood still cannot take an old word for a
//! new one by it (see `docs/design/sharing.md`).

mod clocks;
mod due;
mod state;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use firdock_core::{Offset, Version};
use firdock_policy::Time;
use tokio::sync::Notify;
use tokio::time::sleep;
use uuid::Uuid;

pub use self::due::{DueReads, ReadReason};
use self::state::Inner;
use super::book::ReadTurn;
use super::known::{PeerProcess, StateReply};
use super::topic::{Topic, TopicRecords, TopicSnapshot};
use crate::clock::Clock;

/// Age of what is known beyond which every peer's word counts, and not that of leads alone: a read
/// each 0.6 s, and two heartbeats on its way.
const AGING: Duration = Duration::from_millis(1_100);
/// Words of peers that may wait to be taken; beyond, the store is read.
const MAX_TOLD: usize = 64;

/// What an instance knows to be the newest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadState {
    /// Version of the configuration.
    pub version: Version,
    /// Offset after the last record of the configuration's topic: not every record there is a new
    /// version of the configuration.
    pub config_next: Offset,
    /// Offset after the last record of the list of endpoints.
    pub endpoints_next: Offset,
    /// When the configuration was the newest.
    pub config_at: Time,
    /// When the list of endpoints was the newest.
    pub endpoints_at: Time,
    /// Since when the list of endpoints has been read without an outage of it; zero where that was
    /// not told.
    pub steady_since: Time,
}

/// What follows from a peer's word.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// The configuration in force here was the newest at this time.
    pub fresh: Option<Time>,
    /// The peer's clock has to be asked for before its word is of use.
    pub ask_clock: bool,
    /// The peer has something newer, and is to be asked for it.
    pub ask_state: bool,
}

/// The reads of this instance, with what its peers told of theirs.
#[derive(Debug, Default)]
pub struct SharedReads {
    inner: Mutex<Inner>,
    changed: Notify,
    known: Notify,
}

impl SharedReads {
    /// Lets peers be asked at the start before the store is.
    #[must_use]
    pub fn with_asks_peers_first(self, asks: bool) -> Self {
        self.lock().asks_peers_first = asks;
        self
    }

    /// Tells whether peers are asked at the start before the store is.
    #[must_use]
    pub fn asks_peers_first(&self) -> bool {
        self.lock().asks_peers_first
    }

    /// Notes that what peers know of the store is so long that it comes from the own zone.
    pub fn note_large(&self) {
        self.lock().large = true;
        self.changed.notify_one();
        self.known.notify_one();
    }

    /// Tells whether it is.
    #[must_use]
    pub fn is_large(&self) -> bool {
        self.lock().large
    }

    /// Notes that a peer that was asked at the start will answer, and that many asked before.
    pub fn note_queued(&self, now: Time) {
        self.lock().queued_at = Some(now);
        self.changed.notify_one();
        self.known.notify_one();
    }

    /// Gives until when the answer of a peer is waited for that many asked before, if there is one.
    #[must_use]
    pub fn queued_until(&self) -> Option<Time> {
        self.lock().queued_until()
    }

    /// Tells whether an instance that just started still waits for its peers' answer.
    #[must_use]
    pub fn awaits_reply(&self, now: Time) -> bool {
        let inner = self.lock();
        let until = inner.started.map(|at| inner.start_by(at));
        until.is_none_or(|until| now < until)
    }

    /// Notes what this instance read; times never go back, and a time of zero stands for what was not
    /// read.
    pub fn record_read(&self, now: Time, reads: ReadState) {
        let mut inner = self.lock();
        inner.read_at = now;
        inner.failed_at = None;
        inner.take(reads);
        drop(inner);
        self.known.notify_one();
    }

    /// Notes what this instance took from its peers' words, likewise.
    pub fn record_from_peers(&self, reads: ReadState) {
        self.lock().take(reads);
        self.known.notify_one();
    }

    /// Waits until more is known of the store than before.
    pub async fn wait_for_change(&self) {
        self.known.notified().await;
    }

    /// Tells whether enough is known to answer a peer: both topics were read or told.
    #[must_use]
    pub fn is_known(&self) -> bool {
        let own = self.own();
        own.config_at > Time::ZERO && own.endpoints_at > Time::ZERO
    }

    /// Tells whether what is known has grown older than a peer's word lets it be in calm times.
    #[must_use]
    pub fn is_aging(&self, now: Time) -> bool {
        let own = self.own();
        own.config_at.min(own.endpoints_at) + AGING < now
    }

    /// Gives when the list of endpoints was first read after its last outage, if it is read at `at`.
    #[must_use]
    pub fn steady_since(&self, at: Time) -> Time {
        self.lock().steady_since(at)
    }

    /// Keeps records as they stand in the store, to be passed on; gives what changed by them.
    pub fn apply_records(&self, new: &TopicRecords) -> Option<TopicRecords> {
        let mut inner = self.lock();
        let slot = inner.snapshots.of(new.topic);
        let known = slot.is_some();
        slot.get_or_insert_default().take(new, known)
    }

    /// Gives the topics as they stand in the store, for a peer that asks.
    #[must_use]
    pub fn snapshots(&self) -> Vec<(Topic, TopicSnapshot)> {
        let mut inner = self.lock();
        let image = |topic| {
            inner
                .snapshots
                .of(topic)
                .clone()
                .map(|image| (topic, image))
        };
        Topic::ALL.into_iter().filter_map(image).collect()
    }

    /// Takes changes that a peer read, whose times are by its own clock, unless that is not known.
    pub fn merge_changes(&self, teller: &PeerProcess, changes: TopicRecords) {
        let inner = self.lock();
        let Some(bound) = inner.clocks.get(&teller.name, teller.incarnation) else {
            return;
        };
        let read_at = bound.place(changes.read_at);
        self.queue(inner, vec![TopicRecords { read_at, ..changes }]);
    }

    /// Takes a peer's answer to a question.
    pub fn merge_reply(&self, answer: StateReply) {
        let PeerProcess { name, incarnation } = &answer.teller;
        self.take_clock(name, *incarnation, answer.asked, answer.clock);
        let inner = self.lock();
        let Some(bound) = inner.clocks.get(name, *incarnation) else {
            return;
        };
        let by_own_clock = |told: TopicRecords| TopicRecords {
            read_at: bound.place(told.read_at),
            ..told
        };
        let told = answer.topics.into_iter().map(by_own_clock).collect();
        self.queue(inner, told);
    }

    fn queue(&self, mut inner: MutexGuard<'_, Inner>, told: Vec<TopicRecords>) {
        if inner.told.len() < MAX_TOLD {
            inner.told.extend(told);
        }
        drop(inner);
        self.changed.notify_one();
    }

    /// Notes that changes that were told do not follow on what is known here, so that peers are asked
    /// for the whole.
    pub fn record_gap(&self, now: Time, topic: Topic) {
        let mut inner = self.lock();
        match topic {
            Topic::Config => inner.config_news.get_or_insert(now),
            Topic::Endpoints => inner.endpoints_news.get_or_insert(now),
        };
        drop(inner);
        self.changed.notify_one();
    }

    /// Gives what peers told, to be taken.
    #[must_use]
    pub fn take_peer_records(&self) -> Vec<TopicRecords> {
        std::mem::take(&mut self.lock().told)
    }

    /// Notes that a read failed, and for how long nothing is read again.
    pub fn record_failure(&self, now: Time, pause: Duration) {
        let mut inner = self.lock();
        inner.read_at = now;
        inner.failed_at = Some(now);
        inner.held_until = now + pause;
    }

    /// Gives what this instance knows.
    #[must_use]
    pub fn own(&self) -> ReadState {
        self.lock().own
    }

    /// Takes a peer's word, whose times are by its own clock.
    #[must_use]
    pub fn merge_report(&self, now: Time, teller: &PeerProcess, told: ReadState) -> MergeOutcome {
        let mut inner = self.lock();
        let ask_state = inner.hear_news(now, told);
        let Some(bound) = inner.clocks.get(&teller.name, teller.incarnation) else {
            // An answer to the question for what it knows tells its clock as well.
            return MergeOutcome {
                fresh: None,
                ask_clock: !ask_state,
                ask_state,
            };
        };
        let told = ReadState {
            config_at: bound.place(told.config_at),
            endpoints_at: bound.place(told.endpoints_at),
            steady_since: bound.place(told.steady_since),
            ..told
        };
        let fresh = inner.confirm(told);
        inner.hear_steady(told);
        MergeOutcome {
            fresh,
            ask_clock: false,
            ask_state,
        }
    }

    /// Takes a peer's clock, which it told after this instance asked at `asked`.
    pub fn take_clock(&self, peer: &str, incarnation: Uuid, asked: Time, clock: Time) {
        self.lock().clocks.take(peer, incarnation, asked, clock);
    }

    /// Gives what is due now, and when to look again if nothing is and no peer tells anything.
    #[must_use]
    pub fn due_at(&self, now: Time, pause: Duration, read_turn: ReadTurn) -> (DueReads, Time) {
        self.lock().due(now, pause, read_turn)
    }

    /// Waits until this instance has to read, or a peer told something; tells what.
    ///
    /// `turn` gives this instance's part in the reading.
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

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
