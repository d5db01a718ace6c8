//! Reads of the platform's store that instances share, so that not each of them has to read.
//!
//! An instance that read tells its peers what it found to be the newest, and when. A peer whose own
//! state is the same knows then that it was the newest at that time; one whose state differs reads
//! for itself. Times are told by the sender's clock. The receiver places them on its own by a bound
//! from one exchange: an answer is sent after its question, so the sender's clock at the answer
//! stands for no earlier time than that of the question. A process that stood still cannot take an
//! old word for a new one by it (see `docs/design/platform.md`).

mod clocks;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use firdock_core::Version;
use firdock_policy::Time;
use tokio::sync::Notify;
use tokio::time::sleep;
use uuid::Uuid;

use self::clocks::PeerClocks;
use super::book::Reader;
use super::changes::EntryChanges;
use crate::clock::Clock;

/// Least time between two reads, however often peers tell of news.
const LEAST_PAUSE: Duration = Duration::from_millis(150);
/// Time in which no instance read the list of endpoints that counts as an outage of it: longer
/// than an instance waits for its peers' words, shorter than entries live without being renewed.
const OUTAGE: Duration = Duration::from_millis(2_200);
/// How much longer than the site's reader an instance waits before it reads for itself, as a multiple
/// of the pause between reads: what was read comes one heartbeat later, and to members of a group
/// by one more.
const PATIENCE: f64 = 2.0;
/// The same for members of a group of a larger site.
const MEMBER_PATIENCE: f64 = 3.0;
/// Most of the patience added by chance, so that not all begin at once.
const PATIENCE_SPREAD: f64 = 1.0 / 3.0;

/// Changes told by peers that may wait to be taken; beyond, the list is read.
const MAX_TOLD: usize = 64;

/// What an instance knows to be the newest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reads {
    /// Version of the configuration.
    pub version: Version,
    /// Digest of the endpoints listed.
    pub endpoints: u64,
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
}

/// What an instance has to read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Due {
    /// The configuration.
    pub config: bool,
    /// The list of endpoints.
    pub endpoints: bool,
    /// Nothing of the store's: a peer told of changes that it read.
    pub told: bool,
}

impl Due {
    /// Everything, as at the start.
    pub const ALL: Self = Self {
        config: true,
        endpoints: true,
        told: false,
    };

    /// Only what a peer told.
    const TOLD: Self = Self {
        config: false,
        endpoints: false,
        told: true,
    };

    fn any(self) -> bool {
        self.config || self.endpoints || self.told
    }
}

#[derive(Debug, Default)]
struct Inner {
    own: Reads,
    read_at: Time,
    /// What a peer has newer.
    news: Due,
    /// Changes that peers read, which follow on the endpoints known here.
    told: Vec<EntryChanges>,
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

    /// Takes a peer's word on the last outage, by times of the own clock; tells whether what was an
    /// outage here was none.
    ///
    /// An instance that was cut off alone saw no read for as long, while the list was read by others
    /// and endpoints renewed their entries. What differs by less than an outage is the clocks' doing.
    fn hear_steady(&mut self, told: Reads) -> bool {
        let own = self.own.steady_since;
        let known = told.steady_since > Time::ZERO;
        let spans = known && told.steady_since + OUTAGE < own && own <= told.endpoints_at + OUTAGE;
        if spans {
            self.own.steady_since = told.steady_since;
        }
        spans
    }

    /// Gives the digest of the endpoints known here, with the changes that are to be taken.
    fn digest(&self) -> u64 {
        self.told.last().map_or(self.own.endpoints, |c| c.after)
    }

    /// Gives what is due now, and when to look again if nothing is.
    fn due(&self, now: Time, patience: Duration) -> (Due, Time) {
        if !self.told.is_empty() {
            return (Due::TOLD, now);
        }
        let earliest = self.read_at + LEAST_PAUSE;
        if now < earliest {
            return (Due::default(), earliest);
        }
        let old = |at: Time| at + patience <= now;
        let due = Due {
            config: self.news.config || old(self.own.config_at),
            endpoints: self.news.endpoints || old(self.own.endpoints_at),
            told: false,
        };
        let oldest = self.own.config_at.min(self.own.endpoints_at);
        (due, oldest + patience)
    }

    /// Gives what a peer has newer, by times of the own clock.
    fn newer(&self, told: Reads) -> Due {
        let own = &self.own;
        let other_endpoints = self.digest() != told.endpoints;
        Due {
            config: told.version > own.version,
            endpoints: other_endpoints && told.endpoints_at > own.endpoints_at,
            told: false,
        }
    }

