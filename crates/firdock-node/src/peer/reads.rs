//! Reads of the platform's store that instances share, so that not each of them has to read.
//!
//! An instance that read tells its peers what it found, and when. A peer that knows the same records
//! knows then that they were the newest at that time; one that knows fewer asks for them. Times are told by the sender's clock. The receiver places them on its own by a bound
//! from one exchange: an answer is sent after its question, so the sender's clock at the answer
//! stands for no earlier time than that of the question. A process that stood still cannot take an
//! old word for a new one by it (see `docs/design/platform.md`).

mod clocks;
mod due;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use firdock_core::{Offset, Version};
use firdock_policy::Time;
use tokio::sync::Notify;
use tokio::time::sleep;
use uuid::Uuid;

use self::clocks::PeerClocks;
pub use self::due::{Due, ReadReason};
use self::due::{LastRead, TopicAge, start_by};
use super::book::Turn;
use super::known::{Answer, Teller};
use super::topic::{Image, Topic, TopicRecords};
use crate::clock::Clock;

/// Time in which no instance read the list of endpoints that counts as an outage of it: longer
/// than an instance waits for its peers' words, shorter than entries live without being renewed.
const OUTAGE: Duration = Duration::from_millis(2_200);
/// Least time between two questions for what a peer has newer: its answer takes a few milliseconds,
/// and comes to all that ask at once within some hundred.
const ASK_PAUSE: Duration = Duration::from_millis(150);
/// Words of peers that may wait to be taken; beyond, the store is read.
const MAX_TOLD: usize = 64;

/// What an instance knows to be the newest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reads {
    /// Version of the configuration.
    pub version: Version,
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
pub struct Heard {
    /// The configuration in force here was the newest at this time.
    pub fresh: Option<Time>,
    /// The peer's clock has to be asked for before its word is of use.
    pub ask_clock: bool,
    /// The peer has something newer, and is to be asked for it.
    pub ask_state: bool,
}

/// What is known of the topics, as it stands in the store.
#[derive(Debug, Default)]
struct Images {
    config: Option<Image>,
    endpoints: Option<Image>,
}

impl Images {
    fn of(&mut self, topic: Topic) -> &mut Option<Image> {
        match topic {
            Topic::Config => &mut self.config,
            Topic::Endpoints => &mut self.endpoints,
        }
    }
}

#[derive(Debug, Default)]
struct Inner {
    own: Reads,
    read_at: Time,
    /// When the last read failed, if it did, and until when nothing is read again.
    failed_at: Option<Time>,
    held_until: Time,
    /// Whether peers are asked before the store is, at the start.
    asks_first: bool,
    /// When the instance began to look for what is due.
    started: Option<Time>,
    /// When a peer was last asked for what it has newer.
    asked_at: Time,
    config_news: Option<Time>,
    endpoints_news: Option<Time>,
    /// What peers told, to be taken.
    told: Vec<TopicRecords>,
    images: Images,
    clocks: PeerClocks,
}

