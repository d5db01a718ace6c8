//! Streams that callers may continue, with the builds that began them.
//!
//! An instance keeps what it began itself and what its peers reported. After the first event of a stream it sends a
//! record to a few peers that everyone can work out from the stream's key, so that its caller may come back to any
//! instance when this one is gone (`docs/design/stream-versions.md`).

mod lookups;
mod stored;

pub use self::lookups::{LookupId, Lookups};
pub use self::stored::{InvalidRecord, StoredStreams};

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use firdock_core::rendezvous;
use firdock_policy::Time;
use firdock_policy::request::{Build, StreamOrigin, StreamStart};
use sha2::{Digest as _, Sha256};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Length of a key in bytes: long enough that nobody finds a second stream with the same key.
const KEY_BYTES: usize = 16;
/// Maximum length of an attempt's id, in bytes.
const MAX_ID_BYTES: usize = 128;
/// Time for which a stream is kept: longer than any caller tries to continue one.
pub const RETENTION: Duration = Duration::from_mins(1);
/// Maximum number of streams that are kept; the oldest give way first. One takes about 200 bytes.
const MAX_STREAMS: usize = 32_768;
/// Number of peers that keep a record of a stream. If six in ten instances fall at once, one in twenty streams is lost.
const REPLICAS: usize = 6;
/// Time for which a record waits to be sent together with others.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Time limit for peers to answer what they know of a stream: two round trips between far availability zones.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);
/// Time limit for a lookup in the platform's store, with one that is under way. A caller who is refused instead comes
/// back later, and has fewer tries left.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns whether a text can be the id of an attempt.
#[must_use]
pub fn is_attempt_id(text: &str) -> bool {
    (1..=MAX_ID_BYTES).contains(&text.len())
}

/// Identifies a stream by its account and the attempt that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamKey([u8; KEY_BYTES]);

impl StreamKey {
    /// Computes the key of a stream; `None` if the text is no id of an attempt.
    #[must_use]
    pub fn new(account: &str, attempt: &str) -> Option<Self> {
        if !is_attempt_id(attempt) {
            return None;
        }
        let mut hasher = Sha256::new();
        hasher.update((account.len() as u64).to_be_bytes());
        hasher.update(account.as_bytes());
        hasher.update(attempt.as_bytes());
        Self::from_bytes(&hasher.finalize()[..KEY_BYTES])
    }

    /// Decodes the bytes of a message; `None` if their number is wrong.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the bytes as encoded in messages.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// A stream that callers may continue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamRecord {
    /// Key.
    pub key: StreamKey,
    /// Where it began.
    pub origin: RecordedOrigin,
    /// When its first event was passed on.
    pub began: Time,
}

/// Where a stream began, as far as its record tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordedOrigin {
    /// At this build.
    Build(Build),
    /// At this start of an endpoint, whose build has to be confirmed.
    Start(Arc<StreamStart>),
}

impl RecordedOrigin {
    /// Returns the origin of a stream that the scheduler sent to an endpoint; `None` if it is of no endpoint.
    #[must_use]
    pub fn new(origin: &StreamOrigin) -> Option<Self> {
        match origin {
            StreamOrigin::Known(build) => Some(Self::Build(Build::clone(build))),
            StreamOrigin::Started(stream) => Some(Self::Start(Arc::clone(stream))),
            StreamOrigin::New | StreamOrigin::Unknown => None,
        }
    }

    /// Returns the build, by the entry that was known when the stream began.
    #[must_use]
    pub fn build(&self) -> &Build {
        match self {
            Self::Build(build) => build,
            Self::Start(stream) => &stream.build,
        }
    }

    /// Returns the start of an endpoint, if the build has to be confirmed.
    #[must_use]
    pub fn start(&self) -> Option<&StreamStart> {
        match self {
            Self::Build(_) => None,
            Self::Start(stream) => Some(stream),
        }
    }
}

/// Who knew a stream that a caller continues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamSource {
    /// This instance, which began it or keeps a record of it.
    Here,
    /// A peer that was asked.
    Peer,
    /// The platform's store.
    Store,
    /// Nobody.
    Nobody,
}

impl StreamSource {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Here => "here",
            Self::Peer => "peer",
            Self::Store => "store",
            Self::Nobody => "nobody",
        }
    }
}