    /// Takes over when a peer found what is known here to be the newest; gives that time for the
    /// configuration, if it is later than what was known.
    fn confirm(&mut self, told: Reads) -> Option<Time> {
        if self.own.version == 0 {
            return None;
        }
        if self.own.endpoints == told.endpoints {
            self.see_endpoints(told.endpoints_at);
        }
        let same_config = self.own.version == told.version;
        if !same_config || told.config_at <= self.own.config_at {
            return None;
        }
        self.own.config_at = told.config_at;
        Some(told.config_at)
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
}

impl SharedReads {
    /// Notes what this instance read; times never go back.
    pub fn note(&self, now: Time, reads: Reads) {
        let mut inner = self.lock();
        inner.read_at = now;
        inner.news = Due::default();
        let own = &mut inner.own;
        own.version = reads.version;
        own.endpoints = reads.endpoints;
        own.config_at = own.config_at.max(reads.config_at);
        inner.see_endpoints(reads.endpoints_at);
    }

    /// Gives when the list of endpoints was first read after its last outage, if it is read at `at`.
    #[must_use]
    pub fn steady_since(&self, at: Time) -> Time {
        self.lock().steady_since(at)
    }

    /// Takes changes that a peer read, whose times are by its own clock, unless that is not known.
    pub fn hear_changes(&self, peer: &str, incarnation: Uuid, changes: EntryChanges) {
        let mut inner = self.lock();
        let Some(bound) = inner.clocks.get(peer, incarnation) else {
            return;
        };
        if inner.own.version == 0 || inner.told.len() >= MAX_TOLD {
            return;
        }
        let read_at = bound.earliest(changes.read_at);
        inner.told.push(EntryChanges { read_at, ..changes });
        drop(inner);
        self.changed.notify_one();
    }

    /// Notes that changes that were told do not follow on what is known here, so that the list has
    /// to be read.
    pub fn note_gap(&self) {
        self.lock().news.endpoints = true;
        self.changed.notify_one();
    }

    /// Gives the changes that peers told, to be taken.
    #[must_use]
    pub fn take_told(&self) -> Vec<EntryChanges> {
        std::mem::take(&mut self.lock().told)
    }

    /// Notes that changes that peers told were taken, after which the endpoints have this digest.
    pub fn note_told(&self, endpoints: u64, read_at: Time) {
        let mut inner = self.lock();
        inner.own.endpoints = endpoints;
        inner.see_endpoints(read_at);
    }

    /// Notes that a read failed, so that the next one waits its turn.
    pub fn note_failed(&self, now: Time) {
        self.lock().read_at = now;
    }

    /// Gives what this instance knows.
    #[must_use]
    pub fn own(&self) -> Reads {
        self.lock().own
    }

    /// Takes a peer's word, whose times are by its own clock.
    #[must_use]
    pub fn hear(&self, peer: &str, incarnation: Uuid, told: Reads) -> Heard {
        let mut inner = self.lock();
        let Some(bound) = inner.clocks.get(peer, incarnation) else {
            return Heard {
                fresh: None,
                ask_clock: true,
            };
        };
        let told = Reads {
            config_at: bound.earliest(told.config_at),
            endpoints_at: bound.earliest(told.endpoints_at),
            steady_since: match told.steady_since {
                Time::ZERO => Time::ZERO,
                since => bound.earliest(since),
            },
            ..told
        };
        let mut newer = inner.newer(told);
        let fresh = inner.confirm(told);
        // What was kept for the outage is dropped by the next read.
        newer.endpoints |= inner.hear_steady(told);
        if newer.any() {
            inner.news.config |= newer.config;
            inner.news.endpoints |= newer.endpoints;
            drop(inner);
            self.changed.notify_one();
        }
        let ask_clock = false;
        Heard { fresh, ask_clock }
    }

    /// Takes a peer's clock, which it told after this instance asked at `asked`.
    pub fn take_clock(&self, peer: &str, incarnation: Uuid, asked: Time, clock: Time) {
        self.lock().clocks.take(peer, incarnation, asked, clock);
    }

    /// Waits until this instance has to read, and tells what: its state grew old, or a peer has
    /// newer.
    ///
    /// `reader` gives this instance's part in the reading.
    pub async fn due(&self, clock: Clock, pause: Duration, reader: impl Fn() -> Reader) -> Due {
        let chance = 1.0 + rand::random::<f64>() * PATIENCE_SPREAD;
        loop {
            let now = clock.now();
            let patience = match reader() {
                Reader::Site => pause,
                Reader::Group => pause.mul_f64(PATIENCE),
                Reader::SmallMember => pause.mul_f64(PATIENCE * chance),
                Reader::Member => pause.mul_f64(MEMBER_PATIENCE * chance),
            };
            let (due, next) = self.lock().due(now, patience);
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