impl Inner {
    fn steady_since(&self, at: Time) -> Time {
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
    fn hear_steady(&mut self, told: Reads) {
        let own = self.own.steady_since;
        let known = told.steady_since > Time::ZERO;
        let spans = known && told.steady_since + OUTAGE < own && own <= told.endpoints_at + OUTAGE;
        if spans {
            self.own.steady_since = told.steady_since;
        }
    }

    /// Gives what is due now, and when to look again if nothing is.
    fn due(&mut self, now: Time, pause: Duration, turn: Turn) -> (Due, Time) {
        if !self.told.is_empty() {
            return (Due::TOLD, now);
        }
        if now < self.held_until {
            return (Due::default(), self.held_until);
        }
        let started = *self.started.get_or_insert(now);
        if self.own.config_at == Time::ZERO {
            let by = start_by(started, self.asks_first);
            let due = if by <= now {
                Due::START
            } else {
                Due::default()
            };
            return (due, by);
        }
        let last = LastRead {
            at: self.read_at,
            failed_at: self.failed_at,
        };
        let (config_by, config) = self.config_age().next_read(pause, turn, last);
        let (endpoints_by, endpoints) = self.endpoints_age().next_read(pause, turn, last);
        let due = Due {
            config: (config_by <= now).then_some(config),
            endpoints: (endpoints_by <= now).then_some(endpoints),
            told: false,
        };
        (due, config_by.min(endpoints_by))
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
    fn hear_news(&mut self, now: Time, told: Reads) -> bool {
        let config = told.version > self.own.version;
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
    fn confirm(&mut self, told: Reads) -> Option<Time> {
        let known = self.own.endpoints_at > Time::ZERO && told.endpoints_at > Time::ZERO;
        if known && self.own.endpoints_next >= told.endpoints_next {
            // What is known here holds all that the peer saw.
            self.see_endpoints(told.endpoints_at);
        }
        let same_config = self.own.config_at > Time::ZERO && self.own.version == told.version;
        if !same_config || told.config_at <= self.own.config_at {
            return None;
        }
        self.own.config_at = told.config_at;
        (self.own.version > 0).then_some(told.config_at)
    }

    /// Takes what was read or told, by times of the own clock.
    fn take(&mut self, reads: Reads) {
        self.own.version = reads.version;
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
    pub fn with_peers_first(self, asks: bool) -> Self {
        self.lock().asks_first = asks;
        self
    }

    /// Tells whether peers are asked at the start before the store is.
    #[must_use]
    pub fn asks_first(&self) -> bool {
        self.lock().asks_first
    }

    /// Tells whether an instance that just started still waits for its peers' answer.
    #[must_use]
    pub fn awaits_answer(&self, now: Time) -> bool {
        let inner = self.lock();
        let until = inner.started.map(|at| start_by(at, inner.asks_first));
        until.is_none_or(|until| now < until)
    }

    /// Notes what this instance read; times never go back, and a time of zero stands for what was not
    /// read.
    pub fn note(&self, now: Time, reads: Reads) {
        let mut inner = self.lock();
        inner.read_at = now;
        inner.failed_at = None;
        inner.take(reads);
        drop(inner);
        self.known.notify_one();
    }

    /// Notes what this instance took from its peers' words, likewise.
    pub fn note_told(&self, reads: Reads) {
        self.lock().take(reads);
        self.known.notify_one();
    }

    /// Waits until more is known of the store than before.
    pub async fn known_more(&self) {
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
        own.config_at.min(own.endpoints_at) + OUTAGE / 2 < now
    }

    /// Gives when the list of endpoints was first read after its last outage, if it is read at `at`.
    #[must_use]
    pub fn steady_since(&self, at: Time) -> Time {
        self.lock().steady_since(at)
    }

    /// Keeps records as they stand in the store, to be passed on; gives what changed by them.
    pub fn keep(&self, new: &TopicRecords) -> Option<TopicRecords> {
        let mut inner = self.lock();
        let slot = inner.images.of(new.topic);
        let known = slot.is_some();
        slot.get_or_insert_default().take(new, known)
    }

    /// Gives the topics as they stand in the store, for a peer that asks.
    #[must_use]
    pub fn images(&self) -> Vec<(Topic, Image)> {
        let mut inner = self.lock();
        let image = |topic| inner.images.of(topic).clone().map(|image| (topic, image));
        Topic::ALL.into_iter().filter_map(image).collect()
    }

    /// Takes changes that a peer read, whose times are by its own clock, unless that is not known.
    pub fn hear_changes(&self, teller: &Teller, changes: TopicRecords) {
        let inner = self.lock();
        let Some(bound) = inner.clocks.get(&teller.name, teller.incarnation) else {
            return;
        };
        let read_at = bound.place(changes.read_at);
        self.queue(inner, vec![TopicRecords { read_at, ..changes }]);
    }

    /// Takes a peer's answer to a question.
    pub fn hear_answer(&self, answer: Answer) {
        let Teller { name, incarnation } = &answer.teller;
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
    pub fn note_gap(&self, now: Time, topic: Topic) {
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
    pub fn take_told(&self) -> Vec<TopicRecords> {
        std::mem::take(&mut self.lock().told)
    }

    /// Notes that a read failed, and for how long nothing is read again.
    pub fn note_failed(&self, now: Time, pause: Duration) {
        let mut inner = self.lock();
        inner.read_at = now;
        inner.failed_at = Some(now);
        inner.held_until = now + pause;
    }

    /// Gives what this instance knows.
    #[must_use]
    pub fn own(&self) -> Reads {
        self.lock().own
    }

    /// Takes a peer's word, whose times are by its own clock.
    #[must_use]
    pub fn hear(&self, now: Time, teller: &Teller, told: Reads) -> Heard {
        let mut inner = self.lock();
        let ask_state = inner.hear_news(now, told);
        let Some(bound) = inner.clocks.get(&teller.name, teller.incarnation) else {
            // An answer to the question for what it knows tells its clock as well.
            return Heard {
                fresh: None,
                ask_clock: !ask_state,
                ask_state,
            };
        };
        let told = Reads {
            config_at: bound.place(told.config_at),
            endpoints_at: bound.place(told.endpoints_at),
            steady_since: bound.place(told.steady_since),
            ..told
        };
        let fresh = inner.confirm(told);
        inner.hear_steady(told);
        Heard {
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
    pub fn due_at(&self, now: Time, pause: Duration, turn: Turn) -> (Due, Time) {
        self.lock().due(now, pause, turn)
    }

    /// Waits until this instance has to read, or a peer told something; tells what.
    ///
    /// `turn` gives this instance's part in the reading.
    pub async fn due(&self, clock: Clock, pause: Duration, turn: impl Fn() -> Turn) -> Due {
        loop {
            let now = clock.now();
            let (due, next) = self.due_at(now, pause, turn());
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