/// What is known of a stream that a caller continues.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FoundStream {
    /// The stream, if anyone knew it.
    pub record: Option<StreamRecord>,
    /// Who knew it.
    pub source: StreamSource,
}

impl FoundStream {
    /// Returns the origin of the stream, for the scheduler.
    #[must_use]
    pub fn origin(&self) -> StreamOrigin {
        match self.record.as_ref().map(|record| &record.origin) {
            Some(RecordedOrigin::Build(build)) => StreamOrigin::Known(Arc::new(build.clone())),
            Some(RecordedOrigin::Start(stream)) => StreamOrigin::Started(Arc::clone(stream)),
            None => StreamOrigin::Unknown,
        }
    }
}

/// What has to be sent to peers.
#[derive(Debug, Default)]
pub struct PendingMessages {
    /// Streams that began here, for their replicas.
    pub records: Vec<StreamRecord>,
    /// Streams that callers continue and that are not known here.
    pub queries: Vec<StreamKey>,
}

impl PendingMessages {
    /// Returns whether nothing has to be sent.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.queries.is_empty()
    }
}

#[derive(Debug, Clone)]
struct Known {
    origin: RecordedOrigin,
    began: Time,
    /// When it was recorded here.
    recorded: Time,
    /// Whether the platform's store alone knew it.
    from_store: bool,
}

/// Position of a record in the order of their arrival; 0 is before the first.
pub type Position = u64;

/// Entry of the order of arrival.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Time,
    position: Position,
    key: StreamKey,
}

#[derive(Debug, Default)]
struct Inner {
    streams: BTreeMap<StreamKey, Known>,
    /// Keys in the order of their arrival, for eviction and for records in the store.
    order: VecDeque<Arrival>,
    /// Position of the last arrival.
    last: Position,
    pending: PendingMessages,
    /// When the first of the streams whose records wait to be sent began.
    waiting_since: Option<Time>,
}

/// Table of the streams that an instance knows.
#[derive(Debug, Default)]
pub struct Streams {
    inner: Mutex<Inner>,
    /// Notified when something has to be sent.
    has_pending: Notify,
    /// Notified when peers reported streams.
    reported: Notify,
    /// Whether streams that no instance knows are looked up in the platform's store.
    has_store: bool,
    lookups: Lookups,
}

impl Streams {
    /// Makes streams that no instance knows be looked up in the platform's store.
    #[must_use]
    pub fn with_store(mut self) -> Self {
        self.has_store = true;
        self
    }

    /// Records a stream whose first event is passed on here.
    pub fn begin(&self, record: StreamRecord) {
        let mut inner = self.lock();
        inner.insert(record.began, record.clone(), false);
        inner.waiting_since.get_or_insert(record.began);
        inner.pending.records.push(record);
        drop(inner);
        self.has_pending.notify_one();
    }

    /// Adds streams that a peer reported. What is known already is kept.
    pub fn add_reported(&self, now: Time, records: Vec<StreamRecord>) {
        self.add(now, records, false);
    }

    /// Adds streams that were read from the platform's store. What is known already is kept.
    pub fn add_stored(&self, now: Time, records: Vec<StreamRecord>) {
        self.add(now, records, true);
    }

    fn add(&self, now: Time, records: Vec<StreamRecord>, from_store: bool) {
        let mut inner = self.lock();
        for record in records {
            if !inner.streams.contains_key(&record.key) {
                inner.insert(now, record, from_store);
            }
        }
        drop(inner);
        self.reported.notify_waiters();
    }

    /// Returns the streams that arrived after a position, at most `limit`, and the position of the last one. Those that
    /// the platform's store told are left out.
    #[must_use]
    pub fn arrived_after(&self, position: Position, limit: usize) -> (Vec<StreamRecord>, Position) {
        let inner = self.lock();
        let first = inner.order.partition_point(|a| a.position <= position);
        let arrivals = inner.order.range(first..).take(limit);
        let last = arrivals
            .clone()
            .next_back()
            .map_or(position, |a| a.position);
        let known = arrivals.filter_map(|a| Some((a, inner.streams.get(&a.key)?)));
        let current = known.filter(|(a, known)| known.recorded == a.at && !known.from_store);
        let records = current.map(|(a, known)| known.record(a.key));
        (records.collect(), last)
    }

    /// Returns a stream if it is known here.
    #[must_use]
    pub fn get(&self, key: StreamKey) -> Option<StreamRecord> {
        let inner = self.lock();
        Some(inner.streams.get(&key)?.record(key))
    }

    /// Returns a stream that is known here, and how.
    fn find_here(&self, key: StreamKey) -> Option<FoundStream> {
        let inner = self.lock();
        let known = inner.streams.get(&key)?;
        let source = if known.from_store {
            StreamSource::Store
        } else {
            StreamSource::Here
        };
        Some(FoundStream {
            record: Some(known.record(key)),
            source,
        })
    }

    /// Finds a stream: asks peers for it if it is not known here, and looks it up in the platform's store if none
    /// knows it.
    pub async fn find(&self, key: StreamKey) -> FoundStream {
        if let Some(found) = self.find_here(key) {
            return found;
        }
        self.lock().pending.queries.push(key);
        self.has_pending.notify_one();
        if let Ok(record) = timeout(QUERY_TIMEOUT, self.wait_for(key)).await {
            return FoundStream {
                record: Some(record),
                source: StreamSource::Peer,
            };
        }
        if self.has_store {
            // What is known after that time decides.
            let _ = timeout(LOOKUP_TIMEOUT, self.lookups.run()).await;
        }
        self.find_here(key).unwrap_or(FoundStream {
            record: None,
            source: StreamSource::Nobody,
        })
    }

    /// Returns the lookups in the platform's store.
    #[must_use]
    pub fn lookups(&self) -> &Lookups {
        &self.lookups
    }

    async fn wait_for(&self, key: StreamKey) -> StreamRecord {
        loop {
            let reported = self.reported.notified();
            if let Some(record) = self.get(key) {
                return record;
            }
            reported.await;
        }
    }

    /// Waits until something has to be sent.
    pub async fn wait_for_pending(&self) {
        self.has_pending.notified().await;
    }

    /// Returns when the waiting records have to be sent, if there are any.
    #[must_use]
    pub fn send_at(&self) -> Option<Time> {
        self.lock().waiting_since.map(|since| since + BATCH_DELAY)
    }

    /// Takes the queries, and the records if they have to be sent now.
    #[must_use]
    pub fn take_pending(&self, now: Time) -> PendingMessages {
        let mut inner = self.lock();
        let due = inner
            .waiting_since
            .is_some_and(|at| at + BATCH_DELAY <= now);
        let records = if due {
            inner.waiting_since = None;
            std::mem::take(&mut inner.pending.records)
        } else {
            Vec::new()
        };
        let queries = std::mem::take(&mut inner.pending.queries);
        PendingMessages { records, queries }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Known {
    fn record(&self, key: StreamKey) -> StreamRecord {
        StreamRecord {
            key,
            origin: self.origin.clone(),
            began: self.began,
        }
    }
}

impl Inner {
    fn insert(&mut self, now: Time, record: StreamRecord, from_store: bool) {
        self.last += 1;
        self.order.push_back(Arrival {
            at: now,
            position: self.last,
            key: record.key,
        });
        let known = Known {
            origin: record.origin,
            began: record.began,
            recorded: now,
            from_store,
        };
        self.streams.insert(record.key, known);
        self.evict(now);
    }

    fn evict(&mut self, now: Time) {
        let is_old = |arrival: &Arrival| arrival.at + RETENTION < now;
        while self.order.len() > MAX_STREAMS || self.order.front().is_some_and(is_old) {
            let Some(Arrival { at, key, .. }) = self.order.pop_front() else {
                return;
            };
            // A stream that was continued since is recorded once more.
            if self
                .streams
                .get(&key)
                .is_some_and(|known| known.recorded == at)
            {
                self.streams.remove(&key);
            }
        }
    }
}

/// Returns the names of the peers that keep a record of a stream, by rendezvous hashing over those that are live.
#[must_use]
pub fn replicas<'a>(key: StreamKey, live: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let hash = rendezvous::hash_key(key.as_bytes());
    let mut ranked: Vec<(u64, &str)> = live
        .map(|name| (rendezvous::weight(hash, name), name))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked
        .into_iter()
        .take(REPLICAS)
        .map(|(_, name)| name)
        .collect()
}

/// Streams that an instance shares between its parts.
pub type SharedStreams = Arc<Streams>;
